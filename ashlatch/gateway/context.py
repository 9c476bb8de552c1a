"""
ashlatch.gateway.context
~~~~~~~~~~~~~~~~~~~~~~~~

The state and counters of one gateway, shared by all its requests.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from ashlatch.catalog import GatewayVm, Service
from ashlatch.gateway.answer_memory import AnswerMemory
from ashlatch.gateway.budget import BudgetTerms, RepeatBudget
from ashlatch.gateway.cold import ColdSendLimiter
from ashlatch.gateway.directory import Directory, EndpointState
from ashlatch.gateway.latency_model import LatencyModel
from ashlatch.gateway.links import EndpointLinks
from ashlatch.gateway.overload import OverloadControl
from ashlatch.gateway.pace import PaceMeter
from ashlatch.gateway.places import Places
from ashlatch.gateway.pool import ConnectionPool
from ashlatch.gateway.prefix_cache import PrefixCaches
from ashlatch.gateway.routing import RouteTable
from ashlatch.gateway.runs import RunLog
from ashlatch.gateway.shares import OrganisationShares
from ashlatch.gateway.speed import DurationReports
from ashlatch.gateway.tally import Tallies
from ashlatch.gateway.traffic import TrafficCounter
from ashlatch.gateway.updates import PeerUpdate
from ashlatch.gateway.versions import VersionChooser
from ashlatch.metrics import Metrics
from ashlatch.policy.endpoint import EndpointPolicy
from ashlatch.policy.quarantine import Quarantine
from ashlatch.policy.relay import RelayPeers

__all__ = ["GatewayContext"]


def _discard_update(update: PeerUpdate) -> None:
    """Drops an update while the gateway has no socket to its peers yet."""


def _skip_core_report() -> None:
    """Does nothing while the gateway has no connection to the core yet."""


@dataclass
class GatewayContext:
    """Holds the state of a gateway that its requests share.

    `regions` maps halls to their regions. `table` is None until the first
    configuration has arrived. `gateways` are the gateways that recently contacted the
    core; they share the budgets and the connections that endpoints accept.
    `broadcast` sends an update to the other gateways at once; it may be lost.

    `quarantined` are the fingerprints that were refused at the last review of the
    quarantine, `review_pending` is set while another one is due. `runs` are the
    requests of this gateway at the endpoints.

    `probes` holds, by endpoint id, the running checks whether an endpoint's process
    has ended. `report_crashes` triggers a report to the core of the crashes that
    `quarantine` recorded here. `cold_limiter` decides which endpoints that have just
    started may receive requests from this gateway. `core_reachable` and
    `peers_reachable` are set while messages from the core and from the other gateways
    arrive, as far as is known. `next_retry_ms` gives, by service, the retry time for
    the next caller that finds no endpoint with capacity in its rate limit. `shares`
    tells which organisations demand more than their share of scarce capacity,
    `overload` decides about requests while the engines have too little capacity.
    `places` leases slots of endpoints that must not be overbooked.
    `pace_meter` counts answers for the evaluation of new versions. `links` opens the
    connections to endpoints, `relay_peers` tells which gateways can
    serve requests for this one. `answer_memory` bounds the bytes of answers that are
    held until they are complete.
    """

    hall: str
    vm: str
    versions: VersionChooser
    endpoint_policy: EndpointPolicy
    budget_terms: BudgetTerms
    regions: dict[str, str] = field(default_factory=dict)
    table: RouteTable | None = None
    directory: Directory = field(default_factory=Directory)
    pool: ConnectionPool = field(default_factory=ConnectionPool)
    latency_model: LatencyModel = field(default_factory=LatencyModel)
    prefix_caches: PrefixCaches = field(default_factory=PrefixCaches)
    tallies: Tallies = field(default_factory=Tallies)
    duration_reports: DurationReports = field(default_factory=DurationReports)
    metrics: Metrics = field(default_factory=Metrics)
    budgets: dict[str, RepeatBudget] = field(default_factory=dict)
    generator: random.Random = field(default_factory=random.Random)
    gateways: tuple[GatewayVm, ...] = ()
    quarantine: Quarantine = field(
        default_factory=lambda: Quarantine(trial_delay_ms=0.0, announces_trials=True)
    )
    quarantined: frozenset[int] = frozenset()
    review_pending: bool = False
    runs: RunLog = field(default_factory=RunLog)
    probes: dict[str, asyncio.Task[bool]] = field(default_factory=dict)
    broadcast: Callable[[PeerUpdate], None] = _discard_update
    report_crashes: Callable[[], None] = _skip_core_report
    cold_limiter: ColdSendLimiter = field(default_factory=ColdSendLimiter)
    core_reachable: bool = True
    peers_reachable: bool = True
    next_retry_ms: dict[str, float] = field(default_factory=dict)
    relay_peers: RelayPeers = field(default_factory=RelayPeers)
    answer_memory: AnswerMemory = field(default_factory=AnswerMemory)
    links: EndpointLinks = field(init=False)
    pace_meter: PaceMeter = field(init=False)
    places: Places = field(init=False)
    traffic: TrafficCounter = field(init=False)
    overload: OverloadControl = field(init=False)
    shares: OrganisationShares = field(init=False)
    _background: set[asyncio.Task[object]] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.traffic = TrafficCounter(self.hall, self.metrics)
        self.links = EndpointLinks(self.directory, self.metrics, self.generator)
        self.links.health_target = self.health_target
        self.directory.on_restart = self.forget_instance
        self.pace_meter = PaceMeter(self.tallies, self.versions.rollouts)
        self.places = Places(
            self.directory,
            self.metrics,
            lambda: self.gateways,
            lambda update: self.broadcast(update),
        )
        self.overload = OverloadControl(
            self.directory,
            self.latency_model,
            self.generator,
            lambda: len(self.gateways),
        )
        self.shares = OrganisationShares(
            self.vm,
            lambda: len(self.gateways),
            lambda update: self.broadcast(update),
            self.is_scarce,
            self.overload.capacity_ms_per_s,
        )

    def has_admission_control(self, service_name: str, now_ms: float) -> bool:
        """Checks whether requests for a service may be deferred or refused."""
        service = self.table.services.get(service_name) if self.table else None
        return service is not None and self.overload.is_on(service, now_ms)

    def is_scarce(self, service_name: str, now_ms: float) -> bool:
        """Checks whether a service with admission control has too little capacity."""
        if not self.has_admission_control(service_name, now_ms):
            return False
        return self.overload.is_scarce(service_name, now_ms)

    def run_in_background(self, work: Coroutine[Any, Any, object]) -> None:
        """Runs a coroutine whose result nobody waits for."""
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def forget_instance(self, instance: str) -> None:
        """Drops cached prefixes and connections of an endpoint whose process ended."""
        self.prefix_caches.drop(instance)
        self.pool.drop(instance)

    def budget(self, service: str) -> RepeatBudget:
        """Returns the repeat budget of a service; creates it on first use."""
        found = self.budgets.get(service)
        if found is None:
            found = self.budgets[service] = RepeatBudget(self.budget_terms)
        return found

    def connections_max(self, service: Service) -> int:
        """Returns this gateway's share of the connections that an endpoint accepts."""
        return max(1, service.connections_max // max(1, len(self.gateways)))

    def cold_ms(self, state: EndpointState) -> float:
        """Returns for how long an endpoint counts as cold after its start."""
        services = self.table.services if self.table else {}
        service = services.get(state.endpoint.service)
        return service.cold_ms if service is not None else 0.0

    def health_target(self, state: EndpointState) -> str:
        """Returns where an endpoint can be asked for its health, empty if nowhere."""
        services = self.table.services if self.table else {}
        service = services.get(state.endpoint.service)
        return service.health_target if service is not None else ""

    def prefix_cache_tokens(self, instance: str) -> int:
        """Returns the prefix cache capacity of an engine, in tokens.

        0 if the endpoint is unknown or is not an engine.
        """
        state = self.directory.state(instance)
        if state is None or self.table is None:
            return 0
        service = self.table.services.get(state.endpoint.service)
        engine = service.engine if service is not None else None
        return engine.memory_tokens if engine is not None else 0
