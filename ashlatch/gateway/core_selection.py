"""
ashlatch.gateway.contact
~~~~~~~~~~~~~~~~~~~~~~~~

Which core VM a gateway asks for news: one of its own hall while that one is in
touch with the leader, since what stays in a hall costs nothing. Every core VM
has the same news; of 195 gateways in five halls that ask any of five, four in
five of all answers would cross, 156 copies of what the five core VMs have.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import random
from collections.abc import Callable

from ashlatch.catalog import CoreVm

__all__ = ["CoreSelector"]


class CoreSelector:
    """The core VM that is asked, by its address; empty before the first one.

    `seeds` gives the addresses that the settings name, whose halls nobody knows
    at first::

        contact = CoreContact("hall-1", lambda: ("10.0.0.9:7000",), Random(1))
        contact.address  # "10.0.0.9:7000"
        far, near = CoreVm("10.0.0.9:7000", "hall-2"), CoreVm("10.0.0.1:7000", "hall-1")
        contact.learn((far, near))
        contact.nearer()  # "10.0.0.1:7000"
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
        """Whom to ask next."""
        if not self._address:
            self._address = self._generator.choice(self.addresses())
        return self._address

    def addresses(self) -> tuple[str, ...]:
        """The addresses of all core VMs, and the seeds."""
        cores = (core.address for core in self._cores)
        return tuple(dict.fromkeys((*cores, *self._seeds())))

    def hall_of(self, address: str) -> str:
        """The hall of a core VM; empty while that is unknown."""
        halls = (core.hall for core in self._cores if core.address == address)
        return next(halls, "")

    def update(self, cores: tuple[CoreVm, ...]) -> None:
        """Take which core VMs there are."""
        self._cores = cores

    def leave(self, address: str) -> None:
        """A core VM has not answered, or knows no leader: ask any other.

        Not one of the own hall by preference: when a hall is cut off, all of its
        core VMs are.
        """
        others = [known for known in self.addresses() if known != address]
        self._address = self._generator.choice(others) if others else address

    def local_candidate(self) -> str:
        """A core VM of the own hall while one of another is asked; or empty.

        It is to be tried before it is moved to, so that one which is frozen or
        cut off keeps nobody from news.
        """
        if not self._address or self.hall_of(self._address) == self._hall:
            return ""
        near = [core.address for core in self._cores if core.hall == self._hall]
        return self._generator.choice(near) if near else ""

    def select(self, address: str) -> None:
        """Ask this core VM from now on."""
        self._address = address
