"""
ashlatch.explain.story
~~~~~~~~~~~~~~~~~~~~~~

Puts log lines together to text: the story of one request, and a span of time.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import Counter
from collections.abc import Iterator

from ashlatch.explain.lines import Line, timestamp_s
from ashlatch.explain.process_state import ProcessStates, changes_state

__all__ = ["explain_request", "explain_span"]

# Other requests at the same endpoints are looked at this long before and after.
CONTEXT_WINDOW_S = 1.0
# What gateways log of a content under which endpoints have ended.
CRASH_EVENTS = ("crash_noted", "content_held", "content_survived")


def explain_request(request: str, lines: list[Line]) -> Iterator[str]:
    """The decisions about a request, and what was believed when each was taken.

    `lines` are those of all processes, ordered by time.
    """
    own = [line for line in lines if line.get("request") == request]
    if not own:
        yield f"no line names request {request}"
        return
    yield f"request {request}"
    for line in own:
        yield f"  {line.at} {line.process} {line.event} {_format_without_id(line)}"
    process = own[0].process
    yield f"what {process} believed at {own[0].at}"
    before = (line for line in lines if line.at <= own[0].at)
    yield from _describe_state(ProcessStates().apply_all(before), process, own[0].at)
    yield from _changes_during(lines, own)
    for content in sorted({line.get("content") for line in own} - {""}):
        yield from _other_crashes(content, lines, request)
    for instance in sorted({line.get("instance") for line in own} - {""}):
        yield from _other_outcomes(instance, lines, own, request)


def explain_span(begin: str, end: str, lines: list[Line]) -> Iterator[str]:
    """What each process believed when a span began, and what changed in it."""
    before = ProcessStates().apply_all(line for line in lines if line.at < begin)
    within = [line for line in lines if begin <= line.at <= end]
    for process in sorted({*before.processes, *(line.process for line in within)}):
        yield f"{process} at {begin}"
        yield from _describe_state(before, process, begin)
        yield "  changes"
        for line in within:
            if line.process == process and changes_state(line):
                yield f"    {line.at} {line.event} {line.text()}"
        yield from _summarise_outcomes(
            [line for line in within if line.process == process]
        )


def _format_without_id(line: Line) -> str:
    pairs = (f"{key}={value}" for key, value in line.pairs.items() if key != "request")
    return " ".join(pairs)


def _describe_state(beliefs: ProcessStates, process: str, at: str) -> Iterator[str]:
    known = beliefs.of(process)
    if not known:
        yield "    nothing is known of it before"
    for about, line in known.items():
        age_s = timestamp_s(at) - timestamp_s(line.at)
        yield f"    {about}: {line.event} {line.text()} (age {age_s:.3f} s)"


def _changes_during(lines: list[Line], own: list[Line]) -> Iterator[str]:
    process, begin, end = own[0].process, own[0].at, own[-1].at
    changes = [
        line
        for line in lines
        if line.process == process and begin < line.at <= end and changes_state(line)
    ]
    if changes:
        yield "what changed there meanwhile"
    for line in changes:
        yield f"    {line.at} {line.event} {line.text()}"


def _other_outcomes(
    instance: str, lines: list[Line], own: list[Line], request: str
) -> Iterator[str]:
    """What befell the other requests at an endpoint at that time, everywhere."""
    begin_s = timestamp_s(own[0].at) - CONTEXT_WINDOW_S
    end_s = timestamp_s(own[-1].at) + CONTEXT_WINDOW_S
    counts: Counter[str] = Counter()
    for line in lines:
        other = line.get("instance") == instance and line.get("request") != request
        if not other or not begin_s <= timestamp_s(line.at) <= end_s:
            continue
        counts[line.get("outcome") or line.event] += 1
    told = " ".join(f"{what}={count}" for what, count in sorted(counts.items()))
    yield f"other requests at {instance}, all processes: {told or 'none'}"


def _other_crashes(content: str, lines: list[Line], request: str) -> Iterator[str]:
    """Which endpoints have ended under requests that ask for the same."""
    others = [
        line
        for line in lines
        if line.get("content") == content
        and line.event in CRASH_EVENTS
        and line.get("request") != request
    ]
    if not others:
        return
    yield f"other requests with the content {content}, all processes"
    for line in others:
        yield f"    {line.at} {line.process} {line.event} {line.text()}"


def _summarise_outcomes(lines: list[Line]) -> Iterator[str]:
    """How requests ended, and attempts failed, by endpoint."""
    ended: Counter[str] = Counter()
    failed: Counter[str] = Counter()
    left_out = 0
    for line in lines:
        if line.event == "request_ended":
            ended[f"{line.get('status')} {line.get('reason')}".strip()] += 1
        if line.event == "attempt_ended":
            failed[f"{line.get('instance')} {line.get('outcome')}"] += 1
        if line.event == "lines_left_out":
            left_out += int(line.number("lines"))
    for title, counts in (("requests ended", ended), ("attempts failed", failed)):
        if counts:
            yield f"  {title}"
        for what, count in counts.most_common():
            yield f"    {count} {what}"
    if left_out:
        yield f"  {left_out} lines are missing, the reader of the log was too slow"
