"""
ashlatch.settings
~~~~~~~~~~~~~~~~~

The settings files of the daemons: JSON, checked whole before anything starts.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json
from pathlib import Path
from typing import Annotated, Any, TypeVar

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError

from ashlatch.errors import FieldError, SettingsError
from ashlatch.rpc import Address

__all__ = [
    "ControlSettings",
    "CoreSettings",
    "ExposureSettings",
    "GatewaySettings",
    "HttpLimits",
    "Operator",
    "PolicySettings",
    "RepeatSettings",
    "RouterSettings",
    "StateSettings",
    "VmSettings",
    "addresses",
    "field_errors",
    "load",
]

S = TypeVar("S", bound=BaseModel)

PORT_MAX = 65_535
GROUPS_MAX = 32


def _check_address(text: str) -> str:
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdigit() and 0 < int(port) <= PORT_MAX):
        raise ValueError("must be an IP number and a port, as 10.0.0.1:7000")
    return text


AddressText = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class Settings(BaseModel):
    """The base of all settings: unknown fields are errors.

    Their validators are built when they are used first, since each process
    uses those of one daemon.
    """

    model_config = ConfigDict(extra="forbid", frozen=True, defer_build=True)


class HttpLimits(Settings):
    """Bounds on what one caller may take of an HTTP listener."""

    max_body_bytes: int = Field(default=1_048_576, ge=1024)
    max_connections: int = Field(default=256, ge=1)
    idle_timeout_ms: int = Field(default=10_000, ge=100)


class StateSettings(Settings):
    """Settings of `ashlatch-state`.

    `advertise` is the address at which others reach this member, when it is
    not the one it listens on. `groups` is how many groups share the ledger,
    equal on all members and fixed when the first one is initialised.
    """

    vm: Name
    hall: Name
    listen: AddressText
    advertise: AddressText | None = None
    data_folder: str
    groups: int = Field(default=1, ge=1, le=GROUPS_MAX)
    peers: tuple[AddressText, ...] = ()
    heartbeat_ms: float = Field(default=100.0, gt=0)
    election_min_ms: float = Field(default=500.0, gt=0)
    election_max_ms: float = Field(default=900.0, gt=0)
    router_lease_ms: float = Field(default=2000.0, gt=0)
    control_lease_ms: float = Field(default=3000.0, gt=0)
    clock_drift_ratio: float = Field(default=0.05, ge=0, lt=0.5)
    snapshot_every_records: int = Field(default=2000, ge=10)
    retention_ms: int = Field(default=86_400_000, ge=1000)
    log_level: str = "INFO"

    @property
    def address(self) -> str:
        """Where others reach this member."""
        return self.advertise or self.listen


class PolicySettings(Settings):
    """Which variants decide, and their numbers."""

    endpoint: str = "two_choices"
    version: str = "cheapest_good"
    subset_size: int = Field(default=24, ge=2)
    retry_ratio: float = Field(default=0.1, ge=0, le=1)
    hedge_ratio: float = Field(default=0.05, ge=0, le=1)
    hedge_samples_min: int = Field(default=100, ge=1)
    breaker_failures: int = Field(default=3, ge=1)
    breaker_open_ms: float = Field(default=2000.0, gt=0)
    seed: int = 0


class RouterSettings(Settings):
    """Settings of `ashlatch-router`."""

    vm: Name
    hall: Name
    listen: AddressText
    state_addresses: tuple[AddressText, ...] = Field(min_length=1)
    http: HttpLimits = HttpLimits()
    policy: PolicySettings = PolicySettings()
    rating_url: str = ""
    rating_sample_ratio: float = Field(default=0.2, ge=0, le=1)
    rating_poll_ms: float = Field(default=500.0, gt=0)
    state_timeout_ms: float = Field(default=4000.0, gt=0)
    poll_wait_ms: float = Field(default=400.0, gt=0)
    load_poll_ms: float = Field(default=250.0, gt=0)
    connect_timeout_ms: int = Field(default=500, ge=1)
    deadline_max_ms: float = Field(default=120_000.0, gt=0)
    drain_ms: float = Field(default=500.0, ge=0)
    log_level: str = "INFO"


class Operator(Settings):
    """Somebody who may change the configuration, and the hash of the token."""

    name: Name
    token_sha256: Sha256


class ControlSettings(Settings):
    """Settings of `ashlatch-control`."""

    vm: Name
    hall: Name
    listen: AddressText
    state_addresses: tuple[AddressText, ...] = Field(min_length=1)
    operators: tuple[Operator, ...] = Field(min_length=1)
    platform_url: str = ""
    rating_url: str = ""
    weight_store_url: str = ""
    http: HttpLimits = HttpLimits()
    state_timeout_ms: float = Field(default=4000.0, gt=0)
    control_poll_ms: float = Field(default=500.0, gt=0)
    platform_poll_ms: float = Field(default=500.0, gt=0)
    log_level: str = "INFO"


class VmSettings(Settings):
    """What the daemons of a deployment with seeds have in common.

    `host` is the VM's IP number; `ports` are those that ashlatch may use
    there, equal on all VMs, the first for calls between its processes.
    `seeds` are operators' addresses of some core VMs. `list_address` is where
    the platform lists the endpoints. `halls` are all halls, with their regions.
    """

    vm: Name
    hall: Name
    host: str
    ports: tuple[int, int]
    halls: dict[str, str] = {}
    seeds: tuple[AddressText, ...] = Field(min_length=1)
    list_address: AddressText
    list_read_ms: float = Field(default=1000.0, gt=0)
    sync_wait_ms: float = Field(default=500.0, gt=0)
    metrics_port: int = Field(default=9464, gt=0, le=PORT_MAX)
    log_level: str = "INFO"

    @property
    def rpc_address(self) -> str:
        """Where other processes of ashlatch call this one."""
        return f"{self.host}:{self.ports[0]}"

    @property
    def seed_rpc_addresses(self) -> tuple[str, ...]:
        """Where the seeds are called; the port is the same on all VMs."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return tuple(f"{host}:{self.ports[0]}" for host in hosts)


