"""
ashlatch.platform.operator
~~~~~~~~~~~~~~~~~~~~~~~~~~

Parses the calls of the platform's operators from the method and path of a request.

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
    """The action that an operator requests."""

    REPLACE_CONFIGURATION = "replace_configuration"
    READ_CONFIGURATION = "read_configuration"
    BEGIN_ROLLOUT = "begin_rollout"
    READ_ROLLOUT = "read_rollout"
    BEGIN_EVACUATION = "begin_evacuation"
    FINISH_EVACUATION = "finish_evacuation"
    READ_EVACUATIONS = "read_evacuations"


@dataclass(frozen=True)
class OperatorCall:
    """An operator's call.

    `service` is set on requests for the state of a roll-out, `hall` on those that begin
    or finish an evacuation.
    """

    action: OperatorAction
    service: str = ""
    hall: str = ""


def parse_operator_call(method: str, target: str) -> OperatorCall | None:
    """Returns the operator call of a request, None if it is not one."""
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
    """Returns the method and path of an operator's call about evacuations."""
    match call.action:
        case OperatorAction.BEGIN_EVACUATION:
            return "POST", _EVACUATE_PREFIX + quote(call.hall, safe="")
        case OperatorAction.FINISH_EVACUATION:
            return "POST", _FINISH_PREFIX + quote(call.hall, safe="")
        case _:
            return _EVACUATIONS
