"""
ashlatch.http
~~~~~~~~~~~~~

HTTP by library: serving by `werkzeug` on a bounded pool of threads, calling by
`pycurl`, and problem documents.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
