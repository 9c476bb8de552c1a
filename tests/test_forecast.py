"""Tests of the predicted cost of a send to an engine, and of the choice by it."""

import random

import testtools

from ashlatch.catalog import Endpoint, EndpointList
from ashlatch.gateway.budget import BudgetTerms
from ashlatch.gateway.choice import Choice, choose_endpoint, engine_urgency
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.forecast import Forecast, Send
from ashlatch.gateway.latency_model import LatencyModel
from ashlatch.gateway.message import CallerRequest, LoadFigures, PromptPart
from ashlatch.gateway.overload import AdmissionMode
from ashlatch.gateway.routing import RouteTable
from ashlatch.gateway.sessions import SessionVersions
from ashlatch.gateway.versions import AllowedEndpoints, VersionChooser, VersionReason
from ashlatch.platform.document import decode_catalog
from ashlatch.policy.endpoint import ENDPOINT_POLICIES, rank
from ashlatch.policy.workload import WORK_MAX_MS, Workload
from tests.stub_server import document, encode_document, engine_service

ENGINES = ("i-near", "i-far", "i-farther")
HALLS = ("here", "there", "there")
SLACK_MS = 3000.0
SUBJECT = PromptPart("subject", 13_000)


def make_request(
    prompt_tokens: int, body_bytes: int, *parts: PromptPart
) -> CallerRequest:
    return CallerRequest(
        "r1",
        "POST",
        "/chat/1",
        "shop.example",
        [],
        b"x" * body_bytes,
        0.0,
        None,
        "",
        "",
        True,
        prompt_tokens,
        100,
        parts,
        "",
        "",
    )


LONG = make_request(17_000, 17_000, SUBJECT, PromptPart("own", 4000))
SHORT = make_request(400, 400, PromptPart("own", 400))


def gateway_context(vm: str = "vm-1") -> GatewayContext:
    """Returns a gateway in the hall `here`, with three engines of known rates."""
    context = GatewayContext(
        "here",
        vm,
        VersionChooser(SessionVersions(5000.0)),
        ENDPOINT_POLICIES.get("hall_affinity")(),
        BudgetTerms(0.9, 50.0, 10_000.0),
        generator=random.Random(1),
    )
    catalog = document(services=[engine_service("app")])
    context.table = RouteTable(decode_catalog(encode_document(catalog)))
    endpoints = tuple(
        Endpoint(instance, "app", f"{instance}:1", hall, "v1", 8, False)
        for instance, hall in zip(ENGINES, HALLS, strict=True)
    )
    context.directory.replace(EndpointList(1, 1, endpoints), 0.0)
    for n in range(20):
        context.latency_model.record_first_event("app", "large", 5000, 400.0, float(n))
        context.latency_model.record_first_event("app", "small", 5000, 40.0, float(n))
    return context


class ChooseEngineTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.context = gateway_context()

    def choose(self, request: CallerRequest, model: str) -> Choice:
        states = list(self.context.directory.of_service("app"))
        allowed = AllowedEndpoints(states, VersionReason.NO_ROLLOUT)
        assert self.context.table is not None
        service = self.context.table.services["app"]
        chosen = choose_endpoint(
            self.context,
            service,
            allowed,
            frozenset(),
            Send(request, model, SLACK_MS),
            100.0,
        )
        assert chosen is not None
        return chosen

    def instance(self, request: CallerRequest, model: str) -> str:
        return self.choose(request, model).state.endpoint.instance

    def cache_prompt(self, instance: str, model: str, *parts: PromptPart) -> None:
        self.context.prefix_caches.record_prefill(instance, model, parts, 400_000, 0.0)

    def test_short_prompts_stay_in_the_hall(self) -> None:
        self.assertEqual("i-near", self.instance(SHORT, "small"))
        self.cache_prompt("i-far", "small", *SHORT.prompt_parts)
        self.assertEqual("i-near", self.instance(SHORT, "small"))

    def test_long_prompts_go_where_they_are_cached(self) -> None:
        self.cache_prompt("i-far", "large", SUBJECT)
        chosen = self.choose(LONG, "large")
        self.assertEqual("i-far", chosen.state.endpoint.instance)
        assert chosen.forecast is not None
        self.assertEqual(4000, chosen.forecast.prefill_tokens)
        # The prefill by the small model is faster than the transfer of the body between
        # halls.
        self.cache_prompt("i-far", "small", SUBJECT)
        self.assertEqual("i-near", self.instance(LONG, "small"))

    def test_first_prefills_go_to_the_home_engine(self) -> None:
        home = rank(ENGINES, SUBJECT.part_id)[0]
        self.assertEqual(home, self.instance(LONG, "large"))

    def test_queued_work_at_an_engine_is_counted(self) -> None:
        state = self.context.directory.state("i-near")
        assert state is not None
        state.workload.add(200.0, 100.0)
        state.workload.add(300.0, 100.0)
        state.workload.add(200.0, 100.0)
        self.assertEqual(700.0, state.workload.remaining_ms(100.0))
        self.assertEqual(500.0, state.workload.remaining_ms(300.0))
        self.assertNotEqual("i-near", self.instance(SHORT, "small"))
        state.apply_load(LoadFigures(0, 1, 8), 100.0)
        self.assertEqual(700.0, state.workload.remaining_ms(100.0))
        state.apply_load(LoadFigures(0, 0, 8), 100.0)
        self.assertEqual(300.0, state.workload.remaining_ms(100.0))


