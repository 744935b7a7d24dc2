"""Dangerous changes, which an operator has to confirm.

The console derives the key that confirms a danger from the `repr` of the
danger, so the names of the classes and of their fields are part of the API.
"""

from collections.abc import Hashable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from functools import singledispatch

from cowslipmill.document.document import Document
from cowslipmill.document.document import Route
from cowslipmill.document.overlap import find_common_requests
from cowslipmill.document.overlap import max_segment_count
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
    """Requests of one team's route will match another team's route.

    Attributes:
        before: Name of the route that they match now.
        after: Name of the route that they will match.
        team: The team that owns the route `after`.
    """

    before: str
    after: str
    team: str


@dataclass(frozen=True, slots=True)
class DeadlineCut:
    """The deadline of a route becomes shorter."""

    route: str
    before_ms: int
    after_ms: int


@dataclass(frozen=True, slots=True)
class NoServers:
    """A service that routes refer to has no live server in the host list."""

    service: str


Danger = MarkRemoved | RouteRemoved | RouteTaken | DeadlineCut | NoServers


@singledispatch
def describe_danger(danger: Danger) -> str:
    """Returns a sentence that explains the danger to the operator."""
    raise TypeError(f'not a danger: {danger!r}')


@describe_danger.register
def describe_mark_removed(danger: MarkRemoved) -> str:
    """Explains that requests may run more than once."""
    return (
        f'Requests of route {danger.before} are non-idempotent and will be '
        f'idempotent by route {danger.after}: they may run more than once.'
    )


@describe_danger.register
def describe_route_removed(danger: RouteRemoved) -> str:
    """Explains that requests will be refused."""
    return (
        f'Requests of route {danger.route} will match no route and be '
        'refused with status 404.'
    )


@describe_danger.register
def describe_route_taken(danger: RouteTaken) -> str:
    """Explains that requests will match another team's route."""
    return (
        f'Requests of route {danger.before} will go to route {danger.after} '
        f'of team {danger.team}.'
    )


@describe_danger.register
def describe_deadline_cut(danger: DeadlineCut) -> str:
    """Explains that requests will time out earlier."""
    return (
        f'The deadline of route {danger.route} is cut from '
        f'{danger.before_ms} ms to {danger.after_ms} ms.'
    )


@describe_danger.register
def describe_no_servers(danger: NoServers) -> str:
    """Explains that requests will be refused for lack of servers."""
    return (
        f'Service {danger.service} has no live server in the host list: '
        'its requests will be refused.'
    )


def find_dangers(
    before: Document,
    after: Document,
    server_counts: Mapping[str, int] | None,
) -> tuple[Danger, ...]:
    """Returns the dangers of a change, without duplicates.

    Args:
        before: The document in force.
        after: The proposed document.
        server_counts: Number of live servers by service, or None if it is
            not known.
    """
    found = dict.fromkeys(find_route_dangers(before, after))
    found.update(dict.fromkeys(find_deadline_cuts(before, after)))
    if server_counts is not None:
        found.update(dict.fromkeys(find_empty_services(after, server_counts)))
    return tuple(found)


def find_route_dangers(before: Document, after: Document) -> Iterator[Danger]:
    """Yields the dangers of requests that will match a different route."""
    old_table = RouteTable(before.routes)
    new_table = RouteTable(after.routes)
    for sample in find_sample_requests(before.routes, after.routes):
        old_route = old_table.find(*sample)
        if old_route is not None:
            yield from compare_routes(old_route, new_table.find(*sample))


def find_sample_requests(
    before: Sequence[Route], after: Sequence[Route]
) -> Iterator[Sample]:
    """Yields sample requests whose route a change may affect.

    A new route that is more specific than an old one, or overlaps it in
    part, takes requests from it although the old one is unchanged. So each
    changed route is sampled together with every route that it overlaps.
    """
    kept = {match_key(route) for route in before}
    kept &= {match_key(route) for route in after}
    max_segments = max_segment_count((*before, *after))
    for changed, others in ((after, before), (before, after)):
        index = PatternIndex(others, max_segments)
        for route in changed:
            if match_key(route) not in kept:
                yield from find_common_requests(route, route, max_segments)
                for other in index.find_candidates(route.path):
                    yield from find_common_requests(route, other, max_segments)


def match_key(route: Route) -> Hashable:
    """Returns the fields that decide which requests a route matches.

    Also holds those that make a change of the matched route a danger.
    """
    return (
        route.name,
        route.team,
        route.host,
        route.methods,
        route.path,
        route.idempotent,
    )


def compare_routes(
    old_route: Route, new_route: Route | None
) -> Iterator[Danger]:
    """Yields the dangers of a request that changes its route."""
    if new_route is None:
        yield RouteRemoved(old_route.name)
        return
    if new_route.idempotent and not old_route.idempotent:
        yield MarkRemoved(old_route.name, new_route.name)
    if new_route.name != old_route.name and new_route.team != old_route.team:
        yield RouteTaken(old_route.name, new_route.name, new_route.team)


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
    """Yields a danger for each service in use without a live server."""
    for name in dict.fromkeys(route.service for route in after.routes):
        if not server_counts.get(name):
            yield NoServers(name)
