"""
ashlatch.router.notices
~~~~~~~~~~~~~~~~~~~~~~~

Records the notices in endpoints' replies: a rate limit, a backoff, that the endpoint
is brittle or that it is leaving. The planner respects them; this module only records
and logs.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.log import LogEvent
from ashlatch.policy.rate_limit import NO_LIMIT
from ashlatch.router.core import HANDLERS, RouterCore
from ashlatch.router.effect import WriteLog
from ashlatch.router.event import EndpointNoticeReceived

__all__ = [
    "EndpointBackoff",
    "EndpointBrittle",
    "EndpointLeavingAnnounced",
    "EndpointLimited",
]


@dataclass(frozen=True)
class EndpointLimited(LogEvent):
    """An endpoint has changed its rate limit; infinite means no limit."""

    event: ClassVar[str] = "endpoint_limited"
    vm: str
    endpoint: str
    limit_per_s: float
    before_per_s: float


@dataclass(frozen=True)
class EndpointBackoff(LogEvent):
    """An endpoint has requested a backoff from this router, or a longer one.

    `before_ms` is the time that was left of an earlier backoff.
    """

    event: ClassVar[str] = "endpoint_backoff"
    vm: str
    endpoint: str
    backoff_ms: int
    before_ms: int


@dataclass(frozen=True)
class EndpointLeavingAnnounced(LogEvent):
    """An endpoint announces that it is about to stop."""

    event: ClassVar[str] = "endpoint_leaves"
    vm: str
    endpoint: str


@dataclass(frozen=True)
class EndpointBrittle(LogEvent):
    """An endpoint has announced how many rejections a second it tolerates.

    -1 means that it no longer announces that. `share` is the number of its slots that
    this router uses.
    """

    event: ClassVar[str] = "endpoint_brittle"
    vm: str
    endpoint: str
    rejections_per_s: int
    share: int


@HANDLERS.on(EndpointNoticeReceived)
def _endpoint_notice_received(core: RouterCore, event: EndpointNoticeReceived) -> None:
    _apply_backoff(core, event)
    if event.leaving and not core.endpoints.is_leaving(event.endpoint):
        core.endpoints.leaving.add(event.endpoint)
        leaves = EndpointLeavingAnnounced(core.config.vm, event.endpoint)
        core.effects.append(WriteLog(leaves))
    if event.limit_per_s is not None:
        _apply_limit(core, event, event.limit_per_s)
    _apply_brittleness(core, event)


def _apply_brittleness(core: RouterCore, event: EndpointNoticeReceived) -> None:
    if event.rejections_max is None and not event.was_run:
        # The error may come from something before the endpoint.
        return
    if core.endpoints.brittle.record_announced(event.endpoint, event.rejections_max):
        share = core.planner.place_share(event.endpoint)
        most = -1 if event.rejections_max is None else event.rejections_max
        brittle = EndpointBrittle(core.config.vm, event.endpoint, most, share)
        core.effects.append(WriteLog(brittle))


def _apply_backoff(core: RouterCore, event: EndpointNoticeReceived) -> None:
    if not event.backoff_ms:
        core.endpoints.record_served(event.endpoint, event.sent_ms)
        return
    backoff = core.endpoints.backoff(event.endpoint)
    before_ms = backoff.wait_ms(core.now_ms)
    if backoff.record_request(event.backoff_ms, core.now_ms):
        requested = EndpointBackoff(
            core.config.vm, event.endpoint, int(event.backoff_ms), int(before_ms)
        )
        core.effects.append(WriteLog(requested))


def _apply_limit(core: RouterCore, event: EndpointNoticeReceived, per_s: float) -> None:
    limit = core.endpoints.limit(event.endpoint)
    before_per_s = limit.per_s
    if not limit.accepts(per_s, event.sent_ms):
        return
    if per_s != NO_LIMIT:
        random_value = core.generator.random()
        limit.set_rate(per_s, core.endpoints.limit_sharing, random_value, core.now_ms)
    elif event.was_run:
        limit.clear()
    if limit.per_s != before_per_s:
        changed = EndpointLimited(
            core.config.vm, event.endpoint, limit.per_s, before_per_s
        )
        core.effects.append(WriteLog(changed))
