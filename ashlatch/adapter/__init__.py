"""
ashlatch.adapter
~~~~~~~~~~~~~~~~

One small module for each external system, so that the real system can be connected by
changing a single file.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
