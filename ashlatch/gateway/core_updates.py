"""
ashlatch.gateway.core_updates
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Applies the core's answers to a gateway: configuration, endpoints, roll-outs,
evacuations, gateways, and what other gateways have reported. Each change is logged.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import zlib

from ashlatch.catalog import EndpointList, Evacuations, GatewayVm, Rollout
from ashlatch.fleet.protocol import SyncReply
from ashlatch.gateway.cold import mark_returned_cold
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.crash_records import announce_records, apply_peer_records
from ashlatch.gateway.logs import (
    ConfigurationApplied,
    DocumentUnreadable,
    EndpointsReplaced,
    EvacuationsChanged,
    GatewaysChanged,
    RolloutChanged,
)
from ashlatch.gateway.message import PromptPart
from ashlatch.gateway.routing import RouteTable
from ashlatch.log import emit
from ashlatch.platform.document import DocumentError, decode_catalog

__all__ = ["CoreUpdates"]


log = logging.getLogger("ashlatch.gateway")


class CoreUpdates:
    """Applies answers of core VMs to a gateway's context.

    The attributes are the positions that a sync request sends, so that the answer
    holds only what is newer.
    """

    def __init__(self, context: GatewayContext) -> None:
        self.document_version = 0
        self.rollout_number = 0
        self.prefills_position = (0, 0)
        self.crashes_position = 0
        self._context = context

    def apply(self, address: str, reply: SyncReply) -> None:
        """Applies the answer of the core VM at an address."""
        if reply.evacuations is not None:
            self._apply_evacuations(reply.evacuations)
        if reply.document and reply.document_version > self.document_version:
            self._apply_document(reply.document_version, reply.document)
        if reply.endpoints is not None:
            self.replace_endpoints(reply.endpoints, address, reply.endpoints_age_ms)
        for rollout in self._context.versions.apply_rollouts(reply.rollouts, _now_ms()):
            self._record_rollout(rollout)
        if reply.current:
            self._apply_current(reply)
        self._apply_crashes(address, reply)
        self.apply_prefills(reply)
        self._context.latency_model.apply_rates(reply.rates)
        self._context.duration_reports.apply_shared(
            self._context.directory, reply.duration_ratios
        )

    def _apply_current(self, reply: SyncReply) -> None:
        """Applies the parts valid only from a core VM connected to its leader."""
        now_ms = _now_ms()
        self._context.cold_limiter.gateways_received(now_ms)
        if reply.gateways is not None:
            self._apply_gateways(reply.gateways)
        self._context.directory.listed_ms = now_ms - reply.list_age_ms

    def _record_rollout(self, rollout: Rollout) -> None:
        self.rollout_number = max(self.rollout_number, rollout.number)
        changed = RolloutChanged(
            rollout.service,
            rollout.version,
            rollout.stage.value,
            rollout.share,
            rollout.number,
        )
        emit(log, changed)

    def _apply_gateways(self, gateways: tuple[GatewayVm, ...]) -> None:
        before = len(self._context.gateways)
        self._context.gateways = gateways
        emit(log, GatewaysChanged(len(gateways), before))
        # What was found out before any other gateway was known has reached none.
        announce_records(self._context, self._context.quarantine.unconfirmed())

    def _apply_crashes(self, address: str, reply: SyncReply) -> None:
        """Applies the records of requests that crash endpoints, from other gateways."""
        apply_peer_records(self._context, reply.crashes, address)
        for record in reply.crashes:
            self._context.quarantine.confirm(record)
        self.crashes_position = max(self.crashes_position, reply.crashes_known)

    def apply_prefills(self, reply: SyncReply) -> None:
        """Applies the prefills at engines that other gateways have reported."""
        self.prefills_position = reply.prefills_known
        now_ms = _now_ms()
        for prefill in reply.prefills:
            cache_tokens = self._context.prefix_cache_tokens(prefill.instance)
            state = self._context.directory.state(prefill.instance)
            if state is not None and state.ended_recently(now_ms):
                # Reported for the process that has just ended, whose cache is lost.
                continue
            if cache_tokens:
                parts = tuple(PromptPart(*part) for part in prefill.parts)
                self._context.prefix_caches.record_prefill(
                    prefill.instance, prefill.model, parts, cache_tokens, now_ms
                )

    def _apply_document(self, version: int, document: bytes) -> None:
        try:
            catalog = decode_catalog(zlib.decompress(document))
        except DocumentError as error:
            # A core VM of another release validated it before the commit; keep the
            # previous configuration.
            detail = str(error.exceptions[0])
            emit(log, DocumentUnreadable(version, detail), logging.ERROR)
            return
        table = self._context.table
        before = table.catalog.version if table else 0
        self._context.table = RouteTable(catalog)
        self._context.shares.set_weights(
            {o.name: o.weight for o in catalog.organisations}
        )
        self.document_version = version
        applied = ConfigurationApplied(
            version, before, len(catalog.routes), len(catalog.organisations)
        )
        emit(log, applied)

    def _apply_evacuations(self, evacuations: Evacuations) -> None:
        directory = self._context.directory
        before = directory.evacuations.number
        if not directory.apply_evacuations(evacuations):
            return
        cold = 0
        if before:
            cold = mark_returned_cold(
                directory, self._context.table, before, evacuations, _now_ms()
            )
        endpoints = sum(state.evacuated for state in directory.all())
        halls = ",".join(evacuations.halls)
        changed = EvacuationsChanged(evacuations.number, before, halls, endpoints, cold)
        emit(log, changed)

    def replace_endpoints(
        self, endpoints: EndpointList, source: str, age_ms: float = 0.0
    ) -> None:
        """Applies a list of endpoints read `age_ms` ago, unless it is outdated."""
        if not self._context.directory.replace(endpoints, _now_ms(), age_ms):
            return
        instances = self._context.directory.instances()
        self._context.pool.retain(instances)
        self._context.prefix_caches.retain(instances)
        leaving = sum(e.leaving for e in endpoints.endpoints)
        count = len(endpoints.endpoints)
        now_ms = _now_ms()
        cold = sum(state.cold(now_ms) for state in self._context.directory.all())
        replaced = EndpointsReplaced(*endpoints.order, count, leaving, cold, source)
        emit(log, replaced)


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000.0
