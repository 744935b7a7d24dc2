"""Finds the route of a request and chooses the service for it."""

from random import Random

from cowslipmill.view.configuration import Configuration
from cowslipmill.view.configuration import Route

# Fractional part of the golden ratio. Its multiples modulo one are a
# low-discrepancy sequence: they cover the unit interval more evenly than those
# of any other number.
GOLDEN_STEP = 0.6180339887498949


class RouteTable:
    """Routes by HTTP host and path prefix.

    Attributes:
        routes_by_host: For each HTTP host its routes by path prefix.
        positions: Current element, in [0, 1), of the sequence by which the
            requests of a route with several targets are divided; by the
            route's name.
    """

    __slots__ = ('routes_by_host', 'positions')

    def __init__(self, configuration: Configuration) -> None:
        """Indexes the routes of a configuration."""
        self.routes_by_host: dict[str, dict[str, Route]] = {}
        self.positions: dict[str, float] = {}
        for route in configuration.routes:
            self.routes_by_host.setdefault(route.host, {})[route.prefix] = (
                route
            )

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, or None.

        Prefixes match up to a slash: `/a/` matches `/a/b`, but not `/ab`.

        Args:
            host: The request's HTTP host, without the port.
            path: The request's path, without the query.
        """
        routes = self.routes_by_host.get(host.lower())
        if not routes:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def choose_service(self, route: Route, random: Random) -> str:
        """Returns the service for the next request of a route.

        Services are chosen in proportion to their weights by a low-discrepancy
        sequence instead of at random, so that a few hundred requests over all
        hosts already show the weights. Each host's sequence starts at a random
        position.
        """
        targets = route.targets
        if len(targets) == 1:
            return targets[0].service
        position = self.positions.get(route.name)
        if position is None:
            position = random.random()
        self.positions[route.name] = (position + GOLDEN_STEP) % 1.0
        remaining = position * sum(target.weight for target in targets)
        for target in targets:
            remaining -= target.weight
            if remaining < 0.0:
                return target.service
        return max(targets, key=lambda target: target.weight).service
