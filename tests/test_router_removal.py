"""Tests of a router's core while configuration that a request needs is removed.

Guard against look-ups of removed configuration: an exception in a handler ends the
process, and with it all of its requests.
"""

import dataclasses
from typing import Any

import testtools

from ashlatch.policy.quarantine import CRASHES_TO_QUARANTINE, Quarantine
from ashlatch.router.effect import (
    Effect,
    ProposeClaim,
    ProposeClose,
    ScheduleClaimRetry,
    StartAttempt,
)
from ashlatch.router.event import (
    Broken,
    ClaimOutcomeReceived,
    ClaimRetryDue,
    ConfigurationChanged,
    CrashRecordsReceived,
    NotSent,
    Rejected,
    RequestArrived,
)
from ashlatch.router.quarantine import request_fingerprint
from ashlatch.store.command import ClaimRunning
from tests.removal_simulation import run_world
from tests.test_router import RouterTest, request, table

ARRIVED_WALL_MS = 1_800_000_000_000
WITHDRAWN: dict[str, dict[str, Any]] = {"withdrawal__v1": {}, "withdrawal__v2": {}}


class QuarantinedRequestTest(RouterTest):
    """Requests of a quarantined fingerprint."""

    def setUp(self) -> None:
        super().setUp()
        other_router = Quarantine()
        fingerprint = request_fingerprint(request())
        for number in range(CRASHES_TO_QUARANTINE):
            other_router.record_crash(
                fingerprint, f"x{number}", 0, ARRIVED_WALL_MS - 5000 * number
            )
        self.step(CrashRecordsReceived(other_router.unconfirmed()))

    def arrive_quarantined(self, **changed: Any) -> list[Effect]:
        new_request = request(arrived_wall_ms=ARRIVED_WALL_MS, **changed)
        return self.step(RequestArrived(new_request))

    def test_a_keyed_request_is_refused_if_no_version_is_usable(self) -> None:
        """Guards against a claim that needs a version where there is none."""
        self.step(ConfigurationChanged(table(11, **WITHDRAWN)))
        problem = self.only_problem(self.arrive_quarantined(keyed=True))
        self.assertEqual("quarantined", problem.kind.name)
        # An earlier request with the same key may have run at another router.
        self.assertIsNone(problem.not_run)
        self.assertEqual({}, self.core.active_requests)

    def test_a_request_without_a_key_is_refused_if_no_version_is_usable(self) -> None:
        self.step(ConfigurationChanged(table(11, **WITHDRAWN)))
        problem = self.only_problem(self.arrive_quarantined())
        self.assertEqual("quarantined", problem.kind.name)
        self.assertIs(True, problem.not_run)

    def test_a_keyed_request_is_claimed_if_a_version_is_usable(self) -> None:
        """Guards against refusing a request whose answer is already recorded."""
        self.step(ConfigurationChanged(table(11, withdrawal__v1={})))
        effects = self.arrive_quarantined(keyed=True)
        claim = self.only_effect(effects, ProposeClaim).claim
        self.assertEqual(("v2",), claim.candidate.acceptable)
        self.assertEqual([], [e for e in effects if isinstance(e, StartAttempt)])


class RemovedRouteTest(RouterTest):
    """Requests whose route is removed before they are answered."""

    def remove_route(self) -> None:
        self.step(ConfigurationChanged(dataclasses.replace(table(11), routes={})))

    def wait_for_running_claim(self, **changed: Any) -> None:
        effects = self.arrive(keyed=True, **changed)
        claim = self.only_effect(effects, ProposeClaim).claim
        running = self.step(ClaimOutcomeReceived("q1", claim, ClaimRunning(1)))
        self.only_effect(running, ScheduleClaimRetry)

    def test_a_request_that_waits_for_a_running_claim_is_refused(self) -> None:
        for session in ("", "s"):
            self.wait_for_running_claim(session=session)
            self.remove_route()
            problem = self.only_problem(self.step(ClaimRetryDue("q1")))
            self.assertEqual("not_found", problem.kind.name)
            # The claim that it waited for may have run.
            self.assertIsNone(problem.not_run)
            self.assertEqual({}, self.core.active_requests)
            self.step(ConfigurationChanged(table(11)))

    def test_a_claim_that_is_granted_is_run_or_closed(self) -> None:
        """Guards against a claim that no router ends.

        The version is still usable without the route, but not with all withdrawn.
        """
        for withdrawn in ({}, WITHDRAWN):
            effects = self.arrive(keyed=True, session="s")
            changed = dataclasses.replace(table(11, **withdrawn), routes={})
            self.step(ConfigurationChanged(changed))
            granted = self.grant_claim(effects)
            if not withdrawn:
                sent = self.only_effect(granted, StartAttempt)
                granted = self.end_attempt(sent, NotSent("refused"))
                sent = self.only_effect(granted, StartAttempt)
                granted = self.end_attempt(sent, NotSent("refused"))
            self.assertIs(True, self.only_effect(granted, ProposeClose).close.not_run)
            self.assertIs(True, self.only_problem(granted).not_run)
            self.step(ConfigurationChanged(table(11)))

    def test_a_request_is_not_tried_on_another_endpoint(self) -> None:
        results = (
            (NotSent("refused"), "no_endpoint", True),
            (Rejected("full", 100.0), "overloaded", True),
            (Broken("reset"), "attempt_failed", False),
        )
        for result, kind, not_run in results:
            attempt = self.only_effect(self.arrive(), StartAttempt)
            self.remove_route()
            effects = self.end_attempt(attempt, result)
            problem = self.only_problem(effects)
            self.assertEqual((kind, not_run), (problem.kind.name, problem.not_run))
            self.assertEqual([], [e for e in effects if isinstance(e, StartAttempt)])
            self.assertEqual({}, self.core.active_requests)
            self.step(ConfigurationChanged(table(11)))


class RandomRemovalTest(testtools.TestCase):
    """Guards against the same failure at any other point of a request.

    On the code before the other tests of this module, 26 of the worlds 0 to 99 fail.
    """

    def test_worlds(self) -> None:
        for seed in range(30):
            run_world(seed)
