"""
ashlatch.registry
~~~~~~~~~~~~~~~~~

Registries that are filled by decorators: variants of a policy by name, and handlers of
a reducer by the type of the event.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

from ashlatch.errors import UnknownName

__all__ = ["Handlers", "Variants"]

V = TypeVar("V")
H = TypeVar("H", bound=Callable[..., Any])


class Variants(Generic[V]):
    """A family of classes, registered by their `name` attribute.

    The decorator registers a variant, so that a new one changes only one file::

        ENDPOINT_POLICIES = Variants[type[EndpointPolicy]]("endpoint")

        @ENDPOINT_POLICIES.add
        class Random(EndpointPolicy):
            name = "random"
    """

    def __init__(self, family: str) -> None:
        self.family = family
        self._by_name: dict[str, V] = {}

    def add(self, variant: V) -> V:
        """Registers a class under its `name` and returns it unchanged."""
        name: str = variant.name  # type: ignore[attr-defined]
        assert name not in self._by_name, name
        self._by_name[name] = variant
        return variant

    def get(self, name: str) -> V:
        """Returns a variant; raises `UnknownName` with the names that exist."""
        if name not in self._by_name:
            raise UnknownName(self.family, name, self.names())
        return self._by_name[name]

    def names(self) -> tuple[str, ...]:
        """Returns all registered names, sorted."""
        return tuple(sorted(self._by_name))


class Handlers:
    """The handlers of one reducer, one for each type of event.

    `call` dispatches every event in a core's `step`. An event without a handler is a
    bug and raises `UnknownName`.
    """

    def __init__(self, reducer: str) -> None:
        self.reducer = reducer
        self._by_type: dict[type, Callable[..., Any]] = {}

    def on(self, event_type: type) -> Callable[[H], H]:
        """Registers the decorated function for events of this type."""

        def register(handler: H) -> H:
            assert event_type not in self._by_type, event_type
            self._by_type[event_type] = handler
            return handler

        return register

    def call(self, core: Any, event: Any, *rest: Any) -> Any:
        """Calls the handler of the event's type with the core."""
        handler = self._by_type.get(type(event))
        if handler is None:
            registered = tuple(sorted(t.__name__ for t in self._by_type))
            raise UnknownName(self.reducer, type(event).__name__, registered)
        return handler(core, event, *rest)

    def types(self) -> tuple[type, ...]:
        """Returns all event types that have a handler."""
        return tuple(self._by_type)
