"""
ashlatch.cmdline.evacuations
~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Lists, begins and finishes evacuations for `ashlatchctl`: as resources of the
resource API, or by commands to the core VMs of a deployment on the users' platform.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import uuid

from ashlatch.cmdline.api import ApiClient, ApiError, Document
from ashlatch.platform.operator import OperatorAction, OperatorCall, evacuation_request

__all__ = ["CoreEvacuationClient", "EvacuationClient", "ResourceEvacuationClient"]

RESOURCE_KIND = "evacuation"


class EvacuationClient:
    """Manages evacuations; `begin` and `finish` return a line to print."""

    def halls(self) -> tuple[str, ...]:
        """Returns the evacuated halls."""
        raise NotImplementedError

    def begin(self, hall: str, reason: str, wait: bool) -> str:
        """Evacuates a hall; with `wait`, returns when that is in force everywhere."""
        raise NotImplementedError

    def finish(self, hall: str, wait: bool) -> str:
        """Ends the evacuation of a hall."""
        raise NotImplementedError


class ResourceEvacuationClient(EvacuationClient):
    """Manages evacuations as resources, one for each hall."""

    def __init__(self, api: ApiClient) -> None:
        self._api = api

    def halls(self) -> tuple[str, ...]:
        """Returns the names of the resources."""
        listed = self._api.call_json("GET", f"/v1/resources/{RESOURCE_KIND}")
        return tuple(resource["name"] for resource in listed["resources"])

    def begin(self, hall: str, reason: str, wait: bool) -> str:
        """Creates or changes the resource of the hall."""
        current = self._api.find_resource(RESOURCE_KIND, hall)
        if_revision = current["revision"] if current else 0
        document = Document(RESOURCE_KIND, hall, {"reason": reason})
        revision = self._api.put(document, if_revision, uuid.uuid4().hex)
        return (
            f"{RESOURCE_KIND}/{hall} accepted as {revision}"
            f"{self._in_force_suffix(revision, wait)}"
        )

    def finish(self, hall: str, wait: bool) -> str:
        """Deletes the resource of the hall."""
        revision = self._api.delete(RESOURCE_KIND, hall, uuid.uuid4().hex)
        return (
            f"{RESOURCE_KIND}/{hall} deleted by {revision}"
            f"{self._in_force_suffix(revision, wait)}"
        )

    def _in_force_suffix(self, revision: int, wait: bool) -> str:
        if not wait:
            return ""
        return f", in force on {self._api.wait_in_force(revision)} routers"


class CoreEvacuationClient(EvacuationClient):
    """Manages evacuations by commands to the core VMs, trying these in turn.

    Gateways apply an acknowledged command within half a second, or when they reach
    the core again. No request tells whether all of them have applied it.
    """

    def __init__(self, api: ApiClient) -> None:
        self._api = api

    def halls(self) -> tuple[str, ...]:
        """Returns the evacuated halls as the leader knows them."""
        method, path = evacuation_request(OperatorCall(OperatorAction.READ_EVACUATIONS))
        return tuple(self._api.call_json(method, path)["halls"])

    def begin(self, hall: str, reason: str, wait: bool) -> str:
        """Commands an evacuation; the reason is not stored."""
        self._send_command(OperatorAction.BEGIN_EVACUATION, hall, wait)
        return f"{hall} is evacuated"

    def finish(self, hall: str, wait: bool) -> str:
        """Commands the end of an evacuation."""
        self._send_command(OperatorAction.FINISH_EVACUATION, hall, wait)
        return f"the evacuation of {hall} is finished"

    def _send_command(self, verb: OperatorAction, hall: str, wait: bool) -> None:
        if wait:
            raise ApiError(
                400, "core VMs do not report what is in force; leave out --wait"
            )
        self._api.call_json(*evacuation_request(OperatorCall(verb, hall=hall)))
