"""
ashlatch.gateway.message
~~~~~~~~~~~~~~~~~~~~~~~~

A request and an answer as a gateway handles them, independent of how the platform
encodes them.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from dataclasses import dataclass

from ashlatch.http.connection import Headers
from ashlatch.policy.rate_limit import NO_LIMIT

__all__ = [
    "AnswerHead",
    "CallerRequest",
    "Dispatch",
    "LoadFigures",
    "PromptPart",
    "RefusalReason",
]


class RefusalReason(enum.Enum):
    """Why a gateway refuses a request itself; the values appear in answers and logs."""

    MALFORMED = "malformed"
    UNKNOWN_KEY = "unknown_key"
    NO_ROUTE = "no_route"
    NO_CONFIGURATION = "no_configuration"
    NO_ENDPOINT = "no_endpoint"
    OVERLOAD = "overload"
    ENDPOINTS_FULL = "endpoints_full"
    ATTEMPTS_SPENT = "attempts_spent"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMED_OUT = "timed_out"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"
    EVACUATED = "evacuated"
    NO_ENDPOINT_IN_REGION = "no_endpoint_in_region"
    ENDPOINTS_LIMITED = "endpoints_limited"
    ENDPOINTS_BACKOFF = "endpoints_backoff"
    RELAY_UNAVAILABLE = "relay_unavailable"


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt; requests that share a part use the same id for it."""

    part_id: str
    tokens: int


@dataclass(frozen=True)
class CallerRequest:
    """A request from a caller.

    `forwarded_headers` are passed to the endpoint unchanged. `timeout_ms` is how long
    the caller waits, counted from `received_s`. `model` is empty if the gateway chooses
    one. `resume_after` is the id of the last stream event that the caller has received.
    """

    request_id: str
    method: str
    target: str
    host: str
    forwarded_headers: Headers
    body: bytes
    received_s: float
    timeout_ms: float | None
    key: str
    model: str
    has_model_header: bool
    prompt_tokens: int
    answer_tokens_max: int
    prompt_parts: tuple[PromptPart, ...]
    session: str
    resume_after: str

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The ids of the prompt parts that other requests may share.

        The last part belongs to the request or its session.
        """
        return tuple(part.part_id for part in self.prompt_parts[:-1])


@dataclass(frozen=True)
class Dispatch:
    """The data that the gateway adds when it sends a request to an endpoint.

    `resume_after` is the id of the last event that the caller has received, if any.
    """

    organisation: str
    instance: str
    remaining_ms: float
    model: str
    urgency: int | None
    resume_after: str


@dataclass(frozen=True)
class LoadFigures:
    """The load that an endpoint reports.

    `duration_percent` is how long work takes on its host at the moment, 100 for the
    usual duration; None if the endpoint does not report it.
    """

    running: int
    waiting: int
    slots: int
    duration_percent: float | None = None


@dataclass(frozen=True)
class AnswerHead:
    """The head of an endpoint's answer.

    `sealed` is set if the endpoint's own program produced the answer, `not_run` if it
    states that it has not run the request and will not, `misdirected` if the reason is
    that it is not the endpoint the request was meant for. `confidence` is the model's
    confidence in its answer, 0 to 100. `encoded` answers were modified in transit.
    `idle_s` is how long the endpoint keeps an idle connection, if it says so.

    `limit_per_s` is how many requests per second the endpoint accepts from all gateways
    together: infinite if it announces no limit, None if the limit is not readable.
    `backoff_ms` is for how long it wants no requests from this gateway, 0 if it does
    not say so. `leaving` is set if it announces that it is about to stop.
    `rejections_max` is how many requests it can reject in a second without falling
    over, None if it announces no such number. `promises_not_run` is set if callers take
    the status alone for a promise that the request has not run.
    """

    status: int
    headers: Headers
    request_id: str
    sealed: bool
    not_run: bool
    misdirected: bool
    encoded: bool
    confidence: float | None
    load: LoadFigures | None
    idle_s: float | None
    limit_per_s: float | None = NO_LIMIT
    backoff_ms: float = 0.0
    leaving: bool = False
    rejections_max: int | None = None
    promises_not_run: bool = False
