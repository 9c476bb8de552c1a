"""
ashlatch.explain
~~~~~~~~~~~~~~~~

Reconstructs from logs alone what processes did: the events of one request, and
the state that each process logged over a span of time.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
