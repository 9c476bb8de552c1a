"""
ashlatch.fleet.exposure
~~~~~~~~~~~~~~~~~~~~~~~

Derives how much traffic a roll-out gives to an unproven version from what operators
allow a bad version to get: a share of all requests to its service between the start and
the end of the roll-out, and a number of requests more.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = [
    "FULL_SHIFT_START",
    "SETTLE_START",
    "SHIFT_START",
    "ExposurePlan",
    "plan_exposure",
]

# Fractions of a roll-out's time: from SETTLE_START on the roll-out waits for the
# results of the load test, from SHIFT_START on the new version gets more than the trial
# and the load test gave it, and from FULL_SHIFT_START on it gets everything.
SETTLE_START = 0.62
SHIFT_START = 0.66
FULL_SHIFT_START = 0.70
# The trial's share of sessions, as a fraction of the allowed share. The trial takes
# half of the time, so it uses a third of what is allowed.
TRIAL_SHARE_RATIO = 2 / 3
# A larger trial would move so many sessions that rolling it back is noticeable.
TRIAL_SHARE_MAX = 0.25
# The load test ends when the version has got this fraction of what is allowed by the
# end of the time; the rest is left for the stages after it.
TESTED_SHARE_RATIO = 5 / 6
TESTED_EXTRA_RATIO = 2 / 3
# The upper bound of the first step after the trial, where much is allowed.
SHIFT_SHARE_MAX = 0.4


@dataclass(frozen=True)
class ExposurePlan:
    """The exposure limits of a roll-out, as shares of the requests to its service.

    `trial_extra` requests are added to the trial's share because services with few
    requests need a larger share to be evaluated. The load test ends at `tested_share`
    plus `tested_extra` requests. `shift_share` is the share of the first step after it.
    A bad version may get `allowed_share` plus `allowed_extra` requests.
    """

    trial_share: float
    trial_extra: float
    tested_share: float
    tested_extra: float
    shift_share: float
    allowed_share: float
    allowed_extra: float

    def trial_share_of(self, requests: float) -> float:
        """Returns the trial's share for a number of requests in the whole time."""
        share = self.trial_share + self.trial_extra / requests
        return round(min(max(TRIAL_SHARE_MAX, self.trial_share), share), 4)


def plan_exposure(share: float, extra: float) -> ExposurePlan:
    """Returns the plan for an allowed share and a number of extra requests::

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
        share,
        extra,
    )
