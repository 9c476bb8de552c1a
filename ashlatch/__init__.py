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

from ashlatch.resources import parse as parse_resource
from ashlatch.settings import load as load_settings

__all__ = ["__version__", "load_settings", "parse_resource"]

__version__ = "0.1.0"
