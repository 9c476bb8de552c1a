"""Tests of a router's core while configuration that a request needs is removed.

Guard against look-ups of removed configuration: an exception in a handler ends the
process, and with it all of its requests.
"""

import dataclasses
from typing import Any

import testtools

from ashlatch.policy.attribution import CRASHES_MIN
from ashlatch.policy.quarantine import Quarantine
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
from ashlatch.store.command import ClaimGranted, ClaimRunning
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
        for number in range(CRASHES_MIN):
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


class RepeatedKeyTest(RouterTest):
    """Keyed requests whose key is granted again.

    Guard against a second run of a request that may not be repeated, and against a
    request that ran being reported as not run. The caller's header and the pool's
    setting may both differ between two requests of a key.
    """

    def arrive_again(self, repeatable: bool, **granted: Any) -> list[Effect]:
        effects = self.arrive(keyed=True, repeatable=repeatable)
        claim = self.only_effect(effects, ProposeClaim).claim
        outcome = ClaimGranted(2, "v1", **granted)
        return self.step(ClaimOutcomeReceived("q1", claim, outcome))

    def test_not_repeatable_after_an_attempt_that_may_have_run(self) -> None:
        # A state of an earlier release does not say whether it may have run.
        for granted in ({"maybe_ran": True}, {}):
            effects = self.arrive_again(False, **granted)
            self.assertEqual([], [e for e in effects if isinstance(e, StartAttempt)])
            problem = self.only_problem(effects)
            self.assertEqual("outcome_unknown", problem.kind.name)
            self.assertIsNone(problem.not_run)
            self.assertTrue(self.only_effect(effects, ProposeClose).close.not_run)
            self.assertEqual({}, self.core.active_requests)

    def test_not_repeatable_after_attempts_that_were_not_sent(self) -> None:
        """Guards against refusing a request that was only ever refused before."""
        effects = self.arrive_again(False, maybe_ran=False)
        attempt = self.only_effect(effects, StartAttempt)
        self.remove_endpoints()
        problem = self.only_problem(self.end_attempt(attempt, NotSent("refused")))
        self.assertIs(True, problem.not_run)

    def test_repeatable_after_an_attempt_that_may_have_run(self) -> None:
        effects = self.arrive_again(True, maybe_ran=True)
        attempt = self.only_effect(effects, StartAttempt)
        self.remove_endpoints()
        problem = self.only_problem(self.end_attempt(attempt, NotSent("refused")))
        self.assertIsNone(problem.not_run)

    def remove_endpoints(self) -> None:
        self.step(ConfigurationChanged(table(11, **WITHDRAWN)))


class RandomRemovalTest(testtools.TestCase):
    """Guards against the same failure at any other point of a request.

    On the code before the other tests of this module, 26 of the worlds 0 to 99 fail, in
    a form in which all requests of a key are equally repeatable.
    """

    def test_worlds(self) -> None:
        for seed in range(30):
            run_world(seed)

    def test_requests_of_a_key_differ_in_whether_they_may_be_repeated(self) -> None:
        """Guards against worlds in which no key is repeated in another way."""
        refused = 0
        for seed in range(10):
            world = run_world(seed)
            refused += world.refused_again
        self.assertGreater(refused, 0)
