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

# How often it is asked whether a revision is in force.
IN_FORCE_POLL_S = 0.05
# Between tries at one server and the next.
RETRY_DELAY_S = 0.2
CALL_TIMEOUT_MS = 10_000.0
ANY_REVISION = "*"


@dataclass
class ApiError(AshlatchError):
    """The resource API did not do what was asked."""

    status: int
    problem: str

    def __str__(self) -> str:
        return f"status {self.status}: {self.problem}"


@dataclass(frozen=True)
class Document:
    """One resource of a file: a JSON object with kind, name and spec."""

    kind: str
    name: str
    spec: dict[str, Any]


class ApiClient:
    """The resource API at one or more servers, tried in turn."""

    def __init__(self, servers: tuple[str, ...], token: str) -> None:
        self._servers = list(servers)
        self._token = token

    @property
    def has_token(self) -> bool:
        """Whether calls carry an operator's token."""
        return bool(self._token)

    def call(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Reply:
        """Make a call; a server that cannot be reached gives way to the next.

        Sending a change again is safe, since it carries its change id.
        """
        last: TransportError | None = None
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
                last = error
                self._servers.append(self._servers.pop(0))
                time.sleep(RETRY_DELAY_S)
        assert last is not None
        raise last

    def call_json(self, method: str, path: str, **rest: Any) -> Any:
        """Make a call and read its JSON; a problem becomes an `ApiError`."""
        reply = self.call(method, path, **rest)
        if reply.status != 200:
            raise ApiError(reply.status, reply.body.decode("utf-8", "replace"))
        return json.loads(reply.body)

    def find_resource(self, kind: str, name: str) -> dict[str, Any] | None:
        """A resource as it is now."""
        reply = self.call("GET", f"/v1/resources/{kind}/{name}")
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise ApiError(reply.status, reply.body.decode("utf-8", "replace"))
        found: dict[str, Any] = json.loads(reply.body)
        return found

    def put(self, document: Document, if_revision: int, change_id: str) -> int:
        """Put a resource; the accepted revision."""
        headers = {"Ashlatch-Change-Id": change_id, **revision_condition(if_revision)}
        body = json.dumps(document.spec).encode()
        path = f"/v1/resources/{document.kind}/{document.name}"
        done = self.call_json("PUT", path, headers=headers, body=body)
        return int(done["revision"])

    def delete(self, kind: str, name: str, change_id: str) -> int:
        """Delete a resource; the accepted revision."""
        current = self.find_resource(kind, name)
        if current is None:
            raise ApiError(404, f"{kind}/{name}")
        headers = {
            "Ashlatch-Change-Id": change_id,
            **revision_condition(current["revision"]),
        }
        done = self.call_json("DELETE", f"/v1/resources/{kind}/{name}", headers=headers)
        return int(done["revision"])

    def wait_in_force(self, revision: int) -> int:
        """Wait until a revision is in force; on how many routers it is."""
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
    """The header that lets a change through only on top of a revision; 0: none."""
    if if_revision:
        return {"If-Match": f'"{if_revision}"'}
    return {"If-None-Match": ANY_REVISION}
