"""
ashlatch.platform.boot
~~~~~~~~~~~~~~~~~~~~~~

How the platform tells a process where its settings are.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

__all__ = ["SETTINGS_VARIABLE"]

# The environment variable that holds the path of the settings file, which the
# platform fills from the templates in `deploy/`.
SETTINGS_VARIABLE = "ASHLATCH_BOOT"
