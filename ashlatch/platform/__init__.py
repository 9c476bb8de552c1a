"""
ashlatch.platform
~~~~~~~~~~~~~~~~~

The names, formats and calls of the platform that ashlatch is deployed on.
Nothing here decides: documents and headers are turned into the types of
`ashlatch.catalog` and `ashlatch.gateway.message`, and back.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
