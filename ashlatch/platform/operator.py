"""
ashlatch.platform.operator
~~~~~~~~~~~~~~~~~~~~~~~~~~

The calls that the platform's operators make, recognised by method and path.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from dataclasses import dataclass

__all__ = ["OperatorCall", "OperatorVerb", "READY_TARGET", "recognise"]

READY_TARGET = "/-/readyz"

_REPLACE = ("POST", "/-/Config.Replace")
_READ = ("GET", "/-/Config.Read")
_BEGIN = ("POST", "/-/Rollouts.Begin")
_ROLLOUT_PREFIX = "/-/Rollouts.Read/"


class OperatorVerb(enum.Enum):
    """What an operator asks for."""

    REPLACE_CONFIGURATION = "replace_configuration"
    READ_CONFIGURATION = "read_configuration"
    BEGIN_ROLLOUT = "begin_rollout"
    READ_ROLLOUT = "read_rollout"


@dataclass(frozen=True)
class OperatorCall:
    """One call; `service` is set when a roll-out is asked for."""

    verb: OperatorVerb
    service: str = ""


def recognise(method: str, target: str) -> OperatorCall | None:
    """The call that a request makes, or none."""
    path = target.partition("?")[0]
    if (method, path) == _REPLACE:
        return OperatorCall(OperatorVerb.REPLACE_CONFIGURATION)
    if (method, path) == _READ:
        return OperatorCall(OperatorVerb.READ_CONFIGURATION)
    if (method, path) == _BEGIN:
        return OperatorCall(OperatorVerb.BEGIN_ROLLOUT)
    if method == "GET" and path.startswith(_ROLLOUT_PREFIX):
        service = path.removeprefix(_ROLLOUT_PREFIX)
        return OperatorCall(OperatorVerb.READ_ROLLOUT, service)
    return None
