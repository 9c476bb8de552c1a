"""
ashlatch.policy.rate_limit
~~~~~~~~~~~~~~~~~~~~~~~~~~

How many requests a gateway may send to an endpoint that has named a rate limit: a
number of requests a second that it takes from all gateways together.

Each gateway keeps a token bucket for the endpoint and takes a token from it for each
send, its own and those that others tell of. A fixed part of the limit for each gateway
would keep the bound without any message between them, but leave most of it unused: one
of 195 gateways could send one request in minutes, and callers come to any of them.

The load it answers: an endpoint in need has few requests, so it looks like the best
choice to all gateways, at the very moment at which the next token is there.
"""

from dataclasses import dataclass

__all__ = ["NO_LIMIT", "RateLimit", "LimitSharing"]

# The rate of an endpoint that names no limit.
NO_LIMIT = float("inf")
SECOND_MS = 1000.0
# An endpoint that takes next to nothing is sent a request so often all the same: only
# an answer tells that it takes more again.
RATE_MIN_PER_S = 0.25
# What is not sent may be sent later, up to what the endpoint takes in this time: a
# pause of callers must not lead to a burst.
BURST_S = 0.25
# Sends that cross on their way between gateways are made up for by a pause, but by no
# longer one than this: who has heard of a few sends less would send alone for good, and
# an endpoint that takes few would be asked nothing for as many seconds.
DEBT_MAX_S = 1.5
# Gateways wait for a token and for a drawn part of this time, or of another token if
# that comes sooner, so that they do not all send at the moment at which it is there: a
# message between them takes milliseconds.
JITTER_MAX_S = 1.0
# A limit that others know is told again after this long, for gateways that have
# started since, or when it differs by this part.
REBROADCAST_MS = 1000.0
CHANGE_MIN = 0.05


@dataclass(frozen=True)
class LimitSharing:
    """The `gateways` that share a limit; `in_touch` if they hear of each other's sends.

    One that hears nothing uses its fixed part of the limit, and no more.
    """

    gateways: int = 1
    connected: bool = True

    @property
    def share(self) -> float:
        """The part of the limit that this gateway may use."""
        return 1.0 if self.connected else 1.0 / self.gateways

    @property
    def send_cost(self) -> float:
        """The tokens that an own send takes.

        More than one, so that who has sent lets the others go before: one that has
        missed a few messages would go first each time.
        """
        return 2.0 - 1.0 / self.gateways if self.connected else 1.0


@dataclass
class RateLimit:
    """The rate limit of one endpoint and what is left of it, as one gateway knows it.

    `heard_ms` is when the endpoint was last known to name it, `told_ms` when gateways
    last told each other of it. `drawn` is a number below 1, drawn anew each time::

        limit, alone = RateLimit(), Sharers()
        limit.wait_ms(alone, now_ms=0.0)  # 0.0
        limit.set_rate(2.0, alone, drawn=0.0, now_ms=0.0)
        limit.wait_ms(alone, now_ms=0.0)  # 500.0
        limit.sent(alone, drawn=0.0, now_ms=500.0)
        limit.wait_ms(alone, now_ms=500.0)  # 500.0
    """

    per_s: float = NO_LIMIT
    received_ms: float = float("-inf")
    broadcast_ms: float = float("-inf")
    _tokens: float = 0.0
    _refilled_ms: float = 0.0
    _jitter: float = 0.0

    @property
    def limited(self) -> bool:
        """Whether the endpoint names a limit, as far as is known."""
        return self.per_s != NO_LIMIT

    def is_new(self, per_s: float, now_ms: float) -> bool:
        """Whether others should hear of the limit that the endpoint has named."""
        if not self.limited or now_ms - self.broadcast_ms >= REBROADCAST_MS:
            return True
        return abs(per_s - self.per_s) > CHANGE_MIN * self.per_s

    def set_rate(
        self, per_s: float, sharing: LimitSharing, jitter: float, now_ms: float
    ) -> None:
        """The endpoint names a limit, which may be another one than before."""
        self.received_ms = now_ms
        if self.limited:
            self._refill(sharing, now_ms)
        else:
            # It has just had more than it takes, from gateways that did not know.
            self._tokens = 0.0
            self._refilled_ms = now_ms
        changed = per_s != self.per_s
        self.per_s = per_s
        if changed:
            # What was saved or owed at another rate may take far longer at this one.
            self._clamp_tokens(sharing)
            self._jitter = jitter

    def clear(self) -> None:
        """The endpoint names no limit any more."""
        self.per_s = NO_LIMIT

    def accepts(self, per_s: float, sent_ms: float) -> bool:
        """Whether the answer to a request that was sent at a time may be believed.

        Answers come late, and some wait in a gateway that stands still. A lower limit
        is believed at once; a higher one, or none, only if the present one has not been
        named since: the answer may be older than that.
        """
        return per_s <= self.per_s or self.received_ms < sent_ms

    def wait_ms(self, sharing: LimitSharing, now_ms: float) -> float:
        """The time until a request may be sent; 0 if it may be now."""
        if not self.limited:
            return 0.0
        self._refill(sharing, now_ms)
        # By what holds now: what was drawn apart from the others may be more than is
        # ever saved together with them.
        needed = 1.0 + self._jitter * self._jitter_max(sharing)
        missing = max(0.0, needed - self._tokens)
        return missing / self._rate_per_s(sharing) * SECOND_MS

    def record_sent(self, sharing: LimitSharing, jitter: float, now_ms: float) -> None:
        """A request of this gateway goes there."""
        self._spend(sharing.send_cost, sharing, jitter, now_ms)

    def record_peer_sent(
        self, sharing: LimitSharing, jitter: float, now_ms: float
    ) -> None:
        """A request of another gateway goes there."""
        self._spend(1.0, sharing, jitter, now_ms)

    def _spend(
        self, tokens: float, sharing: LimitSharing, jitter: float, now_ms: float
    ) -> None:
        if not self.limited:
            return
        self._refill(sharing, now_ms)
        self._tokens -= tokens
        self._clamp_tokens(sharing)
        self._jitter = jitter

    def _jitter_max(self, sharing: LimitSharing) -> float:
        """The most tokens beyond one that are waited for.

        Gateways that hear nothing of each other's sends spread them over the whole
        time to their next one.
        """
        if not sharing.connected:
            return 1.0
        return min(1.0, JITTER_MAX_S * self._rate_per_s(sharing))

    def _refill(self, sharing: LimitSharing, now_ms: float) -> None:
        elapsed_s = max(0.0, now_ms - self._refilled_ms) / SECOND_MS
        self._tokens += self._rate_per_s(sharing) * elapsed_s
        self._refilled_ms = now_ms
        self._clamp_tokens(sharing)

    def _clamp_tokens(self, sharing: LimitSharing) -> None:
        """Bound what is saved and what is owed."""
        rate_per_s = self._rate_per_s(sharing)
        most = 1.0 + self._jitter_max(sharing) + BURST_S * rate_per_s
        least = -DEBT_MAX_S * rate_per_s
        self._tokens = max(least, min(most, self._tokens))

    def _rate_per_s(self, sharing: LimitSharing) -> float:
        return max(self.per_s, RATE_MIN_PER_S) * sharing.share
