"""
ashlatch.log
~~~~~~~~~~~~

Logs each event as one line of key=value pairs. An event is a data class with a class
attribute `event`, its name in the log; its fields are the pairs.

A separate thread writes the lines, so that a slow or blocked reader of the log does not
block requests. Lines that do not fit into the queue are dropped and counted.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import atexit
import dataclasses
import json
import logging
import re
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

# The maximum number of queued lines; about 2 MB.
QUEUE_LINES_MAX = 8192
# Lines that are logged within this interval are written together.
BATCH_INTERVAL_S = 0.1
# How long a process that exits waits for the reader of the log.
FLUSH_TIMEOUT_S = 0.2

_UNQUOTED = re.compile(r"[a-zA-Z0-9\-_.:/,@%+|()]+")
# The attribute of a record with the pairs of an event.
_PAIRS = "_pairs"
_field_names: dict[type, tuple[str, ...]] = {}


@dataclass(frozen=True)
class LogEvent:
    """The base class of log events; subclasses add fields and set `event`."""

    event: ClassVar[str] = "event"


@dataclass(frozen=True)
class DaemonStarted(LogEvent):
    """A daemon is ready and listens on `address`."""

    event: ClassVar[str] = "daemon_started"
    daemon: str
    vm: str
    hall: str
    address: str
    version: str


@dataclass(frozen=True)
class DaemonStopped(LogEvent):
    """A daemon has stopped gracefully; `in_flight` requests had to be aborted."""

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
    if _UNQUOTED.fullmatch(text):
        return text
    return json.dumps(text, ensure_ascii=False)


def _format_line(record: dict[str, Any], **_: Any) -> str:
    """Formats a record as `key=value key="a b"`; the python-json-logger serializer."""
    record.pop("message", None)
    return " ".join(f"{key}={_format_value(value)}" for key, value in record.items())


@dataclass(frozen=True)
class LinesDropped(LogEvent):
    """The reader of the log was too slow, and this many lines were dropped."""

    event: ClassVar[str] = "lines_left_out"
    lines: int


class QueueHandler(logging.Handler):
    """Formats lines at once; a separate thread writes them in batches."""

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
        """Queues one line; drops it if the queue is full."""
        if len(self._lines) >= self._lines_max:
            self._dropped += 1
            return
        self._lines.append(self.format(record))
        self._ready.set()

    def flush(self) -> None:
        """Writes the queued lines, unless the writer thread is blocked."""
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
            dropped, self._dropped = self._dropped, 0
            lines.append(f"event={LinesDropped.event} lines={dropped}")
        if not lines:
            return
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The reader of the log has closed the stream. That cannot be logged, and
            # requests are still served. The count is logged if the reader returns.
            self._dropped += len(lines)


class _LineFormatter(JsonFormatter):
    """Formats the records of events without the general path of the library.

    It takes most of the time of a line, and nothing that it supports occurs in them.
    """

    def format(self, record: logging.LogRecord) -> str:
        """Formats a record as one line."""
        pairs = record.__dict__.get(_PAIRS)
        if pairs is None:
            return super().format(record)
        at = self.formatTime(record, self.datefmt)
        data = {"at": at, "level": record.levelname, "logger": record.name, **pairs}
        return _format_line(data)


def setup(stream: TextIO | None = None, level: str = "INFO") -> None:
    """Writes the logs of all `ashlatch.*` loggers to a stream, by default stderr."""
    handler = QueueHandler(stream or sys.stderr)
    formatter = _LineFormatter(
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
    """Writes the queued lines; called before a process exits."""
    for handler in logging.getLogger("ashlatch").handlers:
        handler.flush()


def emit(logger: logging.Logger, event: LogEvent, level: int = logging.INFO) -> None:
    """Writes an event as one line.

    Fields that are `None` or empty are omitted::

        emit(log, DaemonStopped("router", "bne-1", in_flight=0))
    """
    if not logger.isEnabledFor(level):
        return
    pairs: dict[str, Any] = {"event": event.event}
    names = _field_names.get(type(event))
    if names is None:
        names = tuple(field.name for field in dataclasses.fields(event))
        _field_names[type(event)] = names
    for name in names:
        value = getattr(event, name)
        if value is None or value == "":
            continue
        pairs[name] = value
    # `Logger.log` would look for the caller's file and line, which no line shows.
    extra = {_PAIRS: pairs}
    record = logger.makeRecord(logger.name, level, "", 0, "", (), None, extra=extra)
    logger.handle(record)
