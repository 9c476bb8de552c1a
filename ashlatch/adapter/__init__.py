"""
ashlatch.adapter
~~~~~~~~~~~~~~~~

One small module for each outside system, so that the real one can be met by
changing one file.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
