"""Requests that two route patterns have in common."""

from typing import NamedTuple

from cowslipmill.document.document import Route

SAMPLE_SEGMENT = 'sample'
SAMPLE_HOST = 'sample.invalid'
REST = '*'


class Sample(NamedTuple):
    """One request, as the route table takes it."""

    host: str
    method: str
    path: str


def find_common_requests(one: Route, other: Route) -> tuple[Sample, ...]:
    """Returns a request for each method that both patterns match.

    With a route itself it returns requests of that route.
    """
    hosts = {one.host, other.host} - {REST}
    path = join_paths(one.path, other.path)
    if len(hosts) > 1 or path is None:
        return ()
    host = hosts.pop() if hosts else SAMPLE_HOST
    return tuple(
        Sample(host, method, path)
        for method in one.methods
        if method in other.methods
    )


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
