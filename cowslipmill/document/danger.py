"""Changes that an operator must confirm once more."""

from collections.abc import Hashable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from cowslipmill.document.document import Document
from cowslipmill.document.document import Route
from cowslipmill.document.overlap import count_segments
from cowslipmill.document.overlap import find_common_requests
from cowslipmill.document.overlap import PatternIndex
from cowslipmill.document.overlap import Sample
from cowslipmill.routing.table import RouteTable


@dataclass(frozen=True, slots=True)
class MarkRemoved:
    """Requests of a non-idempotent route become idempotent.

    Attributes:
        before: Name of the route that they match now.
        after: Name of the route that they will match.
    """

    before: str
    after: str


@dataclass(frozen=True, slots=True)
class RouteRemoved:
    """Requests of a route will match no route at all."""

    route: str


@dataclass(frozen=True, slots=True)
class RouteTaken:
    """Requests of one team's route go over to another team's.

    Attributes:
        before: Name of the route that they match now.
        after: Name of the route that they will match.
        team: The team that takes them.
    """

    before: str
    after: str
    team: str


@dataclass(frozen=True, slots=True)
class DeadlineCut:
    """A route gives its servers less time."""

    route: str
    before_ms: int
    after_ms: int


@dataclass(frozen=True, slots=True)
class NoServers:
    """The host list has no live server of a service with routes."""

    service: str


Danger = MarkRemoved | RouteRemoved | RouteTaken | DeadlineCut | NoServers


@singledispatch
def describe_danger(danger: Danger) -> str:
    """Returns one sentence for the operator."""
    raise TypeError(f'not a danger: {danger!r}')


@describe_danger.register
def describe_mark_removed(danger: MarkRemoved) -> str:
    """Says that requests may run twice."""
    return (
        f'Requests of route {danger.before} are non-idempotent and will be '
        f'idempotent by route {danger.after}: they may run more than once.'
    )


@describe_danger.register
def describe_route_removed(danger: RouteRemoved) -> str:
    """Says that requests will be refused."""
    return (
        f'Requests of route {danger.route} will match no route and be '
        'refused with status 404.'
    )


@describe_danger.register
def describe_route_taken(danger: RouteTaken) -> str:
    """Says that another team's route takes requests over."""
    return (
        f'Requests of route {danger.before} will go to route {danger.after} '
        f'of team {danger.team}.'
    )


@describe_danger.register
def describe_deadline_cut(danger: DeadlineCut) -> str:
    """Says that slow answers will be given up on earlier."""
    return (
        f'The deadline of route {danger.route} is cut from '
        f'{danger.before_ms} ms to {danger.after_ms} ms.'
    )


@describe_danger.register
def describe_no_servers(danger: NoServers) -> str:
    """Says that requests cannot be answered."""
    return (
        f'Service {danger.service} has no live server in the host list: '
        'its requests will be refused.'
    )


def find_dangers(
    before: Document,
    after: Document,
    server_counts: Mapping[str, int] | None,
) -> tuple[Danger, ...]:
    """Returns every danger of a change, each once.

    Args:
        before: The document in force.
        after: The document to accept.
        server_counts: Live servers by service, or None if not known.
    """
    found = dict.fromkeys(find_route_dangers(before, after))
    found.update(dict.fromkeys(find_deadline_cuts(before, after)))
    if server_counts is not None:
        found.update(dict.fromkeys(find_empty_services(after, server_counts)))
    return tuple(found)


def find_route_dangers(before: Document, after: Document) -> Iterator[Danger]:
    """Yields dangers of requests that will match another route."""
    old = RouteTable(before.routes)
    new = RouteTable(after.routes)
    for sample in find_samples(before.routes, after.routes):
        was = old.find(*sample)
        if was is not None:
            yield from compare_routes(was, new.find(*sample))


def find_samples(
    before: Sequence[Route], after: Sequence[Route]
) -> Iterator[Sample]:
    """Yields a request for each pair of patterns that a change touches.

    A new route that is narrower than an old one, or crosses it, takes
    requests from it although the old one stays as it was.
    """
    kept = {match_key(route) for route in before}
    kept &= {match_key(route) for route in after}
    depth = count_segments((*before, *after))
    for changed, others in ((after, before), (before, after)):
        index = PatternIndex(others, depth)
        for route in changed:
            if match_key(route) not in kept:
                yield from find_common_requests(route, route, depth)
                for other in index.find(route.path):
                    yield from find_common_requests(route, other, depth)


def match_key(route: Route) -> Hashable:
    """Returns what decides which requests a route takes, and how."""
    return (
        route.name,
        route.team,
        route.host,
        route.methods,
        route.path,
        route.idempotent,
    )


def compare_routes(was: Route, now: Route | None) -> Iterator[Danger]:
    """Yields dangers of a request that goes from one route to another."""
    if now is None:
        yield RouteRemoved(was.name)
        return
    if now.idempotent and not was.idempotent:
        yield MarkRemoved(was.name, now.name)
    if now.name != was.name and now.team != was.team:
        yield RouteTaken(was.name, now.name, now.team)


def find_deadline_cuts(before: Document, after: Document) -> Iterator[Danger]:
    """Yields a danger for each route with a shorter deadline."""
    deadlines = {route.name: route.deadline_ms for route in before.routes}
    for route in after.routes:
        old = deadlines.get(route.name, 0)
        if route.deadline_ms < old:
            yield DeadlineCut(route.name, old, route.deadline_ms)


def find_empty_services(
    after: Document, server_counts: Mapping[str, int]
) -> Iterator[Danger]:
    """Yields a danger for each used service without a live server."""
    for name in dict.fromkeys(route.service for route in after.routes):
        if not server_counts.get(name):
            yield NoServers(name)
