"""
ashlatch.gateway.session_news
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the other gateways have to hear of a session as one of its requests is sent, so
that its next request, which may come by any of them, runs on the same version.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.gateway.context import GatewayContext
from ashlatch.gateway.updates import SessionActive, SessionMoved

__all__ = ["announce_session"]

# Datagrams are lost at times. Each copy is passed on in a hall by another gateway.
COPIES = 2


def announce_session(
    known: GatewayContext, service: str, session: str, version: str, now_ms: float
) -> None:
    """A request of a session goes to an endpoint of a version."""
    versions = known.versions
    mark = versions.note_running(service, session, version)
    if mark is not None:
        awaited = versions.rollouts[service].version
        known.metrics.count("sessions_announced")
        for _ in range(COPIES):
            known.broadcast(SessionActive(service, awaited, mark))
    alone = not known.peers_reachable
    if versions.note_move(service, session, version, now_ms, alone):
        known.metrics.count("sessions_told")
        known.broadcast(SessionMoved(service, session, version))
    versions.sessions.note(service, session, version, now_ms)
