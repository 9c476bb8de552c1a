"""
ashlatch.raft
~~~~~~~~~~~~~

Raft consensus on a replicated log. It follows Ongaro and Ousterhout, "In Search of
an Understandable Consensus Algorithm" (2014), and Ongaro's thesis (2014) for
pre-vote, check-quorum, leader leases and single-server membership changes.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""
