"""
ashlatch.cmdline.ctl
~~~~~~~~~~~~~~~~~~~~

The `ashlatchctl` command, with which operators use the resource API.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import json
import sys
import time
import uuid
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TextIO

import click

from ashlatch import __version__
from ashlatch.cmdline.api import ApiClient, Document
from ashlatch.cmdline.evacuations import (
    CoreEvacuationClient,
    EvacuationClient,
    ResourceEvacuationClient,
)
from ashlatch.errors import AshlatchError
from ashlatch.explain.lines import Line, read_lines
from ashlatch.explain.overload import explain_overload
from ashlatch.explain.sessions import explain_session, explain_version_changes
from ashlatch.explain.timeline import explain_request, explain_span
from ashlatch.resources import RESOURCE_KINDS

__all__ = ["main"]

EXIT_FAILED = 1
# Commands that read logs instead of calling the API.
LOG_COMMANDS = ("explain", "overload")
# Interval at which `watch` polls for changes.
WATCH_POLL_S = 0.2


def _read_documents(path: Path) -> list[Document]:
    """Reads the resources of a file; referenced ones come before their users."""
    content = json.loads(path.read_text(encoding="utf-8"))
    listed = content if isinstance(content, list) else [content]
    documents = [Document(d["kind"], d["name"], d["spec"]) for d in listed]
    return sorted(documents, key=lambda d: RESOURCE_KINDS.get(d.kind).priority)


def _print_json(value: Any) -> None:
    click.echo(json.dumps(value, indent=2))


_pass_api = click.make_pass_decorator(ApiClient)


@click.group()
@click.option("--server", "servers", multiple=True, envvar="ASHLATCH_SERVER")
@click.option("--token", default="", envvar="ASHLATCH_TOKEN")
@click.version_option(__version__)
@click.pass_context
def main(context: click.Context, servers: tuple[str, ...], token: str) -> None:
    """Operate ashlatch through its resource API.

    \b
        export ASHLATCH_SERVER=http://10.0.0.7:7100 ASHLATCH_TOKEN=...
        ashlatchctl apply -f kenya.json --wait
        ashlatchctl withdraw quote-small-2 --reason "wrong prices" --wait
        ashlatchctl status

    `explain` and `overload` read logs and need neither a server nor a token.
    """
    if context.invoked_subcommand in LOG_COMMANDS:
        return
    if not servers:
        raise click.UsageError("--server is needed")
    if not token and context.invoked_subcommand != "evacuation":
        raise click.UsageError("--token is needed")
    context.obj = ApiClient(servers, token)


@main.command()
@click.option("-f", "--file", "path", type=Path, required=True, help="JSON file.")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@click.option("--change-id", default="", help="Reuse this id to repeat a change.")
@_pass_api
def apply(api: ApiClient, path: Path, wait: bool, change_id: str) -> None:
    """Create or change the resources of a file."""
    base = change_id or uuid.uuid4().hex
    revision = 0
    for document in _read_documents(path):
        current = api.find_resource(document.kind, document.name)
        document_change_id = f"{base}/{document.kind}/{document.name}"
        if_revision = current["revision"] if current else 0
        if current and _is_unchanged(current["spec"], document):
            click.echo(f"{document.kind}/{document.name} unchanged")
            continue
        revision = api.put(document, if_revision, document_change_id)
        click.echo(f"{document.kind}/{document.name} accepted as {revision}")
    _wait_in_force(api, revision, wait)


def _is_unchanged(current: dict[str, Any], document: Document) -> bool:
    model = RESOURCE_KINDS.get(document.kind)
    wanted = model.model_validate(document.spec).model_dump(mode="json")
    return bool(wanted == current)


def _wait_in_force(api: ApiClient, revision: int, wait: bool) -> None:
    if wait:
        routers = api.wait_in_force(revision)
        click.echo(f"revision {revision} in force on {routers} routers")


@main.command()
@click.argument("kind")
@click.argument("name", default="")
@_pass_api
def get(api: ApiClient, kind: str, name: str) -> None:
    """Show a resource, or all of a kind."""
    path = f"/v1/resources/{kind}/{name}" if name else f"/v1/resources/{kind}"
    _print_json(api.call_json("GET", path))


@main.command()
@click.argument("kind")
@click.argument("name")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@_pass_api
def delete(api: ApiClient, kind: str, name: str, wait: bool) -> None:
    """Delete a resource that nothing refers to."""
    revision = api.delete(kind, name, uuid.uuid4().hex)
    click.echo(f"{kind}/{name} deleted by {revision}")
    _wait_in_force(api, revision, wait)


@main.command()
@click.argument("version")
@click.option("--reason", default="", help="Shown to other operators.")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@_pass_api
def withdraw(api: ApiClient, version: str, reason: str, wait: bool) -> None:
    """Send no new work to a version from now on."""
    document = Document("withdrawal", version, {"reason": reason})
    current = api.find_resource("withdrawal", version)
    if_revision = current["revision"] if current else 0
    revision = api.put(document, if_revision, uuid.uuid4().hex)
    click.echo(f"withdrawal/{version} accepted as {revision}")
    _wait_in_force(api, revision, wait)


@main.command()
@click.argument("name")
@click.option("--from", "from_version", required=True)
@click.option("--to", "to_version", required=True)
@click.option("--stages", default="1,10,50,100", help="Shares in percent.")
@click.option("--answers-min", default=50, help="Good answers for each stage.")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@_pass_api
def rollout(
    api: ApiClient,
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
    _wait_in_force(api, revision, wait)


@main.command()
@click.option("--after", default=0, help="Only changes after this revision.")
@click.option("--count", default=0, help="Stop after so many lines.")
@_pass_api
def watch(api: ApiClient, after: int, count: int) -> None:
    """Print each change when it is accepted and when it comes into force."""
    for printed, line in enumerate(_watch_events(api, after), 1):
        click.echo(line)
        if count and printed >= count:
            return


def _watch_events(api: ApiClient, after: int) -> Iterator[str]:
    in_force = -1
    while True:
        listed = api.call_json("GET", "/v1/resources")
        status = api.call_json("GET", "/v1/status")
        for resource in listed["resources"]:
            if resource["revision"] > after:
                yield json.dumps({"accepted": resource})
        after = max(after, listed["revision"])
        if status["in_force_revision"] != in_force:
            in_force = status["in_force_revision"]
            yield json.dumps({"in_force": in_force, "routers": len(status["routers"])})
        time.sleep(WATCH_POLL_S)


@main.command()
@_pass_api
def status(api: ApiClient) -> None:
    """Show the members, the routers and the revision in force."""
    _print_json(api.call_json("GET", "/v1/status"))


@main.group()
@click.option("--core", is_flag=True, help="The servers are core VMs.")
@click.pass_context
def evacuation(context: click.Context, core: bool) -> None:
    """List, begin and finish evacuations. An evacuated hall gets no new work.

    \b
        ashlatchctl evacuation begin logan --reason "power works" --wait
        ashlatchctl evacuation finish logan
        ashlatchctl --server http://10.0.0.7:8225 evacuation --core list

    Core VMs need no token, since only operators can reach them.
    """
    api = context.obj
    assert isinstance(api, ApiClient)
    if not core and not api.has_token:
        raise click.UsageError("--token is needed")
    context.obj = CoreEvacuationClient(api) if core else ResourceEvacuationClient(api)


_pass_evacuations = click.make_pass_decorator(EvacuationClient)


@evacuation.command("list")
@_pass_evacuations
def evacuation_list(evacuations: EvacuationClient) -> None:
    """Show the evacuated halls, one per line."""
    for hall in evacuations.halls():
        click.echo(hall)


@evacuation.command("begin")
@click.argument("hall")
@click.option("--reason", default="", help="Shown to other operators.")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@_pass_evacuations
def evacuation_begin(
    evacuations: EvacuationClient, hall: str, reason: str, wait: bool
) -> None:
    """Stop sending requests to the endpoints of a hall."""
    click.echo(evacuations.begin(hall, reason, wait))


@evacuation.command("finish")
@click.argument("hall")
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
@_pass_evacuations
def evacuation_finish(evacuations: EvacuationClient, hall: str, wait: bool) -> None:
    """Resume sending requests to the endpoints of a hall."""
    click.echo(evacuations.finish(hall, wait))


@main.group()
def member() -> None:
    """Show and change the members of the replicated state."""


@member.command("list")
@_pass_api
def member_list(api: ApiClient) -> None:
    """Show the members, and how many of them may fail without an outage."""
    reply = api.call_json("GET", "/v1/status")
    for entry in reply["members"]:
        click.echo(
            f"{entry['member_id']} vm={entry['vm']} address={entry['address']} "
            f"role={entry['role']} lag={entry['lag']} "
            f"silent_ms={entry['silent_ms']:.0f}"
        )
    click.echo(f"losses_survived={reply['losses_survived']}")


@member.command("remove")
@click.argument("member_id")
@_pass_api
def member_remove(api: ApiClient, member_id: str) -> None:
    """Remove a member, if a quorum of the others is up to date.

    To add a member, start it with an empty data folder.
    """
    reply = api.call_json("DELETE", f"/v1/members/{member_id}")
    remaining = [entry["member_id"] for entry in reply["members"]]
    click.echo(f"members: {', '.join(remaining)}")
    if member_id in remaining:
        sys.exit(EXIT_FAILED)


@main.command()
@click.option("--request", default="", help="The id of one request.")
@click.option("--session", default="", help="The id of one session.")
@click.option("--moves", is_flag=True, help="List sessions that changed their version.")
@click.option(
    "--from", "begin", default="", help="Start of a time span, as in the logs."
)
@click.option("--to", "end", default="", help="End of the time span.")
@click.argument("logs", nargs=-1, type=click.File(encoding="utf-8", errors="replace"))
def explain(
    request: str,
    session: str,
    moves: bool,
    begin: str,
    end: str,
    logs: tuple[TextIO, ...],
) -> None:
    """Explain a request, a session or a span of time from the LOGS of all processes.

    \b
        ashlatchctl explain --request 9c41d07be2a35f68 gateway-*.log core-*.log
        ashlatchctl explain --session 2e6fd6b5fb75 gateway-*.log
        ashlatchctl explain --moves gateway-*.log
        ashlatchctl explain --from 2026-12-02T10:00:00 --to 2026-12-02T10:00:05 *.log

    Without LOGS, standard input is read. Times are those of each VM's own clock.
    """
    selected = (bool(request), bool(session), moves, bool(begin and end))
    if sum(selected) != 1:
        raise click.UsageError(
            "give either --request, or --from and --to, or --session, or --moves"
        )
    lines = _read_logs(logs)
    if request:
        output = explain_request(request, lines)
    elif session:
        output = explain_session(session, lines)
    elif moves:
        output = explain_version_changes(lines)
    else:
        output = explain_span(begin, end, lines)
    for text in output:
        click.echo(text)


@main.command()
@click.argument("logs", nargs=-1, type=click.File(encoding="utf-8", errors="replace"))
def overload(logs: tuple[TextIO, ...]) -> None:
    """Show scarce capacity and admission decisions from the LOGS of gateways.

    \b
        ashlatchctl overload gateway-*.log

    For each service: since when capacity is scarce and when it was, the 8 organisations
    that were most over their share, and the requests deferred and refused by each rule.
    Without LOGS, standard input is read. Times are those of each VM's own clock.
    """
    for text in explain_overload(_read_logs(logs)):
        click.echo(text)


def _read_logs(logs: tuple[TextIO, ...]) -> list[Line]:
    """Reads the events of several logs, ordered by time."""
    events: list[Line] = []
    for log in logs or (sys.stdin,):
        events += read_lines(Path(log.name).stem, log)
    return sorted(events, key=lambda line: line.at)


def run() -> None:
    """Runs `main` as the console script and prints errors as one line."""
    try:
        main(standalone_mode=False)
    except click.ClickException as error:
        error.show()
        sys.exit(error.exit_code)
    except (AshlatchError, click.Abort) as error:
        click.echo(f"ashlatchctl: {error}", err=True)
        sys.exit(EXIT_FAILED)
