"""
ashlatch.policy
~~~~~~~~~~~~~~~

The decisions: which version and which endpoint answer a request, who may have
how much, what is tried again. All of it is pure: time comes in as an argument
and randomness from a seeded generator.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