class UrgencyTest(testtools.TestCase):
    def test_short_prompts_first(self) -> None:
        self.assertIsNone(engine_urgency(None, 1))
        for prefill_ms, route_urgency, expected in (
            (10.0, 0, 0),
            (10.0, 7, 2),
            (300.0, 0, 3),
            (300.0, 1, 4),
            (2000.0, 2, 8),
        ):
            forecast = Forecast(0.0, 1000, prefill_ms, prefill_ms)
            self.assertEqual(expected, engine_urgency(forecast, route_urgency))


class WorkloadTest(testtools.TestCase):
    def test_bounds(self) -> None:
        work = Workload()
        work.add(1e9, 0.0)
        self.assertEqual(WORK_MAX_MS, work.remaining_ms(0.0))
        work.clear_queue(100.0)
        self.assertEqual(WORK_MAX_MS - 100.0, work.remaining_ms(100.0))
        work.add(300.0, 30_000.0)
        work.add(100.0, 30_000.0)
        work.clear_queue(30_000.0)
        self.assertEqual(200.0, work.remaining_ms(30_100.0))


class PrefillRateTest(testtools.TestCase):
    def test_waits_do_not_raise_the_prefill_time(self) -> None:
        """0.09 ms a token; three in four prompts waited, a few were cached."""
        model = LatencyModel()
        for n in range(60):
            wait_ms = (0.0, 300.0, 700.0, 1500.0)[n % 4]
            first_ms = 100.0 if n % 15 == 0 else 0.09 * 6000 + wait_ms
            model.record_first_event("app", "large", 6000, first_ms, n * 100.0)
        self.assertTrue(0.08 < model.token_ms("app", "large") < 0.11)

    def test_a_rate_that_is_too_high_is_corrected(self) -> None:
        """The first answer after a start was slow, so predicted waits are long."""
        model = LatencyModel()
        model.record_first_event("app", "small", 6000, 2000.0, 0.0)
        self.assertTrue(model.token_ms("app", "small") > 0.3)
        for n in range(3):
            model.record_first_event(
                "app", "small", 6000, 100.0, n * 100.0, predicted_ms=2000.0
            )
        self.assertTrue(model.token_ms("app", "small") < 0.02)


class RestartedEngineTest(testtools.TestCase):
    def test_an_engine_that_has_restarted_gets_requests_while_others_are_full(
        self,
    ) -> None:
        """Guards against an idle engine that never reports as nobody sends to it."""
        context = gateway_context()
        context.overload.mode = AdmissionMode.ON
        near, *full = context.directory.of_service("app")
        near.record_refusal(0.0)
        near.record_success()
        assert context.table is not None
        service = context.table.services["app"]
        send = Send(SHORT, "", SLACK_MS)
        chosen = set()
        for number in range(100):
            now_ms = 10_000.0 + 20.0 * number
            for state, waiting in zip(full, (0, 2), strict=True):
                state.record_progress(now_ms)
                state.apply_load(LoadFigures(8, waiting, 8), now_ms)
            allowed = AllowedEndpoints([near, *full], VersionReason.NO_ROLLOUT)
            choice = choose_endpoint(
                context, service, allowed, frozenset(), send, now_ms
            )
            assert choice is not None
            chosen.add(choice.state.endpoint.instance)
        self.assertIn("i-near", chosen)
