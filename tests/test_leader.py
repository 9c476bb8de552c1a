"""Tests of how a leader moves roll-outs on."""

import msgspec
import testtools

from ashlatch.catalog import (
    Endpoint,
    EndpointList,
    Rollout,
    RolloutStage,
    SessionHashes,
)
from ashlatch.fleet.leader import RolloutKeeper
from ashlatch.fleet.verdict import DEFAULT_PLAN
from ashlatch.gateway.tally import Tally, TallyKey


class RolloutKeeperTest(testtools.TestCase):
    LISTED = EndpointList(1, 1, (Endpoint("i", "app", "a:1", "h", "v2", 8, False),))

    def test_time_goes_on_through_leaders(self) -> None:
        """A leader that takes over late knows when the order was applied."""
        first, second = RolloutKeeper(), RolloutKeeper()
        order = Rollout("app", "v2", RolloutStage.TRIAL, 0.0, 1, 20_000.0)
        for keeper in (first, second):
            keeper.observe((order,), 1000.0)
        (move,) = first.moves((order,), self.LISTED, 2700.0)
        self.assertEqual(1700.0, move.elapsed_ms)
        moved = Rollout("app", "v2", move.stage, move.share, 2, 20_000.0, 1700.0)
        (move,) = second.moves((moved,), self.LISTED, 11_500.0)
        self.assertEqual(
            (RolloutStage.LOAD_TEST, 10_500.0), (move.stage, move.elapsed_ms)
        )

    def test_running_sessions_are_kept_with_the_trial(self) -> None:
        keeper = RolloutKeeper()
        order = Rollout("app", "v2", RolloutStage.TRIAL, 0.0, 1, 20_000.0)
        keeper.observe((order,), 0.0)
        self.assertEqual([], list(keeper.moves((order,), self.LISTED, 500.0)))
        keeper.tell_sessions((SessionHashes("app", (7, 9)),))
        (move,) = keeper.moves((order,), self.LISTED, 1600.0)
        self.assertEqual((0.1, (7, 9)), (move.share, move.held))
        begun = Rollout(
            "app", "v2", move.stage, 0.1, 2, 20_000.0, 1600.0, held=move.held
        )
        keeper.tell_sessions(())
        (move,) = keeper.moves((begun,), self.LISTED, 4000.0)
        self.assertEqual((7, 9), move.held)

    def test_moved_sessions_are_kept_until_all_move(self) -> None:
        """What gateways tell is committed at once, and nothing of it is lost."""
        keeper = RolloutKeeper()
        known = Rollout("app", "v2", RolloutStage.LOAD_TEST, 0.1, 3, 20_000.0, 10_500.0)
        keeper.observe((known,), 0.0)
        self.assertEqual([], list(keeper.moves((known,), self.LISTED, 50.0)))
        for told, expected in (((5,), (5,)), ((3, 5), (3, 5)), ((8,), (3, 5, 8))):
            keeper.tell_sessions((SessionHashes("app", (), told),))
            (move,) = keeper.moves((known,), self.LISTED, 100.0)
            self.assertEqual(expected, move.moved)
            known = msgspec.structs.replace(known, moved=move.moved)
            self.assertEqual([], list(keeper.moves((known,), self.LISTED, 150.0)))
        keeper.tell_sessions(())
        (move,) = keeper.moves((known,), self.LISTED, 2100.0)
        self.assertEqual((RolloutStage.SETTLE, (3, 5, 8)), (move.stage, move.moved))
        (move,) = keeper.moves((known,), self.LISTED, 4000.0)
        self.assertEqual((1.0, ()), (move.share, move.moved))

    def test_moves_of_an_earlier_rollout_are_not_taken(self) -> None:
        keeper = RolloutKeeper()
        begun = Rollout("app", "v3", RolloutStage.TRIAL, 0.1, 9, 20_000.0, 2000.0)
        keeper.observe((begun,), 0.0)
        keeper.tell_sessions((SessionHashes("app", (), (5,)),))
        (move,) = keeper.moves((begun,), self.LISTED, 3000.0)
        self.assertEqual((), move.moved)

    def test_sessions_that_begin_in_the_trial_of_the_version_are_taken(self) -> None:
        keeper = RolloutKeeper()
        begun = Rollout("app", "v3", RolloutStage.TRIAL, 0.1, 9, 20_000.0, 2000.0)
        keeper.observe((begun,), 0.0)
        told = tuple(SessionHashes("app", (), (n,), f"v{n}") for n in (2, 3))
        keeper.tell_sessions((*told, SessionHashes("app", (), (5,))))
        (move,) = keeper.moves((begun,), self.LISTED, 100.0)
        self.assertEqual((3,), move.moved)

    def test_checkpoints_lose_no_time(self) -> None:
        keeper = RolloutKeeper()
        known = Rollout(
            "app", "v2", RolloutStage.TRIAL, DEFAULT_PLAN.trial_share, 1, 20_000.0
        )
        keeper.observe((known,), 0.0)
        for now_ms in range(300, 9000, 300):
            for move in keeper.moves((known,), self.LISTED, float(now_ms)):
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

    def test_a_load_test_makes_no_version_late(self) -> None:
        keeper = RolloutKeeper()
        tested = Rollout(
            "app", "v2", RolloutStage.LOAD_TEST, 0.1, 3, 20_000.0, 11_000.0
        )
        list(keeper.moves((tested,), self.LISTED, 0.0))
        old, new = TallyKey("app", "v1", "r"), TallyKey("app", "v2", "r")
        late = (Tally(old, 50, 0, {10: 50}), Tally(new, 20, 0, {17: 20}))
        keeper.add(late, 10.0)
        self.assertEqual([], list(keeper.moves((tested,), self.LISTED, 20.0)))
        keeper.add((Tally(new, 20, 10, {17: 20}),), 30.0)
        (move,) = keeper.moves((tested,), self.LISTED, 40.0)
        self.assertEqual(RolloutStage.ROLLED_BACK, move.stage)

    def test_a_restarted_member_knows_the_last_checkpoint(self) -> None:
        keeper = RolloutKeeper()
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
            for m in keeper.moves((known,), self.LISTED, at_ms)
        ]
        self.assertEqual(8100.0, move.elapsed_ms)
