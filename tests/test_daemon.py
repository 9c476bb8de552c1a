"""Tests of ashlatch.cmdline.daemon: signals and failures that end a process."""

import subprocess
import sys

import testtools

SIGNAL_PROGRAM = """
import os, signal, threading
from ashlatch.cmdline.daemon import STOP_SIGNALS, Shutdown
shutdown = Shutdown()

def other():
    blocked = signal.pthread_sigmask(signal.SIG_BLOCK, ())
    print("blocked", STOP_SIGNALS <= blocked)
    os.kill(os.getpid(), signal.SIGTERM)
    threading.Event().wait()

threading.Thread(target=other, daemon=True).start()
shutdown.wait()
print(shutdown.error)
"""
FAILURE_PROGRAM = """
import threading
from ashlatch.cmdline.daemon import Shutdown
shutdown = Shutdown()
threading.Thread(target=shutdown.fail, args=(ValueError("broken"),)).start()
shutdown.wait()
print(repr(shutdown.error))
"""
LOGGING_PROGRAM = """
import os, signal, threading
from ashlatch.cmdline import daemon

class Settings:
    vm = hall = listen = "x"
    log_level = "INFO"

class Daemon:
    def start(self):
        for thread in threading.enumerate():
            path = f"/proc/self/task/{thread.native_id}/status"
            line = next(l for l in open(path) if l.startswith("SigBlk"))
            mask = int(line.split()[1], 16)
            for number in (signal.SIGHUP, signal.SIGTERM):
                print(thread.name, bool(mask >> (number - 1) & 1))
        os.kill(os.getpid(), signal.SIGTERM)
    def stop(self):
        return 0

daemon.run("x", Settings(), lambda failed: Daemon())
"""
TIMEOUT_S = 20.0


class ShutdownTest(testtools.TestCase):
    def run_program(self, program: str) -> list[str]:
        command = [sys.executable, "-c", program]
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=TIMEOUT_S
        )
        self.assertEqual("", done.stderr)
        return done.stdout.splitlines()

    def test_stop_signal_ends_the_wait_and_other_threads_block_it(self) -> None:
        """On a busy machine a signal was delivered to another thread and lost."""
        self.assertEqual(["blocked True", "None"], self.run_program(SIGNAL_PROGRAM))

    def test_failure_in_a_thread_ends_the_wait(self) -> None:
        self.assertEqual(["ValueError('broken')"], self.run_program(FAILURE_PROGRAM))

    def test_every_thread_blocks_the_signals(self) -> None:
        """The thread of the logs was the only one that did not."""
        lines = self.run_program(LOGGING_PROGRAM)
        states = [line for line in lines if line.endswith(("True", "False"))]
        self.assertIn("log True", states)
        self.assertEqual([], [line for line in states if line.endswith("False")])
