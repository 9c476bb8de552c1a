"""
ashlatch.cmdline.ctl
~~~~~~~~~~~~~~~~~~~~

The `ashlatchctl` command: what operators do, over the resource API.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json
import sys
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

from ashlatch import __version__
from ashlatch.errors import AshlatchError, TransportError
from ashlatch.http.client import Call, Reply, fetch
from ashlatch.resources import RESOURCE_KINDS

__all__ = ["main"]

EXIT_FAILED = 1
IN_FORCE_POLL_S = 0.05
RETRY_S = 0.2
CALL_TIMEOUT_MS = 10_000.0
CREATE = "*"


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


class Api:
    """The resource API at one or more servers, tried in turn."""

    def __init__(self, servers: tuple[str, ...], token: str) -> None:
        self._servers = list(servers)
        self._token = token

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
                time.sleep(RETRY_S)
        assert last is not None
        raise last

    def json(self, method: str, path: str, **rest: Any) -> Any:
        """Make a call and read its JSON; a problem becomes an `ApiError`."""
        reply = self.call(method, path, **rest)
        if reply.status != 200:
            raise ApiError(reply.status, reply.body.decode("utf-8", "replace"))
        return json.loads(reply.body)

    def current(self, kind: str, name: str) -> dict[str, Any] | None:
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
        headers = {"Ashlatch-Change-Id": change_id, **_condition(if_revision)}
        body = json.dumps(document.spec).encode()
        path = f"/v1/resources/{document.kind}/{document.name}"
        done = self.json("PUT", path, headers=headers, body=body)
        return int(done["revision"])

    def wait_in_force(self, revision: int) -> int:
        """Wait until a revision is in force; on how many routers it is."""
        while True:
            try:
                status = self.json("GET", "/v1/status")
            except ApiError as error:
                if error.status != 503:
                    raise
                status = {"in_force_revision": -1}
            if status["in_force_revision"] >= revision:
                return len(status["routers"])
            time.sleep(IN_FORCE_POLL_S)


def _condition(if_revision: int) -> dict[str, str]:
    if if_revision:
        return {"If-Match": f'"{if_revision}"'}
    return {"If-None-Match": CREATE}


def _documents(path: Path) -> list[Document]:
    """The resources of a file, those first that others refer to."""
    read = json.loads(path.read_text(encoding="utf-8"))
    listed = read if isinstance(read, list) else [read]
    documents = [Document(d["kind"], d["name"], d["spec"]) for d in listed]
    return sorted(documents, key=lambda d: RESOURCE_KINDS.get(d.kind).priority)


def _show(value: Any) -> None:
    click.echo(json.dumps(value, indent=2))


@click.group()
@click.option(
    "--server", "servers", multiple=True, required=True, envvar="ASHLATCH_SERVER"
)
@click.option("--token", required=True, envvar="ASHLATCH_TOKEN")
@click.version_option(__version__)
@click.pass_context
def main(context: click.Context, servers: tuple[str, ...], token: str) -> None:
    """Operate ashlatch over its resource API.

    \b
        export ASHLATCH_SERVER=http://10.0.0.7:7100 ASHLATCH_TOKEN=...
        ashlatchctl apply -f kenya.json --wait
        ashlatchctl withdraw quote-small-2 --reason "wrong prices" --wait
        ashlatchctl status
    """
    context.obj = Api(servers, token)


@main.command()
@click.option("-f", "--file", "path", type=Path, required=True, help="JSON file.")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@click.option("--change-id", default="", help="To send a change again.")
@click.pass_obj
def apply(api: Api, path: Path, wait: bool, change_id: str) -> None:
    """Create or change the resources of a file."""
    base = change_id or uuid.uuid4().hex
    revision = 0
    for document in _documents(path):
        current = api.current(document.kind, document.name)
        own_id = f"{base}/{document.kind}/{document.name}"
        if_revision = current["revision"] if current else 0
        if current and _same(current["spec"], document):
            click.echo(f"{document.kind}/{document.name} unchanged")
            continue
        revision = api.put(document, if_revision, own_id)
        click.echo(f"{document.kind}/{document.name} accepted as {revision}")
    _wait(api, revision, wait)


def _same(current: dict[str, Any], document: Document) -> bool:
    model = RESOURCE_KINDS.get(document.kind)
    wanted = model.model_validate(document.spec).model_dump(mode="json")
    return bool(wanted == current)


def _wait(api: Api, revision: int, wait: bool) -> None:
    if wait:
        routers = api.wait_in_force(revision)
        click.echo(f"revision {revision} in force on {routers} routers")


@main.command()
@click.argument("kind")
@click.argument("name", default="")
@click.pass_obj
def get(api: Api, kind: str, name: str) -> None:
    """Show a resource, or all of a kind."""
    path = f"/v1/resources/{kind}/{name}" if name else f"/v1/resources/{kind}"
    _show(api.json("GET", path))


@main.command()
@click.argument("kind")
@click.argument("name")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@click.pass_obj
def delete(api: Api, kind: str, name: str, wait: bool) -> None:
    """Delete a resource that nothing refers to."""
    current = api.current(kind, name)
    if current is None:
        raise ApiError(404, f"{kind}/{name}")
    headers = {"Ashlatch-Change-Id": uuid.uuid4().hex}
    headers |= _condition(current["revision"])
    done = api.json("DELETE", f"/v1/resources/{kind}/{name}", headers=headers)
    click.echo(f"{kind}/{name} deleted by {done['revision']}")
    _wait(api, done["revision"], wait)


@main.command()
@click.argument("version")
@click.option("--reason", default="", help="Shown to other operators.")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@click.pass_obj
def withdraw(api: Api, version: str, reason: str, wait: bool) -> None:
    """Give a version no new work, from now on."""
    document = Document("withdrawal", version, {"reason": reason})
    current = api.current("withdrawal", version)
    if_revision = current["revision"] if current else 0
    revision = api.put(document, if_revision, uuid.uuid4().hex)
    click.echo(f"withdrawal/{version} accepted as {revision}")
    _wait(api, revision, wait)


@main.command()
@click.argument("name")
@click.option("--from", "from_version", required=True)
@click.option("--to", "to_version", required=True)
@click.option("--stages", default="1,10,50,100", help="Shares in percent.")
@click.option("--answers-min", default=50, help="Good answers for each stage.")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@click.pass_obj
def rollout(
    api: Api,
    name: str,
    from_version: str,
    to_version: str,
    stages: str,
    answers_min: int,
    wait: bool,
) -> None:
    """Move the traffic of one version to another in stages."""
    spec = {
        "from_version": from_version,
        "to_version": to_version,
        "stages": [
            {"share_percent": float(share), "answers_min": answers_min}
            for share in stages.split(",")
        ],
    }
    revision = api.put(Document("rollout", name, spec), 0, uuid.uuid4().hex)
    click.echo(f"rollout/{name} accepted as {revision}")
    _wait(api, revision, wait)


@main.command()
@click.option("--after", default=0, help="Only changes after this revision.")
@click.option("--count", default=0, help="Stop after so many lines.")
@click.pass_obj
def watch(api: Api, after: int, count: int) -> None:
    """Print each change as it is accepted and as it comes into force."""
    for seen, line in enumerate(_watched(api, after), 1):
        click.echo(line)
        if count and seen >= count:
            return


def _watched(api: Api, after: int) -> Iterator[str]:
    in_force = -1
    while True:
        listed = api.json("GET", "/v1/resources")
        status = api.json("GET", "/v1/status")
        for resource in listed["resources"]:
            if resource["revision"] > after:
                yield json.dumps({"accepted": resource})
        after = max(after, listed["revision"])
        if status["in_force_revision"] != in_force:
            in_force = status["in_force_revision"]
            yield json.dumps({"in_force": in_force, "routers": len(status["routers"])})
        time.sleep(RETRY_S)


@main.command()
@click.pass_obj
def status(api: Api) -> None:
    """Show the members, the routers and what is in force."""
    _show(api.json("GET", "/v1/status"))


@main.group()
def member() -> None:
    """See and change the members of the replicated state."""


@member.command("list")
@click.pass_obj
def member_list(api: Api) -> None:
    """Show the members, and how many more may be lost now."""
    found = api.json("GET", "/v1/status")
    for entry in found["members"]:
        click.echo(
            f"{entry['member_id']} vm={entry['vm']} address={entry['address']} "
            f"role={entry['role']} lag={entry['lag']} "
            f"silent_ms={entry['silent_ms']:.0f}"
        )
    click.echo(f"losses_survived={found['losses_survived']}")


@member.command("remove")
@click.argument("member_id")
@click.pass_obj
def member_remove(api: Api, member_id: str) -> None:
    """Take a member out, if a quorum of the others is up to date.

    A member is added by starting it with an empty data folder.
    """
    found = api.json("DELETE", f"/v1/members/{member_id}")
    left = [entry["member_id"] for entry in found["members"]]
    click.echo(f"members: {', '.join(left)}")
    if member_id in left:
        sys.exit(EXIT_FAILED)


def run() -> None:
    """The console script: `main`, with errors as one line."""
    try:
        main(standalone_mode=False)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except (AshlatchError, click.Abort) as error:
        click.echo(f"ashlatchctl: {error}", err=True)
        sys.exit(EXIT_FAILED)
