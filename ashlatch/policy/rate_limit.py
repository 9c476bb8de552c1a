"""
ashlatch.policy.rate_limit
~~~~~~~~~~~~~~~~~~~~~~~~~~

Limits the requests of a gateway to an endpoint that has set a rate limit: a number of
requests a second that it accepts from all gateways together.

Each gateway keeps a token bucket for the endpoint and takes tokens from it for each
send, its own and those that other gateways broadcast. A fixed share of the limit for
each gateway would keep the bound without any messages, but leave most of it unused: one
of 195 gateways could send one request in minutes, and callers use any of them.

An overloaded endpoint with a limit has few requests, so all gateways find it the best
choice at the moment at which the next token is available.
"""

from dataclasses import dataclass

__all__ = ["NO_LIMIT", "LimitSharing", "RateLimit"]

# The rate of an endpoint without a limit.
NO_LIMIT = float("inf")
SECOND_MS = 1000.0
# The least rate at which requests are sent, even to an endpoint with a lower limit:
# only an answer can report a higher limit.
RATE_MIN_PER_S = 0.25
# Unused tokens are kept up to what the endpoint accepts in this time: a pause of
# callers must not lead to a burst.
BURST_S = 0.25
# Gateways that send at the same moment overdraw the limit, and pause for it afterwards,
# but no longer than this. Without the bound a gateway that missed a few broadcasts
# would be the only sender for good, and an endpoint with a low limit would get no
# requests for as many seconds.
DEBT_MAX_S = 1.5
# Gateways wait for a token and for a random part of this time, or of the time to
# another token if that is shorter, so that they do not all send at the moment at which
# it is available: a message between them takes milliseconds.
JITTER_MAX_S = 1.0
# A known limit is broadcast again after this time, for gateways that have started
# since, or when it has changed by this ratio.
REBROADCAST_MS = 1000.0
CHANGE_MIN = 0.05


@dataclass(frozen=True)
class LimitSharing:
    """The gateways that share a limit; `connected` if they receive each other's sends.

    A gateway that receives none uses only its fixed share of the limit.
    """

    gateways: int = 1
    connected: bool = True

    @property
    def share(self) -> float:
        """The part of the limit that this gateway may use."""
        return 1.0 if self.connected else 1.0 / self.gateways

    @property
    def send_cost(self) -> float:
        """The tokens that a local send costs.

        It is more than one, so that a gateway that has sent lets the others go first:
        otherwise one that has missed a few broadcasts would send first each time.
        """
        return 2.0 - 1.0 / self.gateways if self.connected else 1.0


@dataclass
class RateLimit:
    """The rate limit of one endpoint and its token bucket at one gateway.

    `received_ms` is when the endpoint was last known to set it, `broadcast_ms` when
    gateways last broadcast it. `jitter` is a new random number below 1 in each call::

        limit, sharing = RateLimit(), LimitSharing()
        limit.wait_ms(sharing, now_ms=0.0)  # 0.0
        limit.set_rate(2.0, sharing, jitter=0.0, now_ms=0.0)
        limit.wait_ms(sharing, now_ms=0.0)  # 500.0
        limit.record_sent(sharing, jitter=0.0, now_ms=500.0)
        limit.wait_ms(sharing, now_ms=500.0)  # 500.0
    """

    per_s: float = NO_LIMIT
    received_ms: float = float("-inf")
    broadcast_ms: float = float("-inf")
    _tokens: float = 0.0
    _refilled_ms: float = 0.0
    _jitter: float = 0.0

    @property
    def limited(self) -> bool:
        """Returns whether the endpoint has a known limit."""
        return self.per_s != NO_LIMIT

    def is_new(self, per_s: float, now_ms: float) -> bool:
        """Checks whether a limit from the endpoint should be broadcast."""
        if not self.limited or now_ms - self.broadcast_ms >= REBROADCAST_MS:
            return True
        return abs(per_s - self.per_s) > CHANGE_MIN * self.per_s

    def set_rate(
        self, per_s: float, sharing: LimitSharing, jitter: float, now_ms: float
    ) -> None:
        """Applies the endpoint's limit, which may have changed."""
        self.received_ms = now_ms
        if self.limited:
            self._refill(sharing, now_ms)
        else:
            # It has just got too many requests, as gateways did not know the limit.
            self._tokens = 0.0
            self._refilled_ms = now_ms
        changed = per_s != self.per_s
        self.per_s = per_s
        if changed:
            # Tokens or debt from another rate may last far longer at this one.
            self._clamp_tokens(sharing)
            self._jitter = jitter

    def clear(self) -> None:
        """Removes the limit."""
        self.per_s = NO_LIMIT

    def accepts(self, per_s: float, sent_ms: float) -> bool:
        """Checks whether to apply the limit in the answer to a request.

        Answers are delayed, some of them in a gateway that is paused. A lower limit
        always applies. A higher one, or none, applies only if the request was sent
        after the present limit was received: the answer may be older than that.
        """
        return per_s <= self.per_s or self.received_ms < sent_ms

    def wait_ms(self, sharing: LimitSharing, now_ms: float) -> float:
        """Returns the time until a request may be sent; 0 if it may be sent now."""
        if not self.limited:
            return 0.0
        self._refill(sharing, now_ms)
        # Scaled by the present bound: jitter for a disconnected gateway may be more
        # than the bucket of connected ones ever holds.
        needed = 1.0 + self._jitter * self._jitter_max(sharing)
        missing = max(0.0, needed - self._tokens)
        return missing / self._rate_per_s(sharing) * SECOND_MS

    def record_sent(self, sharing: LimitSharing, jitter: float, now_ms: float) -> None:
        """Records a request that this gateway sends."""
        self._spend(sharing.send_cost, sharing, jitter, now_ms)

    def record_peer_sent(
        self, sharing: LimitSharing, jitter: float, now_ms: float
    ) -> None:
        """Records a request that another gateway sends."""
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
        """Returns the upper bound of the jitter, in tokens.

        Gateways that do not receive each other's sends spread them over the whole time
        to the next token.
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
        """Bounds the saved tokens and the debt."""
        rate_per_s = self._rate_per_s(sharing)
        most = 1.0 + self._jitter_max(sharing) + BURST_S * rate_per_s
        least = -DEBT_MAX_S * rate_per_s
        self._tokens = max(least, min(most, self._tokens))

    def _rate_per_s(self, sharing: LimitSharing) -> float:
        return max(self.per_s, RATE_MIN_PER_S) * sharing.share
