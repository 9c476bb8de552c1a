"""
ashlatch.catalog
~~~~~~~~~~~~~~~~

Types of the configuration that gateways serve (routes, services, organisations and
limits of one version), of the endpoints that exist at present and of roll-outs. They
are shared by the gateway, which routes by them, and the core, which stores and
distributes them.

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
    "RepeatPolicy",
    "Rollout",
    "RolloutStage",
    "Route",
    "Service",
    "ServiceShare",
    "SessionHashes",
]


class RepeatPolicy(enum.Enum):
    """What may be done with a request whose outcome is unknown.

    `FREELY`: it may run any number of times. `NEVER`: it may run once at most.
    `RESUME`: a stream that may continue at another endpoint after the last event that
    was passed on.
    """

    FREELY = "freely"
    NEVER = "never"
    RESUME = "resume"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service and its weight among the services that a route is split over."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """The destination of requests with a host and path prefix, and how to handle them.

    `attempts_max` is the number of endpoints that one request may be sent to,
    `held_max_ms` how long it may be queued, and `target_ms` the targeted time to the
    answer (of a stream: to its first event). `models` are the models that the gateway
    may choose from, the smallest first; empty if the caller names the model. `priority`
    is 0 for the most urgent. If `regions` is not empty, requests go only to endpoints
    in these regions.
    """

    name: str
    host: str
    path_prefix: str
    repeat: RepeatPolicy
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
    """The price of 1,000 generated tokens of a model; prompt tokens cost a quarter."""

    model: str
    cost: float


class EngineSpec(msgspec.Struct, frozen=True):
    """The model engines of a service: concurrent requests, cache size and models."""

    slots: int
    memory_tokens: int
    tokens_per_event: int
    prices: tuple[ModelPrice, ...]


class Service(msgspec.Struct, frozen=True):
    """Endpoints of one kind. `engine` is unset for a plain service.

    An endpoint is cold for `cold_ms` after its start and meanwhile handles
    `cold_requests_per_s` from all gateways together; 0 if a cold endpoint handles as
    many requests as a warm one. A `GET` of `health_target` asks whether an endpoint is
    healthy; empty if it cannot be asked.
    """

    name: str
    connections_max: int
    engine: EngineSpec | None
    cold_ms: float = 0.0
    cold_requests_per_s: float = 0.0
    health_target: str = ""


class Organisation(msgspec.Struct, frozen=True):
    """An owner of API keys; `priority`, if set, overrides the route's.

    `regions` restrict its requests as a route's do; if both name regions, both apply.
    While capacity is scarce, organisations share it in proportion to their `weight`.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
    regions: tuple[str, ...] = ()
    weight: float = 1.0


class CatalogLimits(msgspec.Struct, frozen=True):
    """Limits on the size of a caller's request and on how slowly it may arrive."""

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

    `instance` is its id, which may stay the same when the process restarts:
    `started_unix_ms` distinguishes its incarnations, 0 if unknown. A new incarnation
    has nothing of the state of the previous one. `leaving` endpoints take no new work.
    An endpoint stays cold for `cold_left_ms`, counted from when the list was read.
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

    def is_later_incarnation_of(self, other: "Endpoint") -> bool:
        """Checks whether this is a later incarnation of an endpoint.

        False if either start time is unknown.
        """
        comparable = self.started_unix_ms > 0 and other.started_unix_ms > 0
        return comparable and self.started_unix_ms > other.started_unix_ms


class EndpointList(msgspec.Struct, frozen=True):
    """All endpoints as the platform listed them at one time.

    Of two lists the one with the higher `(epoch, number)` is newer.
    """

    epoch: int = 0
    number: int = 0
    endpoints: tuple[Endpoint, ...] = ()

    @property
    def order(self) -> tuple[int, int]:
        """The key by which two lists are compared; the newer one has the higher."""
        return self.epoch, self.number


class Evacuations(msgspec.Struct, frozen=True, array_like=True):
    """The halls whose endpoints get no requests by operators' commands.

    `number` counts the changes: the record with the higher number is newer. `returned`
    maps a hall to the change that last ended its evacuation.
    """

    number: int = 0
    halls: tuple[str, ...] = ()
    returned: dict[str, int] = {}


class GatewayVm(msgspec.Struct, frozen=True, array_like=True, order=True):
    """An entry VM: the address where its gateway receives datagrams, and its hall."""

    address: str
    hall: str


class CoreVm(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A core VM: the address where it receives calls, and its hall if known."""

    address: str
    hall: str = ""


class RolloutStage(enum.Enum):
    """The stage of a roll-out.

    `TRIAL`: a share of the sessions goes to the new version, which is unproven.
    `LOAD_TEST`: one of its endpoints gets enough requests to be busy, as some faults
    show only under load. `SETTLE`: the results of the load test are awaited. `SHIFT`:
    the version is healthy and takes over. `COMPLETED` and `ROLLED_BACK` are final.
    """

    TRIAL = "trial"
    LOAD_TEST = "load_test"
    SETTLE = "settle"
    SHIFT = "shift"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Rollout(msgspec.Struct, frozen=True):
    """The newest roll-out of a service. `share` is of its sessions, 0 to 1.

    `number` counts the changes of all roll-outs: of two records of a roll-out, the one
    with the higher number is newer. `elapsed_ms` is how long it had run when the record
    was made. `held` are the hashes of the sessions that ran at any gateway when the
    trial began; they stay on their version for the whole trial. `moved` are the
    hashes of sessions beyond the share that the load test has moved; they stay on the
    new version. `withdrawn` are versions that earlier roll-outs rolled back: nothing is
    sent to their endpoints, which may be listed for some time.
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
    withdrawn: tuple[str, ...] = ()


class SessionHashes(msgspec.Struct, frozen=True):
    """Sessions of a service that all gateways must know.

    `marks` are the hashes of running sessions that a trial might move, `moved` the
    hashes of those that its load test has moved. With a `trial_version`, `moved` are
    the sessions that began in the trial of that version at gateways without datagrams.
    """

    service: str
    marks: tuple[int, ...]
    moved: tuple[int, ...] = ()
    trial_version: str = ""
