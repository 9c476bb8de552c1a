"""Tests of how a leader moves roll-outs on."""

import msgspec
import testtools

from ashlatch.catalog import (
    Endpoint,
    EndpointList,
    Rollout,
    RolloutStage,
    SessionMarks,
)
from ashlatch.fleet.evaluation import DEFAULT_PLAN
from ashlatch.fleet.leader import RolloutController
from ashlatch.gateway.tally import Tally, TallyKey


class RolloutControllerTest(testtools.TestCase):
    LISTED = EndpointList(1, 1, (Endpoint("i", "app", "a:1", "h", "v2", 8, False),))

    def test_elapsed_time_survives_a_change_of_leader(self) -> None:
        """A leader that takes over late knows when the order was applied."""
        first, second = RolloutController(), RolloutController()
        order = Rollout("app", "v2", RolloutStage.TRIAL, 0.0, 1, 20_000.0)
        for keeper in (first, second):
            keeper.observe((order,), 1000.0)
        (move,) = first.due_updates((order,), self.LISTED, 2700.0)
        self.assertEqual(1700.0, move.elapsed_ms)
        moved = Rollout("app", "v2", move.stage, move.share, 2, 20_000.0, 1700.0)
        (move,) = second.due_updates((moved,), self.LISTED, 11_500.0)
        self.assertEqual(
            (RolloutStage.LOAD_TEST, 10_500.0), (move.stage, move.elapsed_ms)
        )

    def test_running_sessions_are_stored_with_the_trial(self) -> None:
        keeper = RolloutController()
        order = Rollout("app", "v2", RolloutStage.TRIAL, 0.0, 1, 20_000.0)
        keeper.observe((order,), 0.0)
        self.assertEqual([], list(keeper.due_updates((order,), self.LISTED, 500.0)))
        keeper.set_sessions((SessionMarks("app", (7, 9)),))
        (move,) = keeper.due_updates((order,), self.LISTED, 1600.0)
        self.assertEqual((0.1, (7, 9)), (move.share, move.held))
        begun = Rollout(
            "app", "v2", move.stage, 0.1, 2, 20_000.0, 1600.0, held=move.held
        )
        keeper.set_sessions(())
        (move,) = keeper.due_updates((begun,), self.LISTED, 4000.0)
        self.assertEqual((7, 9), move.held)

    def test_moved_sessions_are_stored_until_the_shift(self) -> None:
        """What gateways tell is committed at once, and nothing of it is lost."""
        keeper = RolloutController()
        known = Rollout("app", "v2", RolloutStage.LOAD_TEST, 0.1, 3, 20_000.0, 10_500.0)
        keeper.observe((known,), 0.0)
        self.assertEqual([], list(keeper.due_updates((known,), self.LISTED, 50.0)))
        for told, expected in (((5,), (5,)), ((3, 5), (3, 5)), ((8,), (3, 5, 8))):
            keeper.set_sessions((SessionMarks("app", (), told),))
            (move,) = keeper.due_updates((known,), self.LISTED, 100.0)
            self.assertEqual(expected, move.moved)
            known = msgspec.structs.replace(known, moved=move.moved)
            self.assertEqual([], list(keeper.due_updates((known,), self.LISTED, 150.0)))
        keeper.set_sessions(())
        (move,) = keeper.due_updates((known,), self.LISTED, 2100.0)
        self.assertEqual((RolloutStage.SETTLE, (3, 5, 8)), (move.stage, move.moved))
        (move,) = keeper.due_updates((known,), self.LISTED, 4000.0)
        self.assertEqual((1.0, ()), (move.share, move.moved))

    def test_moved_sessions_of_an_earlier_rollout_are_ignored(self) -> None:
        keeper = RolloutController()
        begun = Rollout("app", "v3", RolloutStage.TRIAL, 0.1, 9, 20_000.0, 2000.0)
        keeper.observe((begun,), 0.0)
        keeper.set_sessions((SessionMarks("app", (), (5,)),))
        (move,) = keeper.due_updates((begun,), self.LISTED, 3000.0)
        self.assertEqual((), move.moved)

    def test_sessions_that_begin_in_the_trial_are_stored(self) -> None:
        keeper = RolloutController()
        begun = Rollout("app", "v3", RolloutStage.TRIAL, 0.1, 9, 20_000.0, 2000.0)
        keeper.observe((begun,), 0.0)
        told = tuple(SessionMarks("app", (), (n,), f"v{n}") for n in (2, 3))
        keeper.set_sessions((*told, SessionMarks("app", (), (5,))))
        (move,) = keeper.due_updates((begun,), self.LISTED, 100.0)
        self.assertEqual((3,), move.moved)

    def test_checkpoints_lose_no_time(self) -> None:
        keeper = RolloutController()
        known = Rollout(
            "app", "v2", RolloutStage.TRIAL, DEFAULT_PLAN.trial_share, 1, 20_000.0
        )
        keeper.observe((known,), 0.0)
        for now_ms in range(300, 9000, 300):
            for move in keeper.due_updates((known,), self.LISTED, float(now_ms)):
                self.assertEqual(now_ms, move.elapsed_ms)
                known = Rollout(
                    "app",
                    "v2",
                    move.stage,
                    move.share,
                    known.number + 1,
                    20_000.0,
                    move.elapsed_ms,
                )
        self.assertTrue(known.number > 3)

    def test_times_during_a_load_test_are_ignored(self) -> None:
        keeper = RolloutController()
        tested = Rollout(
            "app", "v2", RolloutStage.LOAD_TEST, 0.1, 3, 20_000.0, 11_000.0
        )
        list(keeper.due_updates((tested,), self.LISTED, 0.0))
        old, new = TallyKey("app", "v1", "r"), TallyKey("app", "v2", "r")
        late = (Tally(old, 50, 0, {10: 50}), Tally(new, 20, 0, {17: 20}))
        keeper.add_tallies(late, 10.0)
        self.assertEqual([], list(keeper.due_updates((tested,), self.LISTED, 20.0)))
        keeper.add_tallies((Tally(new, 20, 10, {17: 20}),), 30.0)
        (move,) = keeper.due_updates((tested,), self.LISTED, 40.0)
        self.assertEqual(RolloutStage.ROLLED_BACK, move.stage)

    def test_a_restarted_member_continues_from_the_last_checkpoint(self) -> None:
        keeper = RolloutController()
        known = Rollout(
            "app",
            "v2",
            RolloutStage.TRIAL,
            DEFAULT_PLAN.trial_share,
            4,
            20_000.0,
            6000.0,
        )
        (move,) = [
            m
            for at_ms in (100_000.0, 102_100.0)
            for m in keeper.due_updates((known,), self.LISTED, at_ms)
        ]
        self.assertEqual(8100.0, move.elapsed_ms)
