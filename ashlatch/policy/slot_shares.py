"""
ashlatch.policy.slot_shares
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Divides the slots of brittle endpoints among routers, which do not know about each
other's sends: each router sends to an endpoint only as many requests at a time as its
share of the slots.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

from dataclasses import dataclass
from functools import lru_cache

from ashlatch.policy.endpoint import rank

__all__ = ["RouterList", "SlotShares", "slot_share", "vm_of"]


def vm_of(router: str) -> str:
    """Returns the VM of a router incarnation."""
    return router.rpartition("/")[0]


@lru_cache(maxsize=4096)
def slot_share(endpoint: str, slots: int, routers: tuple[str, ...], router: str) -> int:
    """Returns how many of an endpoint's slots one of the routers may use.

    The remainder goes to the routers that rank first for the endpoint, so that the
    shares add up to the slots. No share shrinks when a router is removed::

        slot_share("e1", 5, ("bne-1/a", "bne-2/b"), "bne-1/a")  # 2 or 3
    """
    if router not in routers:
        return 0
    base, remainder = divmod(slots, len(routers))
    first = rank(routers, endpoint)[:remainder]
    return base + (router in first)


@dataclass(frozen=True)
class RouterList:
    """The routers with a lease, as of a reply of the state.

    It is `complete` unless a new leader of the state may not have heard of all of them,
    and empty if the state's release does not tell. `settled` is set once all of them
    know that the router that gets the list is one of them. `number` identifies the
    list, 0 for none.
    """

    routers: tuple[str, ...] = ()
    complete: bool = False
    settled: bool = False
    number: int = 0


@dataclass
class SlotShares:
    """The routers that divide slots, as one of them knows them.

    A router without a lease until now has no share before all others know it. They
    apply each list at once: routers in both of two lists have no more in either than
    they would have without the rest.
    """

    router: str
    routers: tuple[str, ...] = ()
    count: int = 1
    usable: bool = False
    number: int = 0

    def renew(self, listed: RouterList, count: int, continued: bool) -> bool:
        """Applies a list; returns whether the routers have changed.

        `count` is the number of routers. `continued` is set if this router's lease has
        not expired since the last list.
        """
        before = self.routers, self.count
        if not continued:
            self.routers, self.usable = (), False
        routers = frozenset(listed.routers)
        if not listed.complete:
            routers |= frozenset(self.routers)
        self.routers, self.count = tuple(sorted(routers)), max(1, count)
        self.usable |= listed.settled or not self.routers
        self.number = listed.number
        return (self.routers, self.count) != before

    def share(self, endpoint: str, slots: int, sharers: tuple[str, ...]) -> int:
        """Returns this router's share of the slots, 0 while it may not use any.

        `sharers` are the routers of the list that use the endpoint.
        """
        return self.planned_share(endpoint, slots, sharers) if self.usable else 0

    def planned_share(self, endpoint: str, slots: int, sharers: tuple[str, ...]) -> int:
        """Returns the share that this router has once all others know it."""
        if not self.routers:
            return max(1, slots // self.count)
        return slot_share(endpoint, slots, sharers, self.router)
