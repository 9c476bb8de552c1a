"""
ashlatch
~~~~~~~~

A model-aware router for versions and cascades of models.

The daemons and the operators' client are console scripts; from Python the
package offers what checks its files::

    spec = ashlatch.parse_resource("cascade", b'{"rungs": ["small", "large"]}')

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

# Type checkers take a name of this kind as true; `typing` is not imported here,
# for the same reason as what is imported late below.
TYPE_CHECKING = False

if TYPE_CHECKING:
    from ashlatch.resources import parse as parse_resource
    from ashlatch.settings import load as load_settings

__all__ = ["__version__", "load_settings", "parse_resource"]

__version__ = "0.1.0"

# Imported when they are asked for: every daemon imports this package first, and
# a gateway is to listen before it loads what checks files.
_LAZY = {
    "load_settings": ("ashlatch.settings", "load"),
    "parse_resource": ("ashlatch.resources", "parse"),
}


def __getattr__(name: str) -> object:
    """Find what is imported late (PEP 562)."""
    from importlib import import_module

    if name not in _LAZY:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module, attribute = _LAZY[name]
    return getattr(import_module(module), attribute)
