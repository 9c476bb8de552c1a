"""
ashlatch.resources
~~~~~~~~~~~~~~~~~~

The kinds of resources that operators configure, as validated models. The
models stand at the border: `ashlatch-control` checks with them what it is
given, and routers read with them what is in force.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json
from functools import lru_cache
from typing import Annotated, ClassVar, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from ashlatch.errors import FieldError
from ashlatch.registry import Variants
from ashlatch.store.command import Reference

__all__ = [
    "RESOURCE_KINDS",
    "Cascade",
    "Endpoint",
    "Evacuation",
    "InvalidResource",
    "Model",
    "Organisation",
    "Pool",
    "Rollout",
    "RolloutProgress",
    "RolloutStage",
    "Route",
    "Spec",
    "Version",
    "Withdrawal",
    "encode_canonical",
    "field_errors",
    "parse",
    "parse_cached",
]

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Sha256 = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Quality = Annotated[float, Field(ge=0.0, le=1.0)]
# So much of a wrong value is shown.
VALUE_CHARACTERS_MAX = 80


class InvalidResource(ExceptionGroup):
    """All that is wrong with one resource, a `FieldError` each."""


class Spec(BaseModel):
    """The base of all kinds. `name` is the kind, as in the resource API.

    A kind may override `references`, which gives the resources that must
    exist for this one to make sense.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)
    name: ClassVar[str] = ""
    priority: ClassVar[int] = 0

    def references(self, resource_name: str) -> tuple[Reference, ...]:
        """What a resource of this kind, called `own_name`, refers to."""
        return ()


RESOURCE_KINDS: Variants[type[Spec]] = Variants("resource kind")


@RESOURCE_KINDS.add
class Model(Spec):
    """A model; what runs are its versions."""

    name = "model"
    priority = 0
    description: str = ""


@RESOURCE_KINDS.add
class Version(Spec):
    """A version of a model, with its prices and what is expected of it.

    Prices are in millionths of a US dollar for a thousand tokens.
    `quality_prior` is the expected mean rating before there are any.
    """

    name = "version"
    priority = 1
    model: Name
    input_price_microusd_per_ktoken: int = Field(ge=0)
    output_price_microusd_per_ktoken: int = Field(ge=0)
    quality_prior: Quality = 0.5

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """The model."""
        return (Reference("model", self.model, "model"),)


@RESOURCE_KINDS.add
class Pool(Spec):
    """A set of endpoints that serve models, or one plain service.

    `repeatable` is whether a call of the service may be repeated when the
    caller does not say. `report_url` gives the load of all endpoints.
    `versions` are kept loaded on all of them; with none given, what is loaded
    is left as it is. `checks_fence` tells whether the endpoints refuse orders
    of a control process that is no longer active.
    """

    name = "pool"
    priority = 2
    serves: Literal["models", "service"] = "models"
    repeatable: bool = True
    report_url: str = ""
    checks_fence: bool = True
    versions: tuple[Name, ...] = ()
    price_microusd_per_call: int = Field(default=0, ge=0)

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """The versions."""
        return tuple(Reference("version", v, "versions") for v in self.versions)


@RESOURCE_KINDS.add
class Endpoint(Spec):
    """One place that answers requests. Kept by `ashlatch-control`."""

    name = "endpoint"
    priority = 3
    pool: Name
    url: str = Field(pattern=r"^https?://")
    vm: str
    hall: str
    leaving: bool = False

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """The pool."""
        return (Reference("pool", self.pool, "pool"),)


@RESOURCE_KINDS.add
class Organisation(Spec):
    """A customer: its keys, what it may use, and its limits.

    `allowed_models` allows all versions of a model, `allowed_versions` single
    ones. `share_weight` is its part of the whole under shortage.
    """

    name = "organisation"
    priority = 4
    key_sha256s: tuple[Sha256, ...] = ()
    allowed_models: tuple[Name, ...] = ()
    allowed_versions: tuple[Name, ...] = ()
    allowed_services: tuple[Name, ...] = ()
    rate_per_s: float = Field(default=50.0, gt=0)
    burst_requests: float = Field(default=100.0, ge=1)
    concurrency_max: int = Field(default=200, ge=1)
    share_weight: float = Field(default=1.0, gt=0)

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """Models, versions and services that it may use."""
        models = (Reference("model", m, "allowed_models") for m in self.allowed_models)
        versions = (
            Reference("version", v, "allowed_versions") for v in self.allowed_versions
        )
        pools = (
            Reference("pool", p, "allowed_services") for p in self.allowed_services
        )
        return (*models, *versions, *pools)


