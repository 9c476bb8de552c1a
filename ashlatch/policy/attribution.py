"""
ashlatch.policy.attribution
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Attributes crashes of endpoints to their likely causes. Whatever ran at each of several
crashed endpoints and has not completed since is a candidate: a whole request, or a part
that prompts share. Most candidates only ran beside the cause. The one with the most
crashes is taken as their cause; those crashes then no longer count against the others.
Between whole requests this is not done: to refuse one of them costs little.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import groupby

from ashlatch.policy.crash_record import Crash, CrashRecord

__all__ = ["Cause", "attribute_crashes"]

# The crashes after which a candidate is taken as a cause. One that only ran beside the
# cause is rarely present three times, and each further crash costs callers an endpoint.
CRASHES_MIN = 3
# For a prompt part that was seen to complete several times shortly before a crash. Such
# parts are popular and present at most crashes.
CRASHES_MIN_COMPLETED = 5
POPULAR_RATIO = 2


@dataclass(frozen=True)
class Cause:
    """A candidate that crashes are attributed to; `crashes` is their number.

    It is `certain` unless another candidate was present at exactly the same crashes.
    """

    crashes: int
    certain: bool


@dataclass(frozen=True)
class _Candidate:
    record: CrashRecord
    crashes: frozenset[int]
    popular: bool

    @property
    def crashes_min(self) -> int:
        return CRASHES_MIN_COMPLETED if self.popular else CRASHES_MIN


def attribute_crashes(records: Iterable[CrashRecord]) -> dict[int, Cause]:
    """Returns the causes by fingerprint::

        attribute_crashes([part_of_four_crashes, request_beside_three_of_them])
        # {part_of_four_crashes.fingerprint: Cause(4, True)}

    The result depends on the records only, so that processes with the same records
    agree without further messages.
    """
    found = [r for r in records if len(r.counted_crashes) >= CRASHES_MIN]
    candidates = _candidates(found)
    causes: dict[int, Cause] = {}
    explained: frozenset[int] = frozenset()
    explained_by_parts: frozenset[int] = frozenset()
    while candidates:
        remaining = {
            c: c.crashes - (explained if c.record.part else explained_by_parts)
            for c in candidates
        }
        candidates = [c for c in candidates if len(remaining[c]) >= c.crashes_min]
        if not candidates:
            break
        first = _first(candidates, remaining)
        crashes = remaining[first]
        tied = [
            c
            for c in candidates
            if remaining[c] == crashes and c.popular == first.popular
        ]
        for candidate in tied:
            # A whole request that crashed endpoints is not worth a further trial.
            certain = len(tied) == 1 or not candidate.record.part
            causes[candidate.record.fingerprint] = Cause(len(crashes), certain)
        explained |= crashes
        if any(c.record.part for c in tied):
            explained_by_parts |= crashes
        candidates = [c for c in candidates if c not in tied]
    return causes


def _first(
    candidates: list[_Candidate], remaining: Mapping[_Candidate, frozenset[int]]
) -> _Candidate:
    """Returns the candidate with the most crashes.

    A popular one comes first only with more than twice the crashes of any other: while
    several causes crash endpoints, it is present at the crashes of all of them.
    """

    def rank(candidate: _Candidate) -> tuple[int, int]:
        weight = 1 if candidate.popular else POPULAR_RATIO
        return weight * len(remaining[candidate]), candidate.record.fingerprint

    return max(candidates, key=rank)


def _candidates(records: list[CrashRecord]) -> list[_Candidate]:
    numbers = _number_crashes(c for r in records for c in r.counted_crashes)
    return [
        _Candidate(
            record,
            frozenset(numbers[c] for c in record.counted_crashes),
            bool(record.part)
            and any(c.completed_before for c in record.counted_crashes),
        )
        for record in records
    ]


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
