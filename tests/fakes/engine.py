"""A fake model engine with continuous batching, priorities, cancellation, resumption, a
prefix cache, load reports, fenced orders and refusal when full.

One process runs one engine: python -m tests.fakes.engine --vm NAME --versions a,b

`POST /control` configures it: {"quality": {"a": 0.4}, "error_ratio": {"a": 0.3},
"slowdown": 4, "version_slowdown": {"a": 4}, "leaving": true, "swap_ids": true,
"break_after": 5, "crash_on": "a text", "stall_ratio": 0.02, "stall_ms": 1000,
"requests_per_s": 2.5, "backoff_s": 2, "announces_leaving": true, "rejections_per_s": 4,
"queue_max": 0}. `requests_per_s` is the rate limit that its answers carry, -1 for none;
with `backoff_s` it refuses all requests and asks for a backoff. With `rejections_per_s`
it is brittle: after more rejections in a second it fails all requests for two seconds.
At most `queue_max` requests wait for a slot, four for each slot if it is negative.
"""

import argparse
import collections
import itertools
import json
import os
import random
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

from werkzeug.wrappers import Request, Response

from tests.fakes.web import announce, reply, serve, wait_for_parent

BATCH_SLOWDOWN = 0.5
CACHE_PREFIXES = 16
PREFIX_CHARS = 512
QUEUE_MAX_FACTOR = 4
RUNS_MAX = 100_000
FALL_S = 2.0


