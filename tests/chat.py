"""A client of the router, for the demo, the tests and the benchmarks."""

import http.client
import json
import time
from dataclasses import dataclass, field
from typing import Any

from tests.system import HttpReply, request


@dataclass
class StreamedAnswer:
    """A streamed answer, read to its end."""

    status: int
    headers: dict[str, str]
    text: str = ""
    done: bool = False
    error: Any = None
    chunk_times_s: list[float] = field(default_factory=list)


def chat_body(model: str, text: str = "hello", **extra: Any) -> dict[str, Any]:
    message = {"role": "user", "content": text}
    return {"model": model, "messages": [message], **extra}


def headers(key: str, **named: str) -> dict[str, str]:
    """Returns the headers of a call: the organisation's key and others, by name."""
    fields = {name.replace("_", "-"): value for name, value in named.items()}
    return {
        "Authorization": f"Bearer {key}",
        "Content-Type": "application/json",
        **fields,
    }


def chat(
    url: str, key: str, model: str, text: str = "hello", **named: str
) -> HttpReply:
    """Requests an answer that isn't streamed."""
    body = chat_body(model, text)
    path = f"{url}/v1/chat/completions"
    return request(path, "POST", body, headers(key, **named))


def service(
    url: str, key: str, pool: str, path: str, document: Any, **named: str
) -> HttpReply:
    """Calls a plain service."""
    full = f"{url}/v1/services/{pool}/{path}"
    return request(full, "POST", document, headers(key, **named))


def chat_stream(
    url: str, key: str, model: str, text: str = "hello", **named: str
) -> StreamedAnswer:
    """Requests a streamed answer and reads it to its end."""
    connection = http.client.HTTPConnection(url.removeprefix("http://"), timeout=60)
    try:
        body = json.dumps(chat_body(model, text, stream=True))
        path = "/v1/chat/completions"
        connection.request("POST", path, body, headers(key, **named))
        response = connection.getresponse()
        fields = {k.lower(): v for k, v in response.getheaders()}
        stream = StreamedAnswer(response.status, fields)
        if response.status != 200:
            stream.error = json.loads(response.read())
            return stream
        failing = False
        for line in response:
            failing = _apply_line(stream, line.strip(), failing)
        return stream
    finally:
        connection.close()


def _apply_line(stream: StreamedAnswer, line: bytes, failing: bool) -> bool:
    if line == b"event: error":
        return True
    if not line.startswith(b"data: "):
        return failing
    payload = line.removeprefix(b"data: ")
    if payload == b"[DONE]":
        stream.done = True
    elif failing:
        stream.error = json.loads(payload)
    else:
        stream.chunk_times_s.append(time.monotonic())
        for choice in json.loads(payload).get("choices", ()):
            stream.text += choice["delta"].get("content", "")
    return False
