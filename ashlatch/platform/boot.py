"""
ashlatch.platform.boot
~~~~~~~~~~~~~~~~~~~~~~

Defines how the platform passes the location of the settings file to a process.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

__all__ = ["SETTINGS_VARIABLE"]

# The environment variable with the path of the settings file. The platform generates
# the file from the templates in `deploy/`.
SETTINGS_VARIABLE = "ASHLATCH_BOOT"
