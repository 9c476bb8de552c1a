"""
ashlatch.explain.timeline
~~~~~~~~~~~~~~~~~~~~~~~~~

Formats log lines as text: the events of one request, or those of a span of time.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import Counter
from collections.abc import Iterator

from ashlatch.explain.lines import Line, timestamp_s
from ashlatch.explain.process_state import ProcessStates, changes_state

__all__ = ["explain_request", "explain_span"]

# Other requests at the same endpoints are counted from this long before the request
# until this long after it.
CONTEXT_WINDOW_S = 1.0
# Events that gateways log about fingerprints on which endpoints crashed.
CRASH_EVENTS = (
    "crash_noted",
    "content_held",
    "content_survived",
    "quarantine_trial",
)


def explain_request(request: str, lines: list[Line]) -> Iterator[str]:
    """Lists the decisions about a request, and the state in which they were made.

    `lines` are those of all processes, ordered by time.
    """
    events = [line for line in lines if line.get("request") == request]
    if not events:
        yield f"no line names request {request}"
        return
    yield f"request {request}"
    for line in events:
        yield f"  {line.at} {line.process} {line.event} {_format_without_id(line)}"
    process = events[0].process
    yield f"state of {process} at {events[0].at}"
    before = (line for line in lines if line.at <= events[0].at)
    yield from _describe_state(ProcessStates().apply_all(before), process, events[0].at)
    yield from _changes_during(lines, events)
    for fingerprint in sorted({line.get("content") for line in events} - {""}):
        yield from _other_crashes(fingerprint, lines, request)
    for part in sorted({line.get("part") for line in events} - {""}):
        yield from _crashes_with_part(part, lines, request)
    for instance in sorted({line.get("instance") for line in events} - {""}):
        yield from _other_outcomes(instance, lines, events, request)


def explain_span(begin: str, end: str, lines: list[Line]) -> Iterator[str]:
    """Shows the state of each process when a span began, and the changes in it."""
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


def _describe_state(states: ProcessStates, process: str, at: str) -> Iterator[str]:
    latest = states.of(process)
    if not latest:
        yield "    no earlier state in the logs"
    for subject, line in latest.items():
        age_s = timestamp_s(at) - timestamp_s(line.at)
        yield f"    {subject}: {line.event} {line.text()} (age {age_s:.3f} s)"


def _changes_during(lines: list[Line], events: list[Line]) -> Iterator[str]:
    process, begin, end = events[0].process, events[0].at, events[-1].at
    changes = [
        line
        for line in lines
        if line.process == process and begin < line.at <= end and changes_state(line)
    ]
    if changes:
        yield "state changes there during the request"
    for line in changes:
        yield f"    {line.at} {line.event} {line.text()}"


def _other_outcomes(
    instance: str, lines: list[Line], events: list[Line], request: str
) -> Iterator[str]:
    """Counts the outcomes of other requests at an endpoint around the same time."""
    begin_s = timestamp_s(events[0].at) - CONTEXT_WINDOW_S
    end_s = timestamp_s(events[-1].at) + CONTEXT_WINDOW_S
    counts: Counter[str] = Counter()
    for line in lines:
        other = line.get("instance") == instance and line.get("request") != request
        if not other or not begin_s <= timestamp_s(line.at) <= end_s:
            continue
        counts[line.get("outcome") or line.event] += 1
    shown = " ".join(f"{outcome}={count}" for outcome, count in sorted(counts.items()))
    yield f"other requests at {instance}, all processes: {shown or 'none'}"


def _other_crashes(fingerprint: str, lines: list[Line], request: str) -> Iterator[str]:
    """Lists endpoint crashes on other requests with the same fingerprint."""
    others = [
        line
        for line in lines
        if line.get("content") == fingerprint
        and line.event in CRASH_EVENTS
        and line.get("request") != request
    ]
    if not others:
        return
    yield f"other requests with the fingerprint {fingerprint}, all processes"
    for line in others:
        yield f"    {line.at} {line.process} {line.event} {line.text()}"


def _crashes_with_part(part: str, lines: list[Line], request: str) -> Iterator[str]:
    """Lists endpoint crashes on other requests with the same part of their prompts."""
    yield f"other requests with the prompt part {part}, all processes"
    for line in lines:
        named = {item.partition(":")[0] for item in line.get("parts").split(",")}
        concerned = part == line.get("part") or part in named
        if concerned and line.event in CRASH_EVENTS and line.get("request") != request:
            yield f"    {line.at} {line.process} {line.event} {line.text()}"


def _summarise_outcomes(lines: list[Line]) -> Iterator[str]:
    """Counts the ends of requests, failed attempts by endpoint, and decisions."""
    ended: Counter[str] = Counter()
    failed: Counter[str] = Counter()
    decided: Counter[str] = Counter()
    left_out = 0
    for line in lines:
        if line.event == "request_ended":
            ended[f"{line.get('status')} {line.get('reason')}".strip()] += 1
        if line.event == "attempt_ended":
            failed[f"{line.get('instance')} {line.get('outcome')}"] += 1
        if line.event == "admission_decided":
            rule = f"{line.get('action')} {line.get('reason')}"
            decided[f"{line.get('service')} {rule}"] += 1
        if line.event == "lines_left_out":
            left_out += int(line.number("lines"))
    for title, counts in (
        ("requests ended", ended),
        ("attempts failed", failed),
        ("deferrals and refusals", decided),
    ):
        if counts:
            yield f"  {title}"
        for outcome, count in counts.most_common():
            yield f"    {count} {outcome}"
    if left_out:
        yield f"  {left_out} log lines are missing: the log reader was too slow"
