"""
ashlatch.gateway.corenews
~~~~~~~~~~~~~~~~~~~~~~~~~

What a gateway learns from the core's answers: configuration, endpoints, roll-outs,
evacuations, gateways, and what others have found out. Each change of what it believes
is logged.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
import zlib

from ashlatch.gateway.context import Knowledge
from ashlatch.gateway.crash_detector import apply_peer_crashes

from ashlatch.catalog import EndpointList, Evacuations, GatewayVm, Rollout
from ashlatch.fleet.protocol import SyncReply
from ashlatch.gateway.cold import mark_returned_cold
from ashlatch.gateway.logs import (
    ConfigurationApplied,
    DocumentUnreadable,
    EndpointsReplaced,
    EvacuationsLearnt,
    GatewaysLearnt,
    RolloutLearnt,
)
from ashlatch.gateway.message import PromptPart
from ashlatch.gateway.routing import RouteTable
from ashlatch.log import emit
from ashlatch.platform.document import DocumentError, decode_catalog

__all__ = [
    "CoreNews",
]


log = logging.getLogger("ashlatch.gateway")


class CoreNews:
    """Takes answers of core VMs into a gateway's knowledge.

    The attributes are what a question tells to be known already.
    """

    def __init__(self, known: Knowledge) -> None:
        self.document_version = 0
        self.rollout_number = 0
        self.reads_known = (0, 0)
        self.crashes_known = 0
        self._known = known

    def take(self, address: str, reply: SyncReply) -> None:
        """Take the answer of the core VM at an address."""
        if reply.evacuations is not None:
            self._evacuate(reply.evacuations)
        if reply.document and reply.document_version > self.document_version:
            self._apply(reply.document_version, reply.document)
        if reply.endpoints is not None:
            self.replace(reply.endpoints, address, reply.endpoints_age_ms)
        for rollout in self._known.versions.apply_rollouts(reply.rollouts, _now_ms()):
            self._note_rollout(rollout)
        if reply.current:
            self._take_current(reply)
        self._learn_crashes(address, reply)
        self.learn_reads(reply)
        self._known.pace.apply_rates(reply.rates)

    def _take_current(self, reply: SyncReply) -> None:
        """Take what only a core VM in touch with its leader can tell."""
        now_ms = _now_ms()
        self._known.cold.gateways_received(now_ms)
        if reply.gateways is not None:
            self._learn_gateways(reply.gateways)
        self._known.directory.listed_ms = now_ms - reply.list_age_ms

    def _note_rollout(self, rollout: Rollout) -> None:
        self.rollout_number = max(self.rollout_number, rollout.number)
        learnt = RolloutLearnt(
            rollout.service,
            rollout.version,
            rollout.stage.value,
            rollout.share,
            rollout.number,
        )
        emit(log, learnt)

    def _learn_gateways(self, gateways: tuple[GatewayVm, ...]) -> None:
        before = len(self._known.gateways)
        self._known.gateways = gateways
        emit(log, GatewaysLearnt(len(gateways), before))

    def _learn_crashes(self, address: str, reply: SyncReply) -> None:
        """Take which requests crash endpoints, by what other gateways have found."""
        for record in reply.crashes:
            apply_peer_crashes(self._known, record, address)
            self._known.quarantine.confirm(record)
        self.crashes_known = max(self.crashes_known, reply.crashes_known)

    def learn_reads(self, reply: SyncReply) -> None:
        """Take what engines have read for other gateways."""
        self.reads_known = reply.prefills_known
        now_ms = _now_ms()
        for read in reply.prefills:
            memory_tokens = self._known.memory_tokens(read.instance)
            state = self._known.directory.state(read.instance)
            if state is not None and state.ended_lately(now_ms):
                # Told of the life that has just ended, whose memory is gone.
                continue
            if memory_tokens:
                parts = tuple(PromptPart(*part) for part in read.parts)
                self._known.kept.read(
                    read.instance, read.model, parts, memory_tokens, now_ms
                )

    def _apply(self, version: int, document: bytes) -> None:
        try:
            catalog = decode_catalog(zlib.decompress(document))
        except DocumentError as error:
            # It was checked before it was committed, by a core VM that runs
            # another release: go on with the one before.
            detail = str(error.exceptions[0])
            emit(log, DocumentUnreadable(version, detail), logging.ERROR)
            return
        table = self._known.table
        before = table.catalog.version if table else 0
        self._known.table = RouteTable(catalog)
        self.document_version = version
        applied = ConfigurationApplied(
            version, before, len(catalog.routes), len(catalog.organisations)
        )
        emit(log, applied)

    def _evacuate(self, evacuations: Evacuations) -> None:
        directory = self._known.directory
        before = directory.evacuations.number
        if not directory.evacuate(evacuations):
            return
        cold = 0
        if before:
            cold = mark_returned_cold(
                directory, self._known.table, before, evacuations, _now_ms()
            )
        endpoints = sum(state.evacuated for state in directory.all())
        halls = ",".join(evacuations.halls)
        learnt = EvacuationsLearnt(evacuations.number, before, halls, endpoints, cold)
        emit(log, learnt)

    def replace(
        self, endpoints: EndpointList, source: str, age_ms: float = 0.0
    ) -> None:
        """Take a list of endpoints that was read some time ago, unless it is old."""
        if not self._known.directory.replace(endpoints, _now_ms(), age_ms):
            return
        instances = self._known.directory.instances()
        self._known.pool.forget(instances)
        self._known.kept.keep_only(instances)
        leaving = sum(e.leaving for e in endpoints.endpoints)
        count = len(endpoints.endpoints)
        now_ms = _now_ms()
        cold = sum(state.cold(now_ms) for state in self._known.directory.all())
        replaced = EndpointsReplaced(*endpoints.order, count, leaving, cold, source)
        emit(log, replaced)


def _now_ms() -> float:
    return asyncio.get_running_loop().time() * 1000.0
