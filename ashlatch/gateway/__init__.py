"""
ashlatch.gateway
~~~~~~~~~~~~~~~~

The process of an entry VM in front of plain HTTP endpoints and model engines: reads
callers' requests, chooses model, version and endpoint, forwards the answers, and gets
the configuration and the endpoints from the core.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
