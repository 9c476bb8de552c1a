"""
ashlatch.platform
~~~~~~~~~~~~~~~~~

Names, formats and calls of the platform that ashlatch is deployed on. This package
makes no decisions: it only converts documents and headers to the types of
`ashlatch.catalog` and `ashlatch.gateway.message`, and back.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
