"""
ashlatch.gateway.session_news
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

What the other gateways have to hear of a session as one of its requests is sent, so
that its next request, which may come by any of them, runs on the same version.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from ashlatch.gateway.knowledge import Knowledge
from ashlatch.gateway.news import SessionMoved, SessionRuns

__all__ = ["tell_session"]

# No record names a session that begins right before a trial: a lost datagram moves it.
# Each time another gateway of a hall is drawn to pass it on.
TIMES_TOLD = 2


def tell_session(
    known: Knowledge, service: str, session: str, version: str, now_ms: float
) -> None:
    """A request of a session goes to an endpoint of a version."""
    versions = known.versions
    mark = versions.note_running(service, session, version)
    if mark is not None:
        awaited = versions.rollouts[service].version
        known.metrics.count("running_sessions_told")
        for _ in range(TIMES_TOLD):
            known.tell(SessionRuns(service, awaited, mark))
    if versions.note_move(service, session, version, now_ms):
        known.metrics.count("sessions_told")
        known.tell(SessionMoved(service, session, version))
    versions.sessions.note(service, session, version, now_ms)
