"""
ashlatch
~~~~~~~~

A model-aware router for versions and cascades of models.

The daemons and the operators' client are console scripts. The Python API offers the
functions that validate settings and resource files::

    spec = ashlatch.parse_resource("cascade", b'{"rungs": ["small", "large"]}')

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

# Type checkers treat a variable of this name as true. `typing` is not imported, for the
# same reason as the lazy imports below.
TYPE_CHECKING = False

if TYPE_CHECKING:
    from ashlatch.resources import parse as parse_resource
    from ashlatch.settings import load as load_settings

__all__ = ["__version__", "load_settings", "parse_resource"]

__version__ = "0.1.0"

# Imported on first use: every daemon imports this package first, and a gateway must
# listen before it imports the validation of files.
_LAZY = {
    "load_settings": ("ashlatch.settings", "load"),
    "parse_resource": ("ashlatch.resources", "parse"),
}


def __getattr__(name: str) -> object:
    """Imports a lazy attribute (PEP 562)."""
    from importlib import import_module

    if name not in _LAZY:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module, attribute = _LAZY[name]
    return getattr(import_module(module), attribute)
