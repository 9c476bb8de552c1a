"""Tests of ashlatch.cmdline.daemon: how a process is asked to end."""

import subprocess
import sys

import testtools

SIGNALLED = """
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
FAILED = """
import threading
from ashlatch.cmdline.daemon import Shutdown
shutdown = Shutdown()
threading.Thread(target=shutdown.fail, args=(ValueError("broken"),)).start()
shutdown.wait()
print(repr(shutdown.error))
"""
LOGGED = """
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
LIMIT_S = 20.0


class ShutdownTest(testtools.TestCase):
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

    def test_every_thread_blocks_the_signals(self) -> None:
        """Also the thread of the logs; it was the only one that did not."""
        lines = self.run_program(LOGGED)
        told = [line for line in lines if line.endswith(("True", "False"))]
        self.assertIn("log True", told)
        self.assertEqual([], [line for line in told if line.endswith("False")])
