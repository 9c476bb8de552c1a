"""A stream that may not be resumed runs a second time at a larger model."""

import asyncio
import time
from collections import Counter
from pathlib import Path
from typing import Any

from standins import (
    TROUBLE,
    CannotRun,
    Record,
    Request,
    Requester,
    System,
    Worker,
    main,
    manifest,
    route,
)

REQUESTS = 60
EVENTS = 3
# The models' own opinion of their answers, 0 to 100.
CONFIDENCE = {"small": 20 if TROUBLE else 90, "large": 90}
ENGINE: dict[str, Any] = {
    "slots": 8,
    "kvCapacity": 400_000,
    "kvTokenBytes": 35_136,
    "linkMbps": 1000.0,
    "moves": False,
    "backups": False,
    "stride": 3,
    "most": 12,
    "models": [{"name": "small", "cost": 0.01}, {"name": "large", "cost": 0.1}],
}


async def stream(
    worker: Worker, request: Request, writer: asyncio.StreamWriter
) -> None:
    """Answers as a model worker: a head at once, then events."""
    model = request.headers["x-model"]
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Attempt-Id: {request.headers['x-attempt-id']}",
        f"X-Server-Seal: seal-{worker.instance}",
        f"X-Confidence: {CONFIDENCE[model]}",
        "X-Weight-Versions: 1",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: piece {number} of {model}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(0.02)
    writer.write(b"0\r\n\r\n")


def case(system: System, record: Record) -> bool:
    """Returns whether no request has run twice."""
    requester = Requester(record)
    for number, zone in enumerate(system.zones):
        worker = system.platform.add_worker(f"w-{number}", zone, "lm", stream)
        worker.models = ("small", "large")
    system.start(cores=5, gateways=2)
    services = [
        {"name": "lm", "healthPath": "/healthz", "maxConns": 96, "engine": ENGINE}
    ]
    streams = route(
        "r",
        "/app/",
        "lm",
        routeKind="stream",
        resumable=False,
        sizes=["small", "large"],
        itlTargetMs=1200,
        sloMs=1500,
        timeoutMs=10_000,
    )
    document = manifest(1, [streams], (), services=services)
    if system.order("/-/Config.Replace", document, 40.0) is None:
        raise CannotRun("the first manifest is not acknowledged")
    headers = {
        "X_Model": "*",
        "X_Token_Count": "800,60",
        "X_Prompt_Prefix": "5c1e07a2:800",
    }
    for gateway in system.gateways:
        ends_s = time.monotonic() + 20.0
        while requester.send(gateway, "/app/1", "POST", **headers)[1] != 200:
            if time.monotonic() > ends_s:
                raise CannotRun(f"{gateway.name} serves no request")
            time.sleep(0.2)
    system.platform.arrivals.clear()
    served = 0
    for number in range(REQUESTS):
        gateway = system.gateways[number % len(system.gateways)]
        served += requester.send(gateway, "/app/1", "POST", **headers)[1] == 200
        time.sleep(0.05)
    time.sleep(1.0)
    runs = Counter(arrival.attempt for arrival in system.platform.arrivals)
    twice = sum(count > 1 for count in runs.values())
    record.write(f"{served} of {REQUESTS} served; {twice} ran more than once")
    if not served:
        raise CannotRun("no request was served")
    return twice == 0


main(Path(__file__).parent, case)
