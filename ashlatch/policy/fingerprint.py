"""
ashlatch.policy.fingerprint
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Identifies requests, and the parts of prompts that they share, by fingerprints, and
chooses the endpoint for a request that is kept apart from others.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass, field
from random import Random

from ashlatch.policy.crash_record import part_fingerprint
from ashlatch.policy.endpoint import rank

__all__ = ["Fingerprints", "Isolation", "choose_isolated"]


@dataclass(frozen=True)
class Fingerprints:
    """What identifies a request: the whole of it, and the shared parts of its prompt.

    `parts` are the ids of the parts that other requests may contain too::

        Fingerprints(request_fingerprint, ("5c1e07a2", "91bd3f06"))
    """

    request: int
    parts: tuple[str, ...] = ()
    keys: tuple[int, ...] = field(init=False)

    def __post_init__(self) -> None:
        shared = dict.fromkeys(part_fingerprint(part) for part in self.parts)
        object.__setattr__(self, "keys", (self.request, *shared))

    def part_of(self, key: int) -> str:
        """Returns the id of the part that a key stands for; empty for the request."""
        found = (part for part in self.parts if part_fingerprint(part) == key)
        return next(found, "")


@dataclass(frozen=True)
class Isolation:
    """How a request is kept apart that ran, or whose prompt's part ran, at a crash.

    Requests that share the suspected `part` go to the same endpoint, so that few are at
    risk; another part's requests mostly go elsewhere, so that the suspects separate.
    Without a part the request itself is suspected.
    """

    part: str


def choose_isolated(
    names: tuple[str, ...], isolation: Isolation, generator: Random
) -> str:
    """Returns the endpoint for a request that is kept apart.

    All processes choose the same endpoint for a part. A request itself goes to any of
    them: the cheapest one has the subject's prompt cached, and there it would keep
    running beside the one that crashes endpoints.
    """
    if not isolation.part:
        return generator.choice(names)
    return rank(names, isolation.part)[0]
