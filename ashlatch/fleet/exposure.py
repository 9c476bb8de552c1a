"""
ashlatch.fleet.exposure
~~~~~~~~~~~~~~~~~~~~~~~

How much a roll-out gives to a version that has not proved itself, derived from what
operators allow a bad one to get: a share of all requests to its service between the
order and the end of its time, and some requests more.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = [
    "SETTLE_START",
    "SHIFT_START",
    "FULL_SHIFT_START",
    "ExposurePlan",
    "plan_exposure",
]

# The parts of a roll-out's time from which what the load test brought is waited for,
# and from which the new version gets more than the trial and that test gave it, then
# everything.
SETTLE_START = 0.62
SHIFT_START = 0.66
FULL_SHIFT_START = 0.70
# The share of sessions in the trial, of the allowed one. The trial takes half of the
# time, so it gives a third of what is allowed.
TRIAL_SHARE_RATIO = 2 / 3
# A larger trial would move so many sessions that taking it back shows.
TRIAL_SHARE_MAX = 0.25
# The load test ends when the version would have got this part of what is allowed by
# the end of the time; the rest is for what follows it.
TESTED_SHARE_RATIO = 5 / 6
TESTED_EXTRA_RATIO = 2 / 3
# The first step beyond the trial, where much is allowed.
SHIFT_SHARE_MAX = 0.4


@dataclass(frozen=True)
class ExposurePlan:
    """What a roll-out may give, as shares of the requests to its service.

    `trial_extra` requests come on top of the trial's share: services with few requests
    need a larger one to be judged by. The load test ends at `tested_share` and
    `tested_extra` more. `shift_share` is that of the first step after it.
    """

    trial_share: float
    trial_extra: float
    tested_share: float
    tested_extra: float
    shift_share: float

    def trial_share_of(self, requests: float) -> float:
        """The trial's share, with so many requests in the whole time."""
        share = self.trial_share + self.trial_extra / requests
        return round(min(max(TRIAL_SHARE_MAX, self.trial_share), share), 4)


def plan_exposure(share: float, extra: float) -> ExposurePlan:
    """The plan for an allowed share, and some requests more::

    plan_exposure(0.15, 30.0).trial_share  # 0.1
    """
    trial_share = round(share * TRIAL_SHARE_RATIO, 4)
    left_share = share * (1.0 - TESTED_SHARE_RATIO) - trial_share * (
        SHIFT_START - SETTLE_START
    )
    shift_share = left_share / (FULL_SHIFT_START - SHIFT_START)
    return ExposurePlan(
        trial_share,
        extra,
        share * TESTED_SHARE_RATIO,
        extra * TESTED_EXTRA_RATIO,
        min(SHIFT_SHARE_MAX, shift_share),
    )
