"""Simulates a load on which many gateways send to the same engine.

Guards against overload of single engines. With 195 gateways and 78 engines, engines
with more requests than slots preempted 772 requests on one day, while others in the
same hall were hardly used. The prompts about a subject are cached at one engine; each
gateway sends there once in many seconds and last received its load then.

Figures of the simulation (80 gateways in two halls, 16 engines of 16 slots, half of 50
requests a second about one subject, each answered for 3 s): 8.5 in 100 answers began
after 1 s without load updates between gateways, 0.2 with them; half of all began within
105 and 15 ms; the busiest engine got 1.85 and 1.34 times the mean.
"""

from collections.abc import Callable
from dataclasses import replace

import testtools

from ashlatch.gateway.exchange import UNREACHABLE_MAX
from ashlatch.gateway.updates import EndpointRefuses, LoadReported, PeerUpdate
from tests.engines import LoadProfile, Result, Simulation

TARGET_MS = 1000.0
HOT_SUBJECT_LOAD = LoadProfile(
    requests_per_s=50.0, hot_share=0.5, answer_ms=3000.0, target_ms=TARGET_MS
)
EVEN_LOAD = LoadProfile(
    requests_per_s=50.0, hot_share=0.0, answer_ms=3000.0, target_ms=TARGET_MS
)


def all_updates(update: PeerUpdate) -> bool:
    return True


def no_loads(update: PeerUpdate) -> bool:
    return not isinstance(update, LoadReported)


def no_refusals(update: PeerUpdate) -> bool:
    return not isinstance(update, EndpointRefuses)


def no_updates(update: PeerUpdate) -> bool:
    return False


def simulate(load: LoadProfile, accepts: object, seed: int) -> Result:
    assert callable(accepts)
    return Simulation(2, 40, 8, 16, seed, accepts).run(load)


class HotSubjectTest(testtools.TestCase):
    SEEDS = (1, 2, 3)

    def test_full_engines_are_avoided(self) -> None:
        for seed in self.SEEDS:
            unshared, shared = (
                simulate(HOT_SUBJECT_LOAD, no_loads, seed),
                simulate(HOT_SUBJECT_LOAD, all_updates, seed),
            )
            self.assertTrue(
                shared.late_ratio(TARGET_MS) < 0.01, shared.late_ratio(TARGET_MS)
            )
            self.assertTrue(
                unshared.late_ratio(TARGET_MS) > 4 * shared.late_ratio(TARGET_MS)
            )
            self.assertTrue(max(shared.sends) < max(unshared.sends))

    def test_an_even_load_is_served_in_time(self) -> None:
        for seed in self.SEEDS:
            for accepts in (no_loads, all_updates):
                self.assertTrue(
                    simulate(EVEN_LOAD, accepts, seed).late_ratio(TARGET_MS) < 0.01
                )

    def test_a_long_cached_prompt_attracts_no_requests_to_a_full_engine(self) -> None:
        """The time saved by a shorter prefill is lost again by waiting for a slot.

        Answers that begin after 1 s: 2.2 in 100 if the choice ignores the wait for a
        slot at a full engine, none if it includes it (this seed; 99 in 100 begin within
        1,341 and 741 ms).
        """
        load = replace(HOT_SUBJECT_LOAD, subject_tokens=13_000)
        self.assertEqual(0.0, simulate(load, all_updates, 2).late_ratio(TARGET_MS))

    def test_gateways_serve_without_updates(self) -> None:
        """If all datagrams are lost, the cost rises but most answers are in time."""
        for seed in self.SEEDS:
            self.assertTrue(
                simulate(HOT_SUBJECT_LOAD, no_updates, seed).late_ratio(TARGET_MS)
                < 0.25
            )
            self.assertTrue(
                simulate(EVEN_LOAD, no_updates, seed).late_ratio(TARGET_MS) < 0.05
            )


class UpdateCountTest(testtools.TestCase):
    def test_load_updates_are_few(self) -> None:
        """Only the loads of busy engines are broadcast, and not with each answer."""
        received = {"load": 0, "all": 0}

        def count(update: PeerUpdate) -> bool:
            received["load"] += isinstance(update, LoadReported)
            received["all"] += 1
            return True

        simulate(EVEN_LOAD, count, 1)
        self.assertTrue(received["load"] < received["all"], received)


class CrashedEnginesTest(testtools.TestCase):
    """Engines that crash while nobody can read the list.

    Guards against refusals although most engines are healthy. While the core was split
    in two for 7 s, 18 and later 25 in 100 of the engines crashed, and 1.7 in 100 of the
    day's requests were refused: a crashed engine has no load, so every gateway tried it
    before the others and gave up after four of them.

    Figures of the simulation (43 in 100 crash; 20 s of 30 requests a second; seeds 1
    and 2): 72 of 581 and 49 of 601 refused if refusals are not broadcast and four
    engines are tried, 0 and 1 if they are broadcast, none if twelve are tried.
    """

    CALM = LoadProfile(30.0, 0.2, 3000.0, TARGET_MS, length_s=20.0)
    SHARE = 0.43

    def refused(
        self, seed: int, accepts: Callable[[PeerUpdate], bool], unreachable_max: int
    ) -> int:
        simulation = Simulation(2, 40, 8, 16, seed, accepts)
        simulation.schedule_crashes(self.SHARE, 8000.0)
        return simulation.run(self.CALM, unreachable_max).refused

    def test_no_requests_are_refused(self) -> None:
        for seed in (1, 2):
            for accepts in (all_updates, no_refusals):
                self.assertEqual(0, self.refused(seed, accepts, UNREACHABLE_MAX))

    def test_broadcast_refusals_reduce_attempts(self) -> None:
        """Each crashed engine is tried by few requests, not by one of each gateway."""
        for seed in (1, 2):
            shared, unshared = (
                self.refused(seed, h, 4) for h in (all_updates, no_refusals)
            )
            self.assertTrue(10 * shared < unshared, (shared, unshared))

    def test_answers_stay_in_time(self) -> None:
        simulation = Simulation(2, 40, 8, 16, 1, all_updates)
        simulation.schedule_crashes(self.SHARE, 8000.0)
        self.assertTrue(simulation.run(self.CALM).late_ratio(TARGET_MS) < 0.05)
