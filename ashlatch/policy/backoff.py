"""
ashlatch.policy.backoff
~~~~~~~~~~~~~~~~~~~~~~~

How long an endpoint has asked this process to send it nothing, and that it has asked
others.

The load it answers: an endpoint that sheds its requests looks idle, so it would be
chosen for all of them, and for all of those that come back, until it serves again.
"""

from dataclasses import dataclass

__all__ = ["Backoff"]

# An endpoint that sheds says so within a round trip.
PROBE_MS = 250.0
# A backoff of another process is not asked of this one: a long one may be meant for
# that process alone.
PEERS_MAX_MS = 5000.0
# Others hear of a backoff again when it outlasts by this what they know.
BROADCAST_MIN_MS = 500.0


@dataclass
class Backoff:
    """The backoff that one endpoint has asked for::

        backoff = Backoff()
        backoff.request(3000.0, now_ms=1000.0)
        backoff.wait_ms(now_ms=2500.0)  # 1500.0

    `peers_until_ms` is until when another process backs off, as far as is known here:
    the endpoint has asked nothing of this one, but it is likely to.

    The longest of several requests counts, whatever comes between them: an answer to
    an earlier request, or to one that the endpoint had room for, withdraws none.
    """

    until_ms: float = float("-inf")
    peers_until_ms: float = float("-inf")
    _accepted: bool = True
    _probe_until_ms: float = float("-inf")

    def record_request(self, backoff_ms: float, now_ms: float) -> bool:
        """The endpoint asks for a backoff from now on; whether that prolongs it."""
        until_ms = now_ms + backoff_ms
        self._accepted = False
        if until_ms <= self.until_ms:
            return False
        self.until_ms = until_ms
        return True

    def record_peer_request(self, backoff_ms: float, now_ms: float) -> None:
        """Another process has been asked for a backoff a moment ago."""
        until_ms = now_ms + min(backoff_ms, PEERS_MAX_MS)
        self.peers_until_ms = max(self.peers_until_ms, until_ms)

    def is_new(self, now_ms: float) -> bool:
        """Whether others should hear of the backoff that has just been asked for."""
        until_ms = min(self.until_ms, now_ms + PEERS_MAX_MS)
        return until_ms > self.peers_until_ms + BROADCAST_MIN_MS

    def wait_ms(self, now_ms: float) -> float:
        """The time until a request may be sent; 0 if it may be now."""
        return max(0.0, self.until_ms - now_ms)

    def record_sent(self, now_ms: float) -> None:
        """A request goes there; after a backoff it is a trial."""
        if not self._accepted and now_ms >= self.until_ms:
            self._probe_until_ms = now_ms + PROBE_MS

    def record_accepted(self, sent_ms: float) -> None:
        """A request that was sent at this time has not been turned away."""
        if sent_ms >= self.until_ms:
            self._accepted = True

    def may_shed(self, now_ms: float) -> bool:
        """Whether a request would probably be turned away, and should go elsewhere.

        The first one after a backoff has not been answered yet, or another process
        backs off.
        """
        on_trial = not self._accepted and now_ms < self._probe_until_ms
        return on_trial or now_ms < self.peers_until_ms
