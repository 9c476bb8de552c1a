"""
ashlatch.router
~~~~~~~~~~~~~~~

The daemon between callers and endpoints. `core` decides, `host` acts.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
