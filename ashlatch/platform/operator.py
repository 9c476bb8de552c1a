"""
ashlatch.platform.operator
~~~~~~~~~~~~~~~~~~~~~~~~~~

The calls that the platform's operators make, recognised by method and path.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import enum
from dataclasses import dataclass
from urllib.parse import quote, unquote

__all__ = [
    "READY_TARGET",
    "OperatorCall",
    "OperatorAction",
    "evacuation_request",
    "parse_operator_call",
]

READY_TARGET = "/-/readyz"

_REPLACE = ("POST", "/-/Config.Replace")
_READ = ("GET", "/-/Config.Read")
_BEGIN = ("POST", "/-/Rollouts.Begin")
_ROLLOUT_PREFIX = "/-/Rollouts.Read/"
_EVACUATIONS = ("GET", "/-/Evacuations.Read")
_EVACUATE_PREFIX = "/-/Evacuations.Begin/"
_FINISH_PREFIX = "/-/Evacuations.Finish/"


class OperatorAction(enum.Enum):
    """What an operator asks for."""

    REPLACE_CONFIGURATION = "replace_configuration"
    READ_CONFIGURATION = "read_configuration"
    BEGIN_ROLLOUT = "begin_rollout"
    READ_ROLLOUT = "read_rollout"
    BEGIN_EVACUATION = "begin_evacuation"
    FINISH_EVACUATION = "finish_evacuation"
    READ_EVACUATIONS = "read_evacuations"


@dataclass(frozen=True)
class OperatorCall:
    """One call; `service` is set when a roll-out is asked for, `hall` when the
    evacuation of one begins or finishes.
    """

    action: OperatorAction
    service: str = ""
    hall: str = ""


def parse_operator_call(method: str, target: str) -> OperatorCall | None:
    """The call that a request makes, or none."""
    path = target.partition("?")[0]
    if (method, path) == _REPLACE:
        return OperatorCall(OperatorAction.REPLACE_CONFIGURATION)
    if (method, path) == _READ:
        return OperatorCall(OperatorAction.READ_CONFIGURATION)
    if (method, path) == _BEGIN:
        return OperatorCall(OperatorAction.BEGIN_ROLLOUT)
    if (method, path) == _EVACUATIONS:
        return OperatorCall(OperatorAction.READ_EVACUATIONS)
    if method == "POST" and path.startswith(_EVACUATE_PREFIX):
        hall = unquote(path.removeprefix(_EVACUATE_PREFIX))
        return OperatorCall(OperatorAction.BEGIN_EVACUATION, hall=hall)
    if method == "POST" and path.startswith(_FINISH_PREFIX):
        hall = unquote(path.removeprefix(_FINISH_PREFIX))
        return OperatorCall(OperatorAction.FINISH_EVACUATION, hall=hall)
    if method == "GET" and path.startswith(_ROLLOUT_PREFIX):
        service = path.removeprefix(_ROLLOUT_PREFIX)
        return OperatorCall(OperatorAction.READ_ROLLOUT, service)
    return None


def evacuation_request(call: OperatorCall) -> tuple[str, str]:
    """Method and path of a call about evacuations, as an operator makes it."""
    match call.action:
        case OperatorAction.BEGIN_EVACUATION:
            return "POST", _EVACUATE_PREFIX + quote(call.hall, safe="")
        case OperatorAction.FINISH_EVACUATION:
            return "POST", _FINISH_PREFIX + quote(call.hall, safe="")
        case _:
            return _EVACUATIONS
