"""
ashlatch.http
~~~~~~~~~~~~~

HTTP servers (`werkzeug` on a bounded thread pool, `h11` on asyncio), HTTP clients
(`pycurl`, `h11` on asyncio) and problem documents.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
