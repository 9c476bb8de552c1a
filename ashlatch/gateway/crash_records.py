"""
ashlatch.gateway.crash_records
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Records crashes and completed runs in a gateway's quarantine, exchanges the records with
the other gateways and the core, and withdraws the requests that have been quarantined
while they wait at an endpoint.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import asyncio
import logging
from collections.abc import Sequence

from ashlatch.clock import unix_ms
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.directory import EndpointState
from ashlatch.gateway.fingerprint import format_fingerprint
from ashlatch.gateway.logs import (
    CrashRecordCleared,
    CrashRecorded,
    FingerprintQuarantined,
    RunWithdrawn,
)
from ashlatch.gateway.runs import Run
from ashlatch.gateway.updates import CrashRecordUpdate
from ashlatch.log import emit
from ashlatch.policy.crash_record import CrashRecord
from ashlatch.policy.fingerprint import Fingerprints
from ashlatch.policy.quarantine import AnswerBegin

__all__ = [
    "announce_records",
    "apply_peer_records",
    "begin_answer",
    "record_completion",
    "record_crash",
    "record_left_runs",
    "record_survivors",
]

log = logging.getLogger("ashlatch.gateway")

# Records of one crash arrive within milliseconds of each other and are reviewed
# together.
REVIEW_DELAY_S = 0.002
# A datagram with so many records stays below the size that networks fragment.
RECORDS_PER_UPDATE = 12


def record_crash(context: GatewayContext, run: Run, state: EndpointState) -> None:
    """Attributes the crash of an endpoint to a request that was running there."""
    run.attributed = True
    endpoint = state.endpoint
    now_unix_ms = unix_ms()
    records = context.quarantine.record_crashes(
        run.fingerprints,
        endpoint.instance,
        endpoint.started_unix_ms,
        now_unix_ms,
        run.survived,
    )
    if run.survived:
        records += context.quarantine.record_survived(run.answer, now_unix_ms)
    fingerprint = run.fingerprints.request
    event = CrashRecorded(
        run.request.request_id,
        format_fingerprint(fingerprint),
        endpoint.instance,
        context.quarantine.crash_count(fingerprint),
        int(context.quarantine.remaining_ms(fingerprint, now_unix_ms)),
        ",".join(_describe_part(r) for r in records if r.part),
        run.survived,
    )
    emit(log, event, logging.WARNING)
    context.metrics.count("crashes_noted")
    context.report_crashes()
    announce_records(context, records)
    _schedule_review(context, "")


def record_left_runs(context: GatewayContext, state: EndpointState) -> None:
    """Attributes a crash to the requests that left the endpoint just before."""
    now_ms = asyncio.get_running_loop().time() * 1000.0
    for run in context.runs.take_left(state.endpoint.instance, now_ms):
        record_crash(context, run, state)


def begin_answer(context: GatewayContext, fingerprints: Fingerprints) -> AnswerBegin:
    """Returns what a completed run of an answer that begins now would clear."""
    return context.quarantine.begin_answer(fingerprints, unix_ms())


def record_completion(
    context: GatewayContext, request_id: str, answer: AnswerBegin
) -> None:
    """Records that a request has completed without a crash."""
    cleared = context.quarantine.record_completions(answer, unix_ms())
    if cleared:
        _record_cleared(context, request_id, answer.fingerprints, cleared)


def _record_cleared(
    context: GatewayContext,
    request_id: str,
    fingerprints: Fingerprints,
    cleared: Sequence[CrashRecord],
) -> None:
    event = CrashRecordCleared(
        request_id,
        format_fingerprint(fingerprints.request),
        ",".join(record.part for record in cleared if record.part),
    )
    emit(log, event)
    context.report_crashes()
    announce_records(context, cleared)
    _schedule_review(context, "")


def record_survivors(context: GatewayContext, now_ms: float) -> None:
    """Clears the prompts' parts whose endpoints have written for a while."""
    for run in context.runs.sweep(now_ms):
        cleared = context.quarantine.record_survived(run.answer, unix_ms())
        if cleared:
            _record_cleared(context, run.request.request_id, run.fingerprints, cleared)


def apply_peer_records(
    context: GatewayContext, records: Sequence[CrashRecord], source: str
) -> None:
    """Applies what another gateway or the core has recorded."""
    changed = [context.quarantine.apply(record) for record in records]
    if any(changed):
        _schedule_review(context, source)


def announce_records(context: GatewayContext, records: Sequence[CrashRecord]) -> None:
    """Broadcasts records to the other gateways."""
    for first in range(0, len(records), RECORDS_PER_UPDATE):
        record, *more = records[first : first + RECORDS_PER_UPDATE]
        context.broadcast(CrashRecordUpdate(record, more=tuple(more)))


def _schedule_review(context: GatewayContext, source: str) -> None:
    if context.review_pending:
        return
    context.review_pending = True
    loop = asyncio.get_running_loop()
    loop.call_later(REVIEW_DELAY_S, _review, context, source)


def _review(context: GatewayContext, source: str) -> None:
    """Logs what has been quarantined since the last review, and withdraws its runs."""
    context.review_pending = False
    # Other gateways may suspect parts that are being written here.
    record_survivors(context, asyncio.get_running_loop().time() * 1000.0)
    now_unix_ms = unix_ms()
    quarantined = context.quarantine.quarantined(now_unix_ms)
    new = quarantined - context.quarantined
    context.quarantined = quarantined
    for key in new:
        event = FingerprintQuarantined(
            format_fingerprint(key),
            context.quarantine.part_of(key),
            context.quarantine.crash_count(key),
            int(context.quarantine.remaining_ms(key, now_unix_ms)),
            source,
        )
        emit(log, event, logging.WARNING)
        context.metrics.count("contents_held")
    for run in context.runs.unanswered(new):
        emit(log, RunWithdrawn(run.request.request_id, run.instance), logging.WARNING)
        context.metrics.count("runs_withdrawn")
        run.send.withdraw()


def _describe_part(record: CrashRecord) -> str:
    return f"{record.part}:{len(record.counted_crashes)}"
