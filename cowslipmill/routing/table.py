"""Route table that matches requests by host, method and path."""

from collections.abc import Iterable
from collections.abc import Iterator

from cowslipmill.document.document import Route

PARAMETER = '{}'
WILDCARD = '*'


class Node:
    """Node of the path tree, reached by one path segment.

    Attributes:
        children: Child nodes by literal segment, or `{}` for a parameter.
        routes: Routes whose path ends at this node, by method.
        wildcard_routes: Routes whose path ends in `*` after this node, by
            method.
    """

    __slots__ = ('children', 'routes', 'wildcard_routes')

    def __init__(self) -> None:
        """Starts without children or routes."""
        self.children: dict[str, Node] = {}
        self.routes: dict[str, Route] = {}
        self.wildcard_routes: dict[str, Route] = {}


class RouteTable:
    """Finds routes by host, method and path.

    An exact host takes precedence over `*`. In a path, a literal segment
    takes precedence over a parameter, and a parameter over a final `*`.

    Attributes:
        roots: Root of the path tree of each host.
        routes: Every route in the table.
    """

    __slots__ = ('roots', 'routes')

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        """Builds the path trees.

        Args:
            routes: Routes of a checked document; they don't overlap.
        """
        self.roots: dict[str, Node] = {}
        self.routes: frozenset[Route] = frozenset()
        self.replace(routes)

    def replace(self, routes: Iterable[Route]) -> None:
        """Replaces the routes; only added and removed ones are processed."""
        wanted = frozenset(routes)
        for route in self.routes - wanted:
            self.remove(route)
        for route in wanted - self.routes:
            self.add(route)
        self.routes = wanted

    def add(self, route: Route) -> None:
        """Adds one route; replaces one with an equivalent path."""
        for method, routes_by_method in self.route_maps(route):
            routes_by_method[method] = route

    def remove(self, route: Route) -> None:
        """Removes one route; its nodes are kept for later routes."""
        for method, routes_by_method in self.route_maps(route):
            if routes_by_method.get(method) is route:
                del routes_by_method[method]

    def route_maps(
        self, route: Route
    ) -> Iterator[tuple[str, dict[str, Route]]]:
        """Yields each method of a route with the map that holds the route.

        Creates missing nodes on the way.
        """
        node = self.roots.setdefault(route.host, Node())
        segments = route.path.split('/')[1:]
        has_wildcard = segments[-1] == WILDCARD
        if has_wildcard:
            segments = segments[:-1]
        for segment in segments:
            key = PARAMETER if segment.startswith('{') else segment
            node = node.children.setdefault(key, Node())
        routes_by_method = (
            node.wildcard_routes if has_wildcard else node.routes
        )
        for method in route.methods:
            yield method, routes_by_method

    def find(self, host: str, method: str, path: str) -> Route | None:
        """Returns the route that matches a request, or None.

        Args:
            host: Value of the `Host` header without the port, in lower case.
            method: HTTP method in upper case.
            path: Raw path without the query.
        """
        segments = path.split('/')[1:]
        for name in (host, WILDCARD):
            root = self.roots.get(name)
            if root is None:
                continue
            route = find_in_subtree(root, segments, 0, method)
            if route is not None:
                return route
        return None


def find_in_subtree(
    node: Node, segments: list[str], index: int, method: str
) -> Route | None:
    """Returns the most specific matching route below a node, or None.

    Args:
        node: Root of the subtree to search.
        segments: All segments of the path.
        index: Number of segments that are matched already.
        method: HTTP method in upper case.
    """
    if index == len(segments):
        return node.routes.get(method)
    for key in (segments[index], PARAMETER):
        if key == PARAMETER and not segments[index]:
            continue
        child = node.children.get(key)
        if child is None:
            continue
        route = find_in_subtree(child, segments, index + 1, method)
        if route is not None:
            return route
    return node.wildcard_routes.get(method)
