"""
ashlatch.router.daemon
~~~~~~~~~~~~~~~~~~~~~~

The router process: the HTTP API for callers, and the loops that bring configuration,
leases, loads and ratings to the core.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import json
import logging
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import ClassVar

import msgspec
from werkzeug.wrappers import Request as HttpRequest
from werkzeug.wrappers import Response

from ashlatch.adapter.platform import PlatformUnreadable, read_pool
from ashlatch.adapter.rating import RatingService, RatingUnreadable
from ashlatch.clock import monotonic_ms, monotonic_s, unix_ms
from ashlatch.errors import TransportError
from ashlatch.http import problem as problems
from ashlatch.http.problem import Problem, problem_response
from ashlatch.http.server import HttpServer
from ashlatch.log import LogEvent, emit
from ashlatch.periodic import PeriodicTasks
from ashlatch.policy.table import RoutingTable, TableBuilder
from ashlatch.router.api import (
    ArrivalTime,
    BadRequest,
    authenticate,
    read_chat,
    read_service,
)
from ashlatch.router.event import (
    Answered,
    ConfigurationChanged,
    CrashRecordsReceived,
    DrainStarted,
    LeaseRenewed,
    LoadReported,
    RatingReceived,
    Request,
    VersionTotals,
    VersionTotalsReceived,
)
from ashlatch.router.host import RouterHost
from ashlatch.router.responder import Responder
from ashlatch.rpc import Address
from ashlatch.settings import RouterSettings
from ashlatch.store.protocol import RouterPoll, RouterReply, VersionReport

__all__ = [
    "DEMAND_POLL_WAIT_MS",
    "RouterDaemon",
    "configuration_changed",
    "lease_renewed",
]


log = logging.getLogger("ashlatch.router")

POLL_RETRY_S = 0.05
# How long the state may delay its reply to a heartbeat while a version is suspected.
SUSPECTED_POLL_WAIT_MS = 100.0
# The same while requests wait for places, which the state deals by demand.
DEMAND_POLL_WAIT_MS = 100.0
FIRST_CONFIGURATION_TIMEOUT_S = 20.0
STOP_CHECK_S = 0.02
# The interval of checks whether endpoints can be reached again, and when callers that
# are refused meanwhile may retry, at another router.
LINKS_RECHECK_MS = 250.0
LINKS_RETRY_MS = 500.0
SERVICES = "/v1/services/"


@dataclass(frozen=True)
class StateUnreachable(LogEvent):
    """A heartbeat of this router has failed."""

    event: ClassVar[str] = "state_unreachable"
    vm: str
    reason: str
    lease_left_ms: float


@dataclass(frozen=True)
class DrainBegun(LogEvent):
    """The router refuses new requests and waits for those in flight."""

    event: ClassVar[str] = "drain_begun"
    vm: str
    in_flight: int


def configuration_changed(
    table: RoutingTable, reply: RouterReply
) -> ConfigurationChanged:
    """Returns the event for a reply, with the versions and organisations it changes."""
    put = [(r.kind, r.name) for r in reply.resources]
    deleted = [(key.kind, key.name) for key in reply.deleted]
    return ConfigurationChanged(
        table,
        frozenset(name for kind, name in put + deleted if kind == "withdrawal"),
        frozenset(name for kind, name in put + deleted if kind == "organisation"),
    )


def lease_renewed(reply: RouterReply, sent_ms: float) -> LeaseRenewed:
    """Returns the event for the lease in a reply to a poll sent at `sent_ms`."""
    return LeaseRenewed(
        sent_ms + reply.lease_ms,
        reply.routers,
        reply.brittle,
        reply.deal,
        reply.shares,
        reply.deal_settled,
    )


class RouterDaemon:
    """Runs one router. `start` returns once the router accepts callers."""

    def __init__(
        self, settings: RouterSettings, failed: Callable[[BaseException], None]
    ) -> None:
        self.settings = settings
        self.host = RouterHost(settings, failed)
        self._builder = TableBuilder()
        self._failed = failed
        self._ready = threading.Event()
        self._periodic = PeriodicTasks(failed)
        self._server = HttpServer(
            Address.parse(settings.listen),
            self._handle,
            settings.http,
            settings.clients,
        )
        self._ratings = RatingService(settings.rating_url)
        self._random = random.Random(settings.policy.seed)
        self._crashes_known = 0
        self._crash_found = asyncio.Event()

    def start(self) -> None:
        """Starts serving once the first configuration is applied.

        If the state can't be reached, the router starts after a timeout and refuses
        all requests.
        """
        self.host.on_crash = self._crash_found.set
        self.host.rpc.supervise(self._poll_state(), self._failed)
        self.host.rpc.supervise(self._report_crashes(), self._failed)
        settings, repeat = self.settings, self._periodic.start
        repeat("load", self._poll_loads, settings.load_poll_ms)
        repeat("links", self.host.links.recheck, LINKS_RECHECK_MS)
        if settings.rating_url:
            self.host.on_answer = self._sample_answer
            self._periodic.start(
                "ratings", self._poll_ratings, self.settings.rating_poll_ms
            )
        self._ready.wait(FIRST_CONFIGURATION_TIMEOUT_S)
        self._server.start()

    def stop(self) -> int:
        """Refuses new requests, completes those in flight, then stops.

        Returns the number of requests that were still in flight at the end.
        """
        self.host.post(DrainStarted())
        emit(log, DrainBegun(self.settings.vm, self.host.in_flight()))
        time.sleep(self.settings.drain_ms / 1000.0)
        deadline_s = monotonic_s() + self.settings.deadline_max_ms / 1000.0
        while self.host.in_flight() and monotonic_s() < deadline_s:
            time.sleep(STOP_CHECK_S)
        unfinished = self.host.in_flight()
        self._server.stop()
        self._periodic.stop()
        self.host.stop()
        return unfinished

    # Loops that post events to the core.

    async def _poll_state(self) -> None:
        while not self._periodic.stopping:
            sent_ms = monotonic_ms()
            try:
                reply = await self.host.client.poll_router(self._heartbeat())
            except TransportError as error:
                left_ms = self.host.core.lease_until_ms - sent_ms
                event = StateUnreachable(self.settings.vm, error.reason, left_ms)
                emit(log, event, logging.WARNING)
                await asyncio.sleep(POLL_RETRY_S)
                continue
            if not reply.granted:
                await asyncio.sleep(POLL_RETRY_S)
                continue
            self._apply(reply, sent_ms)

    async def _report_crashes(self) -> None:
        """Reports crashes to the state immediately, in a poll of their own.

        The reply to a heartbeat may be delayed for long, but the caller's repeat may
        reach another router within milliseconds. Only the crash records of the reply
        are applied: the configuration must be applied in the order of the heartbeats.
        """
        while True:
            await self._crash_found.wait()
            self._crash_found.clear()
            poll = msgspec.structs.replace(self._heartbeat(), wait_ms=0.0)
            try:
                reply = await self.host.client.poll_router(poll)
            except TransportError as error:
                left_ms = self.host.core.lease_until_ms - monotonic_ms()
                event = StateUnreachable(self.settings.vm, error.reason, left_ms)
                emit(log, event, logging.WARNING)
                continue
            self._apply_crashes(reply)

    def _apply_crashes(self, reply: RouterReply) -> None:
        if reply.crashes:
            self.host.post(CrashRecordsReceived(reply.crashes))
        self._crashes_known = max(self._crashes_known, reply.crashes_known)

    def _heartbeat(self) -> RouterPoll:
        core = self.host.core
        reports = tuple(
            VersionReport.from_tally(version, tally, core.planner.is_suspended(version))
            for version, tally in list(core.tallies.items())
        )
        wait_ms = self.settings.poll_wait_ms
        if any(core.planner.is_suspected(version) for version in list(core.tallies)):
            wait_ms = min(wait_ms, SUSPECTED_POLL_WAIT_MS)
        if core.waiting:
            wait_ms = min(wait_ms, DEMAND_POLL_WAIT_MS)
        if not self._ready.is_set():
            wait_ms = 0.0
        return RouterPoll(
            self.host.router,
            self.settings.vm,
            self.settings.hall,
            self._builder.revision,
            wait_ms,
            reports,
            core.quarantine.unconfirmed(),
            self._crashes_known,
            *self.host.brittle_state(),
        )

    def _apply(self, reply: RouterReply, sent_ms: float) -> None:
        if reply.revision != self._builder.revision or not self._ready.is_set():
            table = self._builder.update(reply.revision, reply.resources, reply.deleted)
            self.host.post(configuration_changed(table, reply))
        self.host.post(lease_renewed(reply, sent_ms))
        totals = tuple(
            VersionTotals(report.version, report.tally) for report in reply.totals
        )
        self.host.post(VersionTotalsReceived(totals))
        self._apply_crashes(reply)
        self._ready.set()

    def _poll_loads(self) -> None:
        for pool, spec in list(self.host.core.planner.table.pools.items()):
            if not spec.report_url:
                continue
            try:
                subset = self.host.core.planner.pool_subset(pool)
                report = read_pool(
                    spec.report_url,
                    monotonic_ms(),
                    self.settings.load_poll_ms,
                    tuple(endpoint.name for endpoint in subset),
                )
            except PlatformUnreadable:
                self.host.post(LoadReported(pool, (), frozenset(), fresh=False))
                continue
            self.host.post(LoadReported(pool, report.reports, report.leaving))

    def _sample_answer(self, request: Request, version: str, result: Answered) -> None:
        suspected = self.host.core.planner.is_suspected(version)
        ratio = 1.0 if suspected else self.settings.rating_sample_ratio
        if self._random.random() >= ratio:
            return
        answer = result.answer.body

        def submit() -> None:
            try:
                self._ratings.submit(
                    request.request_id, request.target, version, answer
                )
            except RatingUnreadable:
                self.host.metrics.count("ratings_lost")

        self.host.submit(submit)

    def _poll_ratings(self) -> None:
        try:
            ratings = self._ratings.read()
        except RatingUnreadable:
            self.host.metrics.count("rating_polls_failed")
            return
        for rating in ratings:
            self.host.post(RatingReceived(rating.route, rating.version, rating.rating))

    # The HTTP API.

    def _handle(self, http: HttpRequest) -> Response:
        if http.path == "/healthz":
            return Response("ok\n")
        if http.path == "/readyz":
            return self._readiness()
        if http.path == "/metrics":
            return Response(self.host.metrics.text())
        table = self.host.core.planner.table
        try:
            if not self.host.core.lease_valid(monotonic_ms()):
                # Without a lease API keys can't be checked either.
                raise BadRequest(
                    Problem(
                        problems.NO_CONFIGURATION,
                        "",
                        None if "Idempotency-Key" in http.headers else True,
                        1000.0,
                    )
                )
            organisation = authenticate(http, table)
            if http.path == "/v1/models" and http.method == "GET":
                return self._models(organisation)
            request = self._read_request(http, organisation)
        except BadRequest as error:
            return problem_response(error.problem)
        return self._serve(http, request)

    def _readiness(self) -> Response:
        core = self.host.core
        serving = core.lease_valid(monotonic_ms()) and not core.draining
        ready = serving and self.host.links.reached
        return Response(
            "ready\n" if ready else "not ready\n", status=200 if ready else 503
        )

    def _models(self, organisation: str) -> Response:
        table = self.host.core.planner.table
        data = [
            {"id": route, "object": "model", "owned_by": "ashlatch"}
            for route in sorted(table.routes)
            if any(table.usable(organisation, v) for v in table.rungs(route))
        ]
        body = json.dumps({"object": "list", "data": data})
        return Response(body, content_type="application/json")

    def _read_request(self, http: HttpRequest, organisation: str) -> Request:
        arrival = ArrivalTime(monotonic_ms(), unix_ms(), self.settings.deadline_max_ms)
        table = self.host.core.planner.table
        if http.path == "/v1/chat/completions" and http.method == "POST":
            return read_chat(http, organisation, table, arrival)
        if http.path.startswith(SERVICES):
            pool, _, path = http.path.removeprefix(SERVICES).partition("/")
            return read_service(http, organisation, pool, path, table, arrival)
        raise BadRequest(Problem(problems.NOT_FOUND, http.path))

    def _serve(self, http: HttpRequest, request: Request) -> Response:
        if self.host.links.unreached and not request.keyed:
            # A keyed request may have a recorded answer.
            detail = "this router reaches no endpoint"
            problem = Problem(problems.NO_ENDPOINT, detail, True, LINKS_RETRY_MS)
            return problem_response(problem)
        started_ms = monotonic_ms()
        mailbox = self.host.open_request(request)
        responder = Responder(self.host, http, request, mailbox, started_ms)
        return responder.respond()
