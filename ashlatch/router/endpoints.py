"""
ashlatch.router.endpoints
~~~~~~~~~~~~~~~~~~~~~~~~~

What a router knows of each endpoint: its load and failures, and what it has said of
itself; and whether a request may be sent there now.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import random
from collections.abc import Set
from dataclasses import dataclass, field

from ashlatch.policy.backoff import Backoff
from ashlatch.policy.breaker import Breaker
from ashlatch.policy.load import EndpointLoad
from ashlatch.policy.permission import NEVER_MS, DenialReason, Permission, combine
from ashlatch.policy.rate_limit import LimitSharing, RateLimit
from ashlatch.settings import PolicySettings

__all__ = [
    "EndpointStates",
]


_LEAVING = Permission(DenialReason.LEAVING, NEVER_MS)


@dataclass
class EndpointStates:
    """The endpoints of a router by their names.

    `leaving` have said so themselves, `listed_leaving` are to be left by the newest
    table. Routers do not hear of each other's sends, so each has a fixed part of an
    endpoint's rate limit, by `sharers`.
    """

    settings: PolicySettings
    generator: random.Random
    loads: dict[str, EndpointLoad] = field(default_factory=dict)
    breakers: dict[str, Breaker] = field(default_factory=dict)
    limits: dict[str, RateLimit] = field(default_factory=dict)
    backoffs: dict[str, Backoff] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    listed_leaving: frozenset[str] = frozenset()
    sharers: LimitSharing = LimitSharing(connected=False)

    def retain(self, names: Set[str]) -> None:
        """Drop what is known of other endpoints, once nothing runs there."""
        for name in [n for n in self.loads if n not in names]:
            if self.loads[name].in_flight == 0:
                del self.loads[name]
                self.breakers.pop(name, None)
                self.limits.pop(name, None)
                self.backoffs.pop(name, None)
        self.leaving &= names

    def is_leaving(self, endpoint: str) -> bool:
        """Whether an endpoint gets no new work, by any source (R8)."""
        return endpoint in self.leaving or endpoint in self.listed_leaving

    def load(self, endpoint: str) -> EndpointLoad:
        """What is known of an endpoint's load."""
        return self.loads.setdefault(endpoint, EndpointLoad())

    def breaker(self, endpoint: str) -> Breaker:
        """The circuit breaker of an endpoint."""
        found = self.breakers.get(endpoint)
        if found is None:
            found = Breaker(
                self.settings.breaker_failures, self.settings.breaker_open_ms
            )
            self.breakers[endpoint] = found
        return found

    def limit(self, endpoint: str) -> RateLimit:
        """The rate limit of an endpoint."""
        return self.limits.setdefault(endpoint, RateLimit())

    def backoff(self, endpoint: str) -> Backoff:
        """The backoff that an endpoint has asked for."""
        return self.backoffs.setdefault(endpoint, Backoff())

    def record_served(self, endpoint: str, sent_ms: float) -> None:
        """A request that was sent at this time has not been turned away."""
        backoff = self.backoffs.get(endpoint)
        if backoff is not None and sent_ms >= backoff.until_ms:
            del self.backoffs[endpoint]

    def is_restricted(self, endpoint: str) -> bool:
        """Whether an endpoint has named a rate limit, or asked for a backoff."""
        limit = self.limits.get(endpoint)
        return endpoint in self.backoffs or (limit is not None and limit.limited)

    def permission(self, endpoint: str, now_ms: float) -> Permission:
        """Whether a request may be sent to an endpoint, and if not, from when."""
        open_permission = self.permission_ignoring_limit(endpoint, now_ms)
        limit = self.limits.get(endpoint)
        limit_ms = limit.wait_ms(self.sharers, now_ms) if limit else 0.0
        if open_permission.denial_reason is None:
            return combine([(DenialReason.LIMITED, limit_ms)])
        waits = [(open_permission.denial_reason, open_permission.wait_ms)]
        return combine([*waits, (DenialReason.LIMITED, limit_ms)])

    def permission_ignoring_limit(self, endpoint: str, now_ms: float) -> Permission:
        """The same without its rate limit, from which a planned send has been taken."""
        if self.is_leaving(endpoint):
            return _LEAVING
        backoff = self.backoffs.get(endpoint)
        backoff_ms = backoff.wait_ms(now_ms) if backoff else 0.0
        return combine([(DenialReason.BACKOFF, backoff_ms)])

    def record_sent(self, endpoint: str, now_ms: float) -> None:
        """A request goes to an endpoint."""
        self.load(endpoint).record_sent(now_ms)
        self.breaker(endpoint).record_sent(now_ms)
        if endpoint in self.backoffs:
            self.backoffs[endpoint].record_sent(now_ms)
        if endpoint in self.limits:
            drawn = self.generator.random()
            self.limits[endpoint].record_sent(self.sharers, drawn, now_ms)
