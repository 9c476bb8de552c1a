"""A fake application worker that counts the requests it executes.

`POST /orders` is executed once for each call that arrives; `GET /ran` returns the
number of executions by idempotency key. `POST /control` {"delay_ms": 100, "fail": true}
delays the answers, or makes it answer with status 500 after the execution.
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
        response_id = http.headers.get("X-Request-Id", "")
        return reply({"number": number, "key": key}, X_Request_Id=response_id)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args()
    announce(port=serve(options.host, options.port, Worker().handle))
    wait_for_parent()


if __name__ == "__main__":
    main()
