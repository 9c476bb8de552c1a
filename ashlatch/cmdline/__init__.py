"""
ashlatch.cmdline
~~~~~~~~~~~~~~~~

The command lines of the daemons and of the operators' client. They parse options
and leave the work to the other packages.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
