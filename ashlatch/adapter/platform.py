"""
ashlatch.adapter.platform
~~~~~~~~~~~~~~~~~~~~~~~~~

Reads the platform's list of VMs, which lags, and the load reports of pools, which lag
too and contain their age.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

from pydantic import BaseModel, ValidationError

from ashlatch.errors import AshlatchError, TransportError
from ashlatch.http.client import Call, fetch
from ashlatch.policy.load import LoadReport

__all__ = ["ListedVm", "PlatformUnreadable", "PoolReport", "read_pool", "read_vms"]


@dataclass
class PlatformUnreadable(AshlatchError):
    """The platform did not answer, or not in the agreed format."""

    url: str
    reason: str


class ListedVm(BaseModel):
    """One VM that serves a pool."""

    vm: str
    pool: str
    hall: str
    url: str
    leaving: bool = False


class _VmList(BaseModel):
    vms: tuple[ListedVm, ...]


class _EndpointReport(BaseModel):
    vm: str
    age_ms: float
    running: int
    queued: int
    slots: int
    versions: tuple[str, ...] = ()
    leaving: bool = False


class _PoolReport(BaseModel):
    endpoints: tuple[_EndpointReport, ...]


@dataclass(frozen=True)
class PoolReport:
    """The loads of a pool's endpoints, and the endpoints that are leaving."""

    reports: tuple[LoadReport, ...]
    leaving: frozenset[str]


def read_vms(platform_url: str, timeout_ms: float) -> tuple[ListedVm, ...]:
    """Returns the platform's list of VMs."""
    url = f"{platform_url}/v1/vms"
    try:
        return _VmList.model_validate_json(_get(url, timeout_ms)).vms
    except ValidationError as error:
        raise PlatformUnreadable(url, str(error)) from error


def read_pool(
    report_url: str, now_ms: float, timeout_ms: float, vms: tuple[str, ...] = ()
) -> PoolReport:
    """Returns a pool's report; `now_ms` is the router's clock at the request.

    With `vms`, the pool is asked to report on these only.
    """
    url = f"{report_url}?vms={','.join(vms)}" if vms else report_url
    try:
        read = _PoolReport.model_validate_json(_get(url, timeout_ms))
    except ValidationError as error:
        raise PlatformUnreadable(report_url, str(error)) from error
    reports = tuple(
        LoadReport(
            e.vm,
            now_ms - e.age_ms,
            e.running,
            e.queued,
            e.slots,
            frozenset(e.versions),
        )
        for e in read.endpoints
    )
    leaving = frozenset(e.vm for e in read.endpoints if e.leaving)
    return PoolReport(reports, leaving)


def _get(url: str, timeout_ms: float) -> bytes:
    try:
        reply = fetch(Call(url, timeout_ms=timeout_ms))
    except TransportError as error:
        raise PlatformUnreadable(url, error.reason) from error
    if reply.status != 200:
        raise PlatformUnreadable(url, f"status {reply.status}")
    return reply.body
