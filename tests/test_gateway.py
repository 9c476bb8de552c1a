"""Tests how a gateway handles requests, with stand-ins for the platform's endpoints."""

import asyncio
import socket
import struct

from ashlatch.catalog import Endpoint, EndpointList, Rollout, RolloutStage
from ashlatch.gateway.updates import EndpointReplaced, SessionMoved
from tests import stub_server
from tests.gateway import (
    KEY,
    STREAM_HEADER_VARIANTS,
    STREAM_HEADERS,
    GatewayHarness,
    build_request,
    hang,
)
from tests.stub_server import (
    LAST_CHUNK,
    ReceivedRequest,
    StubServer,
    chunk,
    event,
    response_head,
)


async def reset(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
    raise ConnectionResetError


async def cut_within_event(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(response_head(request, 200) + b"Transfer-Encoding: chunked\r\n\r\n")
    writer.write(chunk(event(1) + event(2) + b"id: 3\nda"))
    await writer.drain()
    await asyncio.sleep(0.05)
    await reset(request, writer)


async def foreign(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    request.headers["x-attempt-id"] = "another"
    writer.write(stub_server.full_response(request, b"not yours"))


async def surplus(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(
        stub_server.full_response(request, b"body")
        + stub_server.full_response(request, b"more")
    )


async def unframed_reset(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(response_head(request) + b"Connection: close\r\n\r\nhalf of the bo")
    await writer.drain()
    await asyncio.sleep(0.05)
    await reset(request, writer)


class GatewayTest(GatewayHarness):
    def test_headers_sent_to_the_endpoint(self) -> None:
        worker = StubServer([stub_server.answer_with()])
        caller_headers = (
            "X-Tenant: other\r\nX-Kv-Hold: a\r\nX-Pin-Ms: 9\r\nKv-From: b\r\n"
            "X-Kv-Backup: c\r\nX-Request-Priority: 0\r\nX-Expect-Instance: z\r\n"
            "X-Mine: kept\r\n"
        )

        async def work() -> None:
            status, got = await self.call(
                build_request("/get/1?q=2", caller_headers, "POST", b"abc")
            )
            self.assertEqual(200, status)
            self.assertIn(b"X-Server-Seal: seal", got)
            self.assertTrue(got.endswith(b"\r\n\r\nbody"))

        self.run_gateway([worker], work)
        (seen,) = worker.requests
        self.assertEqual(("POST", "/get/1?q=2"), (seen.method, seen.target))
        self.assertEqual(b"abc", seen.body)
        expected = {
            "x-tenant": "acme",
            "x-expect-instance": "i-0",
            "x-attempt-id": "r1",
            "x-mine": "kept",
        }
        for name, value in expected.items():
            self.assertEqual(value, seen.headers[name])
        self.assertTrue(1000 < int(seen.headers["x-deadline-ms"]) <= 1500)
        absent = {"authorization", "x-kv-hold", "x-pin-ms", "kv-from", "x-kv-backup"}
        self.assertEqual(set(), absent & set(seen.headers))

    def test_requests_that_are_refused(self) -> None:
        async def work() -> None:
            unknown = build_request("/get/1").replace(b"key-1", b"key-2")
            self.assertEqual(401, (await self.call(unknown))[0])
            self.assertEqual(404, (await self.call(build_request("/none/1")))[0])
            keyless = build_request("/open/1").replace(KEY.encode(), b"")
            self.assertEqual(200, (await self.call(keyless))[0])
            self.context.table = None
            status, got = await self.call(build_request("/get/1"))
            self.assertEqual(503, status)
            self.assertIn(b"Retry-After", got)

        self.run_gateway([StubServer([stub_server.answer_with()])], work)

    def test_failed_requests_are_retried(self) -> None:
        broken = StubServer([reset])
        healthy = StubServer([stub_server.answer_with()])

        async def work() -> None:
            for _ in range(12):
                self.assertEqual(200, (await self.call(build_request("/get/1")))[0])

        self.run_gateway([broken, healthy], work)
        self.assertNotEqual([], broken.requests)
        self.assertEqual(12, len(healthy.requests))

    def test_non_repeatable_requests_are_sent_once(self) -> None:
        broken = StubServer([reset])

        async def work() -> None:
            status, got = await self.call(
                build_request("/once/1", method="POST", body=b"x")
            )
            self.assertEqual(502, status)
            self.assertNotIn(b"Retry-After", got)

        self.run_gateway([broken], work)
        self.assertEqual(1, len(broken.requests))

    def test_requests_that_did_not_run_are_retried(self) -> None:
        full = stub_server.answer_with(b"", 503, "X-Not-Executed: 1")
        workers = [StubServer([full]) for _ in range(5)]

        async def work() -> None:
            status, got = await self.call(
                build_request("/once/1", method="POST", body=b"x")
            )
            self.assertEqual(503, status)
            self.assertIn(b"Retry-After", got)

        self.run_gateway(workers, work)
        self.assertEqual(3, sum(len(w.requests) for w in workers))

    def test_retries_are_bounded_by_the_budget(self) -> None:
        workers = [StubServer([reset]) for _ in range(5)]

        async def work() -> None:
            for _ in range(4):
                await self.call(build_request("/get/1"))

        self.run_gateway(workers, work, extra=0.0)
        sent = sum(len(w.requests) for w in workers)
        self.assertTrue(4 <= sent <= 4 + int(0.9 * 4), sent)

    def test_answers_of_other_requests_are_not_forwarded(self) -> None:
        worker = StubServer([foreign, stub_server.answer_with()])
        other = StubServer([foreign, stub_server.answer_with()])

        async def work() -> None:
            status, got = await self.call(
                build_request("/once/1", method="POST", body=b"x")
            )
            self.assertEqual(502, status)
            self.assertNotIn(b"not yours", got)

        self.run_gateway([worker, other], work)

    def test_surplus_bytes_close_the_connection(self) -> None:
        worker = StubServer([surplus, stub_server.answer_with(b"second")])

        async def work() -> None:
            self.assertEqual(200, (await self.call(build_request("/get/1")))[0])
            _, got = await self.call(build_request("/get/2"))
            self.assertTrue(got.endswith(b"second"))

        self.run_gateway([worker], work)
        self.assertEqual(2, worker.connections)

    def test_connections_are_reused(self) -> None:
        worker = StubServer(
            [stub_server.answer_with(b"body", 200, "Keep-Alive: timeout=5")]
        )

        async def work() -> None:
            for _ in range(5):
                await self.call(build_request("/get/1"))

        self.run_gateway([worker], work)
        self.assertEqual(1, worker.connections)

    def test_an_unframed_answer_that_is_reset_is_incomplete(self) -> None:
        worker = StubServer([unframed_reset])

        async def work() -> None:
            status, got = await self.call(
                build_request("/once/1", method="POST", body=b"x")
            )
            self.assertEqual(502, status)
            self.assertNotIn(b"half", got)

        self.run_gateway([worker], work)

    def test_broken_streams_are_resumed(self) -> None:
        cut = StubServer([cut_within_event])
        healthy = StubServer([stub_server.stream(5)])

        async def work() -> None:
            for headers in STREAM_HEADER_VARIANTS:
                status, got = await self.call(
                    build_request("/stream/1", headers, "POST")
                )
                self.assertEqual(200, status)
                ids = [n for n in range(1, 9) if f"id: {n}\n".encode() in got]
                self.assertEqual([1, 2, 3, 4, 5], ids)
                self.assertEqual(5, got.count(b"data: piece"))
                self.assertTrue(got.endswith(LAST_CHUNK))

        self.run_gateway([cut, healthy], work)
        resumed = [s for s in healthy.requests if s.headers.get("last-event-id") == "2"]
        self.assertNotEqual([], cut.requests)
        self.assertEqual(len(cut.requests), len(resumed))

    def test_restarted_streams_repeat_no_events(self) -> None:
        async def anew(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            request.headers.pop("last-event-id", None)
            await stub_server.stream(5)(request, writer)

        cut = StubServer([cut_within_event])
        healthy = StubServer([anew])

        async def work() -> None:
            for headers in STREAM_HEADER_VARIANTS:
                _, got = await self.call(build_request("/stream/1", headers, "POST"))
                self.assertEqual(5, got.count(b"data: piece"))

        self.run_gateway([cut, healthy], work)
        self.assertNotEqual([], cut.requests)

    def test_a_stream_that_cannot_resume_ends_incomplete(self) -> None:
        cut = StubServer([cut_within_event])

        async def work() -> None:
            _, got = await self.call(build_request("/stream/1", STREAM_HEADERS, "POST"))
            self.assertFalse(got.endswith(LAST_CHUNK))

        self.run_gateway([cut], work)

    def test_low_confidence_escalates_to_the_larger_model(self) -> None:
        unsure = stub_server.stream(3, "X-Confidence: 20")
        sure = stub_server.stream(3, "X-Confidence: 90")
        worker = StubServer([unsure, sure])

        async def work() -> None:
            status, got = await self.call(
                build_request("/stream/1", STREAM_HEADERS, "POST")
            )
            self.assertEqual(200, status)
            self.assertIn(b"X-Confidence: 90", got)
            self.assertEqual(3, got.count(b"data: piece"))

        self.run_gateway([worker], work)
        models = [seen.headers["x-model"] for seen in worker.requests]
        self.assertEqual(["small", "large"], models)

    def test_without_budget_a_slow_answer_is_awaited(self) -> None:
        """Without budget for a retry, silence does not end an attempt."""

        async def slow(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.9)
            writer.write(stub_server.full_response(request, b"body"))

        worker = StubServer([slow])
        other = StubServer([slow])

        async def work() -> None:
            self.assertEqual(200, (await self.call(build_request("/get/1")))[0])

        self.run_gateway([worker, other], work, extra=0.0)
        self.assertEqual(1, len(worker.requests) + len(other.requests))

    def test_requests_at_a_silent_endpoint_are_retried(self) -> None:
        silent = StubServer([hang])
        healthy = StubServer([stub_server.answer_with()])

        async def work() -> None:
            for _ in range(6):
                self.assertEqual(200, (await self.call(build_request("/get/1")))[0])

        self.run_gateway([silent, healthy], work)
        self.assertNotEqual([], silent.requests)

    def test_disconnected_callers_free_the_endpoint(self) -> None:
        worker = StubServer([hang])

        async def work() -> None:
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(build_request("/once/1", method="POST", body=b"x"))
            await asyncio.sleep(0.15)
            self.assertEqual(1, worker.open_connections)
            writer.close()
            await asyncio.sleep(0.2)
            state = next(iter(self.context.directory.of_service("app")))
            self.assertEqual(0, state.load.in_flight)

        self.run_gateway([worker], work)

    def test_the_callers_timeout_is_kept(self) -> None:
        worker = StubServer([hang])

        async def work() -> None:
            loop = asyncio.get_running_loop()
            begun_s = loop.time()
            status, _ = await self.call(
                build_request("/once/1", method="POST", body=b"x")
            )
            self.assertIn(status, (502, 504))
            self.assertTrue(1.3 < loop.time() - begun_s < 1.9)

        self.run_gateway([worker], work)


class DroppedAnswerTest(GatewayHarness):
    def test_a_request_that_ran_is_not_reported_as_not_run(self) -> None:
        """The small model's answer is dropped, and the large model refuses the request.

        Guards against a 503 in this case: it promises that nothing has run.
        """
        low = stub_server.stream(3, "X-Confidence: 20")
        full = stub_server.answer_with(b"", 503, "X-Not-Executed: full")

        async def by_model(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            small = request.headers["x-model"] == "small"
            await (low if small else full)(request, writer)

        async def work() -> None:
            status, _ = await self.call(build_request("/stream/1", STREAM_HEADERS))
            self.assertEqual(502, status)

        self.run_gateway([StubServer([by_model])], work)


class MisdirectedTest(GatewayHarness):
    def test_replaced_engines_are_tried_once(self) -> None:
        """Requests are served although two of three engines were replaced.

        The request has escalated to the large model before, so one of three attempts is
        used, and each of the replaced engines receives it once at most.
        """
        turned = stub_server.answer_with(b"", 421)
        low = stub_server.stream(3, "X-Confidence: 20")
        good = stub_server.stream(3, "X-Confidence: 90")

        async def by_model(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            small = request.headers["x-model"] == "small"
            await (low if small else good)(request, writer)

        async def small_only(
            request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            small = request.headers["x-model"] == "small"
            await (low if small else turned)(request, writer)

        workers = [
            StubServer([small_only]),
            StubServer([small_only]),
            StubServer([by_model]),
        ]

        async def work() -> None:
            updates: list[object] = []
            self.context.broadcast = updates.append
            for _ in range(6):
                status, _ = await self.call(build_request("/stream/1", STREAM_HEADERS))
                self.assertEqual(200, status)
            rejected = [
                r
                for w in workers[:2]
                for r in w.requests
                if r.headers["x-model"] != "small"
            ]
            self.assertTrue(len(rejected) <= 2, len(rejected))
            replaced = [n for n in updates if isinstance(n, EndpointReplaced)]
            self.assertEqual(len(rejected), len(replaced))

        self.run_gateway(workers, work)


class LoadTestSessionsTest(GatewayHarness):
    def test_moved_sessions_are_broadcast(self) -> None:
        """The session's next request may arrive at another gateway."""
        worker = StubServer([stub_server.stream(2, "X-Confidence: 90")])

        async def work() -> None:
            updates: list[object] = []
            self.context.broadcast = updates.append
            moved = Endpoint("i-0", "app", worker.address, "hall-1", "v2", 8, False)
            self.context.directory.replace(EndpointList(1, 2, (moved,)), 0.0)
            stage = RolloutStage.LOAD_TEST
            self.context.versions.apply_rollouts(
                [Rollout("app", "v2", stage, 0.1, 1, 1000.0)]
            )
            for _ in range(2):
                await self.call(build_request("/stream/1", STREAM_HEADERS))
            moved_updates = [n for n in updates if isinstance(n, SessionMoved)]
            self.assertEqual([SessionMoved("app", "s1", "v2")], moved_updates)

        self.run_gateway([worker], work)
