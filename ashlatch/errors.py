"""
ashlatch.errors
~~~~~~~~~~~~~~~

The base class of all errors, and the errors that more than one daemon raises.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass

__all__ = [
    "AshlatchError",
    "FieldError",
    "InvariantViolated",
    "NoLeader",
    "SettingsError",
    "TransportError",
    "UnknownName",
]


class AshlatchError(Exception):
    """The base class of all errors of this project.

    Subclasses are data classes: their fields describe the error, and `str` formats the
    fields for the log.
    """

    def __str__(self) -> str:
        values = getattr(self, "__dict__", {})
        shown = ", ".join(f"{name}={value!r}" for name, value in values.items())
        return f"{type(self).__name__}({shown})"


@dataclass
class InvariantViolated(AshlatchError):
    """A core found its state to be inconsistent; the process must stop.

    `invariant` is the name of the violated rule (`R1` to `R10`, or a name from the
    consensus protocol) and `detail` tells which values violate it.
    """

    invariant: str
    detail: str


@dataclass
class FieldError(AshlatchError):
    """A field of a document is invalid: its name, its value, and the violated rule."""

    field: str
    value: str
    rule: str


class SettingsError(ExceptionGroup):
    """All errors in a settings file, one `FieldError` for each."""


@dataclass
class UnknownName(AshlatchError):
    """No variant of a family is registered under this name."""

    family: str
    name: str
    known: tuple[str, ...]


@dataclass
class TransportError(AshlatchError):
    """A call to another process failed before its answer was read.

    `sent` is false only if no byte of the request can have been sent.
    """

    peer: str
    reason: str
    sent: bool


@dataclass
class NoLeader(AshlatchError):
    """No state member answered as the leader within `waited_ms`."""

    waited_ms: float
