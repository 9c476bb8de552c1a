"""Measures the processor time of one choice of an engine, by the number of engines, and
of the admission decision before it, with a new summary of the engines for each one.

While the context load of each engine was summed twice per choice, a choice among 70
engines took 0.49 ms; since it is summed once, 0.40 ms. Run: python -m bench.choice
"""

import random
import time

from ashlatch.catalog import Endpoint, EndpointList, EngineSpec, Service
from ashlatch.gateway.budget import BudgetTerms
from ashlatch.gateway.choice import choose_endpoint
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.forecast import Send
from ashlatch.gateway.message import CallerRequest, LoadFigures, PromptPart
from ashlatch.gateway.overload import AdmissionMode, Arrival
from ashlatch.gateway.sessions import SessionVersions
from ashlatch.gateway.versions import VersionChooser
from ashlatch.policy.endpoint import ENDPOINT_POLICIES
from bench.table import format_spread, print_row, print_title

ENGINES = (9, 45, 70, 140)
CHOICES = 300
ROUNDS = 5
NOW_MS = 1000.0
CACHE_TOKENS = 500_000
AMPLE = LoadFigures(5, 0, 12)
SCARCE = LoadFigures(12, 3, 12)
TOPICS = 2000
SERVICE = Service("app", 480, EngineSpec(12, CACHE_TOKENS, 11, ()), 3000.0, 10.0)


def build_request(number: int) -> CallerRequest:
    """Builds a request with a long prompt on one of many topics, in a new session."""
    parts = (
        PromptPart(f"s{number % 3}", 512),
        PromptPart(f"t{number % TOPICS}", 4870),
        PromptPart(f"u{number}", 1200),
    )
    return CallerRequest(
        f"r{number}",
        "POST",
        "/ask/1",
        "host",
        [],
        b"x" * 6000,
        0.0,
        15_000.0,
        "key",
        "",
        True,
        6610,
        400,
        parts,
        f"u{number}",
        "",
    )


def build_context(engines: int) -> GatewayContext:
    """Builds the context of a gateway after some thousand prompts."""
    context = GatewayContext(
        "h0",
        "vm",
        VersionChooser(SessionVersions(5000.0)),
        ENDPOINT_POLICIES.get("hall_affinity")(),
        BudgetTerms(0.9, 50.0, 10_000.0),
        generator=random.Random(1),
    )
    endpoints = tuple(
        Endpoint(f"i-{n:08x}", "app", f"10.0.0.{n}:80", f"h{n % 3}", "v1", 12, False)
        for n in range(engines)
    )
    context.directory.replace(EndpointList(1, 1, endpoints), 0.0)
    states = list(context.directory.all())
    for number in range(3000):
        state = states[number % engines]
        parts = build_request(number).prompt_parts
        context.prefix_caches.record_prefill(
            state.endpoint.instance, "m", parts, CACHE_TOKENS, NOW_MS
        )
        state.apply_load(LoadFigures(number % 9, 0, 12), NOW_MS)
    return context


def measure_choice_ms(context: GatewayContext) -> float:
    """Returns the mean processor time of one choice."""
    begun_s = time.process_time()
    for number in range(CHOICES):
        request = build_request(number)
        states = context.directory.of_service(SERVICE.name)
        allowed = context.versions.allowed(
            SERVICE.name, request.session, request.request_id, states, NOW_MS
        )
        send = Send(request, "m", 500.0)
        choose_endpoint(context, SERVICE, allowed, frozenset(), send, NOW_MS)
    return (time.process_time() - begun_s) / CHOICES * 1000.0


def measure_admission_ms(context: GatewayContext, load: LoadFigures) -> float:
    """Returns the mean processor time of one admission decision at this load."""
    control = context.overload
    control.mode = AdmissionMode.ON
    for state in context.directory.all():
        state.apply_load(load, NOW_MS)
    begun_s = time.process_time()
    for number in range(CHOICES):
        control._control(SERVICE.name).summary_ms = -NOW_MS
        control.is_on(SERVICE, NOW_MS)
        control.record_demand(SERVICE.name, number % 3, NOW_MS)
        if control.is_scarce(SERVICE.name, NOW_MS):
            arrival = Arrival(
                number, number % 3, 15e3, 5e3, 300.0, 0.0, False, False, 9
            )
            control.decide(SERVICE.name, arrival, NOW_MS)
    return (time.process_time() - begun_s) / CHOICES * 1000.0


def main() -> None:
    print_title("A choice of an engine, processor time")
    for engines in ENGINES:
        context = build_context(engines)
        times = [measure_choice_ms(context) for _ in range(ROUNDS)]
        print_row(f"{engines} engines", ms=format_spread(times))
    print_title("An admission decision, processor time")
    for engines in ENGINES:
        for name, load in (("ample", AMPLE), ("scarce", SCARCE)):
            times = [
                measure_admission_ms(build_context(engines), load)
                for _ in range(ROUNDS)
            ]
            print_row(f"{engines} engines, {name}", ms=format_spread(times))


if __name__ == "__main__":
    main()
