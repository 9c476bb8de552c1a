"""Tests of routers that reach no endpoint."""

import concurrent.futures
import signal
import socket
import threading
import time
from contextlib import closing
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import testtools

from ashlatch.adapter.links import EndpointLinks
from tests.small_system import start_small_system
from tests.system import HOST, free_port, request, wait_until

KNOWN_WITHIN_S = 3.0


class EndpointLinksTest(testtools.TestCase):
    def test_one_endpoint_that_accepts_is_enough(self) -> None:
        changes: list[bool] = []
        with closing(socket.create_server((HOST, 0))) as server:
            port = server.getsockname()[1]
            urls = [f"http://{HOST}:{free_port()}" for _ in range(7)]
            links = EndpointLinks(
                lambda: [*urls, f"http://{HOST}:{port}"], changes.append
            )
            self.assertTrue(links.check())
        time.sleep(0.3)
        self.assertFalse(links.check())
        with closing(socket.create_server((HOST, port))):
            links.recheck()
            self.assertFalse(links.unreached)
        self.assertEqual([False, True], changes)

    def test_without_endpoints_nothing_is_lost(self) -> None:
        self.assertTrue(EndpointLinks(lambda: []).check())


class RouterWithoutLinksTest(testtools.TestCase):
    def test_a_router_without_links_is_not_ready_and_refuses_at_once(self) -> None:
        with start_small_system(routers=1) as small:
            url = small.system.routers[0].url
            for endpoint in (*small.engines, *small.workers):
                endpoint.process.kill()
            small.ask()

            def not_ready() -> bool:
                return request(f"{url}/readyz").status == 503

            wait_until(not_ready, "the router is not ready", KNOWN_WITHIN_S)
            begun_s = time.monotonic()
            reply = small.ask()
            self.assertTrue(time.monotonic() - begun_s < 0.2)
            self.assertEqual((503, True), (reply.status, reply.json["not_run"]))
            self.assertEqual(503, small.order("lost").status)


class SilentEndpointsTest(testtools.TestCase):
    """Connections that are accepted, on which little or nothing is answered."""

    def setUp(self) -> None:
        super().setUp()
        self.changes: list[bool] = []
        self.waiting = True

    def serve(self, answer_after_s: float | None) -> str:
        """Returns the URL of a server that answers after a time, or never."""
        if answer_after_s is None:
            server = socket.create_server((HOST, 0))
            self.addCleanup(server.close)
            return f"http://{HOST}:{server.getsockname()[1]}"
        delay_s = answer_after_s

        class Handler(BaseHTTPRequestHandler):
            def do_OPTIONS(self) -> None:
                time.sleep(delay_s)
                self.send_error(501)

            def log_message(self, *arguments: object) -> None:
                pass

        http_server = ThreadingHTTPServer((HOST, 0), Handler)
        threading.Thread(target=http_server.serve_forever, daemon=True).start()
        self.addCleanup(http_server.server_close)
        self.addCleanup(http_server.shutdown)
        return f"http://{HOST}:{http_server.server_address[1]}"

    def links(self, *urls: str, askable: bool = True) -> EndpointLinks:
        return EndpointLinks(
            lambda: urls,
            self.changes.append,
            lambda: urls if askable else (),
            lambda: self.waiting,
        )

    def recheck(self, links: EndpointLinks, seconds: float = KNOWN_WITHIN_S) -> None:
        ends_s = time.monotonic() + seconds
        while time.monotonic() < ends_s:
            links.recheck()
            time.sleep(0.05)

    def test_endpoints_that_answer_nothing_are_not_reached(self) -> None:
        links = self.links(*(self.serve(None) for _ in range(3)))
        self.recheck(links)
        self.assertEqual([False], self.changes)
        # Accepted connections prove nothing then.
        self.assertFalse(links.check())

    def test_an_answer_ends_the_silence(self) -> None:
        urls = [self.serve(None), self.serve(None)]
        links = EndpointLinks(
            lambda: urls, self.changes.append, lambda: urls, lambda: True
        )
        self.recheck(links)
        urls[0] = self.serve(0.0)
        self.recheck(links, 0.3)
        self.assertEqual([False, True], self.changes)

    def test_an_answer_to_a_request_ends_the_silence(self) -> None:
        links = self.links(self.serve(None), self.serve(None))
        self.recheck(links)
        links.record_received()
        self.assertTrue(links.reached)
        self.assertEqual([False, True], self.changes)

    def test_one_endpoint_that_answers_is_enough(self) -> None:
        self.recheck(self.links(*(self.serve(a) for a in (None, None, 0.0, None))))
        self.assertEqual([], self.changes)

    def test_slow_answers_are_answers(self) -> None:
        self.recheck(self.links(self.serve(1.2), self.serve(1.2)))
        self.assertEqual([], self.changes)

    def test_a_silence_of_one_endpoint_says_nothing(self) -> None:
        self.recheck(self.links(self.serve(None)))
        self.assertEqual([], self.changes)

    def test_nothing_is_concluded_without_a_request_or_an_endpoint_to_ask(self) -> None:
        urls = self.serve(None), self.serve(None)
        self.recheck(self.links(*urls, askable=False))
        self.waiting = False
        self.recheck(self.links(*urls))
        self.assertEqual([], self.changes)


class RouterWithSilentEndpointsTest(testtools.TestCase):
    def test_a_router_whose_endpoints_answer_nothing_is_not_ready(self) -> None:
        with (
            start_small_system(routers=1) as small,
            concurrent.futures.ThreadPoolExecutor(2) as pool,
        ):
            url = small.system.routers[0].url

            def is_ready() -> bool:
                return request(f"{url}/readyz").status == 200

            endpoints = [e.process for e in (*small.engines, *small.workers)]
            for process in endpoints:
                process.signal(signal.SIGSTOP)
            waiting = pool.submit(small.ask)
            wait_until(lambda: not is_ready(), "not ready", KNOWN_WITHIN_S + 1.0)
            # The endpoints may be slow for all, so it refuses nothing.
            late = pool.submit(small.order, "late")
            time.sleep(0.5)
            for process in endpoints:
                process.signal(signal.SIGCONT)
            wait_until(is_ready, "ready", KNOWN_WITHIN_S)
            for reply in (waiting.result(), late.result()):
                self.assertEqual(200, reply.status)
