"""
ashlatch.control.daemon
~~~~~~~~~~~~~~~~~~~~~~~

The control process: the resource API, and the loops that send events to the core and
perform its effects.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import threading
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from typing import ClassVar

from ashlatch.adapter.placement import may_fetch_weights, send_order
from ashlatch.adapter.platform import PlatformUnreadable, read_pool, read_vms
from ashlatch.adapter.rating import RatingService, RatingUnreadable
from ashlatch.client import StateClient
from ashlatch.clock import monotonic_ms
from ashlatch.codec import digest
from ashlatch.control import membership, placement, rollout
from ashlatch.control.api import ResourceApi
from ashlatch.control.core import ControlCore
from ashlatch.control.event import (
    ChangeResource,
    Event,
    LeaseAnswered,
    LoadedVersions,
    Order,
    OrderEnded,
    OrderKind,
    PoolRead,
    RatingsRead,
    RemoveResource,
    SendOrder,
    StateRead,
    VersionRating,
    VmsListed,
    WriteLog,
)
from ashlatch.errors import AshlatchError, NoLeader, TransportError
from ashlatch.http.server import HttpServer
from ashlatch.log import LogEvent, emit
from ashlatch.periodic import PeriodicTasks
from ashlatch.registry import Handlers
from ashlatch.resources import Pool, parse
from ashlatch.rpc import Address, RpcLoop
from ashlatch.settings import ControlSettings, parse_addresses
from ashlatch.store.command import DeleteResource, PutResource, Resource
from ashlatch.store.configuration import ResourceId
from ashlatch.store.protocol import ControlPoll, ReadReply, ReadRequest

__all__ = ["ControlDaemon"]


log = logging.getLogger("ashlatch.control")

EFFECTS = Handlers("control effect")

ORDER_TIMEOUT_MS = 2000.0
PLATFORM_TIMEOUT_MS = 1000.0
OPERATOR_NAME = "control"

# Importing the modules registers their handlers.
_HANDLER_MODULES = (membership, placement, rollout)


@dataclass(frozen=True)
class SourceUnreadable(LogEvent):
    """An input of the controllers could not be read."""

    event: ClassVar[str] = "source_unreadable"
    vm: str
    source: str
    reason: str


class ControlDaemon:
    """A control process; any number may run, but only one is active."""

    def __init__(
        self, settings: ControlSettings, failed: Callable[[BaseException], None]
    ) -> None:
        self.settings = settings
        self.holder = f"{settings.vm}/{uuid.uuid4().hex[:12]}"
        self.core = ControlCore(self.holder)
        self.rpc = RpcLoop()
        self.client = StateClient(
            self.rpc,
            parse_addresses(settings.state_addresses),
            settings.state_timeout_ms,
        )
        self._failed = failed
        self._lock = threading.Lock()
        self._periodic = PeriodicTasks(failed)
        self._orders = ThreadPoolExecutor(8, "orders")
        self._ratings = RatingService(settings.rating_url)
        self._resources: dict[ResourceId, Resource] = {}
        self._read_revision = 0
        self.api = ResourceApi(settings, self.client, self._lease_status)
        self._server = HttpServer(
            Address.parse(settings.listen),
            self.api.answer,
            settings.http,
            settings.clients,
        )

    def start(self) -> None:
        """Starts serving operators and polling for the control lease."""
        self.rpc.supervise(self._poll_lease(), self._failed)
        settings, repeat = self.settings, self._periodic.start
        repeat("state", self._read_state, settings.control_poll_ms)
        if settings.platform_url:
            repeat("platform", self._read_platform, settings.platform_poll_ms)
        repeat("pools", self._read_pools, settings.platform_poll_ms)
        if settings.rating_url:
            repeat("ratings", self._read_ratings, settings.control_poll_ms)
        self._server.start()

    def stop(self) -> None:
        """Stops all activity; the lease is left to expire."""
        self.api.drain()
        self._periodic.stop()
        self._server.stop()
        self._orders.shutdown(wait=True)
        self.rpc.stop()

    def post(self, event: Event) -> None:
        """Passes an event to the core and performs its effects."""
        with self._lock:
            effects = self.core.step(monotonic_ms(), event)
        for effect in effects:
            EFFECTS.call(self, effect)

    def send(self, order: Order) -> None:
        """Sends a fenced command on this thread, if the lease is still valid."""
        done = False
        free = order.kind is OrderKind.UNLOAD or may_fetch_weights(
            self.settings.weight_store_url, order.version, ORDER_TIMEOUT_MS
        )
        if free and self.core.active(monotonic_ms()):
            done = send_order(order, ORDER_TIMEOUT_MS)
        self.post(OrderEnded(order, done))

    def submit_order(self, order: Order) -> None:
        """Sends a fenced command on the thread pool."""
        self._orders.submit(self.send, order)

    def _lease_status(self) -> tuple[str, bool]:
        return self.holder, self.core.active(monotonic_ms())

    async def _poll_lease(self) -> None:
        while not self._periodic.stopping:
            sent_ms = monotonic_ms()
            try:
                reply = await self.client.poll_control(ControlPoll(self.holder))
            except TransportError:
                await asyncio.sleep(self.settings.control_poll_ms / 1000.0)
                continue
            if reply.answered:
                until_ms = sent_ms + reply.lease_ms
                self.post(LeaseAnswered(reply.holder, reply.epoch, until_ms))
            await asyncio.sleep(self.settings.control_poll_ms / 1000.0)

    def _log_unreadable(self, source: str, error: AshlatchError) -> None:
        event = SourceUnreadable(self.settings.vm, source, str(error))
        emit(log, event, logging.WARNING)

    def _read_state(self) -> None:
        if not self.core.active(monotonic_ms()):
            return
        try:
            request = ReadRequest(after_revision=self._read_revision, status=True)
            reply = self.client.read(request).result()
        except NoLeader as error:
            self._log_unreadable("state", error)
            return
        assert reply.status is not None
        self._merge(reply)
        self.post(
            StateRead(
                reply.revision,
                reply.status.in_force_revision,
                tuple(self._resources.values()),
                reply.status.totals,
            )
        )

    def _merge(self, reply: ReadReply) -> None:
        """Applies a reply, which contains only the changes, to the resources."""
        for key in reply.deleted:
            self._resources.pop(key, None)
        for resource in reply.resources:
            key = ResourceId(resource.kind, resource.name)
            self._resources[key] = resource
        self._read_revision = reply.revision

    def _read_platform(self) -> None:
        if not self.core.active(monotonic_ms()):
            return
        try:
            vms = read_vms(self.settings.platform_url, PLATFORM_TIMEOUT_MS)
        except PlatformUnreadable as error:
            self._log_unreadable("platform", error)
            return
        self.post(VmsListed(vms))

    def _read_pools(self) -> None:
        if not self.core.active(monotonic_ms()):
            return
        with self._lock:
            pools = self.core.specs(Pool)
        for name, pool in pools.items():
            if pool.serves != "models" or not pool.report_url:
                continue
            try:
                report = read_pool(pool.report_url, monotonic_ms(), PLATFORM_TIMEOUT_MS)
            except PlatformUnreadable as error:
                self._log_unreadable(name, error)
                continue
            loaded = tuple(
                LoadedVersions(r.endpoint, r.versions) for r in report.reports
            )
            self.post(PoolRead(name, loaded))

    def _read_ratings(self) -> None:
        try:
            ratings = self._ratings.read()
        except RatingUnreadable as error:
            self._log_unreadable("ratings", error)
            return
        read = tuple(VersionRating(r.version, r.rating) for r in ratings)
        if read:
            self.post(RatingsRead(read))


@EFFECTS.on(ChangeResource)
def _put_resource(daemon: ControlDaemon, effect: ChangeResource) -> None:
    spec = parse(effect.kind, effect.spec)
    spec_digest = digest(effect.spec)
    daemon.client.propose(
        PutResource(
            f"control/{effect.kind}/{effect.name}/{effect.if_revision}/{spec_digest}",
            OPERATOR_NAME,
            effect.kind,
            effect.name,
            effect.if_revision,
            effect.spec,
            spec.references(effect.name),
            epoch=effect.epoch,
        )
    )


@EFFECTS.on(RemoveResource)
def _remove_resource(daemon: ControlDaemon, effect: RemoveResource) -> None:
    daemon.client.propose(
        DeleteResource(
            f"control/delete/{effect.kind}/{effect.name}/{effect.if_revision}",
            OPERATOR_NAME,
            effect.kind,
            effect.name,
            effect.if_revision,
            epoch=effect.epoch,
        )
    )


@EFFECTS.on(SendOrder)
def _send_order(daemon: ControlDaemon, effect: SendOrder) -> None:
    daemon.submit_order(effect.order)


@EFFECTS.on(WriteLog)
def _write_log(daemon: ControlDaemon, effect: WriteLog) -> None:
    emit(log, effect.event)
