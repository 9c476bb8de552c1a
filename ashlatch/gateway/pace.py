"""
ashlatch.gateway.pace
~~~~~~~~~~~~~~~~~~~~~

How long answers take to begin at present, by service and model: the time to
read a token, and what comes on top of what was foreseen. It tells which engine
answers first, and whether a larger model would still answer in time: asking it
when it would not makes this answer late and, by the load, others too.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass, field

__all__ = ["Pace"]

# Each answer moves the estimate of the wait by this part of the difference.
GAIN = 0.15
# Without answers the estimate of the wait halves in this time, so that what
# was slow is tried again.
HALF_LIFE_MS = 1500.0
# The time to read a token is taken from prompts of at least this many, and as
# a low quantile of what is seen: queues and other prompts only add to it.
RATE_TOKENS_MIN = 1500
RATE_GAIN_DOWN = 0.1
RATE_GAIN_UP = 0.05
# Until a model has answered: between the largest models of slow engines (0.08)
# and of fast ones (0.03).
TOKEN_MS_PRIOR = 0.05
# How fast the usual time to read a prompt follows what is sent.
READ_GAIN = 0.05


@dataclass
class _Estimate:
    """`token_ms` is for each token that is read, `wait_ms` what comes on top of
    that and of what was foreseen.
    """

    at_ms: float
    token_ms: float = TOKEN_MS_PRIOR
    rates: int = 0
    wait_ms: float = 0.0
    deviation_ms: float = 0.0
    answers: int = 0

    def take(
        self, tokens: int, first_ms: float, foreseen_ms: float, now_ms: float
    ) -> None:
        reading_ms = max(0.0, first_ms - foreseen_ms)
        if tokens >= RATE_TOKENS_MIN:
            difference = reading_ms / tokens - self.token_ms
            gain = RATE_GAIN_DOWN if difference < 0 else RATE_GAIN_UP
            self.rates += 1
            self.token_ms += max(gain, 1.0 / self.rates) * difference
        wait_ms = max(0.0, reading_ms - tokens * self.token_ms)
        gain = max(GAIN, 1.0 / (self.answers + 1))
        difference = wait_ms - self.wait_ms
        self.wait_ms += gain * difference
        self.deviation_ms += gain * (abs(difference) - self.deviation_ms)
        self.answers += 1
        self.at_ms = now_ms


@dataclass
class Pace:
    """Recent times to the first event, by what they are made of::

    pace = Pace()
    pace.began("chat", "small", tokens=4000, first_ms=90.0, now_ms=0.0)
    pace.expected_ms("chat", "small", tokens=8000, now_ms=100.0)
    """

    _estimates: dict[tuple[str, str], _Estimate] = field(default_factory=dict)
    _usual_read_ms: dict[str, float] = field(default_factory=dict)

    def began(
        self,
        service: str,
        model: str,
        tokens: int,
        first_ms: float,
        now_ms: float,
        foreseen_ms: float = 0.0,
    ) -> None:
        """An answer has begun `first_ms` after it was asked for.

        The engine had to read `tokens` of the prompt, after a wait that was
        foreseen.
        """
        estimate = self._estimates.setdefault((service, model), _Estimate(now_ms))
        estimate.take(tokens, first_ms, foreseen_ms, now_ms)

    def sent(self, service: str, read_ms: float) -> None:
        """A prompt was sent that takes about `read_ms` to read."""
        usual_ms = self._usual_read_ms.get(service, read_ms)
        usual_ms += READ_GAIN * (read_ms - usual_ms)
        self._usual_read_ms[service] = usual_ms

    def usual_read_ms(self, service: str) -> float:
        """The mean time to read a prompt of late."""
        return self._usual_read_ms.get(service, 0.0)

    def token_ms(self, service: str, model: str) -> float:
        """The time to read a token."""
        known = self._estimates.get((service, model))
        return known.token_ms if known is not None else TOKEN_MS_PRIOR

    def expected_ms(
        self, service: str, model: str, tokens: int, now_ms: float
    ) -> float:
        """A cautious guess of the time to the first event beyond what is
        foreseen; 0 when nothing has been seen.
        """
        known = self._estimates.get((service, model))
        if known is None:
            return 0.0
        idle_ms = max(0.0, now_ms - known.at_ms)
        fading = 0.5 ** (idle_ms / HALF_LIFE_MS)
        waiting_ms = (known.wait_ms + known.deviation_ms) * fading
        return tokens * known.token_ms + waiting_ms
