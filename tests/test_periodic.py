"""Tests of ashlatch.periodic."""

import threading

import testtools

from ashlatch.periodic import PeriodicTasks


class PeriodicTest(testtools.TestCase):
    def test_work_is_repeated_until_the_stop(self) -> None:
        runs = threading.Semaphore(0)
        tasks = PeriodicTasks(lambda error: None)
        tasks.start("work", runs.release, interval_ms=1.0)
        for _ in range(3):
            self.assertTrue(runs.acquire(timeout=10.0))
        tasks.stop()
        self.assertTrue(tasks.stopping)

    def test_an_exception_is_passed_to_the_callback(self) -> None:
        failed = threading.Event()
        errors: list[BaseException] = []

        def record(error: BaseException) -> None:
            errors.append(error)
            failed.set()

        threading.excepthook = lambda args: None
        self.addCleanup(setattr, threading, "excepthook", threading.__excepthook__)
        tasks = PeriodicTasks(record)
        tasks.start("work", lambda: [][0], interval_ms=1.0)
        self.assertTrue(failed.wait(10.0))
        tasks.stop()
        self.assertIsInstance(errors[0], IndexError)
