"""Tests of how a leader advances roll-outs."""

import msgspec
import testtools

from ashlatch.catalog import (
    Endpoint,
    EndpointList,
    Rollout,
    RolloutStage,
    SessionHashes,
)
from ashlatch.fleet.evaluation import DEFAULT_PLAN
from ashlatch.fleet.leader import RolloutController
from ashlatch.gateway.tally import Tally, TallyKey


class RolloutControllerTest(testtools.TestCase):
    LISTED = EndpointList(1, 1, (Endpoint("i", "app", "a:1", "h", "v2", 8, False),))

    def test_elapsed_time_survives_a_change_of_leader(self) -> None:
        """A leader that takes over late knows when the roll-out was started."""
        first, second = RolloutController(), RolloutController()
        started = Rollout("app", "v2", RolloutStage.TRIAL, 0.0, 1, 20_000.0)
        for controller in (first, second):
            controller.observe((started,), 1000.0)
        (update,) = first.due_updates((started,), self.LISTED, 2700.0)
        self.assertEqual(1700.0, update.elapsed_ms)
        moved = Rollout("app", "v2", update.stage, update.share, 2, 20_000.0, 1700.0)
        (update,) = second.due_updates((moved,), self.LISTED, 11_500.0)
        self.assertEqual(
            (RolloutStage.LOAD_TEST, 10_500.0), (update.stage, update.elapsed_ms)
        )

    def test_running_sessions_are_stored_with_the_trial(self) -> None:
        controller = RolloutController()
        started = Rollout("app", "v2", RolloutStage.TRIAL, 0.0, 1, 20_000.0)
        controller.observe((started,), 0.0)
        self.assertEqual(
            [], list(controller.due_updates((started,), self.LISTED, 500.0))
        )
        controller.set_sessions((SessionHashes("app", (7, 9)),))
        (update,) = controller.due_updates((started,), self.LISTED, 1600.0)
        self.assertEqual((0.1, (7, 9)), (update.share, update.held))
        begun = Rollout(
            "app", "v2", update.stage, 0.1, 2, 20_000.0, 1600.0, held=update.held
        )
        controller.set_sessions(())
        (update,) = controller.due_updates((begun,), self.LISTED, 4000.0)
        self.assertEqual((7, 9), update.held)

    def test_moved_sessions_are_stored_until_the_shift(self) -> None:
        """Reports of gateways are committed at once, and none are lost."""
        controller = RolloutController()
        rollout = Rollout(
            "app", "v2", RolloutStage.LOAD_TEST, 0.1, 3, 20_000.0, 10_500.0
        )
        controller.observe((rollout,), 0.0)
        self.assertEqual(
            [], list(controller.due_updates((rollout,), self.LISTED, 50.0))
        )
        for reported, expected in (((5,), (5,)), ((3, 5), (3, 5)), ((8,), (3, 5, 8))):
            controller.set_sessions((SessionHashes("app", (), reported),))
            (update,) = controller.due_updates((rollout,), self.LISTED, 100.0)
            self.assertEqual(expected, update.moved)
            rollout = msgspec.structs.replace(rollout, moved=update.moved)
            self.assertEqual(
                [], list(controller.due_updates((rollout,), self.LISTED, 150.0))
            )
        controller.set_sessions(())
        (update,) = controller.due_updates((rollout,), self.LISTED, 2100.0)
        self.assertEqual((RolloutStage.SETTLE, (3, 5, 8)), (update.stage, update.moved))
        (update,) = controller.due_updates((rollout,), self.LISTED, 4000.0)
        self.assertEqual((1.0, ()), (update.share, update.moved))

    def test_moved_sessions_of_an_earlier_rollout_are_ignored(self) -> None:
        controller = RolloutController()
        begun = Rollout("app", "v3", RolloutStage.TRIAL, 0.1, 9, 20_000.0, 2000.0)
        controller.observe((begun,), 0.0)
        controller.set_sessions((SessionHashes("app", (), (5,)),))
        (update,) = controller.due_updates((begun,), self.LISTED, 3000.0)
        self.assertEqual((), update.moved)

    def test_sessions_that_begin_in_the_trial_are_stored(self) -> None:
        controller = RolloutController()
        begun = Rollout("app", "v3", RolloutStage.TRIAL, 0.1, 9, 20_000.0, 2000.0)
        controller.observe((begun,), 0.0)
        reported = tuple(SessionHashes("app", (), (n,), f"v{n}") for n in (2, 3))
        controller.set_sessions((*reported, SessionHashes("app", (), (5,))))
        (update,) = controller.due_updates((begun,), self.LISTED, 100.0)
        self.assertEqual((3,), update.moved)

    def test_checkpoints_lose_no_time(self) -> None:
        controller = RolloutController()
        rollout = Rollout(
            "app", "v2", RolloutStage.TRIAL, DEFAULT_PLAN.trial_share, 1, 20_000.0
        )
        controller.observe((rollout,), 0.0)
        for now_ms in range(300, 9000, 300):
            for update in controller.due_updates(
                (rollout,), self.LISTED, float(now_ms)
            ):
                self.assertEqual(now_ms, update.elapsed_ms)
                rollout = Rollout(
                    "app",
                    "v2",
                    update.stage,
                    update.share,
                    rollout.number + 1,
                    20_000.0,
                    update.elapsed_ms,
                )
        self.assertTrue(rollout.number > 3)

    def test_times_during_a_load_test_are_ignored(self) -> None:
        controller = RolloutController()
        tested = Rollout(
            "app", "v2", RolloutStage.LOAD_TEST, 0.1, 3, 20_000.0, 11_000.0
        )
        list(controller.due_updates((tested,), self.LISTED, 0.0))
        old, new = TallyKey("app", "v1", "r"), TallyKey("app", "v2", "r")
        slow_tallies = (Tally(old, 50, 0, {10: 50}), Tally(new, 20, 0, {17: 20}))
        controller.add_tallies(slow_tallies, 10.0)
        self.assertEqual([], list(controller.due_updates((tested,), self.LISTED, 20.0)))
        controller.add_tallies((Tally(new, 20, 10, {17: 20}),), 30.0)
        (update,) = controller.due_updates((tested,), self.LISTED, 40.0)
        self.assertEqual(RolloutStage.ROLLED_BACK, update.stage)

    def test_a_restarted_member_continues_from_the_last_checkpoint(self) -> None:
        controller = RolloutController()
        rollout = Rollout(
            "app",
            "v2",
            RolloutStage.TRIAL,
            DEFAULT_PLAN.trial_share,
            4,
            20_000.0,
            6000.0,
        )
        (update,) = [
            m
            for at_ms in (100_000.0, 102_100.0)
            for m in controller.due_updates((rollout,), self.LISTED, at_ms)
        ]
        self.assertEqual(8100.0, update.elapsed_ms)
