"""
ashlatch.fleet.peers
~~~~~~~~~~~~~~~~~~~~

The connections of a process to core VMs.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from collections.abc import Iterable

from ashlatch.rpc import Address, Peer

__all__ = ["CoreConnections"]


class CoreConnections:
    """Holds one connection for each address that was called."""

    def __init__(self) -> None:
        self._peers: dict[str, Peer] = {}

    def peer(self, address: str) -> Peer:
        """Returns the connection to an address."""
        found = self._peers.get(address)
        if found is None:
            found = self._peers[address] = Peer(Address.parse(address))
        return found

    def retain(self, addresses: Iterable[str]) -> None:
        """Closes the connections to all other addresses."""
        retained = set(addresses)
        for address in [a for a in self._peers if a not in retained]:
            self._peers.pop(address).close()
