"""
ashlatch.settings
~~~~~~~~~~~~~~~~~

The settings files of the daemons: JSON, validated completely before a daemon starts.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta

from ashlatch.clients import ClientLimits
from ashlatch.errors import FieldError, SettingsError
from ashlatch.rpc import Address

__all__ = [
    "ClientSettings",
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
    "parse_addresses",
    "load",
    "parse",
]

S = TypeVar("S", bound="Settings")

PORT_MAX = 65_535
GROUPS_MAX = 32
# Invalid values are cut to this length in errors.
VALUE_CHARACTERS_MAX = 80


# A host and a port from 1 to 65,535.
ADDRESS_PATTERN = (
    r"^.+:0*([1-9]\d{0,3}|[1-5]\d{4}|6[0-4]\d{3}|65[0-4]\d\d|655[0-2]\d|6553[0-5])\Z"
)
ADDRESS_RULE = "must be an IP address and a port, such as 10.0.0.1:7000"

AddressText = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}\Z")]
Sha256 = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}\Z")]
PositiveFloat = Annotated[float, Meta(gt=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
Ratio = Annotated[float, Meta(ge=0, le=1)]
PositiveInt = Annotated[int, Meta(ge=1)]


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """The base class of all settings; unknown fields are errors.

    The models use `msgspec` and not `pydantic`, as resources do: the import of
    `pydantic` takes 0.14 s of processor time (median of three starts), or 0.28 s on
    half a core, during which callers of a VM that restarts wait.
    """


class HttpLimits(Settings, frozen=True, kw_only=True):
    """Limits on the requests and connections of an HTTP server."""

    max_body_bytes: Annotated[int, Meta(ge=1024)] = 1_048_576
    max_connections: PositiveInt = 256
    idle_timeout_ms: Annotated[int, Meta(ge=100)] = 10_000


class ClientSettings(Settings, frozen=True, kw_only=True):
    """Limits on what all clients of a process make it keep.

    `held_max_bytes` is the memory for their connections, requests and unread answers.
    They may have three quarters of the descriptors: of `descriptors_max`, or of what
    the operating system allows if that is less, or if `descriptors_max` is 0. A request
    must be received within `body_timeout_ms`. `closing_order` names which connections
    are closed first.
    """

    held_max_bytes: PositiveInt = 41_943_040
    descriptors_max: Annotated[int, Meta(ge=0)] = 4096
    body_timeout_ms: PositiveInt = 60_000
    closing_order: Literal["largest", "slowest", "costliest"] = "costliest"

    @property
    def limits(self) -> ClientLimits:
        """Returns the limits of the process's pool of clients."""
        return ClientLimits(
            held_max_bytes=self.held_max_bytes,
            descriptors_max=self.descriptors_max,
            closing_order=self.closing_order,
        )


class StateSettings(Settings, frozen=True, kw_only=True):
    """Settings of `ashlatch-state`.

    `advertise` is the address at which other processes reach this member, if it differs
    from `listen`. `groups` is the number of groups that share the ledger; it is equal
    on all members and fixed when the first one is initialised.
    """

    vm: Name
    hall: Name
    listen: AddressText
    advertise: AddressText | None = None
    data_folder: str
    groups: Annotated[int, Meta(ge=1, le=GROUPS_MAX)] = 1
    peers: tuple[AddressText, ...] = ()
    heartbeat_ms: PositiveFloat = 100.0
    election_min_ms: PositiveFloat = 500.0
    election_max_ms: PositiveFloat = 900.0
    router_lease_ms: PositiveFloat = 2000.0
    control_lease_ms: PositiveFloat = 3000.0
    clock_drift_ratio: Annotated[float, Meta(ge=0, lt=0.5)] = 0.05
    snapshot_every_records: Annotated[int, Meta(ge=10)] = 2000
    retention_ms: Annotated[int, Meta(ge=1000)] = 86_400_000
    clients: ClientSettings = ClientSettings()
    log_level: str = "INFO"

    @property
    def address(self) -> str:
        """Returns the address at which other processes reach this member."""
        return self.advertise or self.listen


