"""
ashlatch.router
~~~~~~~~~~~~~~~

The daemon that routes callers' requests to endpoints. `core` makes the decisions,
`host` does the I/O.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