class ExposureSettings(Settings):
    """What a new version that turns out bad may get: a `share` of the requests to its
    service while it is rolled out, and `extra` requests more.
    """

    share: float = Field(default=0.15, gt=0, le=1)
    extra: float = Field(default=30.0, ge=0)


class CoreSettings(VmSettings):
    """Settings of `ashlatch-core`.

    `first_start` is true once, when the whole deployment starts with empty
    disks. `losses_max` is how many core VMs may be lost at once, disks
    included.
    """

    listen: AddressText
    data_folder: str
    first_start: bool = False
    losses_max: int = Field(default=1, ge=0)
    exposure: ExposureSettings = ExposureSettings()
    heartbeat_ms: float = Field(default=100.0, gt=0)
    election_min_ms: float = Field(default=400.0, gt=0)
    election_max_ms: float = Field(default=800.0, gt=0)
    clock_drift_ratio: float = Field(default=0.05, ge=0, lt=0.5)
    snapshot_every_records: int = Field(default=200, ge=10)


class RepeatSettings(Settings):
    """How often requests may be sent again, by all gateways together: `ratio`
    of a service's requests in a window, and `extra` more.
    """

    ratio: float = Field(default=0.1, ge=0)
    extra: float = Field(default=10.0, ge=0)
    window_s: float = Field(default=10.0, gt=0)


class GatewaySettings(VmSettings):
    """Settings of `ashlatch-gateway`.

    `session_s` is the longest pause within a session. A gateway that is asked
    to stop has `stop_s` before it is killed.
    """

    listen: AddressText
    ready: AddressText
    session_s: float = Field(default=5.0, gt=0)
    stop_s: float = Field(default=8.0, gt=0)
    repeats: RepeatSettings = RepeatSettings()
    endpoint_policy: str = "hall_affinity"
    cold_policy: str = "senders"


def field_errors(error: ValidationError) -> list[FieldError]:
    """What `pydantic` found wrong, a typed error for each field."""
    found = []
    for problem in error.errors(include_url=False):
        field = ".".join(str(part) for part in problem["loc"]) or "(document)"
        value = json.dumps(problem["input"], default=str)[:80]
        found.append(FieldError(field, value, problem["msg"]))
    return found


def load(path: Path, kind: type[S]) -> S:
    """Read and check one settings file.

    Raises a `SettingsError`, an exception group with one `FieldError` for
    each field that is wrong.
    """
    try:
        document: Any = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        found = FieldError("(document)", str(path), f"must be a JSON file: {error}")
        raise SettingsError("settings", [found]) from error
    try:
        return kind.model_validate(document)
    except ValidationError as error:
        raise SettingsError("settings", field_errors(error)) from error


def addresses(texts: tuple[str, ...]) -> tuple[Address, ...]:
    """Checked address texts as addresses."""
    return tuple(Address.parse(text) for text in texts)
