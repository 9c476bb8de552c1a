"""
ashlatch.policy.arbiter
~~~~~~~~~~~~~~~~~~~~~~~

Which gateway is the arbiter of a service's places. A gateway that needs a place and
knows no arbiter asks the one that ranks first by a hash; that one becomes the arbiter,
unless it knows of another, and claims it with a new term. Claims are repeated, and the
highest one wins, so that two arbiters are one again as soon as either hears the other.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ashlatch.policy.endpoint import rank

__all__ = ["CLAIM_INTERVAL_MS", "Claim", "Election"]

# An arbiter repeats its claim at this interval; without one for the second time it has
# ended, or is suspended.
CLAIM_INTERVAL_MS = 100.0
CLAIM_EXPIRES_MS = 400.0
# A gateway that was asked and has not answered is not asked again for this time.
UNANSWERED_MS = 2000.0


@dataclass(frozen=True, order=True)
class Claim:
    """The claim of a gateway to be the arbiter; the highest one holds."""

    term: int = 0
    gateway: str = ""


@dataclass
class Election:
    """What one gateway knows of the arbiter of a service::

    election = Election("service-1", local="10.0.0.1:7340")
    election.apply(Claim(1, "10.0.0.2:7340"), now_ms=0.0)  # True: a new arbiter
    election.arbiter(now_ms=100.0)  # "10.0.0.2:7340"
    election.arbiter(now_ms=900.0)  # ""
    """

    service: str
    local: str
    claim: Claim = Claim()
    _heard_ms: float = float("-inf")
    _unanswered_ms: dict[str, float] = field(default_factory=dict)

    @property
    def leads(self) -> bool:
        """Checks whether this gateway is the arbiter, as far as it knows."""
        return self.claim.gateway == self.local

    def arbiter(self, now_ms: float) -> str:
        """Returns the arbiter, empty if there is none."""
        expired = now_ms - self._heard_ms > CLAIM_EXPIRES_MS
        return self.claim.gateway if self.leads or not expired else ""

    def age_ms(self, now_ms: float) -> float:
        """Returns the time since the claim was last made, as far as is known."""
        return 0.0 if self.leads else now_ms - self._heard_ms

    def apply(self, claim: Claim, made_ms: float) -> bool:
        """Applies a claim made by another gateway; returns whether it is new."""
        if claim < self.claim:
            return False
        changed = claim != self.claim
        self.claim = claim
        self._heard_ms = made_ms if changed else max(made_ms, self._heard_ms)
        self._unanswered_ms.pop(claim.gateway, None)
        return changed

    def begin(self, now_ms: float) -> Claim:
        """Makes this gateway the arbiter; returns its claim."""
        self.claim = Claim(self.claim.term + 1, self.local)
        self._heard_ms = now_ms
        return self.claim

    def resign(self) -> None:
        """Ends being the arbiter; any claim of the same term holds again."""
        self.claim = Claim(self.claim.term, "")
        self._heard_ms = float("-inf")

    def record_unanswered(self, gateway: str, now_ms: float) -> None:
        """Records that a gateway has not answered."""
        self._unanswered_ms[gateway] = now_ms

    def nominee(self, gateways: Iterable[str], now_ms: float) -> str:
        """Returns the gateway to ask while there is no arbiter.

        The last arbiter is left out, as its claim has expired, and so is any gateway
        that has not answered lately.
        """
        silent = {
            gateway
            for gateway, at_ms in self._unanswered_ms.items()
            if now_ms - at_ms < UNANSWERED_MS
        }
        if not self.leads:
            silent.add(self.claim.gateway)
        ranked = rank(tuple(gateways), self.service)
        found = [gateway for gateway in ranked if gateway not in silent]
        return found[0] if found else self.local
