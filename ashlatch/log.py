"""
ashlatch.log
~~~~~~~~~~~~

Logs: one line of key=value pairs for each event. An event is a data class
with a class attribute `event`, its name in the log; its fields are the pairs.

Lines are written by a thread of their own, so that a reader of the logs who
does not read never holds up a request. What does not fit into the queue
meanwhile is left out and counted.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import atexit
import dataclasses
import json
import logging
import sys
import threading
from collections import deque
from dataclasses import dataclass
from typing import Any, ClassVar, TextIO

from pythonjsonlogger.json import JsonFormatter

__all__ = [
    "DaemonFailed",
    "DaemonStarted",
    "DaemonStopped",
    "LinesDropped",
    "LogEvent",
    "QueueHandler",
    "emit",
    "flush",
    "setup",
]

# Lines that wait for the reader of the logs; about 2 MB.
QUEUE_LINES_MAX = 8192
# Lines that come within this time are written together.
BATCH_INTERVAL_S = 0.1
# How long the end of a process waits for the reader of the logs.
FLUSH_TIMEOUT_S = 0.2

_UNQUOTED_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/,@%+|()"
)


@dataclass(frozen=True)
class LogEvent:
    """The base of all log events; subclasses add fields and set `event`."""

    event: ClassVar[str] = "event"


@dataclass(frozen=True)
class DaemonStarted(LogEvent):
    """A daemon is ready to be called at `address`."""

    event: ClassVar[str] = "daemon_started"
    daemon: str
    vm: str
    hall: str
    address: str
    version: str


@dataclass(frozen=True)
class DaemonStopped(LogEvent):
    """A daemon has ended in order; `in_flight` is what it still had to cut."""

    event: ClassVar[str] = "daemon_stopped"
    daemon: str
    vm: str
    in_flight: int


@dataclass(frozen=True)
class DaemonFailed(LogEvent):
    """A daemon stops because of a typed error."""

    event: ClassVar[str] = "daemon_failed"
    daemon: str
    error: str
    detail: str


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        value = round(value, 3)
    if isinstance(value, bool) or value is None:
        return str(value).lower()
    text = str(value)
    if text and _UNQUOTED_CHARACTERS.issuperset(text):
        return text
    return json.dumps(text, ensure_ascii=False)


def _format_line(record: dict[str, Any], **_: Any) -> str:
    """The serializer handed to python-json-logger: `key=value key="a b"`."""
    record.pop("message", None)
    return " ".join(f"{key}={_format_value(value)}" for key, value in record.items())


@dataclass(frozen=True)
class LinesDropped(LogEvent):
    """The reader of the logs was too slow; this many lines are missing."""

    event: ClassVar[str] = "lines_left_out"
    lines: int


class QueueHandler(logging.Handler):
    """Formats lines at once and has a thread write them, several together."""

    def __init__(self, stream: TextIO, lines_max: int = QUEUE_LINES_MAX) -> None:
        super().__init__()
        self._stream = stream
        self._lines: deque[str] = deque()
        self._lines_max = lines_max
        self._dropped = 0
        self._ready = threading.Event()
        self._write_lock = threading.Lock()
        self._thread = threading.Thread(target=self._run, name="log", daemon=True)
        self._thread.start()
        atexit.register(self.flush)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line, unless the queue is full."""
        if len(self._lines) >= self._lines_max:
            self._dropped += 1
            return
        self._lines.append(self.format(record))
        self._ready.set()

    def flush(self) -> None:
        """Write what is queued, unless the reader holds the thread up."""
        if self._write_lock.acquire(timeout=FLUSH_TIMEOUT_S):
            try:
                self._write()
            finally:
                self._write_lock.release()

    def _run(self) -> None:
        while True:
            self._ready.wait()
            self._ready.clear()
            with self._write_lock:
                self._write()
            threading.Event().wait(BATCH_INTERVAL_S)

    def _write(self) -> None:
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        if self._dropped:
            left_out, self._dropped = self._dropped, 0
            lines.append(f"event={LinesDropped.event} lines={left_out}")
        if not lines:
            return
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The reader of the logs has gone; there is nowhere to say so, and
            # requests are served on. The count is told if it comes back.
            self._dropped += len(lines)


def setup(stream: TextIO | None = None, level: str = "INFO") -> None:
    """Send the logs of all `ashlatch.*` loggers to a stream (standard error)."""
    handler = QueueHandler(stream or sys.stderr)
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s",
        rename_fields={"asctime": "at", "levelname": "level", "name": "logger"},
        json_serializer=_format_line,
    )
    formatter.default_time_format = "%Y-%m-%dT%H:%M:%S"
    formatter.default_msec_format = "%s.%03d"
    handler.setFormatter(formatter)
    root = logging.getLogger("ashlatch")
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


def flush() -> None:
    """Write what is queued; called before a process ends itself."""
    for handler in logging.getLogger("ashlatch").handlers:
        handler.flush()


def emit(logger: logging.Logger, event: LogEvent, level: int = logging.INFO) -> None:
    """Write one event as one line.

    Fields that are `None` or empty are left out, so a line carries only
    what is known::

        emit(log, DaemonStopped("router", "bne-1", in_flight=0))
    """
    if not logger.isEnabledFor(level):
        return
    pairs = {"event": event.event}
    for field in dataclasses.fields(event):
        value = getattr(event, field.name)
        if value is None or value == "":
            continue
        pairs[field.name] = value
    logger.log(level, "", extra=pairs)
