"""
ashlatch.gateway.knowledge
~~~~~~~~~~~~~~~~~~~~~~~~~~

What one gateway knows and has counted; shared by all its requests.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ashlatch.gateway.latency_model import LatencyModel
from ashlatch.gateway.prefix_cache import PrefixCaches
from ashlatch.gateway.updates import PeerUpdate

from ashlatch.catalog import GatewayVm, Service
from ashlatch.gateway.budget import BudgetTerms, RepeatBudget
from ashlatch.gateway.cold import ColdSendLimiter
from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.gateway.pool import ConnectionPool
from ashlatch.gateway.routing import RouteTable
from ashlatch.gateway.tally import Tallies
from ashlatch.gateway.traffic import TrafficCounter
from ashlatch.gateway.versions import VersionChooser
from ashlatch.metrics import Metrics
from ashlatch.policy.endpoint import EndpointPolicy
from ashlatch.policy.quarantine import Quarantine

__all__ = [
    "GatewayContext",
]


def _discard_update(news: PeerUpdate) -> None:
    """A gateway that has no way to the others yet."""


def _skip_core_report() -> None:
    """A gateway that has no way to the core yet."""


@dataclass
class GatewayContext:
    """`regions` are those of the halls. `table` is unset until the first configuration
    has come.

    `gateways` are those that the fleet has heard of lately; they share the
    budgets and the connections that endpoints accept. `tell` tells them
    something at once, which may be lost. `probes` ask whether an endpoint has ended,
    by its id. `crashes_found` has the core told of what
    `quarantine` has learnt here. `cold` says which endpoints that have just started may
    be sent to from here. `core_in_touch` and `peers_in_touch` are whether the core and
    the other gateways can be heard, as far as is known. `returns_ms` is when the next
    caller may come back who finds no endpoint of a service with room in its rate limit.
    """

    hall: str
    vm: str
    versions: VersionChooser
    policy: EndpointPolicy
    budget_terms: BudgetTerms
    regions: dict[str, str] = field(default_factory=dict)
    table: RouteTable | None = None
    directory: Directory = field(default_factory=Directory)
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    latency_model: LatencyModel = field(default_factory=LatencyModel)
    prefix_caches: PrefixCaches = field(default_factory=PrefixCaches)
    tallies: Tallies = field(default_factory=Tallies)
    metrics: Metrics = field(default_factory=Metrics)
    budgets: dict[str, RepeatBudget] = field(default_factory=dict)
    generator: random.Random = field(default_factory=random.Random)
    gateways: tuple[GatewayVm, ...] = ()
    quarantine: Quarantine = field(default_factory=Quarantine)
    probes: dict[str, asyncio.Task[bool]] = field(default_factory=dict)
    broadcast: Callable[[PeerUpdate], None] = _discard_update
    report_crashes: Callable[[], None] = _skip_core_report
    cold_gate: ColdSendLimiter = field(default_factory=ColdSendLimiter)
    core_reachable: bool = True
    peers_reachable: bool = True
    next_retry_ms: dict[str, float] = field(default_factory=dict)
    traffic: TrafficCounter = field(init=False)

    def __post_init__(self) -> None:
        self.traffic = TrafficCounter(self.hall, self.metrics)
        self.directory.on_restart = self.forget_instance

    def forget_instance(self, instance: str) -> None:
        """An endpoint's process has ended: nothing of it is left at its address."""
        self.prefix_caches.forget(instance)
        self.pool.drop(instance)

    def budget(self, service: str) -> RepeatBudget:
        """The budget of repeated sends of a service."""
        found = self.budgets.get(service)
        if found is None:
            found = self.budgets[service] = RepeatBudget(self.budget_terms)
        return found

    def connections_max(self, service: Service) -> int:
        """This gateway's part of the connections that an endpoint accepts from all."""
        return max(1, service.connections_max // max(1, len(self.gateways)))

    def cold_ms(self, state: EndpointState) -> float:
        """How long an endpoint is cold after its start."""
        services = self.table.services if self.table else {}
        service = services.get(state.endpoint.service)
        return service.cold_ms if service is not None else 0.0

    def prefix_cache_tokens(self, instance: str) -> int:
        """What an engine's memory holds; 0 for what is no engine, or unknown."""
        state = self.directory.state(instance)
        if state is None or self.table is None:
            return 0
        service = self.table.services.get(state.endpoint.service)
        engine = service.engine if service is not None else None
        return engine.memory_tokens if engine is not None else 0
