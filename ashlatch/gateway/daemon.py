"""
ashlatch.gateway.daemon
~~~~~~~~~~~~~~~~~~~~~~~

The gateway process of an entry VM: its listeners, its start and its shutdown.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import random
import socket
import traceback
from collections.abc import Callable
from dataclasses import replace

from ashlatch.catalog import GatewayVm
from ashlatch.clients import ClientPool
from ashlatch.fleet.seeds import Seeds
from ashlatch.gateway.admission import Refused, admit, refuse
from ashlatch.gateway.answer_memory import AnswerMemory
from ashlatch.gateway.budget import BudgetTerms
from ashlatch.gateway.cold import ColdSendLimiter
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.crash_records import record_survivors
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.exchange import Exchange
from ashlatch.gateway.liveness import LivenessProber
from ashlatch.gateway.logs import (
    ConnectionsRefused,
    HandlerFailed,
    PeersUnavailable,
    RequestEnded,
    RequestUnreadable,
    RestrictionsFetched,
    StopBegun,
    TrafficCounted,
)
from ashlatch.gateway.message import AnswerHead, CallerRequest, RefusalReason
from ashlatch.gateway.notices import apply_notice
from ashlatch.gateway.overload import AdmissionMode
from ashlatch.gateway.peers import PeerProtocol
from ashlatch.gateway.relay import Relay
from ashlatch.gateway.relay_server import RelayServer
from ashlatch.gateway.relay_terms import RelayTerms
from ashlatch.gateway.sessions import SessionVersions
from ashlatch.gateway.sync import CoreSync
from ashlatch.gateway.versions import VersionChooser
from ashlatch.http.connection import HttpBounds, HttpRequest, Responder
from ashlatch.http.listener import HttpListener
from ashlatch.log import emit
from ashlatch.metrics import serve_metrics
from ashlatch.platform.contracts import requires_admission_control
from ashlatch.platform.headers import (
    MalformedRequest,
    caller_timeout_s,
    decode_request,
)
from ashlatch.platform.operator import READY_TARGET
from ashlatch.policy.congestion import Congestion
from ashlatch.policy.endpoint import ENDPOINT_POLICIES
from ashlatch.rpc import Address, RpcLoop, register_traffic_metrics
from ashlatch.settings import GatewaySettings
from ashlatch.suspension import watch_suspension

__all__ = ["GatewayDaemon"]


log = logging.getLogger("ashlatch.gateway")

# The number of lines at the end of a traceback that are logged.
TRACE_LINES = 4
# The interval at which the lateness of the event loop is measured.
CONGESTION_INTERVAL_S = 0.05
# The interval at which HTTP limits are applied, expired idle connections closed, and
# the demand of organisations broadcast while capacity is scarce.
SWEEP_S = 0.25
# What another gateway adds to the head of a request that it relays.
RELAY_HEAD_BYTES = 512
# Questions about readiness have no body.
READY_BODY_MAX_BYTES = 1024
# Other gateways use idle connections for less than this time.
RELAY_IDLE_S = 6.0
# The interval at which the traffic counts are logged; they grow slowly.
TRAFFIC_LOG_S = 10.0
# A gateway that has just started syncs with the core within about a second. Requests
# that arrive before wait this long at most and are refused then.
START_WAIT_S = 1.2
START_RETRY_AFTER_S = 1.0
# A gateway that was suspended syncs with the core when it resumes, which takes some
# ms. A request that arrives meanwhile is served with the present state after this time.
UPDATE_WAIT_S = 0.6
# After the stop signal, a gateway accepts new connections until the platform's entry
# has polled its readiness twice.
STOP_ACCEPTS_S = 2.5
STOP_POLL_S = 0.05
# The share of the time to stop after which remaining requests are aborted, so that the
# process ends by itself.
STOP_ABORT_RATIO = 0.9


class GatewayDaemon:
    """One gateway process.

    `read_settings` reads the settings file again. `early` is a socket that already
    listens on the callers' address.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        failed: Callable[[BaseException], None],
        read_settings: Callable[[], GatewaySettings],
        early: socket.socket | None = None,
    ) -> None:
        self.settings = settings
        self._early_socket = early
        self._failed = failed
        self.rpc = RpcLoop()
        sessions = SessionVersions(settings.session_s * 1000.0)
        repeats = settings.repeats
        self.context = GatewayContext(
            settings.hall,
            settings.vm,
            VersionChooser(sessions),
            ENDPOINT_POLICIES.get(settings.endpoint_policy)(),
            BudgetTerms(repeats.ratio, repeats.extra, repeats.window_s * 1000.0),
            settings.halls,
            generator=random.Random(settings.vm),
            answer_memory=AnswerMemory(
                settings.answer_max_bytes, settings.answers_max_bytes
            ),
        )
        overload = self.context.overload
        overload.mode = AdmissionMode(settings.admission)
        overload.all_engines = requires_admission_control(settings.contracts)
        self._seeds = Seeds(settings, read_settings)
        self._congestion = Congestion()

    def start(self) -> None:
        """Opens the listeners and starts the background tasks."""
        self.rpc.submit(self._start()).result(timeout=10.0)

    def reload(self) -> None:
        """Applies the settings that may change while the process runs: the seeds."""
        self._seeds.refresh()

    def stop(self) -> int:
        """Finishes requests in flight; returns how many were aborted."""
        timeout_s = self.settings.stop_s
        aborted = self.rpc.submit(self._stop()).result(timeout=timeout_s)
        self.rpc.stop()
        return aborted

    async def _start(self) -> None:
        clients = ClientPool(self.settings.clients.limits, self.context.metrics.count)
        self._clients = clients
        self.listener = HttpListener(self._handle, clients=clients)
        self.listener.caller_timeout_s = caller_timeout_s
        self.listener.on_handler_error = self._handler_failed
        self.listener.on_malformed = self._unreadable
        self.listener.accepts = self._accepts
        self._ready_listener = HttpListener(
            self._handle_ready, HttpBounds(body_max_bytes=READY_BODY_MAX_BYTES), clients
        )
        local = GatewayVm(self.settings.rpc_address, self.settings.hall)
        self._sync = CoreSync(
            self.context,
            self._seeds,
            self.settings.list_address,
            self.settings.sync_wait_ms,
            local,
        )
        peers = PeerProtocol(self.context)
        await peers.start(local)
        self.context.cold_limiter = ColdSendLimiter(local)
        self._relay = Relay(self.context, local)
        self._relay.enabled = self.settings.relay.enabled
        self.context.broadcast = peers.broadcast
        self.context.places.local = local.address
        self.context.places.send_to = peers.send_to
        self.context.links.on_health_answer = self._apply_health_answer
        for listener, text, early in (
            (self.listener, self.settings.listen, self._early_socket),
            (self._ready_listener, self.settings.ready, None),
        ):
            address = Address.parse(text)
            await listener.start(address.host, address.port, early)
        await self._start_relay_listener(Address.parse(local.address))
        register_traffic_metrics(self.context.metrics)
        self.context.metrics.register_callback("configuration_version", self._version)
        metrics_port = self.settings.metrics_port
        await serve_metrics(
            self.context.metrics, self.settings.host, metrics_port, clients
        )
        self._restrictions_fetched = asyncio.Event()
        prober = LivenessProber(
            self.context.directory,
            self.context.links.connect,
            self.context.links.confirm_reachable,
        )
        tasks = (
            self._sync.run(),
            self._sync.report_urgent(),
            self._sync.prefer_local_core(),
            self._sync.read_platform_list(),
            prober.run(),
            self.context.links.watch(),
            self._fetch_restrictions(),
            self._sweep(),
            self.context.places.run(),
            self._log_traffic(),
            self._watch_congestion(),
            watch_suspension(),
        )
        for task in tasks:
            self.rpc.supervise(task, self._failed)

    async def _start_relay_listener(self, address: Address) -> None:
        """Opens the listener for other gateways; the gateway also runs without it."""
        server = RelayServer(
            self.context,
            self._serve_relayed,
            lambda: self.ready,
            self.settings.relay.requests_max,
        )
        self._relay_listener = HttpListener(server.handle, clients=self._clients)
        self._relay_listener.on_handler_error = self._handler_failed
        self._relay_listener.on_malformed = self._unreadable
        if not self.settings.relay.enabled:
            return
        try:
            await self._relay_listener.start(address.host, address.port)
        except OSError as error:
            self._relay.enabled = False
            emit(log, PeersUnavailable(str(address), str(error)), logging.WARNING)

    async def _stop(self) -> int:
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        ends_s = started_s + STOP_ABORT_RATIO * self.settings.stop_s
        self.listener.stopping = True
        self.context.overload.stop()
        self.context.places.stop()
        emit(
            log,
            StopBegun(self.listener.active_requests, len(self.listener.connections)),
        )
        while loop.time() < started_s + STOP_ACCEPTS_S:
            await asyncio.sleep(STOP_POLL_S)
        self.listener.stop_accepting()
        # Idle connections of other gateways stay open until then: they may be used at
        # any moment, and requests on them are refused as not run.
        listeners = (self.listener, self._relay_listener)
        self._relay_listener.stop_accepting()
        self._relay_listener.stopping = True
        while loop.time() < ends_s and any(x.connections for x in listeners):
            for listener in listeners:
                listener.close_idle()
            await asyncio.sleep(STOP_POLL_S)
        aborted = sum(listener.active_requests for listener in listeners)
        for listener in listeners:
            listener.abort()
        self._ready_listener.abort()
        return aborted

    def _apply_health_answer(
        self, state: EndpointState, head: AnswerHead, sent_ms: float
    ) -> None:
        now_ms = self.rpc.loop.time() * 1000.0
        apply_notice(self.context, state, head, sent_ms, now_ms)

    # Requests.

    @property
    def ready(self) -> bool:
        """Checks whether callers should send requests to this gateway."""
        welcome = self._congestion.ready(self.rpc.loop.time() * 1000.0)
        return self._serving and not self.listener.stopping and welcome

    @property
    def _serving(self) -> bool:
        return self._sync.ready and self._restrictions_fetched.is_set()

    async def _fetch_restrictions(self) -> None:
        """Fetches what endpoints have asked of all gateways, before the first send."""
        while not await self._sync.wait_ready(START_WAIT_S):
            pass
        try:
            answered = await self._relay.fetch_restrictions()
        finally:
            self._restrictions_fetched.set()
        emit(log, RestrictionsFetched(answered, len(self.context.gateways)))

    async def _wait_serving(self) -> bool:
        """Waits until this gateway may serve; returns whether it may."""
        ends_s = asyncio.get_running_loop().time() + START_WAIT_S
        if not await self._sync.wait_ready(START_WAIT_S):
            return False
        try:
            async with asyncio.timeout_at(ends_s):
                await self._restrictions_fetched.wait()
        except TimeoutError:
            return False
        return True

    async def _handle_ready(self, request: HttpRequest, responder: Responder) -> None:
        found = request.target.partition("?")[0] == READY_TARGET
        status = 404 if not found else 200 if self.ready else 503
        responder.respond(status, [], b"")

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        try:
            caller_request = decode_request(request)
        except MalformedRequest as error:
            self._refuse(responder, "", Refused(400, RefusalReason.MALFORMED))
            emit(log, RequestUnreadable(request.peer, str(error)))
            return
        if not self._serving and not await self._wait_serving():
            refused = Refused(503, RefusalReason.NO_CONFIGURATION, START_RETRY_AFTER_S)
            self._refuse(responder, caller_request.request_id, refused)
            return
        await self._serve(caller_request, None, responder)

    async def _serve_relayed(
        self, request: CallerRequest, terms: RelayTerms, responder: Responder
    ) -> None:
        await self._serve(request, terms, responder)

    async def _serve(
        self, request: CallerRequest, terms: RelayTerms | None, responder: Responder
    ) -> None:
        if self._sync.stale:
            await self._sync.wait_updated(UPDATE_WAIT_S)
        admission = admit(self.context, request)
        if isinstance(admission, Refused):
            self._refuse(responder, request.request_id, admission)
            return
        admission = replace(admission, relay_terms=terms)
        await Exchange(self.context, admission, responder, self._relay).run()

    def _refuse(self, responder: Responder, request_id: str, refused: Refused) -> None:
        refuse(responder, request_id, refused)
        table = self.context.table
        version = table.catalog.version if table else 0
        reason = refused.reason.value
        emit(
            log,
            RequestEnded(
                request_id, "", version, refused.status, reason, 0, 0, 0, 0, 0
            ),
        )
        self.context.metrics.count(f"requests_{reason}")

    def _version(self) -> int:
        """Returns the version of the configuration in force, or 0 without one."""
        table = self.context.table
        return table.catalog.version if table else 0

    def _handler_failed(self, error: BaseException) -> None:
        """Logs a defect: the request is lost, others are still served."""
        trace = "".join(traceback.format_exception(error)[-TRACE_LINES:])
        emit(log, HandlerFailed(type(error).__name__, trace), logging.ERROR)

    def _unreadable(self, peer: str, reason: str) -> None:
        emit(log, RequestUnreadable(peer, reason), logging.WARNING)

    def _accepts(self) -> bool:
        """Decides whether a new connection is served or closed unread.

        A gateway that knows no other one serves all: its callers have nowhere to go.
        """
        refuses = self._congestion.refuses(self.rpc.loop.time() * 1000.0)
        if not refuses or len(self.context.gateways) < 2:
            return True
        self.context.metrics.count("connections_refused")
        return False

    async def _watch_congestion(self) -> None:
        """Measures how late this process is, and logs when that has consequences."""
        loop, welcome = self.rpc.loop, True
        while True:
            due_s = loop.time() + CONGESTION_INTERVAL_S
            await asyncio.sleep(CONGESTION_INTERVAL_S)
            now_s = loop.time()
            congestion = self._congestion
            congestion.record_lateness((now_s - due_s) * 1000.0, now_s * 1000.0)
            if congestion.ready(now_s * 1000.0) == welcome:
                continue
            welcome = not welcome
            event = ConnectionsRefused(
                not welcome,
                int(congestion.lateness_ms),
                round(congestion.usual or 0.0, 1),
            )
            emit(log, event, logging.WARNING)

    async def _log_traffic(self) -> None:
        while True:
            await asyncio.sleep(TRAFFIC_LOG_S)
            for total in self.context.traffic.counts():
                counted = TrafficCounted(
                    total.kind.value,
                    total.cross_hall,
                    total.messages,
                    total.data_bytes,
                )
                emit(log, counted)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_S)
            self.context.pool.sweep(loop.time())
            self._relay.sweep(loop.time())
            self.context.shares.tick(loop.time() * 1000.0)
            record_survivors(self.context, loop.time() * 1000.0)
            table = self.context.table
            if table is not None:
                limits = table.catalog.limits
                bounds = HttpBounds(
                    limits.head_max_bytes,
                    limits.body_max_bytes,
                    limits.head_timeout_ms / 1000.0,
                    limits.idle_timeout_ms / 1000.0,
                    self.settings.clients.body_timeout_ms / 1000.0,
                )
                self.listener.bounds = bounds
                self._relay_listener.bounds = replace(
                    bounds,
                    head_max_bytes=bounds.head_max_bytes + RELAY_HEAD_BYTES,
                    idle_timeout_s=max(bounds.idle_timeout_s, RELAY_IDLE_S),
                )