@RESOURCE_KINDS.add
class Cascade(Spec):
    """Versions from the cheapest to the costliest."""

    name = "cascade"
    priority = 2
    rungs: tuple[Name, ...] = Field(min_length=1, max_length=16)

    @model_validator(mode="after")
    def _distinct(self) -> "Cascade":
        if len(set(self.rungs)) != len(self.rungs):
            raise ValueError("rungs must be distinct")
        return self

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """The versions."""
        return tuple(Reference("version", rung, "rungs") for rung in self.rungs)


@RESOURCE_KINDS.add
class Route(Spec):
    """What callers name as `model`: a cascade and the aims on it.

    The router picks versions so that the mean rating reaches
    `quality_target` while `cost_weight` x cost (US dollars a thousand
    requests) + `latency_weight` x latency (seconds) is least.
    """

    name = "route"
    priority = 3
    cascade: Name
    quality_target: Quality = 0.0
    cost_weight: float = Field(default=1.0, ge=0)
    latency_weight: float = Field(default=0.0, ge=0)
    deadline_ms: float = Field(default=30_000.0, gt=0)
    session_pin_ms: int = Field(default=3_600_000, ge=0)

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """The cascade."""
        return (Reference("cascade", self.cascade, "cascade"),)


class RolloutStage(BaseModel):
    """A part of the traffic, kept until `answers_min` answers were good."""

    model_config = ConfigDict(extra="forbid", frozen=True)
    share_percent: float = Field(gt=0, le=100)
    answers_min: int = Field(default=50, ge=1)


@RESOURCE_KINDS.add
class Rollout(Spec):
    """Moves the traffic of one version to another in stages."""

    name = "rollout"
    priority = 3
    from_version: Name
    to_version: Name
    stages: tuple[RolloutStage, ...] = Field(min_length=1, max_length=20)

    @model_validator(mode="after")
    def _ordered(self) -> "Rollout":
        shares = [stage.share_percent for stage in self.stages]
        if shares != sorted(set(shares)):
            raise ValueError("stages must have growing shares")
        if self.from_version == self.to_version:
            raise ValueError("from_version and to_version must differ")
        return self

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """Both versions; neither may be withdrawn when the roll-out starts."""
        return (
            Reference("version", self.from_version, "from_version", live=True),
            Reference("version", self.to_version, "to_version", live=True),
        )


@RESOURCE_KINDS.add
class RolloutProgress(Spec):
    """How far a roll-out has come. Kept by `ashlatch-control`."""

    name = "rollout-progress"
    priority = 5
    stage: int = Field(default=0, ge=0)
    share_percent: float = Field(default=0.0, ge=0, le=100)
    state: Literal["running", "done", "rolled_back"] = "running"
    reason: str = ""
    epoch: int = 0

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """The roll-out of the same name."""
        return (Reference("rollout", own_name, "name"),)


@RESOURCE_KINDS.add
class Withdrawal(Spec):
    """The version of the same name receives no new work."""

    name = "withdrawal"
    priority = 5
    reason: str = ""

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """The version."""
        return (Reference("version", own_name, "name"),)


@RESOURCE_KINDS.add
class Evacuation(Spec):
    """The endpoints of the hall of the same name receive no new work.

    It lasts until it is deleted, whatever endpoints come to the hall meanwhile.
    """

    name = "evacuation"
    priority = 0
    reason: str = ""


def field_errors(error: ValidationError) -> list[FieldError]:
    """What `pydantic` found wrong, a typed error for each field."""
    found = []
    for problem in error.errors(include_url=False):
        field = ".".join(str(part) for part in problem["loc"]) or "(document)"
        value = json.dumps(problem["input"], default=str)[:VALUE_CHARACTERS_MAX]
        found.append(FieldError(field, value, problem["msg"]))
    return found


def parse(kind: str, spec: bytes) -> Spec:
    """Read a spec of a kind.

    Raises `UnknownName` for the kind, or `InvalidResource` with a
    `FieldError` for each wrong field.
    """
    model = RESOURCE_KINDS.get(kind)
    try:
        return model.model_validate_json(spec)
    except ValidationError as error:
        raise InvalidResource(kind, field_errors(error)) from error


@lru_cache(maxsize=8192)
def parse_cached(kind: str, spec: bytes) -> Spec:
    """As `parse`; the same bytes are read once."""
    return parse(kind, spec)


def encode_canonical(spec: Spec) -> bytes:
    """A spec as JSON, the same bytes for the same content."""
    document = spec.model_dump(mode="json")
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()
