"""
ashlatch.platform.document
~~~~~~~~~~~~~~~~~~~~~~~~~~

Decodes the configuration document that operators send, validates all of it and
converts it to a `Catalog`. Also decodes requests to roll out a version.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import math
import re
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from ashlatch.catalog import (
    Catalog,
    CatalogLimits,
    EngineSpec,
    ModelPrice,
    Organisation,
    RepeatPolicy,
    Rollout,
    RolloutStage,
    Route,
    Service,
    ServiceShare,
)
from ashlatch.errors import FieldError
from ashlatch.platform.json_decoding import JsonUnreadable, decode_json

__all__ = [
    "DocumentError",
    "RolloutRequest",
    "decode_catalog",
    "decode_rollout_request",
    "encode_rollout_state",
]


class DocumentError(ExceptionGroup):
    """All errors in a document, one `FieldError` for each."""

    @property
    def problems(self) -> list[FieldError]:
        """Returns the errors as a list of `FieldError`."""
        return [e for e in self.exceptions if isinstance(e, FieldError)]


class _Model(msgspec.Struct, frozen=True):
    name: str
    cost: float = 0.0


class _Engine(msgspec.Struct, frozen=True, rename="camel"):
    slots: int = 1
    # Capacity of the KV cache in tokens of prompts and answers.
    kv_capacity: int = 0
    # Tokens per stream event.
    stride: int = 1
    models: tuple[_Model, ...] = ()


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    # Connections that one endpoint accepts from all gateways together.
    max_conns: int = 64
    # How long an endpoint is cold after its start, and how many requests per second it
    # accepts from all gateways together until then; 0 means no such limit.
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None
    health_path: str | None = None


class _Share(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    host: str
    path_prefix: str
    timeout_ms: float
    # One of `stream`, `idempotent` and `non_idempotent`.
    route_kind: str = "non_idempotent"
    slo_ms: float = 0.0
    itl_target_ms: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    anonymous: bool = False
    # Set if the requests of the route share parts of prompts; unrelated to sessions.
    sticky: bool = False
    resumable: bool = False
    # Names of models, not numbers.
    sizes: tuple[str, ...] = ()
    service: str = ""
    split: tuple[_Share, ...] = ()
    allowed_regions: tuple[str, ...] = ()


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()
    # The organisation's weight in the shares of scarce capacity.
    weight: float = 1.0


class _Document(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


# Printable ASCII without spaces.
_PATH = re.compile(r"/[!-~]*")

_ROUTE_KINDS = ("stream", "idempotent", "non_idempotent")


def decode_catalog(body: bytes) -> Catalog:
    """Decodes a document; raises `DocumentError` if anything in it is invalid."""
    try:
        document: _Document = decode_json(body, _Document)
    except JsonUnreadable as error:
        unreadable = FieldError("(document)", f"{len(body)} bytes", error.reason)
        raise DocumentError("configuration", [unreadable]) from error
    errors = list(_document_errors(document))
    if errors:
        raise DocumentError("configuration", errors)
    return Catalog(
        document.version,
        tuple(_route(route) for route in document.routes),
        tuple(_service(service) for service in document.services),
        tuple(
            Organisation(t.name, t.api_keys, t.priority, t.allowed_regions, t.weight)
            for t in document.tenants
        ),
        _limits(document.limits),
    )


def _document_errors(document: _Document) -> Iterator[FieldError]:
    if document.version < 1:
        yield FieldError("version", str(document.version), "must be 1 or more")
    yield from _duplicate_errors("services.name", [s.name for s in document.services])
    yield from _duplicate_errors("tenants.name", [t.name for t in document.tenants])
    keys = [key for tenant in document.tenants for key in tenant.api_keys]
    yield from _duplicate_errors("tenants.apiKeys", keys)
    for tenant in document.tenants:
        if not (tenant.weight > 0 and math.isfinite(tenant.weight)):
            rule = "must be above 0 and finite"
            field = f"tenants.{tenant.name}.weight"
            yield FieldError(field, str(tenant.weight), rule)
    prefixes = [f"{route.host}{route.path_prefix}" for route in document.routes]
    yield from _duplicate_errors("routes.pathPrefix", prefixes)
    services = {service.name for service in document.services}
    for route in document.routes:
        yield from _route_errors(route, services)


def _duplicate_errors(field: str, values: list[str]) -> Iterator[FieldError]:
    for value, count in Counter(values).items():
        if count > 1:
            yield FieldError(field, value, "must be unique")


def _route_errors(route: _Route, services: set[str]) -> Iterator[FieldError]:
    field = f"routes.{route.name}"
    if route.timeout_ms <= 0:
        yield FieldError(f"{field}.timeoutMs", str(route.timeout_ms), "must be above 0")
    if route.route_kind not in _ROUTE_KINDS:
        rule = f"must be one of {', '.join(_ROUTE_KINDS)}"
        yield FieldError(f"{field}.routeKind", route.route_kind, rule)
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        rule = "must begin and end with a slash"
        yield FieldError(f"{field}.pathPrefix", prefix, rule)
    shares = _shares(route)
    if not shares or sum(share.weight for share in shares) <= 0:
        yield FieldError(f"{field}.split", "", "must have a positive sum of weights")
    for share in shares:
        if share.service not in services:
            yield FieldError(
                f"{field}.service", share.service, "must be a known service"
            )
        if share.weight < 0:
            rule = "must not be negative"
            yield FieldError(f"{field}.split", str(share.weight), rule)


def _shares(route: _Route) -> tuple[ServiceShare, ...]:
    if route.split:
        return tuple(ServiceShare(s.service, s.weight) for s in route.split)
    return (ServiceShare(route.service, 1.0),) if route.service else ()


def _repeat_policy(route: _Route) -> RepeatPolicy:
    if route.route_kind == "stream":
        return RepeatPolicy.RESUME if route.resumable else RepeatPolicy.NEVER
    return (
        RepeatPolicy.FREELY if route.route_kind == "idempotent" else RepeatPolicy.NEVER
    )


def _route(route: _Route) -> Route:
    return Route(
        route.name,
        route.host.lower(),
        route.path_prefix,
        _repeat_policy(route),
        route.route_kind == "stream",
        route.timeout_ms,
        route.slo_ms,
        route.itl_target_ms,
        route.priority,
        max(1, route.max_attempts),
        route.anonymous,
        route.sticky,
        route.sizes,
        _shares(route),
        route.allowed_regions,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    spec = None
    if engine is not None:
        prices = tuple(ModelPrice(m.name, m.cost) for m in engine.models)
        spec = EngineSpec(engine.slots, engine.kv_capacity, engine.stride, prices)
    return Service(
        service.name,
        service.max_conns,
        spec,
        service.cold_s * 1000.0,
        service.cold_per_s,
        _health_target(service.health_path or ""),
    )


def _health_target(path: str) -> str:
    """Returns the path if it can be sent in a request, else an empty text."""
    return path if _PATH.fullmatch(path) else ""


def _limits(limits: _Limits) -> CatalogLimits:
    return CatalogLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms,
        limits.idle_timeout_ms,
    )


@dataclass(frozen=True)
class RolloutRequest:
    """Asks to move the traffic of a service to a version within a duration."""

    service: str
    version: str
    duration_ms: float


class _RolloutRequest(msgspec.Struct, frozen=True, rename="camel"):
    service: str
    target_version: str
    duration_s: float


class _RolloutState(msgspec.Struct, frozen=True, rename="camel"):
    state: str
    target_version: str


def decode_rollout_request(body: bytes) -> RolloutRequest:
    """Decodes a request to roll out a version; raises `DocumentError`."""
    try:
        request: _RolloutRequest = decode_json(body, _RolloutRequest)
    except JsonUnreadable as error:
        unreadable = FieldError("(document)", f"{len(body)} bytes", error.reason)
        raise DocumentError("rollout", [unreadable]) from error
    if request.duration_s <= 0 or not request.service or not request.target_version:
        invalid = FieldError("durationS", str(request.duration_s), "must be above 0")
        raise DocumentError("rollout", [invalid])
    return RolloutRequest(
        request.service, request.target_version, request.duration_s * 1000.0
    )


_STATE_NAMES = {
    RolloutStage.TRIAL: "in_progress",
    RolloutStage.LOAD_TEST: "in_progress",
    RolloutStage.SETTLE: "in_progress",
    RolloutStage.SHIFT: "in_progress",
    RolloutStage.COMPLETED: "completed",
    RolloutStage.ROLLED_BACK: "rolled_back",
}


def encode_rollout_state(rollout: Rollout) -> bytes:
    """Encodes the state of a roll-out as the platform's operators read it."""
    return msgspec.json.encode(
        _RolloutState(_STATE_NAMES[rollout.stage], rollout.version)
    )
