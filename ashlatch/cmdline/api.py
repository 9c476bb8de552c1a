"""
ashlatch.cmdline.api
~~~~~~~~~~~~~~~~~~~~

The client of the resource API that `ashlatchctl` uses.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json
import time
from dataclasses import dataclass
from typing import Any

from ashlatch.errors import AshlatchError, TransportError
from ashlatch.http.client import Call, Reply, fetch

__all__ = ["ApiClient", "ApiError", "Document", "revision_condition"]

# Interval of the polls for a revision to come into force.
IN_FORCE_POLL_S = 0.05
# Delay before the call is repeated at the next server.
RETRY_DELAY_S = 0.2
CALL_TIMEOUT_MS = 10_000.0
ANY_REVISION = "*"


@dataclass
class ApiError(AshlatchError):
    """A call failed: the API answered with an error, or the call is not possible."""

    status: int
    problem: str

    def __str__(self) -> str:
        return f"status {self.status}: {self.problem}"


@dataclass(frozen=True)
class Document:
    """A resource of a file: a JSON object with kind, name and spec."""

    kind: str
    name: str
    spec: dict[str, Any]


class ApiClient:
    """Calls the resource API at one or more servers, trying them in turn."""

    def __init__(self, servers: tuple[str, ...], token: str) -> None:
        self._servers = list(servers)
        self._token = token

    @property
    def has_token(self) -> bool:
        """True if calls carry an operator's token."""
        return bool(self._token)

    def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Reply:
        """Makes a call; if a server cannot be reached, the next one is tried.

        Sending a change again is safe because it carries a change id.
        """
        last_error: TransportError | None = None
        for _ in range(len(self._servers) * 2):
            call = Call(
                self._servers[0] + path,
                method,
                {"Authorization": f"Bearer {self._token}", **(headers or {})},
                body,
                CALL_TIMEOUT_MS,
            )
            try:
                return fetch(call)
            except TransportError as error:
                last_error = error
                self._servers.append(self._servers.pop(0))
                time.sleep(RETRY_DELAY_S)
        assert last_error is not None
        raise last_error

    def call_json(self, method: str, path: str, **rest: Any) -> Any:
        """Makes a call and decodes its JSON; raises `ApiError` on an error status."""
        reply = self.call(method, path, **rest)
        if reply.status != 200:
            raise ApiError(reply.status, reply.body.decode("utf-8", "replace"))
        return json.loads(reply.body)

    def find_resource(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns the current state of a resource, or None if it does not exist."""
        reply = self.call("GET", f"/v1/resources/{kind}/{name}")
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise ApiError(reply.status, reply.body.decode("utf-8", "replace"))
        resource: dict[str, Any] = json.loads(reply.body)
        return resource

    def put(self, document: Document, if_revision: int, change_id: str) -> int:
        """Creates or changes a resource; returns the accepted revision."""
        headers = {"Ashlatch-Change-Id": change_id, **revision_condition(if_revision)}
        body = json.dumps(document.spec).encode()
        path = f"/v1/resources/{document.kind}/{document.name}"
        accepted = self.call_json("PUT", path, headers=headers, body=body)
        return int(accepted["revision"])

    def delete(self, kind: str, name: str, change_id: str) -> int:
        """Deletes a resource; returns the accepted revision."""
        current = self.find_resource(kind, name)
        if current is None:
            raise ApiError(404, f"{kind}/{name}")
        headers = {
            "Ashlatch-Change-Id": change_id,
            **revision_condition(current["revision"]),
        }
        accepted = self.call_json(
            "DELETE", f"/v1/resources/{kind}/{name}", headers=headers
        )
        return int(accepted["revision"])

    def wait_in_force(self, revision: int) -> int:
        """Waits until a revision is in force; returns the number of routers."""
        while True:
            try:
                status = self.call_json("GET", "/v1/status")
            except ApiError as error:
                if error.status != 503:
                    raise
                status = {"in_force_revision": -1}
            if status["in_force_revision"] >= revision:
                return len(status["routers"])
            time.sleep(IN_FORCE_POLL_S)


def revision_condition(if_revision: int) -> dict[str, str]:
    """Returns the header that makes a change conditional on a revision.

    0 stands for a resource that must not exist yet.
    """
    if if_revision:
        return {"If-Match": f'"{if_revision}"'}
    return {"If-None-Match": ANY_REVISION}
