"""
ashlatch.control.membership
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Keeps the `endpoint` resources in step with the platform's list of VMs. The
list lags: a VM that is gone from it is first marked as leaving, and its
endpoint is removed only later.

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

FORGET_AFTER_MS = 60_000.0


@dataclass(frozen=True)
class EndpointChanged(LogEvent):
    """An endpoint came, is leaving, or is forgotten."""

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
    pools = core.all(Pool)
    known = core.all(Endpoint)
    listed = set()
    for vm in event.vms:
        if vm.pool not in pools:
            continue
        listed.add(vm.vm)
        core.missing_since_ms.pop(vm.vm, None)
        spec = Endpoint(
            pool=vm.pool, url=vm.url, vm=vm.vm, hall=vm.hall, leaving=vm.leaving
        )
        if known.get(vm.vm) != spec:
            _log(core, vm.vm, spec, "leaving" if spec.leaving else "live")
            core.put(vm.vm, spec)
    for name, spec in known.items():
        if name not in listed:
            _missing(core, name, spec)


def _missing(core: ControlCore, name: str, spec: Endpoint) -> None:
    since_ms = core.missing_since_ms.setdefault(name, core.now_ms)
    if not spec.leaving:
        _log(core, name, spec, "missing")
        core.put(name, spec.model_copy(update={"leaving": True}))
    elif core.now_ms - since_ms > FORGET_AFTER_MS:
        _log(core, name, spec, "forgotten")
        core.remove(Endpoint, name)


def _log(core: ControlCore, name: str, spec: Endpoint, state: str) -> None:
    core.log(EndpointChanged(name, spec.pool, spec.hall, state, core.epoch))
