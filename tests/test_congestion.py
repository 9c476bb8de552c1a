"""Tests of gateways that get most of the new connections."""

import http.client
import random
import signal
import threading
import time

import testtools

from ashlatch.policy.congestion import NOT_READY_MS, SURGE_MIN, Congestion
from tests.crashing_load import PartFleet, PartLoad
from tests.fleet import FRONT_PORT


class PolicyTest(testtools.TestCase):
    def play(self, per_s: list[int], late_ms: float) -> tuple[int, Congestion]:
        """Returns the connections refused at so many a second, in turn."""
        congestion, refused, now_ms = Congestion(), 0, 0.0
        for count in per_s:
            for step in range(20):
                now_ms += 50.0
                congestion.record_lateness(late_ms, now_ms)
                arrived = count * (step + 1) // 20 - count * step // 20
                refused += sum(congestion.refuses(now_ms) for _ in range(arrived))
        self.now_ms = now_ms
        return refused, congestion

    def test_a_surge_at_a_late_process_is_refused(self) -> None:
        refused, congestion = self.play([10] * 20 + [80] * 3, 200.0)
        self.assertTrue(refused > 100, str(refused))
        self.assertFalse(congestion.ready(self.now_ms))
        self.assertTrue(congestion.ready(self.now_ms + NOT_READY_MS))

    def test_a_surge_that_can_be_served_is_accepted(self) -> None:
        self.assertEqual(0, self.play([10] * 20 + [80] * 5, 20.0)[0])

    def test_callers_that_connect_after_a_start_are_accepted(self) -> None:
        self.assertEqual(0, self.play([80] * 3 + [10] * 3, 500.0)[0])

    def test_a_late_process_without_a_surge_accepts_all(self) -> None:
        """Its slowness may be that of all processes, and callers have nowhere to go."""
        self.assertEqual(0, self.play([10] * 20 + [25] * 20, 500.0)[0])
        self.assertEqual(0, self.play([0] * 20 + [SURGE_MIN] * 20, 500.0)[0])


class SkewedBalancerTest(testtools.TestCase):
    """Three gateways with a small share of a processor; after some time most new
    connections go to one of them, and callers open more of them.
    """

    RUN_S, STOP_S = 0.015, 0.035
    USUAL_PER_S, SKEWED_PER_S = 25.0, 200.0
    USUAL_S, SKEWED_S = 11.0, 6.0
    SHARE = 0.9
    SERVED_RATIO_MIN = 0.75

    def test_requests_are_served_by_the_first_gateway_that_reads_them(
        self,
    ) -> None:
        self.fleet = PartFleet(PartLoad(crashing=()))
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        self.done = threading.Event()
        throttle = threading.Thread(target=self.throttle)
        throttle.start()
        try:
            usual = self.play(self.USUAL_PER_S, self.USUAL_S, 0.0)
            skewed = self.play(self.SKEWED_PER_S, self.SKEWED_S, self.SHARE)
        finally:
            self.done.set()
            throttle.join()
        least = self.SERVED_RATIO_MIN * usual
        self.assertTrue(skewed >= least, f"{skewed:.2f} of {usual:.2f}")

    def throttle(self) -> None:
        processes = [self.fleet.fleet.processes[g].popen for g in self.fleet.gateways]
        while not self.done.is_set():
            for process in processes:
                process.send_signal(signal.SIGSTOP)
            time.sleep(self.STOP_S)
            for process in processes:
                process.send_signal(signal.SIGCONT)
            time.sleep(self.RUN_S)

    def play(self, per_s: float, length_s: float, share: float) -> float:
        """Returns the share of requests served by the first gateway that read them."""
        generator = random.Random(1)
        results: list[bool] = []

        def call(host: str) -> None:
            results.append(self.try_gateways(host))

        calls = []
        ends_s = time.monotonic() + length_s
        while time.monotonic() < ends_s:
            skewed = generator.random() < share
            gateways = self.fleet.gateways
            host = gateways[0] if skewed else generator.choice(gateways)
            calls.append(threading.Thread(target=call, args=(host,)))
            calls[-1].start()
            time.sleep(generator.expovariate(per_s))
        for thread in calls:
            thread.join()
        return sum(results) / len(results)

    def try_gateways(self, host: str) -> bool:
        """Tries gateways until one reads the request; returns whether it serves it."""
        others = [g for g in self.fleet.gateways if g != host]
        for gateway in (host, *others):
            connection = http.client.HTTPConnection(gateway, FRONT_PORT, timeout=1.0)
            try:
                connection.request("POST", "/stream/1", b"", self.headers())
                answer = connection.getresponse()
                answer.read()
                return answer.status == 200
            except (ConnectionError, http.client.RemoteDisconnected):
                continue
            except OSError:
                return False
            finally:
                connection.close()
        return False

    def headers(self) -> dict[str, str]:
        return {
            "Host": "shop.example",
            "X-Attempt-Id": f"r{random.random()}",
            "X-Deadline-Ms": "1000",
            "Authorization": "Bearer key-1",
            "X-Model": "*",
            "X-Token-Count": "400,50",
            "X-Prompt-Prefix": "a0a0:100,b000:100",
        }
