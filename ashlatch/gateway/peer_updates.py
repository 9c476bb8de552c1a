"""
ashlatch.gateway.peer_updates
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Handlers for the updates that other gateways send in datagrams, one for each kind.
Updates about endpoints that are not listed here are ignored.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import logging
from dataclasses import dataclass

from ashlatch.clock import unix_ms
from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.crash_records import apply_peer_records, record_left_runs
from ashlatch.gateway.limits import apply_peer_limit, apply_peer_send
from ashlatch.gateway.logs import (
    EndpointBackoffElsewhere,
    EndpointMisdirected,
    EndpointNotListening,
)
from ashlatch.gateway.message import LoadFigures
from ashlatch.gateway.notices import (
    mark_leaving,
    record_brittleness,
    record_rejection,
)
from ashlatch.gateway.updates import (
    ArbiterClaimed,
    BackoffRequested,
    CrashRecordUpdate,
    EndpointBrittle,
    EndpointLeaving,
    EndpointRefuses,
    EndpointReplaced,
    GatewayIsolation,
    LoadReported,
    OrganisationDemand,
    PlaceDecided,
    PlaceReleased,
    PlaceRequested,
    PlacesHeld,
    PromptSent,
    RateLimitChanged,
    RateLimitedSend,
    SessionActive,
    SessionMoved,
    TrialChanged,
)
from ashlatch.log import emit
from ashlatch.policy.load_advertisement import load_level
from ashlatch.registry import Handlers

__all__ = ["PEER_HANDLERS", "Sender"]


log = logging.getLogger("ashlatch.gateway")

PEER_HANDLERS = Handlers("gateway update")


@dataclass(frozen=True)
class Sender:
    """The gateway that sent an update, by its address, and when the update arrived."""

    address: str
    received_ms: float


@PEER_HANDLERS.on(SessionMoved)
def _session_moved(
    context: GatewayContext, update: SessionMoved, sender: Sender
) -> None:
    context.metrics.count("sessions_heard")
    context.versions.apply_peer_move(update.service, update.session, update.version)


@PEER_HANDLERS.on(SessionActive)
def _session_active(
    context: GatewayContext, update: SessionActive, sender: Sender
) -> None:
    context.versions.apply_peer_running(
        update.service, update.version, update.session_hash
    )


@PEER_HANDLERS.on(CrashRecordUpdate)
def _crash_record(
    context: GatewayContext, update: CrashRecordUpdate, sender: Sender
) -> None:
    apply_peer_records(context, (update.record, *update.more), sender.address)


@PEER_HANDLERS.on(TrialChanged)
def _trial_changed(
    context: GatewayContext, update: TrialChanged, sender: Sender
) -> None:
    quarantine, keys, request = context.quarantine, update.keys, update.request
    if update.ended:
        quarantine.apply_trial_end(keys, request)
    elif update.announced_unix_ms:
        quarantine.apply_announcement(
            keys, request, update.announced_unix_ms, unix_ms()
        )
    else:
        quarantine.apply_trial(keys, request, unix_ms())


@PEER_HANDLERS.on(EndpointReplaced)
def _endpoint_replaced(
    context: GatewayContext, update: EndpointReplaced, sender: Sender
) -> None:
    state = context.directory.state(update.instance)
    if state is None:
        return
    state.replaced_ms = sender.received_ms
    service = state.endpoint.service
    misdirected = EndpointMisdirected(update.instance, service, sender.address)
    emit(log, misdirected, logging.WARNING)


@PEER_HANDLERS.on(PromptSent)
def _prompt_sent(context: GatewayContext, update: PromptSent, sender: Sender) -> None:
    state = context.directory.state(update.instance)
    if state is not None:
        state.add_work(update.prefill_ms, sender.received_ms)


@PEER_HANDLERS.on(EndpointRefuses)
def _endpoint_refuses(
    context: GatewayContext, update: EndpointRefuses, sender: Sender
) -> None:
    state = context.directory.state(update.instance)
    if state is None or not state.record_refusal(sender.received_ms):
        return
    service = state.endpoint.service
    not_listening = EndpointNotListening(update.instance, service, sender.address)
    emit(log, not_listening, logging.WARNING)
    context.forget_instance(update.instance)
    record_left_runs(context, state)


@PEER_HANDLERS.on(EndpointLeaving)
def _endpoint_leaving(
    context: GatewayContext, update: EndpointLeaving, sender: Sender
) -> None:
    state = context.directory.state(update.instance)
    if state is not None:
        mark_leaving(context, state, sender.address)


@PEER_HANDLERS.on(BackoffRequested)
def _backoff_requested(
    context: GatewayContext, update: BackoffRequested, sender: Sender
) -> None:
    state = context.directory.state(update.instance)
    if state is None:
        return
    state.backoff.record_peer_request(update.backoff_ms, sender.received_ms)
    service, backoff_ms = state.endpoint.service, int(update.backoff_ms)
    emit(
        log,
        EndpointBackoffElsewhere(update.instance, service, backoff_ms, sender.address),
    )


@PEER_HANDLERS.on(EndpointBrittle)
def _endpoint_brittle(
    context: GatewayContext, update: EndpointBrittle, sender: Sender
) -> None:
    state = context.directory.state(update.instance)
    if state is None:
        return
    rejections_max = update.rejections_max if update.rejections_max >= 0 else None
    record_brittleness(
        context, state, rejections_max, sender.address, sender.received_ms
    )
    state.brittleness.broadcast_ms = sender.received_ms
    if update.rejected:
        record_rejection(context, state, sender.received_ms)


@PEER_HANDLERS.on(RateLimitChanged)
def _rate_limit_changed(
    context: GatewayContext, update: RateLimitChanged, sender: Sender
) -> None:
    state = context.directory.state(update.instance)
    if state is not None:
        apply_peer_limit(context, state, update, sender.address, sender.received_ms)


@PEER_HANDLERS.on(RateLimitedSend)
def _rate_limited_send(
    context: GatewayContext, update: RateLimitedSend, sender: Sender
) -> None:
    state = context.directory.state(update.instance)
    if state is not None:
        apply_peer_send(context, state, sender.received_ms)


@PEER_HANDLERS.on(LoadReported)
def _load_reported(
    context: GatewayContext, update: LoadReported, sender: Sender
) -> None:
    state = context.directory.state(update.instance)
    if state is None:
        return
    duration_percent = update.duration_percent
    figures = LoadFigures(
        update.running, update.waiting, update.slots, duration_percent
    )
    state.apply_load(figures, sender.received_ms)
    if duration_percent is not None:
        ratio = state.speed.slow_moment_ratio(duration_percent)
        state.advertised_duration.record(ratio, sender.received_ms)
    state.confirm_running(context.cold_ms(state), sender.received_ms)
    level = load_level(update.running + update.waiting, update.slots)
    state.advertised_load.record(level, sender.received_ms)


@PEER_HANDLERS.on(OrganisationDemand)
def _organisation_demand(
    context: GatewayContext, update: OrganisationDemand, sender: Sender
) -> None:
    # Services that are not configured are left out, so that the state is bounded.
    if context.table is not None and update.service in context.table.services:
        context.shares.apply_peer(update, sender.received_ms)


# Updates about places of unknown services, or from unknown gateways, are left out, so
# that the state is bounded.


@PEER_HANDLERS.on(PlaceRequested)
def _place_requested(
    context: GatewayContext, update: PlaceRequested, sender: Sender
) -> None:
    if _has_places(context, update.service, update.origin):
        context.places.apply_ask(update, sender.received_ms)


@PEER_HANDLERS.on(PlaceDecided)
def _place_decided(
    context: GatewayContext, update: PlaceDecided, sender: Sender
) -> None:
    if _is_configured(context, update.service):
        context.places.apply_decision(update, sender.received_ms)


@PEER_HANDLERS.on(PlaceReleased)
def _place_released(
    context: GatewayContext, update: PlaceReleased, sender: Sender
) -> None:
    if _has_places(context, update.service, update.origin):
        context.places.apply_release(update, sender.received_ms)


@PEER_HANDLERS.on(PlacesHeld)
def _places_held(context: GatewayContext, update: PlacesHeld, sender: Sender) -> None:
    if _has_places(context, update.service, update.origin):
        context.places.apply_report(update, sender.received_ms)


@PEER_HANDLERS.on(ArbiterClaimed)
def _arbiter_claimed(
    context: GatewayContext, update: ArbiterClaimed, sender: Sender
) -> None:
    if _has_places(context, update.service, update.gateway):
        context.places.apply_claim(update, sender.received_ms)


def _has_places(context: GatewayContext, service: str, gateway: str) -> bool:
    known = any(g.address == gateway for g in context.gateways)
    return known and _is_configured(context, service)


def _is_configured(context: GatewayContext, service: str) -> bool:
    return context.table is not None and service in context.table.services


@PEER_HANDLERS.on(GatewayIsolation)
def _gateway_isolation(
    context: GatewayContext, update: GatewayIsolation, sender: Sender
) -> None:
    # Gateways that are not known are left out, so that the state is bounded.
    if any(gateway.address == update.gateway for gateway in context.gateways):
        context.relay_peers.record_isolated(
            update.gateway, update.isolated, sender.received_ms
        )
