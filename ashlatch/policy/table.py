"""
ashlatch.policy.table
~~~~~~~~~~~~~~~~~~~~~

The configuration in the form that decisions use: one immutable table per revision,
built from the resources.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass, field
from typing import TypeVar

from ashlatch.errors import InvariantViolated
from ashlatch.resources import (
    Cascade,
    Endpoint,
    Evacuation,
    Organisation,
    Pool,
    Rollout,
    RolloutProgress,
    Route,
    Spec,
    Version,
    parse_cached,
)
from ashlatch.store.command import Resource
from ashlatch.store.configuration import ResourceId

__all__ = ["ActiveRollout", "NamedEndpoint", "RoutingTable", "TableBuilder"]

K = TypeVar("K", bound=Spec)


@dataclass(frozen=True)
class NamedEndpoint:
    """An endpoint with its name."""

    name: str
    spec: Endpoint


@dataclass(frozen=True)
class ActiveRollout:
    """A roll-out and its current share of traffic."""

    name: str
    from_version: str
    to_version: str
    share_percent: float


@dataclass(frozen=True)
class RoutingTable:
    """The whole configuration at one revision."""

    revision: int = 0
    organisations: dict[str, Organisation] = field(default_factory=dict)
    organisation_of_key: dict[str, str] = field(default_factory=dict)
    versions: dict[str, Version] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    endpoints: dict[str, tuple[NamedEndpoint, ...]] = field(default_factory=dict)
    cascades: dict[str, Cascade] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    rollouts: tuple[ActiveRollout, ...] = ()
    withdrawn: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()

    def allows(self, organisation: str, version: str) -> bool:
        """Checks whether the organisation may use the version (R1)."""
        spec = self.organisations.get(organisation)
        version_spec = self.versions.get(version)
        if spec is None or version_spec is None:
            return False
        return (
            version in spec.allowed_versions
            or version_spec.model in spec.allowed_models
        )

    def usable(self, organisation: str, version: str) -> bool:
        """Checks whether new requests of the organisation may use the version."""
        return version not in self.withdrawn and self.allows(organisation, version)

    def rungs(self, route: str) -> tuple[str, ...]:
        """Returns the versions of a route; a roll-out's new one follows its old one."""
        spec = self.routes.get(route)
        cascade = self.cascades.get(spec.cascade) if spec else None
        if cascade is None:
            return ()
        rungs = list(cascade.rungs)
        for rollout in self.rollouts:
            listed = rollout.from_version in rungs
            if listed and rollout.to_version not in rungs:
                position = rungs.index(rollout.from_version) + 1
                rungs.insert(position, rollout.to_version)
        return tuple(rungs)


class TableBuilder:
    """Holds the resources of the newest revision and builds tables from them."""

    def __init__(self) -> None:
        self._resources: dict[ResourceId, Resource] = {}
        self.revision = 0

    def update(
        self,
        revision: int,
        resources: tuple[Resource, ...],
        deleted: tuple[ResourceId, ...],
    ) -> RoutingTable:
        """Applies the changes up to a revision, which never decreases (R10)."""
        if revision < self.revision:
            raise InvariantViolated("R10", f"{revision} after {self.revision}")
        for key in deleted:
            self._resources.pop(key, None)
        for resource in resources:
            self._resources[ResourceId(resource.kind, resource.name)] = resource
        self.revision = revision
        return self._build()

    def _build(self) -> RoutingTable:
        organisations = self._all(Organisation)
        endpoints = self._endpoints()
        return RoutingTable(
            self.revision,
            organisations,
            {
                key: name
                for name, spec in organisations.items()
                for key in spec.key_sha256s
            },
            self._all(Version),
            self._all(Pool),
            endpoints,
            self._all(Cascade),
            self._all(Route),
            self._rollouts(),
            frozenset(k.name for k in self._resources if k.kind == "withdrawal"),
            self._leaving(endpoints),
        )

    def _leaving(
        self, endpoints: dict[str, tuple[NamedEndpoint, ...]]
    ) -> frozenset[str]:
        """Returns endpoints that are leaving or in an evacuated hall: no new work."""
        evacuated = frozenset(self._all(Evacuation))
        return frozenset(
            e.name
            for pool in endpoints.values()
            for e in pool
            if e.spec.leaving or e.spec.hall in evacuated
        )

    def _all(self, kind: type[K]) -> dict[str, K]:
        found: dict[str, K] = {}
        for key, resource in self._resources.items():
            if key.kind == kind.name:
                spec = parse_cached(kind.name, resource.spec)
                assert isinstance(spec, kind)
                found[key.name] = spec
        return found

    def _endpoints(self) -> dict[str, tuple[NamedEndpoint, ...]]:
        by_pool: dict[str, list[NamedEndpoint]] = {}
        for name, spec in sorted(self._all(Endpoint).items()):
            by_pool.setdefault(spec.pool, []).append(NamedEndpoint(name, spec))
        return {pool: tuple(found) for pool, found in by_pool.items()}

    def _rollouts(self) -> tuple[ActiveRollout, ...]:
        progress = self._all(RolloutProgress)
        active = []
        for name, spec in sorted(self._all(Rollout).items()):
            reached = progress.get(name, RolloutProgress())
            if reached.state != "rolled_back" and reached.share_percent > 0:
                active.append(
                    ActiveRollout(
                        name, spec.from_version, spec.to_version, reached.share_percent
                    )
                )
        return tuple(active)
