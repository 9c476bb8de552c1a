"""
ashlatch.store
~~~~~~~~~~~~~~

The replicated state: configuration, the ledger of requests, session pins and the
control lease. `StoreMachine` is the state machine that every replica runs.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
