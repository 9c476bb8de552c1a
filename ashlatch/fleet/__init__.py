"""
ashlatch.fleet
~~~~~~~~~~~~~~

The core VMs' process behind the gateways: keeps the configuration and the
roll-outs in a replicated log, answers operators, reads the platform's list of
endpoints, and spreads all of it.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
