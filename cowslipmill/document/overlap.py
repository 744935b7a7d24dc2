"""Requests that two route patterns have in common."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import NamedTuple

from cowslipmill.document.document import Route

SAMPLE_SEGMENT = '~sample~'
SAMPLE_HOST = 'sample.invalid'
REST = '*'


class Sample(NamedTuple):
    """One request, as the route table takes it."""

    host: str
    method: str
    path: str


def find_common_requests(
    one: Route, other: Route, depth: int
) -> tuple[Sample, ...]:
    """Returns requests that both patterns match, for each method.

    Args:
        one: A route.
        other: Another, or the same for requests of the route itself.
        depth: Most segments of any pattern, as a final `*` matches paths
            of each length.
    """
    hosts = {one.host, other.host} - {REST}
    if len(hosts) > 1:
        return ()
    host = hosts.pop() if hosts else SAMPLE_HOST
    return tuple(
        Sample(host, method, path)
        for path in find_common_paths(one.path, other.path, depth)
        for method in one.methods
        if method in other.methods
    )


def find_common_paths(one: str, other: str, depth: int) -> Iterator[str]:
    """Yields paths that both patterns match."""
    path = join_paths(one, other)
    if path is None:
        return
    yield path
    if one.endswith(REST) and other.endswith(REST):
        for _ in range(path.count('/'), depth + 1):
            path = f'{path}/{SAMPLE_SEGMENT}'
            yield path


def count_segments(routes: Iterable[Route]) -> int:
    """Returns the most segments of any route's pattern."""
    return max((route.path.count('/') for route in routes), default=0)


def join_paths(one: str, other: str) -> str | None:
    """Returns a path that both patterns match, or None."""
    left, right = one.split('/')[1:], other.split('/')[1:]
    left, right = extend(left, len(right)), extend(right, len(left))
    if len(left) != len(right):
        return None
    joined = []
    for first, second in zip(left, right, strict=True):
        literals = {
            segment for segment in (first, second) if is_literal(segment)
        }
        if len(literals) > 1:
            return None
        joined.append(literals.pop() if literals else SAMPLE_SEGMENT)
    return '/' + '/'.join(joined)


def extend(segments: list[str], length: int) -> list[str]:
    """Returns a pattern whose final `*` stands for enough segments."""
    if segments[-1] != REST:
        return segments
    return segments + [REST] * (length - len(segments))


def is_literal(segment: str) -> bool:
    """Tells whether a segment matches only itself."""
    return segment != REST and not segment.startswith('{')


class PatternIndex:
    """Finds the routes whose paths may have a request in common with one.

    Sets of routes are integers, one bit for each route, so that a document
    of thousands of routes is compared in a moment.

    Attributes:
        routes: The routes; the bit of each is its place.
        literals: Routes with a literal segment at a place.
        wide: Routes that match any segment at a place.
        lengths: Routes of a number of segments.
        rests: Routes with a final `*`.
    """

    __slots__ = ('lengths', 'literals', 'rests', 'routes', 'wide')

    def __init__(self, routes: Sequence[Route], depth: int) -> None:
        """Indexes the routes.

        Args:
            routes: The routes.
            depth: Most segments of any pattern to look for.
        """
        self.routes = tuple(routes)
        self.literals: dict[tuple[int, str], int] = {}
        self.wide = [0] * depth
        self.lengths: dict[int, int] = {}
        self.rests = 0
        for number, route in enumerate(self.routes):
            self.add(1 << number, route.path.split('/')[1:])

    def add(self, bit: int, segments: list[str]) -> None:
        """Adds one pattern."""
        depth = len(self.wide)
        if segments[-1] == REST:
            self.rests |= bit
        else:
            length = len(segments)
            self.lengths[length] = self.lengths.get(length, 0) | bit
        for place, segment in enumerate(extend(segments, depth)):
            if is_literal(segment):
                key = (place, segment)
                self.literals[key] = self.literals.get(key, 0) | bit
            else:
                self.wide[place] |= bit

    def find(self, path: str) -> Iterator[Route]:
        """Yields the routes that may have a request in common."""
        segments = path.split('/')[1:]
        found = self.find_lengths(segments)
        for place, segment in enumerate(segments):
            if is_literal(segment):
                same = self.literals.get((place, segment), 0)
                found &= same | self.wide[place]
        while found:
            bit = found & -found
            found ^= bit
            yield self.routes[bit.bit_length() - 1]

    def find_lengths(self, segments: list[str]) -> int:
        """Returns the routes that match paths of this pattern's length."""
        found = self.rests
        for length, routes in self.lengths.items():
            fits = length == len(segments)
            if fits or (segments[-1] == REST and length > len(segments) - 1):
                found |= routes
        return found
