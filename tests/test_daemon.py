"""Tests of ashlatch.cmdline.daemon: how a process is asked to end."""

import subprocess
import sys

import testtools

SIGNALLED = """
import os, signal, threading
from ashlatch.cmdline.daemon import STOP_SIGNALS, Ending
ending = Ending()

def other():
    blocked = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    print("blocked", STOP_SIGNALS <= blocked)
    os.kill(os.getpid(), signal.SIGTERM)
    threading.Event().wait()

threading.Thread(target=other, daemon=True).start()
ending.wait()
print(ending.error)
"""
FAILED = """
import threading
from ashlatch.cmdline.daemon import Ending
ending = Ending()
threading.Thread(target=ending.fail, args=(ValueError("broken"),)).start()
ending.wait()
print(repr(ending.error))
"""
LIMIT_S = 20.0


class EndingTest(testtools.TestCase):
    def run_program(self, program: str) -> list[str]:
        command = [sys.executable, "-c", program]
        done = subprocess.run(command, capture_output=True, text=True, timeout=LIMIT_S)
        self.assertEqual("", done.stderr)
        return done.stdout.splitlines()

    def test_a_signal_ends_the_wait_and_no_thread_may_take_it(self) -> None:
        """One did, on a busy machine: the stop was lost with it."""
        self.assertEqual(["blocked True", "None"], self.run_program(SIGNALLED))

    def test_a_failure_in_a_thread_ends_the_wait(self) -> None:
        self.assertEqual(["ValueError('broken')"], self.run_program(FAILED))
