"""
ashlatch.gateway.choice
~~~~~~~~~~~~~~~~~~~~~~~

Which endpoint and which model a send goes to.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass

from ashlatch.catalog import Route
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.knowledge import Knowledge
from ashlatch.gateway.message import Ask
from ashlatch.policy.endpoint import Candidate

__all__ = ["Choice", "Verdict", "choose_endpoint", "first_model", "next_model"]

# An answer whose model gives it less confidence than this is asked again of
# the largest model. Figures between 40 and 60 served equally well in trials.
CONFIDENCE_MIN = 50.0
# Endpoints that failed this share of their latest attempts are left to others.
FAILING_MAX = 0.3
# The prompt's first part is shared by nearly all requests of a route, the
# second by those about one subject, which then meet in one engine's memory.
SUBJECT_PART = 1


class Verdict(enum.Enum):
    """What becomes of an answer that has begun at a chosen model.

    `GOOD` ones and the largest model's are passed on. The others are asked
    again of the largest model, unless that would be late, has no attempt left,
    or no budget.
    """

    GOOD = "good"
    CLIMBS = "climbs"
    LATE = "no_time_for_larger"
    SPENT = "no_attempt_for_larger"
    OVER_BUDGET = "no_budget_for_larger"


@dataclass(frozen=True)
class Choice:
    """The endpoint, out of how many, and how busy it is believed to be."""

    state: EndpointState
    candidates: int
    utilisation: float


def choose_endpoint(
    known: Knowledge,
    states: Iterable[EndpointState],
    tried: frozenset[str],
    ask: Ask,
    now_ms: float,
) -> Choice | None:
    """The endpoint for the next send of a request, or none."""
    usable = [s for s in states if not s.endpoint.leaving]
    fresh = [s for s in usable if s.endpoint.instance not in tried]
    sound = [s for s in fresh if s.breaker.allows(now_ms)]
    well = [s for s in sound if s.failing < FAILING_MAX]
    moving = [s for s in well if not s.stalled(now_ms)]
    among = moving or well or sound or fresh
    if not among:
        return None
    by_instance = {s.endpoint.instance: s for s in among}
    candidates = tuple(_candidate(known, s, now_ms) for s in among)
    chosen = known.policy.choose(candidates, _subject(ask), known.generator)
    state = by_instance[chosen.endpoint]
    return Choice(state, len(among), chosen.utilisation)


def first_model(route: Route, ask: Ask) -> str:
    """The model that a request is sent to first; empty for the caller's own."""
    if not route.models or ask.model or not ask.names_model:
        return ""
    return route.models[0]


def next_model(route: Route, model: str, confidence: float | None) -> str:
    """The model to ask instead, or empty when the answer is good enough."""
    largest = route.models[-1] if route.models else ""
    if not model or model == largest or confidence is None:
        return ""
    return largest if confidence < CONFIDENCE_MIN else ""


def _candidate(known: Knowledge, state: EndpointState, now_ms: float) -> Candidate:
    endpoint = state.endpoint
    requests = state.requests(now_ms)
    return Candidate(
        endpoint.instance,
        requests,
        state.load.reported_requests(),
        endpoint.slots,
        0.0,
        endpoint.hall == known.hall,
    )


def _subject(ask: Ask) -> str:
    if len(ask.prompt_parts) > SUBJECT_PART:
        return ask.prompt_parts[SUBJECT_PART].part_id
    return ""
