"""Tests of the router's host: how it performs the effects of the core."""

import dataclasses
from collections.abc import Callable
from typing import Any

import testtools

from ashlatch.clock import monotonic_ms
from ashlatch.policy.load import LoadReport
from ashlatch.policy.table import RoutingTable
from ashlatch.router.effect import SendProblem
from ashlatch.router.event import (
    ConfigurationChanged,
    LeaseRenewed,
    LoadReported,
)
from ashlatch.router.host import Mailbox, RouterHost
from ashlatch.settings import RouterSettings
from ashlatch.store.command import ClaimGranted, CloseAttempt
from tests.test_router import ORDER, request, table


class HeldHost(RouterHost):
    """A host that keeps its work and its commands until the test runs them."""

    def __init__(self) -> None:
        self.errors: list[BaseException] = []
        settings = RouterSettings(
            vm="r", hall="logan", listen="127.0.0.1:1", state_addresses=("127.0.0.1:1",)
        )
        super().__init__(settings, self.errors.append)
        self.held: list[Callable[[], None]] = []
        self.commands: list[Any] = []
        self.answers: list[Callable[[Any], None]] = []

    def submit(self, work: Callable[[], None]) -> None:
        self.held.append(work)

    def propose(
        self, command: Any, done: Callable[[Any], None], until_committed: bool
    ) -> None:
        self.commands.append(command)
        self.answers.append(done)

    def run_next(self) -> None:
        self._run_guarded(self.held.pop(0))


class RemovedBeforeTheCallTest(testtools.TestCase):
    """Guards against look-ups on a worker thread of what was removed since the plan.

    An error on a worker thread ends the process.
    """

    def setUp(self) -> None:
        super().setUp()
        self.host = HeldHost()
        self.addCleanup(self.host.stop)
        self.apply(table())
        now_ms = monotonic_ms()
        self.host.post(LeaseRenewed(now_ms + 60_000.0, 1))
        reports = tuple(
            LoadReport(name, now_ms, 0, 0, 4, frozenset(("v1", "v2")))
            for name in ("e1", "e2")
        )
        self.host.post(LoadReported("lm", reports, frozenset()))

    def apply(self, changed: RoutingTable) -> None:
        self.host.post(ConfigurationChanged(changed))

    def open_request(self, **changed: Any) -> Mailbox:
        deadline_ms = monotonic_ms() + 10_000.0
        new_request = request(deadline_ms=deadline_ms, body=b"{}", **changed)
        return self.host.open_request(new_request)

    def remove_orders(self) -> None:
        """Removes a service as operators do: its endpoints first, then its pool."""
        without = dataclasses.replace(
            table(11),
            pools={"lm": table().pools["lm"]},
            endpoints={"lm": table().endpoints["lm"]},
        )
        self.apply(without)

    def only_problem(self, mailbox: Mailbox) -> Any:
        item = mailbox.get(0.0)
        assert isinstance(item, SendProblem), item
        return item.problem

    def test_a_removed_version_is_not_sent_and_another_one_is_tried(self) -> None:
        mailbox = self.open_request()
        (attempt,) = self.host.core.active_requests.values()
        removed = attempt.version
        (other,) = {"v1", "v2"} - {removed}
        without = table(11, cascade__c={"rungs": [other]})
        versions = {other: without.versions[other]}
        self.apply(dataclasses.replace(without, versions=versions))
        self.host.run_next()
        self.assertEqual([], self.host.errors)
        self.assertEqual(other, attempt.version)
        self.assertFalse(attempt.maybe_ran)
        self.assertEqual(1, len(self.host.held))
        self.assertIsNone(mailbox.get(0.0))

    def test_a_request_for_the_only_version_is_refused(self) -> None:
        mailbox = self.open_request()
        without = dataclasses.replace(table(11), versions={}, cascades={}, routes={})
        self.apply(without)
        self.host.run_next()
        problem = self.only_problem(mailbox)
        self.assertEqual("no_endpoint", problem.kind.name)
        self.assertIs(True, problem.not_run)
        self.assertEqual(([], [], {}), self.left())

    def test_a_call_of_a_removed_service_is_refused(self) -> None:
        mailbox = self.open_request(**{**ORDER, "repeatable": True})
        self.remove_orders()
        self.host.run_next()
        problem = self.only_problem(mailbox)
        self.assertEqual("no_endpoint", problem.kind.name)
        self.assertIs(True, problem.not_run)
        self.assertEqual(([], [], {}), self.left())

    def test_the_claim_of_such_a_call_is_closed_as_not_run(self) -> None:
        """Guards against a claim that nobody ends, and one that says it may have run.

        Otherwise the caller would be told that the outcome is unknown.
        """
        mailbox = self.open_request(**ORDER)
        self.host.answers[0](ClaimGranted(1, ""))
        self.remove_orders()
        self.host.run_next()
        self.assertIs(True, self.only_problem(mailbox).not_run)
        close = self.host.commands[-1]
        assert isinstance(close, CloseAttempt), close
        self.assertIs(True, close.not_run)
        self.assertEqual(([], [], {}), self.left())

    def left(self) -> tuple[Any, ...]:
        """Returns errors, work and requests that are left; all should be empty."""
        host = self.host
        return host.errors, host.held, host.core.active_requests
