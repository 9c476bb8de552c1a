"""
ashlatch.gateway.session_updates
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the other gateways have to hear of a session as one of its requests is sent, so
that its next request, which may come by any of them, runs on the same version.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.gateway.knowledge import Knowledge
from ashlatch.gateway.news import SessionMoved, SessionRuns

__all__ = ["announce_session"]

# Datagrams are lost at times. Each copy is passed on in a hall by another gateway.
COPIES = 2


def announce_session(
    context: Knowledge, service: str, session: str, version: str, now_ms: float
) -> None:
    """A request of a session goes to an endpoint of a version."""
    versions = context.versions
    mark = versions.record_running(service, session, version)
    if mark is not None:
        awaited = versions.rollouts[service].version
        context.metrics.count("sessions_announced")
        for _ in range(COPIES):
            context.tell(SessionRuns(service, awaited, mark))
    alone = not context.peers_in_touch
    if versions.record_move(service, session, version, now_ms, alone):
        context.metrics.count("sessions_told")
        context.tell(SessionMoved(service, session, version))
    versions.sessions.record(service, session, version, now_ms)
