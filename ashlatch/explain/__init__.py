"""
ashlatch.explain
~~~~~~~~~~~~~~~~

Explains afterwards what processes did, from nothing but their logs: the story
of one request, and what each process believed over a span of time.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
