"""
ashlatch.platform.contracts
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Defines which entries of the settings' list `contracts` the gateway knows.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Collection

__all__ = ["requires_admission_control"]

# With this entry, engines get more requests than they have capacity for.
_ADMISSION_CONTROL = "pressure"


def requires_admission_control(contracts: Collection[str]) -> bool:
    """Checks whether a deployment asks for admission control at its engines."""
    return _ADMISSION_CONTROL in contracts
