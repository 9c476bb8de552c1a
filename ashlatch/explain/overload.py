"""
ashlatch.explain.overload
~~~~~~~~~~~~~~~~~~~~~~~~~

Summarises from the logs of gateways, for each service, when its capacity was scarce,
which organisations were over their share, and how many requests were deferred and
refused by which rule.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ashlatch.explain.lines import Line, timestamp_s

__all__ = ["explain_overload"]

# The largest numbers of organisations and of periods that are shown for a service.
ORGANISATIONS_SHOWN_MAX = 8
PERIODS_SHOWN_MAX = 8


@dataclass
class _OrganisationSummary:
    """The highest fraction over the share, and the number of decisions by action."""

    over_share: float = 0.0
    actions: Counter[str] = field(default_factory=Counter)


@dataclass
class _ServiceSummary:
    """What the lines so far say about a service.

    `scarce_since` has the gateways at which capacity is scarce, with the time since
    when. `periods` are the past periods in which it was scarce at any gateway, the
    current one began at `begun_at`. `decisions` are counted by action and reason.
    """

    gateways: set[str] = field(default_factory=set)
    scarce_since: dict[str, str] = field(default_factory=dict)
    begun_at: str = ""
    periods: list[tuple[str, str]] = field(default_factory=list)
    decisions: Counter[tuple[str, str]] = field(default_factory=Counter)
    organisations: dict[str, _OrganisationSummary] = field(
        default_factory=lambda: defaultdict(_OrganisationSummary)
    )

    def apply_scarcity(self, process: str, scarce: bool, at: str) -> None:
        """Applies that capacity is scarce at a gateway from a time on, or is not."""
        was_scarce = bool(self.scarce_since)
        if scarce:
            self.scarce_since.setdefault(process, at)
        else:
            self.scarce_since.pop(process, None)
        if self.scarce_since and not was_scarce:
            self.begun_at = at
        if was_scarce and not self.scarce_since:
            self.periods.append((self.begun_at, at))

    def apply_decision(self, line: Line) -> None:
        """Counts the decision about a request."""
        action = line.get("action").lower()
        self.decisions[action, line.get("reason")] += 1
        over_share, name = line.number("over_share"), line.get("organisation")
        if name and over_share > 0.0:
            organisation = self.organisations[name]
            organisation.over_share = max(organisation.over_share, over_share)
            organisation.actions[action] += 1


def explain_overload(lines: Iterable[Line]) -> Iterator[str]:
    """Shows scarcity, shares and decisions of each service, from lines in time order.

    Times are those of each VM's own clock.
    """
    services: dict[str, _ServiceSummary] = defaultdict(_ServiceSummary)
    for line in lines:
        if line.event == "daemon_started":
            for summary in services.values():
                summary.apply_scarcity(line.process, False, line.at)
        elif line.event == "room_changed":
            summary = services[line.get("service")]
            summary.gateways.add(line.process)
            scarce = line.get("scarce") == "true"
            summary.apply_scarcity(line.process, scarce, line.at)
        elif line.event == "admission_decided":
            summary = services[line.get("service")]
            summary.gateways.add(line.process)
            summary.apply_decision(line)
    if not services:
        yield "no line tells of scarce capacity or of an admission decision"
    for service, summary in sorted(services.items()):
        yield f"service {service}"
        yield from _describe_scarcity(summary)
        yield from _describe_organisations(summary)
        yield from _describe_decisions(summary)


def _describe_scarcity(summary: _ServiceSummary) -> Iterator[str]:
    gateways = len(summary.gateways)
    if summary.scarce_since:
        scarce = len(summary.scarce_since)
        yield f"  scarce at {scarce} of {gateways} gateways since {summary.begun_at}"
    else:
        yield f"  not scarce at any of {gateways} gateways"
    if summary.periods:
        yield f"  earlier periods of scarcity: {len(summary.periods)}"
    for begin, end in summary.periods[-PERIODS_SHOWN_MAX:]:
        took_s = timestamp_s(end) - timestamp_s(begin)
        yield f"    {begin} to {end} ({took_s:.3f} s)"


def _describe_organisations(summary: _ServiceSummary) -> Iterator[str]:
    ranked = sorted(
        summary.organisations.items(),
        key=lambda item: (item[1].over_share, item[1].actions.total()),
        reverse=True,
    )
    if ranked:
        yield f"  organisations over their share: {len(ranked)}"
    for name, organisation in ranked[:ORGANISATIONS_SHOWN_MAX]:
        actions = sorted(organisation.actions.items())
        counts = " ".join(f"{action}={count}" for action, count in actions)
        yield f"    {name} over_share={organisation.over_share:.3f} {counts}"


def _describe_decisions(summary: _ServiceSummary) -> Iterator[str]:
    if summary.decisions:
        yield "  decisions"
    for (action, reason), count in summary.decisions.most_common():
        yield f"    {count} {action} {reason}".rstrip()
