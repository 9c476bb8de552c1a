"""Tests of a router's core while configuration that a request needs is removed.

Guard against look-ups of removed configuration: an exception in a handler ends the
process, and with it all of its requests.
"""

from typing import Any

from ashlatch.policy.quarantine import CRASHES_TO_QUARANTINE, Quarantine
from ashlatch.router.effect import Effect, ProposeClaim, StartAttempt
from ashlatch.router.event import (
    ConfigurationChanged,
    CrashRecordsReceived,
    RequestArrived,
)
from ashlatch.router.quarantine import request_fingerprint
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
