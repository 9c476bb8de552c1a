"""
ashlatch.router.limits
~~~~~~~~~~~~~~~~~~~~~~

The handler of what an endpoint's answers say of the rate that it takes. The planner
keeps to it; this only learns.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.log import LogEvent
from ashlatch.policy.rate_limit import NO_LIMIT
from ashlatch.router.core import HANDLERS, RouterCore
from ashlatch.router.effect import WriteLog
from ashlatch.router.event import EndpointHeard

__all__ = ["EndpointLimited"]


@dataclass(frozen=True)
class EndpointLimited(LogEvent):
    """An endpoint has named another rate limit, or none any more (infinite)."""

    event: ClassVar[str] = "endpoint_limited"
    vm: str
    endpoint: str
    limit_per_s: float
    before_per_s: float


@HANDLERS.on(EndpointHeard)
def _endpoint_heard(core: RouterCore, event: EndpointHeard) -> None:
    limit = core.planner.limit(event.endpoint)
    before_per_s = limit.per_s
    if not limit.accepts(event.limit_per_s, event.sent_ms):
        return
    if event.limit_per_s != NO_LIMIT:
        drawn = core.random.random()
        limit.named(event.limit_per_s, core.planner.sharers, drawn, core.now_ms)
    elif event.run:
        limit.ended()
    if limit.per_s != before_per_s:
        changed = EndpointLimited(
            core.config.vm, event.endpoint, limit.per_s, before_per_s
        )
        core.effects.append(WriteLog(changed))
