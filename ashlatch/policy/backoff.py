"""
ashlatch.policy.backoff
~~~~~~~~~~~~~~~~~~~~~~~

How long an endpoint has asked this process to send it nothing.

The load it answers: an endpoint that sheds its requests looks idle, so it would be
chosen for all of them, and for all of those that come back, until it serves again.
"""

from dataclasses import dataclass

__all__ = ["Backoff"]

# An endpoint that sheds says so within a round trip.
TRIAL_MS = 250.0


@dataclass
class Backoff:
    """The backoff that one endpoint has asked for::

        backoff = Backoff()
        backoff.request(3000.0, now_ms=1000.0)
        backoff.wait_ms(now_ms=2500.0)  # 1500.0

    The longest of several requests counts, whatever comes between them: an answer to
    an earlier request, or to one that the endpoint had room for, withdraws none.
    """

    until_ms: float = float("-inf")
    _served: bool = True
    _trial_ends_ms: float = float("-inf")

    def request(self, backoff_ms: float, now_ms: float) -> bool:
        """The endpoint asks for a backoff from now on; whether that prolongs it."""
        until_ms = now_ms + backoff_ms
        self._served = False
        if until_ms <= self.until_ms:
            return False
        self.until_ms = until_ms
        return True

    def wait_ms(self, now_ms: float) -> float:
        """The time until a request may be sent; 0 if it may be now."""
        return max(0.0, self.until_ms - now_ms)

    def sent(self, now_ms: float) -> None:
        """A request goes there; after a backoff it is a trial."""
        if not self._served and now_ms >= self.until_ms:
            self._trial_ends_ms = now_ms + TRIAL_MS

    def served(self, sent_ms: float) -> None:
        """A request that was sent at this time has not been turned away."""
        if sent_ms >= self.until_ms:
            self._served = True

    def on_trial(self, now_ms: float) -> bool:
        """Whether the first request since the backoff may still be turned away.

        Others should go elsewhere meanwhile, if they can.
        """
        return not self._served and now_ms < self._trial_ends_ms