class PolicySettings(Settings, frozen=True, kw_only=True):
    """The selected policy variants and their parameters."""

    endpoint: str = "two_choices"
    version: str = "cheapest_good"
    subset_size: Annotated[int, Meta(ge=2)] = 24
    retry_ratio: Ratio = 0.1
    hedge_ratio: Ratio = 0.05
    hedge_samples_min: PositiveInt = 100
    breaker_failures: PositiveInt = 3
    breaker_open_ms: PositiveFloat = 2000.0
    seed: int = 0


class RouterSettings(Settings, frozen=True, kw_only=True):
    """Settings of `ashlatch-router`."""

    vm: Name
    hall: Name
    listen: AddressText
    state_addresses: Annotated[tuple[AddressText, ...], Meta(min_length=1)]
    http: HttpLimits = HttpLimits()
    clients: ClientSettings = ClientSettings()
    policy: PolicySettings = PolicySettings()
    rating_url: str = ""
    rating_sample_ratio: Ratio = 0.2
    rating_poll_ms: PositiveFloat = 500.0
    state_timeout_ms: PositiveFloat = 4000.0
    poll_wait_ms: PositiveFloat = 400.0
    load_poll_ms: PositiveFloat = 250.0
    connect_timeout_ms: PositiveInt = 500
    deadline_max_ms: PositiveFloat = 120_000.0
    drain_ms: NonNegativeFloat = 500.0
    log_level: str = "INFO"


class Operator(Settings, frozen=True, kw_only=True):
    """A person who may change the configuration, and the hash of their token."""

    name: Name
    token_sha256: Sha256


class ControlSettings(Settings, frozen=True, kw_only=True):
    """Settings of `ashlatch-control`."""

    vm: Name
    hall: Name
    listen: AddressText
    state_addresses: Annotated[tuple[AddressText, ...], Meta(min_length=1)]
    operators: Annotated[tuple[Operator, ...], Meta(min_length=1)]
    platform_url: str = ""
    rating_url: str = ""
    weight_store_url: str = ""
    http: HttpLimits = HttpLimits()
    clients: ClientSettings = ClientSettings()
    state_timeout_ms: PositiveFloat = 4000.0
    control_poll_ms: PositiveFloat = 500.0
    platform_poll_ms: PositiveFloat = 500.0
    log_level: str = "INFO"


