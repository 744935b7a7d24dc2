"""The table that finds the route of a request."""

from collections.abc import Iterable

from cowslipmill.document.document import Route

PARAMETER = '{}'
REST = '*'


class Node:
    """One segment of the table's tree of paths.

    Attributes:
        children: Next nodes by literal segment, or `{}` for a parameter.
        routes: Routes that end here, by method.
        rest: Routes that end here with a final `*`, by method.
    """

    __slots__ = ('children', 'rest', 'routes')

    def __init__(self) -> None:
        """Starts without children or routes."""
        self.children: dict[str, Node] = {}
        self.routes: dict[str, Route] = {}
        self.rest: dict[str, Route] = {}


class RouteTable:
    """Finds routes by host, method and path.

    An exact host wins over `*`; in a path a literal segment wins over a
    parameter and a parameter over the rest.
    """

    __slots__ = ('roots',)

    def __init__(self, routes: Iterable[Route] = ()) -> None:
        """Builds the tree.

        Args:
            routes: Routes of a checked document, without overlaps.
        """
        self.roots: dict[str, Node] = {}
        for route in routes:
            self.add(route)

    def add(self, route: Route) -> None:
        """Adds one route."""
        node = self.roots.setdefault(route.host, Node())
        segments = route.path.split('/')[1:]
        has_rest = segments[-1] == REST
        if has_rest:
            segments = segments[:-1]
        for segment in segments:
            key = PARAMETER if segment.startswith('{') else segment
            node = node.children.setdefault(key, Node())
        target = node.rest if has_rest else node.routes
        for method in route.methods:
            target[method] = route

    def find(self, host: str, method: str, path: str) -> Route | None:
        """Returns the route of a request, or None.

        Args:
            host: The `Host` header without its port, in lower case.
            method: The method in upper case.
            path: The raw path without its query.
        """
        segments = path.split('/')[1:]
        for name in (host, REST):
            root = self.roots.get(name)
            if root is None:
                continue
            route = find_below(root, segments, 0, method)
            if route is not None:
                return route
        return None


def find_below(
    node: Node, segments: list[str], index: int, method: str
) -> Route | None:
    """Returns the best route below a node, or None."""
    if index == len(segments):
        return node.routes.get(method)
    for key in (segments[index], PARAMETER):
        if key == PARAMETER and not segments[index]:
            continue
        child = node.children.get(key)
        if child is None:
            continue
        route = find_below(child, segments, index + 1, method)
        if route is not None:
            return route
    return node.rest.get(method)
