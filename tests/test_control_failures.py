"""Tests with real processes: roll-outs that are interrupted or go bad, versions that
turn bad at full traffic, and placement."""

import concurrent.futures
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import testtools

from tests.chat import chat_stream
from tests.small_system import KEY, ROUTE, SmallSystem, start_small_system
from tests.system import Fake, wait_until

# Answers take long enough that a busy machine does not slow them by a factor of 4.
STEADY = ("--token-ms", "10")
STAGES = ("--stages", "10,50,100", "--answers-min", "15")
OLD, NEW, LARGE = "quote-small-1", "quote-small-2", "quote-large-1"


def progress(small: SmallSystem, name: str) -> dict[str, Any]:
    for control in range(len(small.system.controls)):
        try:
            path = f"/v1/resources/rollout-progress/{name}"
            reply = small.system.call_api("GET", path, control=control)
        except OSError:
            continue
        if reply.status == 200:
            spec: dict[str, Any] = reply.json["spec"]
            return spec
    return {"stage": -1, "state": "none"}


def withdrawn(small: SmallSystem) -> set[str]:
    reply = small.system.call_api("GET", "/v1/resources/withdrawal")
    return {r["name"] for r in reply.json["resources"]}


@dataclass(frozen=True)
class TimedAnswer:
    """An answer: when its request was sent, and the version that gave it."""

    sent_s: float
    version: str


def wait_in_force(small: SmallSystem) -> float:
    """Waits until all accepted changes are in force; returns the time after that."""
    revision = small.system.status()["revision"]
    wait_until(
        lambda: small.system.status()["in_force_revision"] >= revision, "in force"
    )
    return time.monotonic()


class Callers:
    """Callers that send the next request after each answer, until stopped."""

    def __init__(self, small: SmallSystem, callers: int = 6) -> None:
        self._system = small
        self._pool = concurrent.futures.ThreadPoolExecutor(callers)
        self._callers = callers
        self._stop = False
        self.answers: list[TimedAnswer] = []
        self.failures = 0

    def __enter__(self) -> "Callers":
        self._calls = [self._pool.submit(self._ask, c) for c in range(self._callers)]
        return self

    def __exit__(self, *error: object) -> None:
        self._stop = True
        for call in self._calls:
            call.result()
        self._pool.shutdown()

    def _ask(self, number: int) -> None:
        count = len(self._system.system.routers)
        while not self._stop:
            asked_s = time.monotonic()
            reply = self._system.ask(number % count)
            number += 1
            if reply.status == 200:
                version = reply.headers["ashlatch-version"]
                self.answers.append(TimedAnswer(asked_s, version))
            else:
                self.failures += 1
                time.sleep(0.02)

    def versions_after(self, since_s: float, count: int) -> list[str]:
        """Waits for `count` answers to later requests and returns their versions."""

        def later() -> list[str]:
            return [s.version for s in list(self.answers) if s.sent_s > since_s]

        wait_until(lambda: len(later()) >= count, f"{count} answers")
        return later()


def set_quality_target(small: SmallSystem, quality: float) -> None:
    """Sets a route's quality target; with a low one the small model answers."""
    reply = small.system.call_api("GET", "/v1/resources/route/draft-quotation").json
    spec = {**reply["spec"], "quality_target": quality}
    small.system.apply([{"kind": "route", "name": "draft-quotation", "spec": spec}])


class RolloutTest(testtools.TestCase):
    def test_another_process_takes_over_from_a_killed_one(self) -> None:
        with start_small_system(controls=2, engine_arguments=STEADY) as small:
            set_quality_target(small, 0.5)
            with Callers(small) as callers:
                small.system.ctl("rollout", "r-1", "--from", OLD, "--to", NEW, *STAGES)
                self.wait_stage(small, lambda p: p["stage"] >= 1)
                killed = small.active_control()
                epoch = small.system.status()["control_epoch"]
                killed.process.kill()
                self.wait_stage(small, lambda p: p["state"] == "done")
                versions = callers.versions_after(wait_in_force(small), 60)
            self.assertGreater(small.system.status()["control_epoch"], epoch)
            self.assertNotIn(OLD, versions)
            self.assertIn(NEW, versions)

    def wait_stage(
        self, small: SmallSystem, reached: Callable[[dict[str, Any]], bool]
    ) -> None:
        wait_until(lambda: reached(progress(small, "r-1")), "the roll-out moves", 60.0)

    def test_a_bad_new_version_is_rolled_back(self) -> None:
        with start_small_system(controls=2, engine_arguments=STEADY) as small:
            set_quality_target(small, 0.5)
            for engine in small.engines:
                engine.control(error_ratio={NEW: 0.6})
            with Callers(small) as callers:
                wait_until(lambda: len(callers.answers) > 60, "healthy traffic")
                small.system.ctl("rollout", "r-1", "--from", OLD, "--to", NEW, *STAGES)
                self.wait_stage(small, lambda p: p["state"] == "rolled_back")
                wait_until(lambda: NEW in withdrawn(small), "it is withdrawn")
            self.assertNotEqual("done", progress(small, "r-1")["state"])


