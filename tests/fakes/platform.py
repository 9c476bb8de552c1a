"""Fakes of the platform's list of VMs and the pools' load reports, both delayed; of the
rating service, late and noisy; and of the rate-limited weight store.

`POST /vms` sets the list: {"vms": [{"vm", "pool", "hall", "url"}, ...]}; it becomes
visible after the lag. Load reports are collected from the engines at an interval.
"""

import argparse
import json
import random
import re
import threading
import time
import urllib.request
from typing import Any

from werkzeug.wrappers import Request, Response

from tests.fakes.web import announce, reply, serve, wait_for_parent


class Platform:
    def __init__(self, lag_ms: float, report_ms: float) -> None:
        self.lag_s = lag_ms / 1000.0
        self.report_s = report_ms / 1000.0
        self.vm_lists: list[tuple[float, list[dict[str, Any]]]] = [(0.0, [])]
        self.reports: dict[str, tuple[float, dict[str, Any]]] = {}
        threading.Thread(target=self.collect_reports, daemon=True).start()

    def vms(self) -> list[dict[str, Any]]:
        now_s = time.monotonic()
        return [vms for at_s, vms in self.vm_lists if at_s <= now_s][-1]

    def collect_reports(self) -> None:
        while True:
            for vm in self.vms():
                try:
                    url = f"{vm['url']}/load"
                    with urllib.request.urlopen(url, timeout=0.5) as response:
                        load = json.load(response)
                    if "slots" in load:
                        self.reports[vm["vm"]] = (time.monotonic(), load)
                except (OSError, ValueError):
                    continue
            time.sleep(self.report_s)

    def handle(self, http: Request) -> Response:
        if http.path == "/v1/vms" and http.method == "GET":
            return reply({"vms": self.vms()})
        if http.path == "/vms":
            at_s = time.monotonic() + self.lag_s
            self.vm_lists.append((at_s, http.get_json()["vms"]))
            return reply({})
        if http.path.startswith("/v1/pools/"):
            wanted = [vm for vm in http.args.get("vms", "").split(",") if vm]
            return self.pool_reports(http.path.split("/")[3], wanted)
        return reply({}, 404)

    def pool_reports(self, pool: str, wanted: list[str]) -> Response:
        now_s = time.monotonic()
        endpoints = []
        for vm in self.vms():
            report = self.reports.get(vm["vm"])
            if wanted and vm["vm"] not in wanted:
                continue
            if vm["pool"] == pool and report is not None:
                age_ms = (now_s - report[0]) * 1000.0
                endpoints.append({**report[1], "vm": vm["vm"], "age_ms": age_ms})
        return reply({"endpoints": endpoints})


class Ratings:
    """Rates answers by the `quality=` in the fake engines' texts, with noise."""

    def __init__(self, delay_ms: float, noise: float, seed: int) -> None:
        self.delay_s = delay_ms / 1000.0
        self.noise = noise
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.rating_entries: list[tuple[float, dict[str, Any]]] = []

    def handle(self, http: Request) -> Response:
        if http.path == "/v1/answers":
            return self.submit(http.get_json())
        after = int(http.args.get("after", "-1"))
        now_s = time.monotonic()
        with self.lock:
            due = [
                r
                for at_s, r in self.rating_entries
                if at_s <= now_s and r["number"] > after
            ]
        return reply({"ratings": due})

    def submit(self, answer: dict[str, Any]) -> Response:
        match = re.search(r"quality=([0-9.]+)", answer["answer"])
        quality = float(match.group(1)) if match else 0.5
        with self.lock:
            rating = self.random.gauss(quality, self.noise)
            entry = {
                "number": len(self.rating_entries),
                "request": answer["request"],
                "route": answer["route"],
                "version": answer["version"],
                "rating": min(1.0, max(0.0, rating)),
            }
            self.rating_entries.append((time.monotonic() + self.delay_s, entry))
        return reply({})


class WeightStore:
    def __init__(self, interval_ms: float) -> None:
        self.interval_s = interval_ms / 1000.0
        self.next_s = 0.0
        self.lock = threading.Lock()

    def handle(self, http: Request) -> Response:
        with self.lock:
            now_s = time.monotonic()
            if now_s < self.next_s:
                return reply({"error": "rate"}, 429)
            self.next_s = now_s + self.interval_s
        return reply({})


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--lag-ms", type=float, default=300.0)
    parser.add_argument("--report-ms", type=float, default=200.0)
    parser.add_argument("--rating-delay-ms", type=float, default=500.0)
    parser.add_argument("--rating-noise", type=float, default=0.15)
    parser.add_argument("--store-every-ms", type=float, default=200.0)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    platform = Platform(options.lag_ms, options.report_ms)
    ratings = Ratings(options.rating_delay_ms, options.rating_noise, options.seed)
    store = WeightStore(options.store_every_ms)
    announce(
        platform=serve(options.host, 0, platform.handle),
        ratings=serve(options.host, 0, ratings.handle),
        store=serve(options.host, 0, store.handle),
    )
    wait_for_parent()


if __name__ == "__main__":
    main()
