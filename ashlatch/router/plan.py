"""
ashlatch.router.plan
~~~~~~~~~~~~~~~~~~~~

Plans one attempt: chooses a version and an endpoint among those that the rules allow,
and gives the reason for which each of the others was excluded.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ashlatch.policy.detector import Detector
from ashlatch.policy.endpoint import ENDPOINT_POLICIES, Candidate, subset
from ashlatch.policy.fingerprint import Isolation, choose_isolated
from ashlatch.policy.load import EndpointLoad
from ashlatch.policy.permission import DenialReason
from ashlatch.policy.quality import QualityTracker
from ashlatch.policy.slot_deal import DealtShares
from ashlatch.policy.table import NamedEndpoint, RoutingTable
from ashlatch.policy.version import VERSION_POLICIES, Goal, Option
from ashlatch.resources import Route
from ashlatch.router.endpoints import EndpointStates
from ashlatch.router.event import Request
from ashlatch.router.planning_result import Exclusion, ExclusionReason, NoPlan, Plan
from ashlatch.router.rollouts import apply_rollouts, has_suspected_successor
from ashlatch.settings import PolicySettings

__all__ = ["Planner", "ReadyEndpoint"]

OTHER_HALL_LATENCY_MS = 2.0
EXPECTED_OUTPUT_TOKENS = 200
OUTPUT_MEAN_GAIN = 0.05

_EXCLUSION_OF_DENIAL = {
    DenialReason.BACKOFF: ExclusionReason.BACKOFF,
    DenialReason.LIMITED: ExclusionReason.LIMITED,
}


@dataclass(frozen=True)
class ReadyEndpoint:
    """An endpoint that may get requests now, with its load."""

    endpoint: NamedEndpoint
    load: EndpointLoad
    candidate: Candidate


@dataclass
class Planner:
    """Chooses versions and endpoints from the routing table and their current state.

    `unreadable_pools` are pools whose newest load report could not be read.
    `isolation_of` tells whether a request is kept apart from others, and how.
    """

    settings: PolicySettings
    vm: str
    hall: str
    generator: random.Random
    table: RoutingTable = RoutingTable()
    unreadable_pools: set[str] = field(default_factory=set)
    quality: QualityTracker = field(default_factory=QualityTracker)
    detectors: dict[str, Detector] = field(default_factory=dict)
    output_tokens: dict[str, float] = field(default_factory=dict)
    isolation_of: Callable[[Request], Isolation | None] = lambda request: None

    def __post_init__(self) -> None:
        self.endpoints = EndpointStates(self.settings, self.generator)
        self.shares = DealtShares()
        self._subsets: dict[str, tuple[NamedEndpoint, ...]] = {}
        self.endpoint_policy = ENDPOINT_POLICIES.get(self.settings.endpoint)()
        self.version_policy = VERSION_POLICIES.get(self.settings.version)()

    def apply(self, table: RoutingTable) -> None:
        """Applies a newer table and removes the state of endpoints that it lacks."""
        self.table = table
        current = {e.name for pool in table.endpoints.values() for e in pool}
        self.endpoints.retain(current)
        self.endpoints.listed_leaving = table.leaving
        self.endpoints.brittle.pools = {
            endpoint.name: pool
            for pool, endpoints in table.endpoints.items()
            for endpoint in endpoints
        }
        self._subsets = {
            pool: self._choose_subset(endpoints)
            for pool, endpoints in table.endpoints.items()
        }

    def pool_subset(self, pool: str) -> tuple[NamedEndpoint, ...]:
        """Returns the subset of a pool's endpoints that this router uses."""
        return self._subsets.get(pool, ())

    def place_share(self, endpoint: str) -> int:
        """Returns this router's share of the slots of a brittle endpoint."""
        return self.shares.share(endpoint, self.endpoints.load(endpoint).slots)

    def has_place(self, endpoint: str, now_ms: float) -> bool:
        """Checks whether an endpoint isn't brittle or has a place for a request."""
        brittle = self.endpoints.brittle
        if not brittle.is_brittle(endpoint):
            return True
        if brittle.wait_ms(endpoint, now_ms) > 0.0:
            return False
        in_flight = self.endpoints.load(endpoint).in_flight
        return in_flight < self.place_share(endpoint)

    def _choose_subset(
        self, endpoints: tuple[NamedEndpoint, ...]
    ) -> tuple[NamedEndpoint, ...]:
        names = tuple(endpoint.name for endpoint in endpoints)
        chosen = set(subset(names, self.vm, self.settings.subset_size))
        return tuple(e for e in endpoints if e.name in chosen)

    def detector(self, version: str) -> Detector:
        """Returns the detector that tests whether a version has turned bad."""
        found = self.detectors.get(version)
        if found is None:
            spec = self.table.versions.get(version)
            prior = spec.quality_prior if spec else 0.5
            found = self.detectors[version] = Detector(prior)
        return found

    def price(self, version: str) -> int:
        """Returns the output price of a version; 0 if the version is unknown."""
        spec = self.table.versions.get(version)
        return spec.output_price_microusd_per_ktoken if spec else 0

    def is_suspended(self, version: str) -> bool:
        """Checks whether the detector of a version has found it bad."""
        found = self.detectors.get(version)
        return found is not None and found.bad

    def is_suspected(self, version: str) -> bool:
        """Checks whether a version is suspected and should be observed more closely."""
        found = self.detectors.get(version)
        return found is not None and found.suspected

    # Chats.

    def plan_chat(
        self, request: Request, now_ms: float, tried: frozenset[str], version: str = ""
    ) -> Plan | NoPlan:
        """Chooses a version and an endpoint for a chat.

        With `version`, chooses only the endpoint.
        """
        excluded: list[Exclusion] = []
        ready = self._ready_endpoints(now_ms, tried, excluded)
        if version:
            pinned = self._plan_version(request, version, now_ms, ready)
            all_excluded = (*excluded, *pinned.excluded)
            if isinstance(pinned, Plan):
                return replace(pinned, reason="kept_version", excluded=all_excluded)
            if not ready:
                retry_ms = self._retry_time_ms(excluded, now_ms)
                return replace(pinned, excluded=all_excluded, retry_ms=retry_ms)
            return replace(pinned, excluded=all_excluded)
        route = self.table.routes.get(request.target)
        if route is None:
            return NoPlan(False, False, 0.0, (), route_missing=True)
        plans = self._plan_versions(request, now_ms, ready, excluded)
        if not plans:
            return self._no_plan(request, excluded, now_ms)
        native = self.table.cascades[route.cascade].rungs
        options = tuple(
            self._option(request, route, plan)
            for name, plan in plans.items()
            if name in native
        )
        if not options:
            options = tuple(self._option(request, route, p) for p in plans.values())
        goal = Goal(
            route.quality_target,
            self.quality.shortfall(request.target, route.quality_target),
        )
        choice = self.version_policy.choose(options, goal, self.generator)
        chosen = apply_rollouts(self.table, request, choice.version, frozenset(plans))
        others = tuple(o for o in options if o.version != chosen)
        if others and has_suspected_successor(self.table, chosen, excluded):
            # All traffic has moved away from this version and its successor is
            # excluded only for now, so another rung is chosen.
            choice = self.version_policy.choose(others, goal, self.generator)
            chosen = choice.version
        plan = plans[chosen]
        reason = choice.reason if chosen == choice.version else "rollout"
        return Plan(chosen, plan.endpoint, plan.expected_ms, reason, tuple(excluded))

    def plan_escalation(
        self, request: Request, version: str, now_ms: float
    ) -> Plan | None:
        """Plans the cheapest rung above a version that can still answer in time."""
        rungs = self.table.rungs(request.target)
        if version not in rungs:
            return None
        ready = self._ready_endpoints(now_ms, frozenset(), [])
        for rung in rungs[rungs.index(version) + 1 :]:
            found = self._plan_version(request, rung, now_ms, ready)
            if isinstance(found, Plan) and not self.is_suspended(rung):
                return replace(found, reason="escalated")
        return None

    def acceptable_versions(self, request: Request) -> tuple[str, ...]:
        """Returns all versions of the route that the organisation may use."""
        return tuple(
            version
            for version in self.table.rungs(request.target)
            if self.table.usable(request.organisation, version)
        )

    def record_output(self, version: str, tokens: int) -> None:
        """Updates the mean answer length of a version."""
        mean = self.output_tokens.get(version, float(tokens))
        self.output_tokens[version] = mean + OUTPUT_MEAN_GAIN * (tokens - mean)

    def _plan_versions(
        self,
        request: Request,
        now_ms: float,
        ready: list[ReadyEndpoint],
        excluded: list[Exclusion],
    ) -> dict[str, Plan]:
        plans: dict[str, Plan] = {}
        preferred: dict[str, Plan] = {}
        for version in self.table.rungs(request.target):
            found = self._plan_version(request, version, now_ms, ready)
            if isinstance(found, NoPlan):
                excluded.extend(found.excluded)
                continue
            plans[version] = found
            reason = self._version_exclusion(version)
            if reason is None:
                preferred[version] = found
            else:
                excluded.append(Exclusion(version, reason))
        # An answer of a version that looks bad is better than none.
        return preferred or plans

    def _version_exclusion(self, version: str) -> ExclusionReason | None:
        """Returns the reason to exclude a version for its results, or None.

        A suspended version is always excluded. A suspected one is excluded at random,
        the more often the more it is suspected.
        """
        detector = self.detectors.get(version)
        if detector is None:
            return None
        if detector.bad:
            return ExclusionReason.SUSPENDED
        excluded_at_random = self.generator.random() < detector.diverted_ratio
        return ExclusionReason.SUSPECTED if excluded_at_random else None

    def _ready_endpoints(
        self, now_ms: float, tried: frozenset[str], excluded: list[Exclusion]
    ) -> list[ReadyEndpoint]:
        """Returns the endpoints of all model pools that may get requests now."""
        ready = []
        for pool, endpoints in self._subsets.items():
            if self.table.pools[pool].serves == "models":
                ready += self._ready_in_pool(pool, endpoints, now_ms, tried, excluded)
        return ready

    def _ready_in_pool(
        self,
        pool: str,
        endpoints: tuple[NamedEndpoint, ...],
        now_ms: float,
        tried: frozenset[str],
        excluded: list[Exclusion],
    ) -> list[ReadyEndpoint]:
        ready = []
        for endpoint in endpoints:
            reason = self._endpoint_exclusion(pool, endpoint, now_ms, tried)
            if reason is None:
                load = self.endpoints.load(endpoint.name)
                ready.append(
                    ReadyEndpoint(endpoint, load, self._candidate(endpoint, load))
                )
            else:
                excluded.append(Exclusion(endpoint.name, reason))
        unproven = [r for r in ready if self._may_shed(r.endpoint.name, now_ms)]
        if not unproven or len(unproven) == len(ready):
            return ready
        excluded += [
            Exclusion(r.endpoint.name, ExclusionReason.TRIAL) for r in unproven
        ]
        return [r for r in ready if r not in unproven]

    def _may_shed(self, endpoint: str, now_ms: float) -> bool:
        """Checks whether the probe request after a backoff is still unanswered."""
        backoff = self.endpoints.backoffs.get(endpoint)
        return backoff is not None and backoff.may_shed(now_ms)

    def _plan_version(
        self, request: Request, version: str, now_ms: float, ready: list[ReadyEndpoint]
    ) -> Plan | NoPlan:
        if not self.table.allows(request.organisation, version):
            return _no_plan_for(version, ExclusionReason.NOT_ALLOWED, allowed=False)
        if version in self.table.withdrawn:
            return _no_plan_for(version, ExclusionReason.WITHDRAWN, allowed=True)
        serving = [r for r in ready if r.load.serves(version, now_ms)]
        if not serving:
            # No load report has named these endpoints yet. One that lacks the version
            # rejects the request without running it.
            serving = [
                r
                for r in ready
                if r.load.report is None and r.load.may_serve(version, now_ms)
            ]
        if not serving:
            excluded = (Exclusion(version, ExclusionReason.NO_ENDPOINT),)
            return NoPlan(True, False, self.settings.breaker_open_ms, excluded)
        return self._choose_endpoint(request, version, serving, now_ms)

    def _choose_endpoint(
        self, request: Request, version: str, ready: list[ReadyEndpoint], now_ms: float
    ) -> Plan | NoPlan:
        candidates = tuple(r.candidate for r in ready)
        chosen = self._choose_candidate(request, candidates)
        if now_ms + chosen.expected_ms > request.deadline_ms:
            chosen = min(candidates, key=lambda c: c.expected_ms)
        if now_ms + chosen.expected_ms > request.deadline_ms:
            late_ms = now_ms + chosen.expected_ms - request.deadline_ms
            excluded = (Exclusion(version or request.target, ExclusionReason.TOO_LATE),)
            return NoPlan(True, True, late_ms, excluded)
        endpoint = next(r.endpoint for r in ready if r.candidate is chosen)
        reason = self.endpoint_policy.name
        return Plan(version, endpoint, chosen.expected_ms, reason, ())

    def _choose_candidate(
        self, request: Request, candidates: tuple[Candidate, ...]
    ) -> Candidate:
        isolation = self.isolation_of(request)
        if isolation is None:
            return self.endpoint_policy.choose(
                candidates, request.prefix, self.generator
            )
        names = tuple(c.endpoint for c in candidates)
        name = choose_isolated(names, isolation, self.generator)
        return next(c for c in candidates if c.endpoint == name)

    def _candidate(self, endpoint: NamedEndpoint, load: EndpointLoad) -> Candidate:
        network_ms = 0.0 if endpoint.spec.hall == self.hall else OTHER_HALL_LATENCY_MS
        requests = load.requests()
        if self.endpoints.brittle.is_brittle(endpoint.name):
            # Nobody else uses this router's share, whatever a late report says.
            share = self.place_share(endpoint.name)
            requests = load.in_flight * load.slots / max(1, share)
            wait_ms = 0.0
        else:
            wait_ms = load.wait_ms(requests)
        return Candidate(
            endpoint.name,
            requests,
            load.reported_requests(),
            load.slots,
            wait_ms + load.service_ms + network_ms,
        )

    def _endpoint_exclusion(
        self,
        pool: str,
        endpoint: NamedEndpoint,
        now_ms: float,
        tried: frozenset[str],
    ) -> ExclusionReason | None:
        name = endpoint.name
        load = self.endpoints.load(name)
        denial_reason = self.endpoints.permission(name, now_ms).denial_reason
        if denial_reason is DenialReason.LEAVING:
            return ExclusionReason.LEAVING
        if name in tried:
            return ExclusionReason.TRIED
        if pool not in self.unreadable_pools and load.report and load.stale(now_ms):
            return ExclusionReason.STALE_REPORT
        if not self.endpoints.breaker(name).allows(now_ms):
            return ExclusionReason.BREAKER_OPEN
        if denial_reason:
            return _EXCLUSION_OF_DENIAL[denial_reason]
        has_place = self.has_place(name, now_ms)
        return None if has_place else ExclusionReason.NO_PLACE

    def _option(self, request: Request, route: Route, plan: Plan) -> Option:
        spec = self.table.versions[plan.version]
        output = self.output_tokens.get(plan.version, EXPECTED_OUTPUT_TOKENS)
        cost_microusd = (
            request.input_tokens * spec.input_price_microusd_per_ktoken
            + output * spec.output_price_microusd_per_ktoken
        ) / 1000.0
        cost_usd_per_krequest = cost_microusd / 1000.0
        price = (
            route.cost_weight * cost_usd_per_krequest
            + route.latency_weight * plan.expected_ms / 1000.0
        )
        estimate = self.quality.estimate(
            request.target, plan.version, spec.quality_prior
        )
        return Option(plan.version, price, estimate.mean, estimate.deviation)

    def _no_plan(
        self, request: Request, excluded: list[Exclusion], now_ms: float
    ) -> NoPlan:
        allowed = bool(self.acceptable_versions(request))
        too_late = any(e.reason is ExclusionReason.TOO_LATE for e in excluded)
        retry_ms = self._retry_time_ms(excluded, now_ms)
        if too_late:
            waits_ms = [load.wait_ms() for load, _ in self._scaled_loads()]
            retry_ms = min(waits_ms, default=retry_ms)
        return NoPlan(allowed, too_late, max(retry_ms, 100.0), tuple(excluded))

    def _retry_time_ms(self, excluded: list[Exclusion], now_ms: float) -> float:
        """Returns when an endpoint may accept requests again.

        That is the shortest wait for a rate limit or a backoff, or else the time that a
        breaker stays open.
        """
        waits_ms = [
            self.endpoints.permission(e.name, now_ms).wait_ms
            for e in excluded
            if e.reason in (ExclusionReason.LIMITED, ExclusionReason.BACKOFF)
        ]
        return min(waits_ms, default=self.settings.breaker_open_ms)

    # Plain services.

    def plan_service(
        self, request: Request, now_ms: float, tried: frozenset[str]
    ) -> Plan | NoPlan:
        """Chooses an endpoint of a service's pool."""
        excluded: list[Exclusion] = []
        pool = request.target
        ready = self._ready_in_pool(
            pool, self.pool_subset(pool), now_ms, tried, excluded
        )
        if not ready:
            retry_ms = self._retry_time_ms(excluded, now_ms)
            return NoPlan(True, False, retry_ms, tuple(excluded))
        found = self._choose_endpoint(request, "", ready, now_ms)
        return replace(found, excluded=(*excluded, *found.excluded))

    # Capacity, for the limits.

    def slots(self) -> float:
        """Returns the slots of the reporting endpoints, scaled up from the subset."""
        return sum(load.slots * scale for load, scale in self._scaled_loads())

    def free_slots(self) -> float:
        """Returns how many of these slots are free."""
        return sum(
            max(0.0, load.slots - load.requests()) * scale
            for load, scale in self._scaled_loads()
        )

    def _scaled_loads(self) -> list[tuple[EndpointLoad, float]]:
        """Returns the loads with reports, each with a scale factor.

        The factor is the size of the pool divided by that of the local subset.
        """
        found = []
        for pool, endpoints in self._subsets.items():
            scale = len(self.table.endpoints[pool]) / len(endpoints)
            for endpoint in endpoints:
                load = self.endpoints.load(endpoint.name)
                if load.report is not None:
                    found.append((load, scale))
        return found


def _no_plan_for(version: str, reason: ExclusionReason, allowed: bool) -> NoPlan:
    return NoPlan(allowed, False, 0.0, (Exclusion(version, reason),))
