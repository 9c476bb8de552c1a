"""
ashlatch.fleet
~~~~~~~~~~~~~~

The processes of the core VMs. They keep the configuration and the roll-outs in a
replicated log, answer operators' calls, read the platform's list of endpoints and
distribute all of it to the gateways.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