class VmSettings(Settings, frozen=True, kw_only=True):
    """The common settings of the daemons of a deployment with seeds.

    `host` is the VM's IP address. `ports` are those that ashlatch may use there, the
    same on all VMs; the first is for calls between its processes. `seeds` are the
    operator addresses of some core VMs. `list_address` is the address of the platform's
    list of endpoints. `halls` maps all halls to their regions.
    """

    vm: Name
    hall: Name
    host: str
    ports: tuple[int, int]
    halls: dict[str, str] = {}
    seeds: Annotated[tuple[AddressText, ...], Meta(min_length=1)]
    list_address: AddressText
    list_read_ms: PositiveFloat = 1000.0
    sync_wait_ms: PositiveFloat = 500.0
    metrics_port: Annotated[int, Meta(gt=0, le=PORT_MAX)] = 9464
    clients: ClientSettings = ClientSettings()
    log_level: str = "INFO"

    @property
    def rpc_address(self) -> str:
        """Returns the address at which other ashlatch processes call this one."""
        return f"{self.host}:{self.ports[0]}"

    @property
    def seed_rpc_addresses(self) -> tuple[str, ...]:
        """Returns the RPC addresses of the seeds; the port is the same on all VMs."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return tuple(f"{host}:{self.ports[0]}" for host in hosts)


class ExposureSettings(Settings, frozen=True, kw_only=True):
    """Limits the requests that a bad new version may receive: a `share` of the requests
    to its service during the roll-out, plus `extra` requests.
    """

    share: Annotated[float, Meta(gt=0, le=1)] = 0.15
    extra: NonNegativeFloat = 30.0


class CoreSettings(VmSettings, frozen=True, kw_only=True):
    """Settings of `ashlatch-core`.

    `first_start` is set once, when the whole deployment starts with empty disks.
    `losses_max` is how many core VMs may be lost at the same time together with their
    disks.
    """

    listen: AddressText
    data_folder: str
    first_start: bool = False
    losses_max: Annotated[int, Meta(ge=0)] = 1
    exposure: ExposureSettings = ExposureSettings()
    heartbeat_ms: PositiveFloat = 100.0
    election_min_ms: PositiveFloat = 400.0
    election_max_ms: PositiveFloat = 800.0
    clock_drift_ratio: Annotated[float, Meta(ge=0, lt=0.5)] = 0.05
    snapshot_every_records: Annotated[int, Meta(ge=10)] = 200


class RepeatSettings(Settings, frozen=True, kw_only=True):
    """Limits the repeated requests of all gateways together: `ratio` of a service's
    requests in a window, plus `extra`.
    """

    ratio: NonNegativeFloat = 0.1
    extra: NonNegativeFloat = 10.0
    window_s: PositiveFloat = 10.0


class RelaySettings(Settings, frozen=True):
    """Limits on the requests that a gateway serves for others without endpoints.

    With `enabled` unset, it serves none, and has none of its own served by others.
    """

    enabled: bool = True
    requests_max: PositiveInt = 256


class GatewaySettings(VmSettings, frozen=True, kw_only=True):
    """Settings of `ashlatch-gateway`.

    `session_s` is the longest pause within a session. `stop_s` is the time between a
    request to stop and the kill.

    `admission` says for which services with engines requests may be deferred or refused
    while capacity is scarce: `auto` for those whose endpoints report the duration of
    work, and for all if `contracts`, the list of what the platform requires, says so.

    `answer_max_bytes` is the longest answer that is not a stream, `answers_max_bytes`
    what all answers may have together that are not complete yet. An endpoint that sends
    more is at fault.
    """

    listen: AddressText
    ready: AddressText
    session_s: PositiveFloat = 5.0
    stop_s: PositiveFloat = 8.0
    repeats: RepeatSettings = RepeatSettings()
    endpoint_policy: str = "hall_affinity"
    admission: Literal["off", "on", "auto"] = "auto"
    contracts: tuple[str, ...] = ()
    relay: RelaySettings = RelaySettings()
    answer_max_bytes: PositiveInt = 16_777_216
    answers_max_bytes: PositiveInt = 33_554_432


def load(path: Path, kind: type[S]) -> S:
    """Reads and validates a settings file; raises `SettingsError`."""
    try:
        document: Any = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        unreadable = FieldError(
            "(document)", str(path), f"must be a JSON file: {error}"
        )
        raise SettingsError("settings", [unreadable]) from error
    return parse(document, kind)


def parse(document: Any, kind: type[S]) -> S:
    """Validates settings that were read from a file.

    Raises `SettingsError`, an exception group with one `FieldError` for each invalid
    field.
    """
    errors = list(_settings_errors(document, kind, ""))
    if errors:
        raise SettingsError("settings", errors)
    return msgspec.convert(document, kind)


def _settings_errors(
    document: Any, kind: type[Settings], path: str
) -> Iterator[FieldError]:
    """Yields the errors of all fields; `msgspec` itself reports only the first one."""
    if not isinstance(document, dict):
        yield _field_error(
            path.rstrip(".") or "(document)", document, "must be an object"
        )
        return
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    for name, field in fields.items():
        if name not in document:
            if field.required:
                yield FieldError(path + name, "", "is required")
        elif isinstance(field.type, type) and issubclass(field.type, Settings):
            yield from _settings_errors(document[name], field.type, f"{path}{name}.")
        else:
            yield from _value_errors(document[name], field.type, path + name)
    for name in sorted(document.keys() - fields.keys()):
        yield _field_error(path + name, document[name], "is not a setting")


def _value_errors(value: Any, kind: Any, path: str) -> Iterator[FieldError]:
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        rule = ADDRESS_RULE if repr(ADDRESS_PATTERN) in str(error) else str(error)
        yield _field_error(path, value, rule)


def _field_error(path: str, value: Any, rule: str) -> FieldError:
    return FieldError(path, json.dumps(value, default=str)[:VALUE_CHARACTERS_MAX], rule)


def parse_addresses(texts: tuple[str, ...]) -> tuple[Address, ...]:
    """Parses addresses that were validated before."""
    return tuple(Address.parse(text) for text in texts)
