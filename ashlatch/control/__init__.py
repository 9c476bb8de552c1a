"""
ashlatch.control
~~~~~~~~~~~~~~~~

The operators' resource API, and the controllers that reconcile the system with the
resources: endpoints from the platform's list, roll-outs, placement.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