@dataclass
class Engine:
    vm: str
    versions: set[str]
    slots: int
    token_ms: float
    prefill_ms: float
    output_tokens: int
    seed: int
    running: int = 0
    queued: int = 0
    epoch: int = 0
    leaving: bool = False
    slowdown: float = 1.0
    swap_ids: bool = False
    break_after: int = 0
    stall_ratio: float = 0.0
    stall_ms: float = 0.0
    crash_on: str = ""
    requests_per_s: float = -1.0
    backoff_s: float = 0.0
    announces_leaving: bool = False
    rejections_per_s: int = -1
    queue_max: int = -1
    fallen_until_s: float = 0.0
    falls_ms: list[float] = field(default_factory=list)
    rejected_s: list[float] = field(default_factory=list)
    refused_ms: list[float] = field(default_factory=list)
    quality: dict[str, float] = field(default_factory=dict)
    error_ratio: dict[str, float] = field(default_factory=dict)
    version_slowdown: dict[str, float] = field(default_factory=dict)
    finish: dict[str, str] = field(default_factory=dict)
    runs: collections.deque[dict[str, Any]] = field(
        default_factory=lambda: collections.deque(maxlen=RUNS_MAX)
    )
    orders: dict[str, int] = field(default_factory=dict)
    cache: collections.OrderedDict[int, None] = field(
        default_factory=collections.OrderedDict
    )

    def __post_init__(self) -> None:
        self.lock = threading.Condition()
        self.random = random.Random(self.seed)
        self.waiting: list[tuple[int, int]] = []
        self.numbers = itertools.count()

    # Batching.

    def acquire_slot(self, priority: int) -> bool:
        with self.lock:
            queue_max = self.slots * QUEUE_MAX_FACTOR
            if self.queue_max >= 0:
                queue_max = self.queue_max
            if self.queued >= queue_max and self.running + self.queued >= self.slots:
                self.record_rejection()
                return False
            ticket = (-priority, next(self.numbers))
            self.waiting.append(ticket)
            self.waiting.sort()
            self.queued += 1
            while self.running >= self.slots or self.waiting[0] != ticket:
                self.lock.wait()
            self.waiting.pop(0)
            self.queued -= 1
            self.running += 1
            self.lock.notify_all()
            return True

    def record_rejection(self) -> None:
        """Makes a brittle engine fall over after too many rejections in a second."""
        now_s = time.monotonic()
        recent = [at_s for at_s in self.rejected_s if now_s - at_s < 1.0]
        self.rejected_s = [*recent, now_s]
        if 0 <= self.rejections_per_s < len(self.rejected_s):
            self.falls_ms.append(time.time() * 1000)
            self.rejected_s = []
            self.fallen_until_s = now_s + FALL_S

    def release_slot(self) -> None:
        with self.lock:
            self.running -= 1
            self.lock.notify_all()

    def token_s(self, version: str) -> float:
        """Returns the time for one token, which grows with the batch."""
        batch = 1.0 + BATCH_SLOWDOWN * (self.running - 1) / self.slots
        slowdown = self.slowdown * self.version_slowdown.get(version, 1.0)
        return self.token_ms * batch * slowdown / 1000.0

    def prefill_s(self, prompt: str) -> float:
        key = hash(prompt[:PREFIX_CHARS])
        with self.lock:
            hit = key in self.cache
            self.cache[key] = None
            self.cache.move_to_end(key)
            if len(self.cache) > CACHE_PREFIXES:
                self.cache.popitem(last=False)
        return self.prefill_ms * (0.2 if hit else 1.0) * self.slowdown / 1000.0

    def stall(self) -> None:
        """Delays some requests before their first token."""
        if self.random.random() < self.stall_ratio:
            time.sleep(self.stall_ms / 1000.0)

    # HTTP.

    def handle(self, http: Request) -> Response:
        match (http.method, http.path):
            case ("POST", "/v1/chat/completions"):
                return self.add_notices(self.chat(http))
            case ("POST", "/v1/orders"):
                return self.apply_order(http.get_json())
            case ("POST", "/control"):
                return self.control(http.get_json())
            case ("GET", "/load"):
                return reply(self.load())
            case ("GET", "/runs"):
                return reply(list(self.runs))
            case ("GET", "/falls"):
                return reply(self.falls_ms)
            case ("GET", "/turned-away"):
                return reply(self.refused_ms)
            case ("GET", "/orders"):
                return reply(self.orders)
        return reply({"error": {"type": "no such path"}}, 404)

    def add_notices(self, response: Response) -> Response:
        if self.announces_leaving:
            response.headers["Ashlatch-Leaving"] = "1"
        if self.requests_per_s >= 0.0:
            limit = str(self.requests_per_s)
            response.headers["Ashlatch-Requests-Per-S"] = limit
        if self.rejections_per_s >= 0:
            most = str(self.rejections_per_s)
            response.headers["Ashlatch-Rejections-Per-S"] = most
        return response

    def load(self) -> dict[str, Any]:
        return {
            "vm": self.vm,
            "running": self.running,
            "queued": self.queued,
            "slots": self.slots,
            "versions": sorted(self.versions),
            "leaving": self.leaving,
        }

    def control(self, wanted: dict[str, Any]) -> Response:
        for name, value in wanted.items():
            current = getattr(self, name)
            if isinstance(current, dict):
                current.update(value)
            elif isinstance(current, set):
                setattr(self, name, set(value))
            else:
                setattr(self, name, value)
        return reply(self.load())

    def apply_order(self, order: dict[str, Any]) -> Response:
        with self.lock:
            if order["order_id"] in self.orders:
                return reply({"done": "before"})
            if order["epoch"] < self.epoch:
                return reply({"error": {"type": "fenced"}}, 409)
            self.epoch = order["epoch"]
            self.orders[order["order_id"]] = order["epoch"]
            if order["kind"] == "load":
                self.versions.add(order["version"])
            else:
                self.versions.discard(order["version"])
        return reply({"done": "now"})

    def refuse(self, kind: str) -> Response:
        error = {"type": kind, "not_run": True, "retry_after_ms": 200}
        return reply({"error": error}, 503)

    def chat(self, http: Request) -> Response:
        body = http.get_json()
        version = body["model"]
        attempt = http.headers.get("X-Request-Id", "")
        if time.monotonic() < self.fallen_until_s:
            return reply({"error": {"type": "fallen"}}, 500)
        if self.backoff_s > 0.0:
            self.refused_ms.append(time.time() * 1000)
            response = self.refuse("shed")
            response.headers["Retry-After"] = str(self.backoff_s)
            return response
        if self.leaving:
            return self.refuse("leaving")
        if version not in self.versions:
            return self.refuse("not_loaded")
        if not self.acquire_slot(int(body.get("priority", 0))):
            return self.refuse("full")
        self.runs.append(
            {
                "attempt": attempt,
                "version": version,
                "at_ms": time.time() * 1000,
                "revision": int(http.headers.get("Ashlatch-Revision", "0")),
            }
        )
        if self.crash_on and self.crash_on in json.dumps(body["messages"]):
            # Like a crashed process: connections are not shut down properly.
            os._exit(1)
        response_id = attempt + "-other" if self.swap_ids else attempt
        if self.random.random() < self.error_ratio.get(version, 0.0):
            self.release_slot()
            return reply({"error": {"type": "internal"}}, 500, X_Request_Id=response_id)
        prompt = json.dumps(body["messages"])
        tokens = min(int(body.get("max_tokens", 10**6)), self.output_tokens)
        skip = int(http.headers.get("Ashlatch-Resume-Chunks", "0"))
        if body.get("stream"):
            events = self.stream(version, prompt, tokens, skip)
            return Response(
                events,
                200,
                {"X-Request-Id": response_id},
                content_type="text/event-stream",
            )
        return self.answer_whole(version, prompt, tokens, response_id)

    def token_text(self, version: str, index: int) -> str:
        """Returns deterministic text: the version's quality, then numbered words."""
        quality = self.quality.get(version, 0.0)
        return f"quality={quality} " if index == 0 else f"w{index} "

    def usage(self, prompt: str, tokens: int) -> dict[str, int]:
        return {"prompt_tokens": len(prompt) // 4, "completion_tokens": tokens}

    def answer_whole(
        self, version: str, prompt: str, tokens: int, response_id: str
    ) -> Response:
        try:
            self.stall()
            time.sleep(self.prefill_s(prompt))
            for _ in range(0, tokens, 10):
                time.sleep(self.token_s(version) * min(10, tokens))
        finally:
            self.release_slot()
        text = "".join(self.token_text(version, index) for index in range(tokens))
        message = {"role": "assistant", "content": text}
        document = {
            "id": response_id,
            "object": "chat.completion",
            "model": version,
            "choices": [
                {
                    "index": 0,
                    "message": message,
                    "finish_reason": self.finish.get(version, "stop"),
                }
            ],
            "usage": self.usage(prompt, tokens),
        }
        return reply(document, X_Request_Id=response_id)

    def stream(
        self, version: str, prompt: str, tokens: int, skip: int
    ) -> Iterator[bytes]:
        try:
            self.stall()
            time.sleep(self.prefill_s(prompt))
            for index in range(skip, tokens):
                time.sleep(self.token_s(version))
                if self.break_after and index - skip >= self.break_after:
                    raise ConnectionAbortedError
                delta = {"content": self.token_text(version, index)}
                choice = {"index": 0, "delta": delta, "finish_reason": None}
                yield _event({"model": version, "choices": [choice]})
            end = {"index": 0, "delta": {}, "finish_reason": "stop"}
            yield _event({"model": version, "choices": [end]})
            yield _event({"choices": [], "usage": self.usage(prompt, tokens)})
            yield b"data: [DONE]\n\n"
        finally:
            self.release_slot()


def _event(document: Any) -> bytes:
    return b"data: " + json.dumps(document).encode() + b"\n\n"


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--vm", required=True)
    parser.add_argument("--versions", default="")
    parser.add_argument("--quality", default="{}")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--token-ms", type=float, default=2.0)
    parser.add_argument("--prefill-ms", type=float, default=10.0)
    parser.add_argument("--output-tokens", type=int, default=20)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args()
    engine = Engine(
        options.vm,
        {v for v in options.versions.split(",") if v},
        options.slots,
        options.token_ms,
        options.prefill_ms,
        options.output_tokens,
        options.seed,
    )
    engine.quality = json.loads(options.quality)
    announce(port=serve(options.host, options.port, engine.handle))
    wait_for_parent()


if __name__ == "__main__":
    main()
