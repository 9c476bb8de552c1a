"""
ashlatch.errors
~~~~~~~~~~~~~~~

The root of the error types, and the errors that more than one daemon raises.

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
    """The base of every error that this project raises.

    Subclasses are data classes: their fields say what went wrong, and `str`
    is made from the fields for the log.
    """

    def __str__(self) -> str:
        values = getattr(self, "__dict__", {})
        shown = ", ".join(f"{name}={value!r}" for name, value in values.items())
        return f"{type(self).__name__}({shown})"


@dataclass
class InvariantViolated(AshlatchError):
    """A core found its own state to be impossible; the process must stop.

    `invariant` names the rule (`R1` to `R10`, or a name of the agreement
    protocol) and `detail` says which values broke it.
    """

    invariant: str
    detail: str


@dataclass
class FieldError(AshlatchError):
    """One field of a document is wrong: which one, its value, and the rule."""

    field: str
    value: str
    rule: str


class SettingsError(ExceptionGroup):
    """All that is wrong with one settings file, a `FieldError` each."""


@dataclass
class UnknownName(AshlatchError):
    """No variant of a family is registered under this name."""

    family: str
    name: str
    known: tuple[str, ...]


@dataclass
class TransportError(AshlatchError):
    """A call to another process failed before its answer was read.

    `sent` is false only when no byte of the request can have left.
    """

    peer: str
    reason: str
    sent: bool


@dataclass
class NoLeader(AshlatchError):
    """No state member answered as the leader within `waited_ms`."""

    waited_ms: float
