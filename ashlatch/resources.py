"""
ashlatch.resources
~~~~~~~~~~~~~~~~~~

The kinds of resources that operators configure, as validated models.
`ashlatch-control` validates its input with them, and routers decode the configuration
in force with them.

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
# Invalid values are cut to this length in errors.
VALUE_CHARACTERS_MAX = 80


class InvalidResource(ExceptionGroup):
    """All errors in a resource, one `FieldError` for each."""


class Spec(BaseModel):
    """The base class of all kinds; `name` is the kind, as in the resource API.

    A kind may override `references`, which returns the resources that must exist for
    this one to be valid.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)
    name: ClassVar[str] = ""
    priority: ClassVar[int] = 0

    def references(self, resource_name: str) -> tuple[Reference, ...]:
        """Returns the references of the resource of this kind with this name."""
        return ()


RESOURCE_KINDS: Variants[type[Spec]] = Variants("resource kind")


@RESOURCE_KINDS.add
class Model(Spec):
    """A model; endpoints run versions of it."""

    name = "model"
    priority = 0
    description: str = ""


@RESOURCE_KINDS.add
class Version(Spec):
    """A version of a model, with its prices and expected quality.

    Prices are in millionths of a US dollar per thousand tokens. `quality_prior` is the
    expected mean rating while there are no ratings.
    """

    name = "version"
    priority = 1
    model: Name
    input_price_microusd_per_ktoken: int = Field(ge=0)
    output_price_microusd_per_ktoken: int = Field(ge=0)
    quality_prior: Quality = 0.5

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """Returns the model."""
        return (Reference("model", self.model, "model"),)


@RESOURCE_KINDS.add
class Pool(Spec):
    """A set of endpoints that serve models, or one plain service.

    `repeatable` is whether a call of the service may be repeated if the caller does not
    specify it. `report_url` serves the load of all endpoints. `versions` are kept
    loaded on all of them; if there are none, the loaded versions are not changed.
    `checks_fence` tells whether the endpoints refuse fenced commands from a control
    process that is no longer active.
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
        """Returns the versions."""
        return tuple(Reference("version", v, "versions") for v in self.versions)


@RESOURCE_KINDS.add
class Endpoint(Spec):
    """A process that answers requests; maintained by `ashlatch-control`."""

    name = "endpoint"
    priority = 3
    pool: Name
    url: str = Field(pattern=r"^https?://")
    vm: str
    hall: str
    leaving: bool = False

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """Returns the pool."""
        return (Reference("pool", self.pool, "pool"),)


@RESOURCE_KINDS.add
class Organisation(Spec):
    """A customer: its keys, permissions and limits.

    `allowed_models` allows all versions of a model, `allowed_versions` single ones.
    `share_weight` is its weight when scarce capacity is shared.
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
        """Returns the models, versions and services that it may use."""
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
    """A sequence of versions from the cheapest to the most expensive."""

    name = "cascade"
    priority = 2
    rungs: tuple[Name, ...] = Field(min_length=1, max_length=16)

    @model_validator(mode="after")
    def _distinct(self) -> "Cascade":
        if len(set(self.rungs)) != len(self.rungs):
            raise ValueError("rungs must be distinct")
        return self

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """Returns the versions."""
        return tuple(Reference("version", rung, "rungs") for rung in self.rungs)


@RESOURCE_KINDS.add
class Route(Spec):
    """A name that callers send as `model`: a cascade and its objectives.

    The router selects versions so that the mean rating reaches `quality_target` and
    `cost_weight` x cost (US dollars per thousand requests) + `latency_weight` x latency
    (seconds) is minimal.
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
        """Returns the cascade."""
        return (Reference("cascade", self.cascade, "cascade"),)


class RolloutStage(BaseModel):
    """A share of the traffic, kept until `answers_min` answers were good."""

    model_config = ConfigDict(extra="forbid", frozen=True)
    share_percent: float = Field(gt=0, le=100)
    answers_min: int = Field(default=50, ge=1)


@RESOURCE_KINDS.add
class Rollout(Spec):
    """Moves traffic from one version to another in stages."""

    name = "rollout"
    priority = 3
    from_version: Name
    to_version: Name
    stages: tuple[RolloutStage, ...] = Field(min_length=1, max_length=20)

    @model_validator(mode="after")
    def _ordered(self) -> "Rollout":
        shares = [stage.share_percent for stage in self.stages]
        if shares != sorted(set(shares)):
            raise ValueError("stages must have increasing shares")
        if self.from_version == self.to_version:
            raise ValueError("from_version and to_version must differ")
        return self

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """Returns both versions; neither may be withdrawn when the roll-out starts."""
        return (
            Reference("version", self.from_version, "from_version", live=True),
            Reference("version", self.to_version, "to_version", live=True),
        )


@RESOURCE_KINDS.add
class RolloutProgress(Spec):
    """The progress of a roll-out; maintained by `ashlatch-control`."""

    name = "rollout-progress"
    priority = 5
    stage: int = Field(default=0, ge=0)
    share_percent: float = Field(default=0.0, ge=0, le=100)
    state: Literal["running", "done", "rolled_back"] = "running"
    reason: str = ""
    epoch: int = 0

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """Returns the roll-out of the same name."""
        return (Reference("rollout", own_name, "name"),)


@RESOURCE_KINDS.add
class Withdrawal(Spec):
    """Withdraws the version of the same name: it receives no new requests."""

    name = "withdrawal"
    priority = 5
    reason: str = ""

    def references(self, own_name: str) -> tuple[Reference, ...]:
        """Returns the version."""
        return (Reference("version", own_name, "name"),)


@RESOURCE_KINDS.add
class Evacuation(Spec):
    """Evacuates the hall of the same name: its endpoints receive no new requests.

    It lasts until it is deleted, and also applies to endpoints that are added to the
    hall meanwhile.
    """

    name = "evacuation"
    priority = 0
    reason: str = ""


def field_errors(error: ValidationError) -> list[FieldError]:
    """Converts the errors of `pydantic` to one typed error for each field."""
    errors = []
    for problem in error.errors(include_url=False):
        field = ".".join(str(part) for part in problem["loc"]) or "(document)"
        value = json.dumps(problem["input"], default=str)[:VALUE_CHARACTERS_MAX]
        errors.append(FieldError(field, value, problem["msg"]))
    return errors


def parse(kind: str, spec: bytes) -> Spec:
    """Decodes a spec of a kind.

    Raises `UnknownName` if the kind is unknown, or `InvalidResource` with one
    `FieldError` for each invalid field.
    """
    model = RESOURCE_KINDS.get(kind)
    try:
        return model.model_validate_json(spec)
    except ValidationError as error:
        raise InvalidResource(kind, field_errors(error)) from error


@lru_cache(maxsize=8192)
def parse_cached(kind: str, spec: bytes) -> Spec:
    """Decodes a spec as `parse` does; the same bytes are decoded once."""
    return parse(kind, spec)


def encode_canonical(spec: Spec) -> bytes:
    """Encodes a spec as JSON, with the same bytes for the same content."""
    document = spec.model_dump(mode="json")
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()
