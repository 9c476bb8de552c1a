"""
ashlatch.catalog
~~~~~~~~~~~~~~~~

What a gateway serves: routes, services, organisations and limits of one
version of the configuration, and the endpoints that exist at present. These
types are shared by the gateway, which routes by them, and the fleet, which
keeps and spreads them.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum

import msgspec

__all__ = [
    "Catalog",
    "CatalogLimits",
    "CoreVm",
    "Endpoint",
    "EndpointList",
    "EngineSpec",
    "Evacuations",
    "GatewayVm",
    "ModelPrice",
    "Organisation",
    "Repeat",
    "Rollout",
    "RolloutStage",
    "Route",
    "Service",
    "ServiceShare",
    "SessionHashes",
]


class Repeat(enum.Enum):
    """What may be done with a request whose fate is unknown.

    `FREELY`: it may run any number of times. `NEVER`: once at most.
    `RESUME`: a stream that may go on at another endpoint behind the last
    event that was passed on.
    """

    FREELY = "freely"
    NEVER = "never"
    RESUME = "resume"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service and its weight among those that a route is split over."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of one host and path prefix go.

    `attempts_max` is to how many endpoints one request may be sent;
    `held_max_ms` how long it may be held; `target_ms` the time to the answer
    (of a stream: its first event) that is aimed at. `models` are the models
    that the gateway may name, the smallest first; empty when the caller does.
    `priority` is 0 for the most urgent. Where `regions` are named, its requests go to
    endpoints in these alone.
    """

    name: str
    host: str
    path_prefix: str
    repeat: Repeat
    streams: bool
    held_max_ms: float
    target_ms: float
    event_gap_max_ms: float
    priority: int
    attempts_max: int
    anonymous: bool
    prefers_kept_prompt: bool
    models: tuple[str, ...]
    shares: tuple[ServiceShare, ...]
    regions: tuple[str, ...] = ()


class ModelPrice(msgspec.Struct, frozen=True):
    """What 1,000 generated tokens of a model cost; read ones cost a quarter."""

    model: str
    cost: float


class EngineSpec(msgspec.Struct, frozen=True):
    """The model engines of a service: requests at once, and their models."""

    slots: int
    memory_tokens: int
    tokens_per_event: int
    prices: tuple[ModelPrice, ...]


class Service(msgspec.Struct, frozen=True):
    """Endpoints of one kind. `engine` is unset for a plain service.

    An endpoint is cold for `cold_ms` after its start, and bears `cold_requests_per_s`
    from all gateways meanwhile; 0 if it bears as many as ever.
    """

    name: str
    connections_max: int
    engine: EngineSpec | None
    cold_ms: float = 0.0
    cold_requests_per_s: float = 0.0


class Organisation(msgspec.Struct, frozen=True):
    """Who holds which API keys; `priority`, if set, goes before the route's.

    `regions` bind its requests like a route's; where both name some, both bind.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    regions: tuple[str, ...] = ()


class CatalogLimits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send, and how slowly."""

    head_max_bytes: int = 16_384
    body_max_bytes: int = 4_194_304
    head_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class Catalog(msgspec.Struct, frozen=True):
    """One version of the configuration; higher versions replace lower ones."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...]
    limits: CatalogLimits


class Endpoint(msgspec.Struct, frozen=True):
    """One running endpoint VM.

    `instance` is its id, which a process that starts again may keep:
    `started_unix_ms` tells its lives apart, 0 if that is not told. A new life holds
    and knows nothing of the one before. `leaving` endpoints take no new work. An
    endpoint is cold for `cold_left_ms` more, counted from when the list was read.
    """

    instance: str
    service: str
    address: str
    hall: str
    version: str
    slots: int
    leaving: bool
    started_unix_ms: int = 0
    cold_left_ms: float = 0.0

    def begins_after(self, other: "Endpoint") -> bool:
        """Whether this is a later life of an endpoint, as far as that is told."""
        told = self.started_unix_ms > 0 and other.started_unix_ms > 0
        return told and self.started_unix_ms > other.started_unix_ms


class EndpointList(msgspec.Struct, frozen=True):
    """All endpoints as the platform listed them at one time.

    Of two lists the one with the higher `(epoch, number)` is newer.
    """

    epoch: int = 0
    number: int = 0
    endpoints: tuple[Endpoint, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        """What tells which of two lists is newer."""
        return self.epoch, self.number


class Evacuations(msgspec.Struct, frozen=True, array_like=True):
    """The halls whose endpoints get no requests, by operators' orders.

    `number` counts the changes: of two records the one with the higher is newer.
    `returned` is the change by which a hall was given back last.
    """

    number: int = 0
    halls: tuple[str, ...] = ()
    returned: dict[str, int] = {}


class GatewayVm(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An entry VM: where its gateway takes datagrams, and its hall."""

    address: str
    hall: str


class CoreVm(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A core VM: where it takes calls, and its hall, empty while that is unknown."""

    address: str
    hall: str = ""


class RolloutStage(enum.Enum):
    """How far a roll-out is.

    `TRIAL`: a share of the sessions goes to the new version, which has not
    proved itself yet. `LOAD_TEST`: one endpoint of it gets as much as makes it
    busy, since some faults show only then. `SETTLE`: what that brought is
    waited for. `SHIFT`: the version is well, and takes over. `COMPLETED` and
    `ROLLED_BACK` are final.
    """

    TRIAL = "trial"
    LOAD_TEST = "load_test"
    SETTLE = "settle"
    SHIFT = "shift"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Rollout(msgspec.Struct, frozen=True):
    """The newest roll-out of a service. `share` is of its sessions, 0 to 1.

    `number` counts the changes of all roll-outs; of two records of a
    roll-out, the one with the higher number is newer. `elapsed_ms` is how long
    it had run when the record was made. `held` are the marks of sessions that
    ran when the trial began, at any gateway; they stay for all of the trial.
    `moved` are the marks of sessions beyond the share that the load test has
    moved; they stay on the new version.
    """

    service: str
    version: str
    stage: RolloutStage
    share: float
    number: int
    duration_ms: float
    elapsed_ms: float = 0.0
    held: tuple[int, ...] = ()
    moved: tuple[int, ...] = ()


class SessionHashes(msgspec.Struct, frozen=True):
    """Sessions of a service that all gateways have to know of.

    `marks` are of those that run and that a trial might move, `moved` of those
    that its load test has moved; with a `trial_version`, of those that have begun in
    the trial of that version at gateways without datagrams.
    """

    service: str
    marks: tuple[int, ...]
    moved: tuple[int, ...] = ()
    trial_version: str = ""
