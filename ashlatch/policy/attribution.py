"""
ashlatch.policy.attribution
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Attributes crashes of endpoints to their likely causes. Whatever ran at each of several
crashed endpoints and has not completed since is a candidate: a whole request, or a part
that prompts share. Most candidates only ran beside the cause. A part is certain to be a
cause once endpoints have crashed in trials of it and no other candidate was present at
all of its crashes; these then no longer count against the others. Between whole
requests this is not done: to refuse one of them costs little.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import dataclasses
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import groupby

from ashlatch.policy.crash_record import CRASHES_PER_RECORD_MAX, Crash, CrashRecord

__all__ = ["Cause", "attribute_crashes"]

# The crashes after which something is a candidate. What only ran beside the cause is
# rarely present three times, and each further crash costs callers an endpoint.
CRASHES_MIN = 3
# The crashes in trials of several parts that make them certain: they may never come
# apart. Of a trial of one part alone, one crash is enough.
JOINT_TRIALS_MIN = 4
# A popular part is as likely a cause as a rarer one with so many times fewer crashes.
POPULAR_RATIO = 2
# More than the parts of any prompt.
SUSPECTS_MAX = 1 << 16


@dataclass(frozen=True)
class Cause:
    """A candidate that crashes are attributed to; `crashes` is their number.

    Requests with an uncertain cause run as trials, one at a time.
    """

    crashes: int
    certain: bool


@dataclass(frozen=True)
class _Candidate:
    """What may be the cause of `crashes`.

    `tested` are those in a trial, `tested_alone` those in a trial of nothing else.
    """

    record: CrashRecord
    popular: bool
    crashes: frozenset[int]
    tested: frozenset[int]
    tested_alone: frozenset[int]

    @property
    def likelihood(self) -> tuple[bool, int]:
        """How likely this is a cause, compared with others."""
        return not self.popular, len(self.crashes)

    def beside(self, rare: Iterable["_Candidate"]) -> "_Candidate":
        """Returns a popular candidate without trials that tell little about it.

        These are the ones in which a rarer candidate was present that may well be the
        cause.
        """
        if not self.tested_alone:
            return self
        likely = (
            r for r in rare if POPULAR_RATIO * len(r.crashes) >= len(self.crashes)
        )
        alone = self.tested_alone.difference(*(r.crashes for r in likely))
        return dataclasses.replace(self, tested_alone=alone)

    def remove_from(self, other: "_Candidate") -> "_Candidate":
        """Returns another candidate without the crashes that this one has caused.

        One that was present at more crashes, or a rarer one, may still be the cause of
        some that this one only ran beside.
        """
        rarer = self.popular and not other.popular
        if other.record.part and (rarer or len(other.crashes) > len(self.crashes)):
            return other
        crashes = other.crashes - self.crashes
        return _Candidate(
            other.record,
            other.popular,
            crashes,
            other.tested & crashes,
            other.tested_alone & crashes,
        )

    def hides(self, other: "_Candidate") -> bool:
        """Checks whether this may be the cause of all of another part's crashes."""
        if self.record is other.record or not self.record.part:
            return False
        if self.popular and not other.popular:
            return False
        return other.crashes <= self.crashes


def attribute_crashes(records: Iterable[CrashRecord]) -> dict[int, Cause]:
    """Returns the causes by fingerprint::

        attribute_crashes([part_of_four_crashes, request_beside_three_of_them])
        # {part_of_four_crashes.fingerprint: Cause(4, False)}

    The result depends on the records only, so that processes with the same records
    agree without further messages.
    """
    found = [r for r in records if len(r.counted_crashes) >= CRASHES_MIN]
    candidates = _candidates(found)
    causes: dict[int, Cause] = {}
    while (first := _first_certain(candidates)) is not None:
        causes[first.record.fingerprint] = Cause(len(first.crashes), True)
        remaining = (first.remove_from(c) for c in candidates if c is not first)
        candidates = [c for c in remaining if len(c.crashes) >= CRASHES_MIN]
    beside = _crashes_beside(candidates)
    for candidate in candidates:
        crashes = candidate.crashes
        if candidate.record.part:
            causes[candidate.record.fingerprint] = Cause(len(crashes), False)
            continue
        alone = crashes - beside[len(crashes)]
        if len(alone) >= CRASHES_MIN:
            # A whole request is not worth a trial.
            causes[candidate.record.fingerprint] = Cause(len(alone), True)
    return causes


def _crashes_beside(candidates: list[_Candidate]) -> list[frozenset[int]]:
    """Returns the crashes of rarer parts with more than 0, 1, 2, ... crashes."""
    rare = [c for c in candidates if c.record.part and not c.popular]
    beside: list[frozenset[int]] = [frozenset()]
    for number in range(CRASHES_PER_RECORD_MAX, 0, -1):
        found = (c.crashes for c in rare if len(c.crashes) == number)
        beside.append(beside[-1].union(*found))
    return beside[::-1]


def _first_certain(candidates: list[_Candidate]) -> _Candidate | None:
    """Returns the part that is most certain to be a cause, if one is."""
    parts = [c for c in candidates if c.record.part]

    def rank(candidate: _Candidate) -> tuple[int, tuple[bool, int], int]:
        alone = len(candidate.tested_alone)
        return alone, candidate.likelihood, candidate.record.fingerprint

    for candidate in sorted(_proven(parts), key=rank, reverse=True):
        tied = len(candidate.tested) >= JOINT_TRIALS_MIN
        if tied or not any(other.hides(candidate) for other in parts):
            return candidate
    return None


def _proven(parts: list[_Candidate]) -> list[_Candidate]:
    """Returns the parts whose trials make them certain.

    Where several trials ran at one endpoint, its crash shows something about the
    likeliest of them only, and nothing if there are two.
    """
    likelihoods: defaultdict[int, list[tuple[bool, int]]] = defaultdict(list)
    for part in parts:
        for crash in part.tested:
            likelihoods[crash].append(part.likelihood)
    likeliest = {
        crash: max(found) if found.count(max(found)) == 1 else None
        for crash, found in likelihoods.items()
    }

    def is_proven(part: _Candidate) -> bool:
        if len(part.tested) >= JOINT_TRIALS_MIN:
            return True
        return any(likeliest[crash] == part.likelihood for crash in part.tested_alone)

    return [part for part in parts if is_proven(part)]


def _candidates(records: list[CrashRecord]) -> list[_Candidate]:
    numbers = _number_crashes(c for r in records for c in r.counted_crashes)

    def numbered(record: CrashRecord, suspects: range) -> frozenset[int]:
        crashes = record.counted_crashes
        return frozenset(numbers[c] for c in crashes if c.suspects in suspects)

    candidates = [
        _Candidate(
            record,
            record.popular,
            numbered(record, range(SUSPECTS_MAX)),
            numbered(record, range(1, SUSPECTS_MAX)),
            numbered(record, range(1, 2)),
        )
        for record in records
    ]
    rare = [c for c in candidates if c.record.part and not c.popular]
    return [c.beside(rare) if c.popular else c for c in candidates]


def _number_crashes(crashes: Iterable[Crash]) -> Mapping[Crash, int]:
    """Numbers crashes, so that all reports of one crash have the same number."""
    numbers: dict[Crash, int] = {}
    number = 0
    ordered = sorted(set(crashes), key=lambda c: (c.incarnation, c.at_unix_ms))
    for _, reports in groupby(ordered, key=lambda c: c.incarnation):
        number += 1
        previous: Crash | None = None
        for report in reports:
            if previous is not None and not report.is_same(previous):
                number += 1
            numbers[report] = number
            previous = report
    return numbers
