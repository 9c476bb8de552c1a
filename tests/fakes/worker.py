"""An application worker: a plain service that counts what it runs.

`POST /orders` runs once for each call that reaches it; `GET /ran` tells how
often each idempotency key was run. `POST /control` {"delay_ms": 100,
"break_ratio": 1.0} slows it or makes it run and then drop the connection.
"""

import argparse
import collections
import threading
import time
from typing import Any

from werkzeug.wrappers import Request, Response

from tests.fakes.web import announce, reply, serve, wait_for_parent


class Worker:
    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.executions: collections.Counter[str] = collections.Counter()
        self.settings: dict[str, Any] = {"delay_ms": 0, "fail": False}

    def handle(self, http: Request) -> Response:
        if http.path == "/ran":
            return reply(self.executions)
        if http.path == "/control":
            self.settings.update(http.get_json())
            return reply(self.settings)
        key = http.headers.get("Idempotency-Key", "")
        with self.lock:
            self.executions[key] += 1
            number = sum(self.executions.values())
        time.sleep(self.settings["delay_ms"] / 1000.0)
        if self.settings["fail"]:
            return reply({"error": "failed after it ran"}, 500)
        shown = http.headers.get("X-Request-Id", "")
        return reply({"number": number, "key": key}, X_Request_Id=shown)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    given = parser.parse_args()
    announce(port=serve(given.host, given.port, Worker().handle))
    wait_for_parent()


if __name__ == "__main__":
    main()
