"""
ashlatch.gateway.routing
~~~~~~~~~~~~~~~~~~~~~~~~

Finds the route and the organisation of a request in one catalog.

:copyright: Copyright 2026 by the ashlatch maintainers.
:license: MIT, see LICENSE for details.
"""

import xxhash

from ashlatch.catalog import Catalog, Organisation, Route, Service

__all__ = ["RouteTable", "hash_fraction"]

_FRACTION_STEPS = 1 << 32


def hash_fraction(text: str) -> float:
    """A number in [0, 1) that is the same for equal texts on every VM."""
    return (xxhash.xxh3_64_intdigest(text.encode()) % _FRACTION_STEPS) / _FRACTION_STEPS


class RouteTable:
    """An index of a catalog, made once for each version of it.

    The route with the longest path prefix wins::

        table = RouteTable(catalog)
        route = table.route("shop.example", "/orders/7")
    """

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self.services: dict[str, Service] = {s.name: s for s in catalog.services}
        self._by_prefix = {(r.host, r.path_prefix): r for r in catalog.routes}
        self._holders = {
            key: organisation
            for organisation in catalog.organisations
            for key in organisation.keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether requests must carry a key, but on anonymous routes."""
        return bool(self.catalog.organisations)

    def route(self, host: str, path: str) -> Route | None:
        """The route of a host and path, or none."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            found = self._by_prefix.get((host, path[: end + 1]))
            if found is not None:
                return found
        return None

    def holder(self, key: str) -> Organisation | None:
        """The organisation that holds a key, or none."""
        return self._holders.get(key)

    def service(self, route: Route, request_id: str) -> Service:
        """The service that answers, drawn by the weights of the route.

        The draw depends on the request alone, so all attempts agree.
        """
        total = sum(share.weight for share in route.shares)
        place = hash_fraction(f"{route.name}/{request_id}") * total
        for share in route.shares:
            place -= share.weight
            if place < 0:
                return self.services[share.service]
        last = next(s for s in reversed(route.shares) if s.weight > 0)
        return self.services[last.service]
