"""
ashlatch.gateway.session_updates
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Broadcasts the version of a session to the other gateways when one of its requests is
sent, if they cannot derive it, so that the next request of the session, which may
arrive at any of them, runs on the same version.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.updates import SessionActive, SessionMoved

__all__ = ["announce_session"]

# Datagrams are lost at times, so each update is sent this many times. Each copy is
# relayed within a hall by a different gateway.
COPIES = 2


def announce_session(
    context: GatewayContext, service: str, session: str, version: str, now_ms: float
) -> None:
    """Broadcasts that a request of a session goes to an endpoint of a version."""
    versions = context.versions
    hash_value = versions.record_running(service, session, version)
    if hash_value is not None:
        awaited_version = versions.rollouts[service].version
        context.metrics.count("sessions_announced")
        for _ in range(COPIES):
            context.broadcast(SessionActive(service, awaited_version, hash_value))
    unavailable = not context.peers_reachable
    if versions.record_move(service, session, version, now_ms, unavailable):
        context.metrics.count("sessions_told")
        context.broadcast(SessionMoved(service, session, version))
    versions.sessions.record(service, session, version, now_ms)
