"""Stub servers for the platform: endpoints that play scripts of raw bytes, and
configuration documents as operators send them.
"""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

Script = Callable[["ReceivedRequest", asyncio.StreamWriter], Awaitable[None]]


@dataclass
class ReceivedRequest:
    """A request as a stub server received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("x-attempt-id", "")


def response_head(request: ReceivedRequest, status: int = 200, *more: str) -> bytes:
    lines = [
        f"HTTP/1.1 {status} Status",
        f"X-Attempt-Id: {request.request_id}",
        "X-Server-Seal: seal",
        *more,
    ]
    return ("\r\n".join(lines) + "\r\n").encode()


def full_response(
    request: ReceivedRequest, body: bytes, status: int = 200, *more: str
) -> bytes:
    """Returns a complete response with its length."""
    length = f"Content-Length: {len(body)}\r\n\r\n".encode()
    return response_head(request, status, *more) + length + body


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


LAST_CHUNK = b"0\r\n\r\n"


def event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def answer_with(body: bytes = b"body", status: int = 200, *more: str) -> Script:
    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(full_response(request, body, status, *more))

    return script


def stream(count: int, *more: str) -> Script:
    """Streams the events after the last one that the caller has, up to `count`."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        chunked = b"Transfer-Encoding: chunked\r\n\r\n"
        writer.write(response_head(request, 200, *more) + chunked)
        for number in range(first, count + 1):
            writer.write(chunk(event(number)))
        writer.write(LAST_CHUNK)

    return script


@dataclass
class StubServer:
    """An endpoint on loopback that plays its scripts in turn, the last one forever."""

    scripts: list[Script]
    requests: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    open_connections: int = 0
    port: int = 0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, host, port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()

    def crash(self) -> None:
        """Ends like a process: stops listening and aborts all connections."""
        self.stop()
        for writer in self._writers:
            writer.transport.abort()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.open_connections += 1
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                self.requests.append(request)
                script = self.scripts[0]
                if len(self.scripts) > 1:
                    self.scripts.pop(0)
                await script(request, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            self.open_connections -= 1
            self._writers.discard(writer)
            writer.close()


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *rest = raw.decode().split("\r\n")
    method, target, _ = first.split(" ")
    pairs = [line.split(":", 1) for line in rest if line]
    headers = {name.lower(): value.strip() for name, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return ReceivedRequest(method, target, headers, body)


def route(name: str, prefix: str, **more: Any) -> dict[str, Any]:
    base = {
        "name": name,
        "host": "shop.example",
        "pathPrefix": prefix,
        "routeKind": "idempotent",
        "timeoutMs": 2000,
        "sloMs": 400,
        "priority": 1,
        "service": "app",
        "maxAttempts": 3,
        "anonymous": False,
    }
    return {**base, **more}


def document(version: int = 1, **more: Any) -> dict[str, Any]:
    """Returns a configuration with a route of each kind."""
    base = {
        "version": version,
        "routes": [
            route("get", "/get/"),
            route("once", "/once/", routeKind="non_idempotent"),
            route("open", "/open/", anonymous=True),
            route(
                "stream",
                "/stream/",
                routeKind="stream",
                resumable=True,
                sizes=["small", "middle", "large"],
                itlTargetMs=1200,
            ),
        ],
        "services": [{"name": "app", "healthPath": "/healthz", "maxConns": 50}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 100000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "acme", "apiKeys": ["key-1"], "priority": 2}],
    }
    return {**base, **more}


def engine_service(name: str) -> dict[str, Any]:
    """Returns a service whose endpoints are model engines."""
    engine = {
        "slots": 8,
        "kvCapacity": 400_000,
        "stride": 3,
        "models": [{"name": "small", "cost": 0.01}, {"name": "large", "cost": 0.1}],
    }
    return {"name": name, "healthPath": "/healthz", "maxConns": 50, "engine": engine}


def encode_document(document: dict[str, Any]) -> bytes:
    return json.dumps(document).encode()
