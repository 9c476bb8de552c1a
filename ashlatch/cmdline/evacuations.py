"""
ashlatch.cmdline.evacuations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

How `ashlatchctl` sees, begins and finishes evacuations: as resources of the
resource API, or by orders to the core VMs of a deployment on the users' platform.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import uuid

from ashlatch.cmdline.api import ApiClient, ApiError, Document
from ashlatch.platform.operator import OperatorAction, OperatorCall, evacuation_request

__all__ = [
    "CoreEvacuationClient",
    "EvacuationClient",
    "ResourceEvacuationClient",
]


RESOURCE_KIND = "evacuation"


class EvacuationClient:
    """What operators do; `begin` and `finish` return a line to show."""

    def halls(self) -> tuple[str, ...]:
        """The halls that are evacuated."""
        raise NotImplementedError

    def begin(self, hall: str, reason: str, wait: bool) -> str:
        """Evacuate a hall; `wait` until that is in force everywhere."""
        raise NotImplementedError

    def finish(self, hall: str, wait: bool) -> str:
        """Give a hall back."""
        raise NotImplementedError


class ResourceEvacuationClient(EvacuationClient):
    """Evacuations as resources, one for each hall."""

    def __init__(self, api: ApiClient) -> None:
        self._api = api

    def halls(self) -> tuple[str, ...]:
        """The names of the resources."""
        listed = self._api.call_json("GET", f"/v1/resources/{RESOURCE_KIND}")
        return tuple(resource["name"] for resource in listed["resources"])

    def begin(self, hall: str, reason: str, wait: bool) -> str:
        """Put the resource."""
        current = self._api.find_resource(RESOURCE_KIND, hall)
        if_revision = current["revision"] if current else 0
        document = Document(RESOURCE_KIND, hall, {"reason": reason})
        revision = self._api.put(document, if_revision, uuid.uuid4().hex)
        return f"{RESOURCE_KIND}/{hall} accepted as {revision}{self._in_force_suffix(revision, wait)}"

    def finish(self, hall: str, wait: bool) -> str:
        """Delete the resource."""
        revision = self._api.delete(RESOURCE_KIND, hall, uuid.uuid4().hex)
        return f"{RESOURCE_KIND}/{hall} deleted by {revision}{self._in_force_suffix(revision, wait)}"

    def _in_force_suffix(self, revision: int, wait: bool) -> str:
        if not wait:
            return ""
        return f", in force on {self._api.wait_in_force(revision)} routers"


class CoreEvacuationClient(EvacuationClient):
    """Evacuations as orders to core VMs, tried in turn.

    Gateways follow an acknowledged order within half a second, or when they hear of
    the core again; there is nothing to ask whether all have.
    """

    def __init__(self, api: ApiClient) -> None:
        self._api = api

    def halls(self) -> tuple[str, ...]:
        """By the leader's word."""
        method, path = evacuation_request(OperatorCall(OperatorAction.READ_EVACUATIONS))
        return tuple(self._api.call_json(method, path)["halls"])

    def begin(self, hall: str, reason: str, wait: bool) -> str:
        """Order it; the reason is not kept."""
        self._send_command(OperatorAction.BEGIN_EVACUATION, hall, wait)
        return f"{hall} is evacuated"

    def finish(self, hall: str, wait: bool) -> str:
        """Order the end of it."""
        self._send_command(OperatorAction.FINISH_EVACUATION, hall, wait)
        return f"{hall} is given back"

    def _send_command(self, verb: OperatorAction, hall: str, wait: bool) -> None:
        if wait:
            raise ApiError(
                400, "core VMs do not tell what is in force; leave out --wait"
            )
        self._api.call_json(*evacuation_request(OperatorCall(verb, hall=hall)))