class TurnedBadTest(testtools.TestCase):
    def test_a_version_that_turns_bad_at_full_traffic_is_withdrawn(self) -> None:
        rated = {"rating_sample_ratio": 1.0}
        with start_small_system(
            controls=2, engine_arguments=STEADY, router_extra=rated
        ) as small:
            set_quality_target(small, 0.5)
            with Callers(small) as callers:
                wait_until(lambda: len(callers.answers) > 60, "healthy traffic")
                for engine in small.engines:
                    engine.control(quality={OLD: 0.3})
                wait_until(lambda: OLD in withdrawn(small), "it is withdrawn")
                versions = callers.versions_after(wait_in_force(small), 20)
            self.assertEqual({LARGE}, set(versions))
            logs = "".join(control.process.log for control in small.system.controls)
            self.assertIn("event=version_bad", logs)

    def test_a_version_that_turns_slow_everywhere_is_withdrawn(self) -> None:
        with start_small_system(controls=2, engine_arguments=STEADY) as small:
            set_quality_target(small, 0.5)
            with Callers(small, 4) as callers:
                wait_until(lambda: len(callers.answers) > 60, "healthy traffic")
                for engine in small.engines:
                    engine.control(version_slowdown={OLD: 6.0})
                wait_until(lambda: OLD in withdrawn(small), "it is withdrawn", 60.0)
                versions = callers.versions_after(wait_in_force(small), 20)
            self.assertEqual({LARGE}, set(versions))


class HealthyVersionTest(testtools.TestCase):
    """Failures of endpoints and load do not count against a version."""

    def test_a_vm_that_dies_with_its_streams(self) -> None:
        slow = ("--token-ms", "20", "--output-tokens", "100")
        with start_small_system(engine_arguments=slow) as small:
            set_quality_target(small, 0.5)
            with concurrent.futures.ThreadPoolExecutor(16) as pool:
                urls = [router.url for router in small.system.routers] * 8
                calls = [pool.submit(chat_stream, url, KEY, ROUTE) for url in urls]
                wait_until(lambda: self.running(small.engines[0]) >= 5, "streams run")
                small.engines[0].process.kill()
                streams = [call.result() for call in calls]
            for stream in streams:
                words = 100 if stream.done else len(stream.text.split())
                self.assertEqual(words, len(set(stream.text.split())), stream.error)
                self.assertNotEqual(stream.done, stream.error is not None)
            self.check_healthy(small)

    def test_an_endpoint_that_fails_everything(self) -> None:
        with start_small_system(engine_arguments=STEADY) as small:
            set_quality_target(small, 0.5)
            failing = small.engines[0]
            failing.control(
                error_ratio=dict.fromkeys(failing.get("load")["versions"], 1.0)
            )
            with Callers(small) as callers:
                wait_until(lambda: len(callers.answers) > 150, "traffic")
            self.check_healthy(small)

    def test_more_load_than_capacity(self) -> None:
        few_slots = (*STEADY, "--slots", "2")
        with start_small_system(engine_arguments=few_slots) as small:
            set_quality_target(small, 0.5)
            with Callers(small, 2) as callers:
                wait_until(lambda: len(callers.answers) > 30, "traffic without a queue")
            with Callers(small, 40) as callers:
                wait_until(lambda: len(callers.answers) > 200, "overload", 60.0)
            self.check_healthy(small)

    def running(self, engine: Fake) -> int:
        return int(engine.get("load")["running"])

    def check_healthy(self, small: SmallSystem) -> None:
        """Checks that no version is withdrawn or was suspended by a router."""
        self.assertEqual(set(), withdrawn(small))
        daemons = [*small.system.controls, *small.system.routers]
        logs = "".join(daemon.process.log for daemon in daemons)
        self.assertNotIn("event=version_bad", logs)
        self.assertNotIn("event=version_suspended", logs)


class PlacementTest(testtools.TestCase):
    def test_only_the_versions_of_a_pool_are_loaded(self) -> None:
        with start_small_system() as small:
            engine = small.engines[0]
            engine.control(versions=[])
            wait_until(
                lambda: len(engine.get("load")["versions"]) == 3, "versions are loaded"
            )
            small.system.ctl("withdraw", OLD, "--wait")
            wait_until(
                lambda: OLD not in engine.get("load")["versions"], "it is unloaded"
            )
            orders = engine.get("orders")
            self.assertTrue(all("/load/" in o or "/unload/" in o for o in orders))
            self.assertLess(len(orders), 8)
