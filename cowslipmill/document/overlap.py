"""Sample requests that two route patterns both match."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import NamedTuple

from cowslipmill.document.document import Route

SAMPLE_SEGMENT = '~sample~'
SAMPLE_HOST = 'sample.invalid'
WILDCARD = '*'


class Sample(NamedTuple):
    """A request, as the arguments of `RouteTable.find`."""

    host: str
    method: str
    path: str


def find_common_requests(
    one: Route, other: Route, max_segments: int
) -> tuple[Sample, ...]:
    """Returns sample requests that both routes match, for each method.

    Args:
        one: A route.
        other: Another route, or the same one for its own requests.
        max_segments: The most segments of any pattern in the documents. Two
            patterns that end in `*` are sampled at every length up to one
            segment more.
    """
    hosts = {one.host, other.host} - {WILDCARD}
    if len(hosts) > 1:
        return ()
    host = hosts.pop() if hosts else SAMPLE_HOST
    return tuple(
        Sample(host, method, path)
        for path in find_common_paths(one.path, other.path, max_segments)
        for method in one.methods
        if method in other.methods
    )


def find_common_paths(
    one: str, other: str, max_segments: int
) -> Iterator[str]:
    """Yields sample paths that both patterns match."""
    path = intersect_paths(one, other)
    if path is None:
        return
    yield path
    if one.endswith(WILDCARD) and other.endswith(WILDCARD):
        for _ in range(path.count('/'), max_segments + 1):
            path = f'{path}/{SAMPLE_SEGMENT}'
            yield path


def max_segment_count(routes: Iterable[Route]) -> int:
    """Returns the number of segments of the longest path pattern."""
    return max((route.path.count('/') for route in routes), default=0)


def intersect_paths(one: str, other: str) -> str | None:
    """Returns the shortest path that both patterns match, or None."""
    left, right = one.split('/')[1:], other.split('/')[1:]
    left, right = (
        expand_wildcard(left, len(right)),
        expand_wildcard(right, len(left)),
    )
    if len(left) != len(right):
        return None
    common = []
    for first, second in zip(left, right, strict=True):
        literals = {
            segment for segment in (first, second) if is_literal(segment)
        }
        if len(literals) > 1:
            return None
        common.append(literals.pop() if literals else SAMPLE_SEGMENT)
    return '/' + '/'.join(common)


def expand_wildcard(segments: list[str], length: int) -> list[str]:
    """Repeats a final `*` until the pattern has `length` segments."""
    if segments[-1] != WILDCARD:
        return segments
    return segments + [WILDCARD] * (length - len(segments))


def is_literal(segment: str) -> bool:
    """Tells whether a segment matches only itself."""
    return segment != WILDCARD and not segment.startswith('{')


class PatternIndex:
    """Finds the routes whose path patterns may overlap a given one.

    Sets of routes are bit masks (one integer with a bit for each route), so
    that comparing documents of thousands of routes stays fast.

    Attributes:
        routes: The routes; bit `i` of a mask stands for `routes[i]`.
        literals: Mask of the routes by position and literal segment.
        any_segment: By position, mask of the routes that match any segment.
        by_length: Mask of the routes without a final `*`, by segment count.
        wildcard_paths: Mask of the routes with a final `*`.
    """

    __slots__ = (
        'any_segment',
        'by_length',
        'literals',
        'routes',
        'wildcard_paths',
    )

    def __init__(self, routes: Sequence[Route], max_segments: int) -> None:
        """Indexes the routes.

        Args:
            routes: The routes.
            max_segments: The most segments of any pattern to look up.
        """
        self.routes = tuple(routes)
        self.literals: dict[tuple[int, str], int] = {}
        self.any_segment = [0] * max_segments
        self.by_length: dict[int, int] = {}
        self.wildcard_paths = 0
        for index, route in enumerate(self.routes):
            self.add(1 << index, route.path.split('/')[1:])

    def add(self, bit: int, segments: list[str]) -> None:
        """Adds one pattern; `bit` stands for its route in the masks."""
        max_segments = len(self.any_segment)
        if segments[-1] == WILDCARD:
            self.wildcard_paths |= bit
        else:
            length = len(segments)
            self.by_length[length] = self.by_length.get(length, 0) | bit
        for position, segment in enumerate(
            expand_wildcard(segments, max_segments)
        ):
            if is_literal(segment):
                key = (position, segment)
                self.literals[key] = self.literals.get(key, 0) | bit
            else:
                self.any_segment[position] |= bit

    def find_candidates(self, path: str) -> Iterator[Route]:
        """Yields the routes that may match a request of this pattern.

        It never omits one that does, but may yield some that do not.
        """
        segments = path.split('/')[1:]
        candidates = self.find_by_length(segments)
        for position, segment in enumerate(segments):
            if is_literal(segment):
                same = self.literals.get((position, segment), 0)
                candidates &= same | self.any_segment[position]
        while candidates:
            bit = candidates & -candidates
            candidates ^= bit
            yield self.routes[bit.bit_length() - 1]

    def find_by_length(self, segments: list[str]) -> int:
        """Returns the mask of routes whose length allows an overlap."""
        found = self.wildcard_paths
        for length, routes in self.by_length.items():
            same_length = length == len(segments)
            if same_length or (
                segments[-1] == WILDCARD and length > len(segments) - 1
            ):
                found |= routes
        return found
