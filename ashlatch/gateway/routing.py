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
    """Returns a number in [0, 1) that is the same for equal texts on every VM."""
    return (xxhash.xxh3_64_intdigest(text.encode()) % _FRACTION_STEPS) / _FRACTION_STEPS


class RouteTable:
    """An index of a catalog, built once for each of its versions.

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
        """Checks whether requests must carry a key, except on anonymous routes."""
        return bool(self.catalog.organisations)

    def route(self, host: str, path: str) -> Route | None:
        """Returns the route of a host and path, or none."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def holder(self, key: str) -> Organisation | None:
        """Returns the organisation that holds a key, or none."""
        return self._holders.get(key)

    def service(self, route: Route, request_id: str) -> Service:
        """Returns the service for a request, drawn by the weights of the route.

        The draw depends on the request alone, so all attempts agree.
        """
        total_weight = sum(share.weight for share in route.shares)
        point = hash_fraction(f"{route.name}/{request_id}") * total_weight
        for share in route.shares:
            point -= share.weight
            if point < 0:
                return self.services[share.service]
        last = next(s for s in reversed(route.shares) if s.weight > 0)
        return self.services[last.service]
