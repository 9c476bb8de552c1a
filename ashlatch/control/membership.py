"""
ashlatch.control.membership
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Reconciles the `endpoint` resources with the platform's list of VMs. The list lags: a
VM that is missing from it is first marked as leaving, and its endpoint is removed only
after `REMOVE_AFTER_MS`.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from typing import ClassVar

from ashlatch.control.core import HANDLERS, ControlCore
from ashlatch.control.event import VmsListed
from ashlatch.log import LogEvent
from ashlatch.resources import Endpoint, Pool

__all__ = ["EndpointChanged"]

REMOVE_AFTER_MS = 60_000.0


@dataclass(frozen=True)
class EndpointChanged(LogEvent):
    """An endpoint was added or changed, is leaving or missing, or was removed."""

    event: ClassVar[str] = "endpoint_changed"
    endpoint: str
    pool: str
    hall: str
    state: str
    epoch: int


@HANDLERS.on(VmsListed)
def _vms_listed(core: ControlCore, event: VmsListed) -> None:
    if not core.ready():
        return
    pools = core.specs(Pool)
    endpoints = core.specs(Endpoint)
    listed = set()
    for vm in event.vms:
        if vm.pool not in pools:
            continue
        listed.add(vm.vm)
        core.missing_since_ms.pop(vm.vm, None)
        spec = Endpoint(
            pool=vm.pool, url=vm.url, vm=vm.vm, hall=vm.hall, leaving=vm.leaving
        )
        if endpoints.get(vm.vm) != spec:
            _log_change(core, vm.vm, spec, "leaving" if spec.leaving else "live")
            core.put_resource(vm.vm, spec)
    for name, spec in endpoints.items():
        if name not in listed:
            _handle_missing(core, name, spec)


def _handle_missing(core: ControlCore, name: str, spec: Endpoint) -> None:
    since_ms = core.missing_since_ms.setdefault(name, core.now_ms)
    if not spec.leaving:
        _log_change(core, name, spec, "missing")
        core.put_resource(name, spec.model_copy(update={"leaving": True}))
    elif core.now_ms - since_ms > REMOVE_AFTER_MS:
        _log_change(core, name, spec, "forgotten")
        core.remove_resource(Endpoint, name)


def _log_change(core: ControlCore, name: str, spec: Endpoint, state: str) -> None:
    core.write_log(EndpointChanged(name, spec.pool, spec.hall, state, core.epoch))
