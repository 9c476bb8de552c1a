"""
ashlatch.cmdline
~~~~~~~~~~~~~~~~

The command lines of the daemons and of the operators' client: thin shells on
the rest of the package.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
