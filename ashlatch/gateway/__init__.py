"""
ashlatch.gateway
~~~~~~~~~~~~~~~~

The entry VM's process in front of plain HTTP endpoints and model engines:
reads callers' requests, chooses model, version and endpoint, passes answers
on, and learns the configuration and the endpoints from the fleet.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
