"""Finds the route of a request and the service that gets it."""

from random import Random

from cowslipmill.view.configuration import Configuration
from cowslipmill.view.configuration import Route

# Fractional part of the golden ratio. Multiples of it, modulo one, cover the
# unit interval more evenly than those of any other number.
GOLDEN_STEP = 0.6180339887498949


class RouteTable:
    """Routes by host and prefix.

    Attributes:
        hosts: For each host its routes by prefix.
        positions: Where the next request of a divided route falls between
            0 and 1, by the route's name.
    """

    __slots__ = ('hosts', 'positions')

    def __init__(self, configuration: Configuration) -> None:
        """Indexes the routes."""
        self.hosts: dict[str, dict[str, Route]] = {}
        self.positions: dict[str, float] = {}
        for route in configuration.routes:
            self.hosts.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins a path.

        Args:
            host: The host without its port.
            path: The path without its query.
        """
        prefixes = self.hosts.get(host.lower())
        if not prefixes:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def choose_service(self, route: Route, random: Random) -> str:
        """Returns the service that gets the next request of a route.

        Requests are dealt out evenly, so that a few hundred of them over all
        hosts show the weights; a host begins anywhere.
        """
        parts = route.targets
        if len(parts) == 1:
            return parts[0].service
        position = self.positions.get(route.name)
        if position is None:
            position = random.random()
        self.positions[route.name] = (position + GOLDEN_STEP) % 1.0
        left = position * sum(part.weight for part in parts)
        for part in parts:
            left -= part.weight
            if left < 0.0:
                return part.service
        return max(parts, key=lambda part: part.weight).service
