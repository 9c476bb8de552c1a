"""Tests of ashlatch.periodic."""

import threading

import testtools

from ashlatch.periodic import PeriodicTasks


class PeriodicTest(testtools.TestCase):
    def test_work_is_repeated_until_the_stop(self) -> None:
        thrice = threading.Semaphore(0)
        loops = PeriodicTasks(lambda error: None)
        loops.start("work", thrice.release, interval_ms=1.0)
        for _ in range(3):
            self.assertTrue(thrice.acquire(timeout=10.0))
        loops.stop()
        self.assertTrue(loops.stopping)

    def test_a_failure_is_handed_on(self) -> None:
        failed = threading.Event()
        errors: list[BaseException] = []

        def note(error: BaseException) -> None:
            errors.append(error)
            failed.set()

        threading.excepthook = lambda args: None
        self.addCleanup(setattr, threading, "excepthook", threading.__excepthook__)
        loops = PeriodicTasks(note)
        loops.start("work", lambda: [][0], interval_ms=1.0)
        self.assertTrue(failed.wait(10.0))
        loops.stop()
        self.assertIsInstance(errors[0], IndexError)
