"""
ashlatch.policy.backoff
~~~~~~~~~~~~~~~~~~~~~~~

How long an endpoint has asked this process to send it nothing.

The load it answers: an endpoint that sheds its requests looks idle, so it would be
chosen for all of them, and for all of those that come back, until it serves again.
"""

from dataclasses import dataclass

__all__ = ["Backoff"]


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

    def request(self, backoff_ms: float, now_ms: float) -> bool:
        """The endpoint asks for a backoff from now on; whether that prolongs it."""
        until_ms = now_ms + backoff_ms
        if until_ms <= self.until_ms:
            return False
        self.until_ms = until_ms
        return True

    def wait_ms(self, now_ms: float) -> float:
        """The time until a request may be sent; 0 if it may be now."""
        return max(0.0, self.until_ms - now_ms)
