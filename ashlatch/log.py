"""
ashlatch.log
~~~~~~~~~~~~

Logs: one line of key=value pairs for each event. An event is a data class
with a class attribute `event`, its name in the log; its fields are the pairs.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import dataclasses
import json
import logging
import sys
from dataclasses import dataclass
from typing import Any, ClassVar, TextIO

from pythonjsonlogger.json import JsonFormatter

__all__ = [
    "DaemonFailed",
    "DaemonStarted",
    "DaemonStopped",
    "LogEvent",
    "emit",
    "setup",
]

_PLAIN = frozenset(
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


def _text(value: Any) -> str:
    if isinstance(value, float):
        value = round(value, 3)
    if isinstance(value, bool) or value is None:
        return str(value).lower()
    text = str(value)
    if text and _PLAIN.issuperset(text):
        return text
    return json.dumps(text, ensure_ascii=False)


def _key_value_line(record: dict[str, Any], **_: Any) -> str:
    """The serializer handed to python-json-logger: `key=value key="a b"`."""
    record.pop("message", None)
    return " ".join(f"{key}={_text(value)}" for key, value in record.items())


def setup(stream: TextIO | None = None, level: str = "INFO") -> None:
    """Send the logs of all `ashlatch.*` loggers to a stream (standard error)."""
    handler = logging.StreamHandler(stream or sys.stderr)
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s",
        rename_fields={"asctime": "at", "levelname": "level", "name": "logger"},
        json_serializer=_key_value_line,
    )
    formatter.default_time_format = "%Y-%m-%dT%H:%M:%S"
    formatter.default_msec_format = "%s.%03d"
    handler.setFormatter(formatter)
    root = logging.getLogger("ashlatch")
    root.handlers[:] = [handler]
    root.setLevel(level)
    root.propagate = False


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
