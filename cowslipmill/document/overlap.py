"""Requests that two route patterns have in common."""

from collections.abc import Iterable
from collections.abc import Iterator
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
