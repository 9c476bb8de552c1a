"""
ashlatch.gateway.core_selection
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Selects the core VM that a gateway syncs with: one of its own hall while that one is
connected to the leader, since traffic within a hall is free. Every core VM has the
same updates. If each of 195 gateways in five halls synced with any of the five core
VMs, 156 copies of each update, four in five, would cross between halls, although a core
VM in each hall has it already.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import random
from collections.abc import Callable

from ashlatch.catalog import CoreVm

__all__ = ["CoreSelector"]


class CoreSelector:
    """Holds the address of the core VM to sync with; empty before the first request.

    `seeds` returns the addresses from the settings, whose halls are unknown at first::

        selector = CoreSelector("hall-1", lambda: ("10.0.0.9:7000",), Random(1))
        selector.address  # "10.0.0.9:7000"
        far, near = CoreVm("10.0.0.9:7000", "hall-2"), CoreVm("10.0.0.1:7000", "hall-1")
        selector.update((far, near))
        selector.local_candidate()  # "10.0.0.1:7000"
    """

    def __init__(
        self,
        hall: str,
        seeds: Callable[[], tuple[str, ...]],
        generator: random.Random,
    ) -> None:
        self._hall = hall
        self._seeds = seeds
        self._generator = generator
        self._cores: tuple[CoreVm, ...] = ()
        self._address = ""

    @property
    def address(self) -> str:
        """The address of the core VM for the next request."""
        if not self._address:
            self._address = self._generator.choice(self.addresses())
        return self._address

    def addresses(self) -> tuple[str, ...]:
        """Returns the addresses of all core VMs, and the seeds."""
        cores = (core.address for core in self._cores)
        return tuple(dict.fromkeys((*cores, *self._seeds())))

    def hall_of(self, address: str) -> str:
        """Returns the hall of a core VM; empty while it is unknown."""
        halls = (core.hall for core in self._cores if core.address == address)
        return next(halls, "")

    def update(self, cores: tuple[CoreVm, ...]) -> None:
        """Replaces the set of core VMs."""
        self._cores = cores

    def leave(self, address: str) -> None:
        """Switches to any other core VM: this one did not answer or has no leader.

        Core VMs of the local hall are not preferred: when a hall loses its network, all
        of its core VMs are unreachable.
        """
        others = [other for other in self.addresses() if other != address]
        self._address = self._generator.choice(others) if others else address

    def local_candidate(self) -> str:
        """Returns a core VM of the local hall if the selected one is of another hall.

        Otherwise empty. The caller tries the candidate before it selects it, so that a
        frozen or unreachable one does not interrupt the updates.
        """
        if not self._address or self.hall_of(self._address) == self._hall:
            return ""
        local = [core.address for core in self._cores if core.hall == self._hall]
        return self._generator.choice(local) if local else ""

    def select(self, address: str) -> None:
        """Selects this core VM for the next requests."""
        self._address = address
