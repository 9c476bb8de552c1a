"""
ashlatch.policy.backoff
~~~~~~~~~~~~~~~~~~~~~~~

Tracks the backoffs that an endpoint has requested from this process and from others:
times in which it gets no requests.

An endpoint that sheds its requests looks idle. Without a backoff it would be chosen
for all new requests and all retries until it serves again.
"""

from dataclasses import dataclass

__all__ = ["Backoff"]

# An endpoint that still sheds answers a probe request within a round trip.
PROBE_MS = 250.0
# The upper bound for a backoff that another process was asked for: a long one may be
# meant for that process alone.
PEERS_MAX_MS = 5000.0
# A backoff is broadcast again when it ends this much later than the other processes
# know.
BROADCAST_MIN_MS = 500.0


@dataclass
class Backoff:
    """The backoff that one endpoint has asked for::

        backoff = Backoff()
        backoff.record_request(3000.0, now_ms=1000.0)
        backoff.wait_ms(now_ms=2500.0)  # 1500.0

    `peers_until_ms` is when the latest known backoff of another process ends. The
    endpoint has not asked this process for it, but is likely to.

    The longest of several backoffs counts, whatever is received in between: an answer
    to an earlier request, or to one that the endpoint had capacity for, cancels none.
    """

    until_ms: float = float("-inf")
    peers_until_ms: float = float("-inf")
    _accepted: bool = True
    _probe_until_ms: float = float("-inf")

    def record_request(self, backoff_ms: float, now_ms: float) -> bool:
        """Records a backoff that starts now; returns whether it ends later."""
        until_ms = now_ms + backoff_ms
        self._accepted = False
        if until_ms <= self.until_ms:
            return False
        self.until_ms = until_ms
        return True

    def record_peer_request(self, backoff_ms: float, now_ms: float) -> None:
        """Records that another process was just asked for a backoff."""
        until_ms = now_ms + min(backoff_ms, PEERS_MAX_MS)
        self.peers_until_ms = max(self.peers_until_ms, until_ms)

    def is_new(self, now_ms: float) -> bool:
        """Checks whether the latest backoff should be broadcast to other processes."""
        until_ms = min(self.until_ms, now_ms + PEERS_MAX_MS)
        return until_ms > self.peers_until_ms + BROADCAST_MIN_MS

    def wait_ms(self, now_ms: float) -> float:
        """Returns the time until a request may be sent; 0 if it may be sent now."""
        return max(0.0, self.until_ms - now_ms)

    def record_sent(self, now_ms: float) -> None:
        """Records a sent request; the first one after a backoff is a probe."""
        if not self._accepted and now_ms >= self.until_ms:
            self._probe_until_ms = now_ms + PROBE_MS

    def record_accepted(self, sent_ms: float) -> None:
        """Records that the endpoint did not shed a request sent at `sent_ms`."""
        if sent_ms >= self.until_ms:
            self._accepted = True

    def may_shed(self, now_ms: float) -> bool:
        """Checks whether the endpoint would probably shed a request.

        That is so while the first request after a backoff is unanswered, or while
        another process backs off; requests should then go elsewhere.
        """
        probing = not self._accepted and now_ms < self._probe_until_ms
        return probing or now_ms < self.peers_until_ms
