"""
ashlatch.policy
~~~~~~~~~~~~~~~

The decision rules: which version and which endpoint answer a request, how much
each organisation may use, and what is retried. All functions are pure: the time is
an argument, and randomness comes from a seeded generator.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
