"""Every reason to send a request again asks `ashlatch.policy.repeat` for leave."""

import ast
import asyncio
from pathlib import Path
from typing import Any
from unittest import mock

import testtools

import ashlatch
from ashlatch.catalog import RepeatPolicy
from ashlatch.errors import InvariantViolated
from ashlatch.gateway.chooser import EndpointChooser
from ashlatch.gateway.routing import RouteTable
from ashlatch.platform.document import decode_catalog
from ashlatch.policy.repeat import EarlierSends, SendReason, may_send
from ashlatch.router.core import ActiveRequest
from ashlatch.router.planning_result import Plan
from ashlatch.router.sending import plan_attempt, start_attempt, start_hedge
from tests import stub_server
from tests.gateway import STREAM_HEADERS, GatewayHarness, build_request, hang
from tests.stub_server import ReceivedRequest, Script, StubServer
from tests.test_router import RouterTest, request

PROMISES_NOT_RUN = (408, 421, 429, 503)


class PolicyTest(testtools.TestCase):
    def test_what_may_have_run_is_not_run_again(self) -> None:
        for reason in SendReason:
            for forwarded in (False, True):
                earlier = EarlierSends(True, forwarded, True)
                self.assertFalse(may_send(RepeatPolicy.NEVER, earlier, reason))
            for policy in RepeatPolicy:
                self.assertTrue(may_send(policy, EarlierSends(), reason))

    def test_a_begun_stream_only_continues(self) -> None:
        whole = (SendReason.ESCALATED, SendReason.HEDGED)
        for reason in SendReason:
            begun = EarlierSends(True, True, continues=True)
            lost = EarlierSends(True, True, continues=False)
            resumes = may_send(RepeatPolicy.RESUME, begun, reason)
            self.assertEqual(reason not in whole, resumes)
            self.assertFalse(may_send(RepeatPolicy.RESUME, lost, reason))
            self.assertFalse(may_send(RepeatPolicy.FREELY, begun, reason))


class ConstructionTest(testtools.TestCase):
    def test_sends_are_created_in_one_place_each(self) -> None:
        """Another place could send a request without asking."""
        names = {"Attempt", "RelayedSend", "StartAttempt", "ActiveAttempt"}
        found: dict[str, set[str]] = {name: set() for name in names}
        for path in Path(ashlatch.__file__).parent.rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                called = getattr(getattr(node, "func", None), "id", "")
                if called in names:
                    found[called].add(f"{path.parent.name}/{path.name}")
        expected = {
            "Attempt": {"gateway/exchange.py"},
            "RelayedSend": {"gateway/relay.py"},
            "StartAttempt": {"router/sending.py"},
            "ActiveAttempt": {"router/sending.py"},
        }
        self.assertEqual(expected, found)


def unsure(count: int) -> Script:
    return stub_server.stream(count, "X-Confidence: 20")


async def break_off(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def cut(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Ends within a body, after one event of a stream."""
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    writer.write(stub_server.response_head(request) + chunked)
    writer.write(stub_server.chunk(stub_server.event(1)))
    await writer.drain()
    writer.transport.abort()


async def other_id(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    request.headers["x-attempt-id"] = "another"
    writer.write(stub_server.full_response(request, b"body"))


# The first sends of each reason, and whether streams only.
REASONS: dict[str, tuple[Script, bool]] = {
    "broken": (break_off, False),
    "cut": (cut, False),
    "error": (stub_server.answer_with(b"", 500), False),
    "foreign": (other_id, False),
    "silent": (hang, False),
    "unsure": (unsure(3), True),
    "ran, 503": (stub_server.answer_with(b"", 503), False),
    "ran, 429": (stub_server.answer_with(b"", 429), False),
    "ran, 408": (stub_server.answer_with(b"", 408), False),
}
KINDS = {
    "/get/1": (RepeatPolicy.FREELY, False),
    "/once/1": (RepeatPolicy.NEVER, False),
    "/stream/1": (RepeatPolicy.RESUME, True),
    "/only/1": (RepeatPolicy.NEVER, True),
}


class GatewayTableTest(GatewayHarness):
    """Each kind of request with each reason to send it again."""

    def send(self, path: str, scripts: list[Script]) -> tuple[int, list[str]]:
        """Returns the status and the models of all sends to two endpoints."""
        workers = [StubServer(list(scripts)) for _ in range(2)]
        statuses: list[int] = []

        async def work() -> None:
            only = stub_server.route(
                "only",
                "/only/",
                routeKind="stream",
                resumable=False,
                sizes=["small", "middle", "large"],
                itlTargetMs=1200,
            )
            document = stub_server.document()
            document["routes"].append(only)
            encoded = stub_server.encode_document(document)
            self.context.table = RouteTable(decode_catalog(encoded))
            headers = STREAM_HEADERS if KINDS[path][1] else ""
            statuses.append((await self.call(build_request(path, headers)))[0])

        self.run_gateway(workers, work)
        sends = [seen for worker in workers for seen in worker.requests]
        return statuses[0], [seen.headers.get("x-model", "") for seen in sends]

    def test_no_reason_repeats_what_may_run_once(self) -> None:
        """Callers repeat what is answered with 503, 429 or 408 themselves."""
        for reason, (script, streams_only) in REASONS.items():
            for path, (policy, streams) in KINDS.items():
                if streams_only and not streams:
                    continue
                status, sends = self.send(path, [script])
                case = f"{reason} {path}: {status} after {sends}"
                once = policy is RepeatPolicy.NEVER
                if once or not reason.startswith("ran"):
                    self.assertNotIn(status, PROMISES_NOT_RUN, case)
                if once or reason not in ("ran, 429", "ran, 408"):
                    self.assertEqual(once, len(sends) == 1, case)

    def test_refused_sends_go_on_for_every_kind(self) -> None:
        refused = stub_server.answer_with(b"", 503, "X-Not-Executed: full")
        for path in KINDS:
            _, sends = self.send(path, [refused])
            self.assertGreater(len(sends), 1, path)

    def test_the_only_model_is_chosen_before_the_send(self) -> None:
        """A stream that may run once ran at the small model, and again at the large."""
        status, models = self.send("/only/1", [unsure(3)])
        self.assertEqual((200, ["large"]), (status, models))

    def test_an_unsure_answer_of_the_only_run_is_forwarded(self) -> None:
        """No larger model was in time before the send, but one is after it."""
        choices = [("", 0.0), ("large", 0.0)]
        with mock.patch.object(
            EndpointChooser, "first_model_in_time", side_effect=choices
        ):
            status, models = self.send("/only/1", [unsure(3)])
        self.assertEqual((200, ["small"]), (status, models))


class RouterTableTest(RouterTest):
    def test_no_reason_sends_what_may_have_run(self) -> None:
        plan = plan_attempt(self.core, self.active(), "v1")
        assert isinstance(plan, Plan)
        for reason in SendReason:
            active = self.active(repeatable=False)
            self.assertTrue(self.core.may_send_again(active, reason))
            active.maybe_ran = True
            self.assertFalse(self.core.may_send_again(active, reason))
        for start in (start_attempt, start_hedge):
            active = self.active(repeatable=False)
            active.maybe_ran = True
            with testtools.ExpectedException(InvariantViolated):
                start(self.core, active, plan)

    def active(self, **changed: Any) -> ActiveRequest:
        return ActiveRequest(request(**changed), self.core.now_ms)
