"""Tests of differences, rebasing, dangers and team sections."""

from itertools import permutations
from itertools import product
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
from msgspec import json
from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength

from cowslipmill.document.checker import decode_document
from cowslipmill.document.danger import DeadlineCut
from cowslipmill.document.danger import find_dangers
from cowslipmill.document.danger import MarkRemoved
from cowslipmill.document.danger import NoServers
from cowslipmill.document.danger import RouteRemoved
from cowslipmill.document.danger import RouteTaken
from cowslipmill.document.difference import compare_documents
from cowslipmill.document.difference import Difference
from cowslipmill.document.difference import items_by_name
from cowslipmill.document.difference import Section
from cowslipmill.document.document import Document
from cowslipmill.document.document import Priority
from cowslipmill.document.document import Route
from cowslipmill.document.overlap import find_common_requests
from cowslipmill.document.overlap import max_segment_count
from cowslipmill.document.overlap import PatternIndex
from cowslipmill.document.problem import InvalidDocument
from cowslipmill.document.rebase import apply_difference
from cowslipmill.document.rebase import drop_conflicts
from cowslipmill.document.teamsections import merge_team_sections
from cowslipmill.launch.layout import EXAMPLES
from cowslipmill.routing.table import RouteTable

CARONI = decode_document((EXAMPLES / 'caroni' / 'document.json').read_bytes())

ROUTES = strategies.lists(
    strategies.builds(
        Route,
        name=strategies.sampled_from([route.name for route in CARONI.routes])
        | strategies.from_regex(r'^[a-c]{1,2}\Z'),
        team=strategies.sampled_from([team.name for team in CARONI.teams]),
        service=strategies.sampled_from(['registry', 'scheduler']),
        methods=strategies.sampled_from([('GET',), ('POST', 'PUT')]),
        path=strategies.sampled_from(['/a', '/exams', '/b/{id}']),
        idempotent=strategies.booleans(),
        deadline_ms=strategies.integers(1, 9_000),
        priority=strategies.sampled_from(Priority),
        host=strategies.just('*'),
        max_request_bytes=strategies.integers(0, 99),
        max_answer_bytes=strategies.integers(0, 99),
    ),
    max_size=6,
    unique_by=lambda route: route.name,
).map(tuple)
DOCUMENTS = strategies.builds(
    lambda routes, memory_ms: replace(
        CARONI, routes=routes, resend_memory_ms=memory_ms
    ),
    ROUTES,
    strategies.integers(1_000, 9_000),
)


def contents(document: Document) -> Any:
    """Returns the content of a document without its version and order."""
    sections = [items_by_name(document, section) for section in Section]
    return [*sections, document.resend_memory_ms]


def change_route(name: str, /, **fields: Any) -> Document:
    """Returns the example document with one route changed."""
    return replace(
        CARONI,
        routes=tuple(
            replace(route, **fields) if route.name == name else route
            for route in CARONI.routes
        ),
    )


@given(DOCUMENTS, DOCUMENTS)
def test_applying_a_difference_gives_the_other_document(
    before: Document, after: Document
) -> None:
    """A difference, also after encoding, leads to the other document."""
    raw = json.encode(compare_documents(before, after))
    applied = apply_difference(before, json.decode(raw, type=Difference))
    assert_that(contents(applied.document), Equals(contents(after)))
    assert_that(applied.conflicts, Equals(()))
    assert_that(applied.document.version, Equals(before.version + 1))


@given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
def test_rebase_keeps_own_changes_and_names_each_overridden_one(
    base: Document, mine: Document, theirs: Document
) -> None:
    """Nothing of another operator's is lost without a conflict."""
    own = compare_documents(base, mine)
    applied = apply_difference(theirs, own)
    again = apply_difference(applied.document, own)
    assert_that(contents(again.document), Equals(contents(applied.document)))
    if applied.conflicts:
        return
    changed = {(change.section, change.name) for change in own.changes}
    kept = compare_documents(theirs, applied.document).changes
    touched = {(change.section, change.name) for change in kept}
    assert_that(touched - changed, Equals(set()))


def test_the_same_field_changed_twice_is_a_conflict() -> None:
    """The conflict holds the base value and the values of both sides."""
    own = compare_documents(
        CARONI, change_route('book-exam', deadline_ms=7_000)
    )
    theirs = change_route('book-exam', deadline_ms=6_000, max_request_bytes=1)
    applied = apply_difference(theirs, own)
    conflict = applied.conflicts[0]
    assert_that(
        (conflict.base, conflict.theirs, conflict.mine),
        Equals((5_000, 6_000, 7_000)),
    )
    routes = items_by_name(applied.document, Section.ROUTES)
    route = routes['book-exam']
    assert isinstance(route, Route)
    assert_that(route.max_request_bytes, Equals(1))


def test_a_route_removed_by_another_operator_is_a_conflict() -> None:
    """A change to a removed route is reported and not applied."""
    own = compare_documents(
        CARONI, change_route('book-exam', deadline_ms=7_000)
    )
    theirs = replace(
        CARONI,
        routes=tuple(r for r in CARONI.routes if r.name != 'book-exam'),
    )
    applied = apply_difference(theirs, own)
    assert_that(applied.conflicts, HasLength(1))
    assert_that(contents(applied.document), Equals(contents(theirs)))


@given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
def test_giving_up_every_conflict_overrides_nothing(
    base: Document, mine: Document, theirs: Document
) -> None:
    """Without its side of the conflicts a difference applies cleanly."""
    own = compare_documents(base, mine)
    conflicts = apply_difference(theirs, own).conflicts
    rest = drop_conflicts(own, conflicts)
    assert_that(apply_difference(theirs, rest).conflicts, Equals(()))


@given(strategies.sampled_from(CARONI.teams), ROUTES)
def test_a_team_never_changes_other_sections(
    team: Any, routes: tuple[Route, ...]
) -> None:
    """Merging one team's sections leaves every other team's as they were."""
    services = tuple(s for s in CARONI.services if s.team == team.name)
    try:
        merged = merge_team_sections(
            CARONI, team.name, services=services, routes=routes
        )
    except InvalidDocument:
        return
    others = [r for r in CARONI.routes if r.team != team.name]
    kept = [r for r in merged.routes if r.team != team.name]
    assert_that(kept, Equals(others))
    assert_that(merged.services, Equals(CARONI.services))


def test_changing_another_teams_route_is_refused() -> None:
    """A team can neither take over another team's route nor add one to it."""
    own = [r for r in CARONI.routes if r.team == 'standing']
    reassigned = replace(CARONI.routes[3], team='standing')
    added = replace(CARONI.routes[3], name='other', path='/other')
    for route in (reassigned, added):
        with pytest.raises(InvalidDocument) as caught:
            merge_team_sections(
                CARONI,
                'standing',
                services=(CARONI.services[0],),
                routes=(*own, route),
            )
        assert_that(str(caught.value), Contains("'examinations'"))


def test_each_danger_is_found() -> None:
    """Each kind of danger but a route taken over is found.

    These are requests that become idempotent, a removed route, a shorter
    deadline and a service without servers.
    """
    renamed = change_route('book-exam', name='x', idempotent=True)
    assert_that(
        find_dangers(CARONI, renamed, None),
        Equals((MarkRemoved('book-exam', 'x'),)),
    )
    marked = change_route('book-exam', idempotent=True)
    assert_that(
        find_dangers(CARONI, marked, None),
        Equals((MarkRemoved('book-exam', 'book-exam'),)),
    )
    cut = change_route('list-exams', deadline_ms=1)
    assert_that(
        find_dangers(CARONI, cut, None),
        Equals((DeadlineCut('list-exams', 2_000, 1),)),
    )
    removed = replace(CARONI, routes=CARONI.routes[1:])
    assert_that(
        find_dangers(CARONI, removed, None),
        Equals((RouteRemoved('check-standing'),)),
    )
    counts = {'registry': 1, 'scheduler': 1, 'credentials': 0}
    assert_that(
        find_dangers(CARONI, CARONI, counts),
        Equals((NoServers('credentials'),)),
    )


def test_a_narrower_idempotent_route_is_a_danger() -> None:
    """A new route that takes part of a non-idempotent one is reported."""
    narrower = replace(
        CARONI.routes[3],
        name='book-first',
        team='standing',
        path='/exams/1/bookings',
        idempotent=True,
    )
    after = replace(CARONI, routes=(*CARONI.routes, narrower))
    dangers = find_dangers(CARONI, after, None)
    assert_that(dangers, HasLength(2))
    assert_that(dangers, Contains(MarkRemoved('book-exam', 'book-first')))
    assert_that(
        dangers, Contains(RouteTaken('book-exam', 'book-first', 'standing'))
    )


PATTERNS = ['/a', '/{x}', '/a/b', '/a/{x}', '/{x}/b', '/{x}/{x}', '/a/*']
PATTERNS += ['/{x}/*', '/*', '/{x}/{x}/c', '/a/{x}/*']
PATTERN_ROUTES = strategies.lists(
    strategies.builds(
        lambda path, idempotent, host: replace(
            CARONI.routes[0],
            name=f'r{PATTERNS.index(path)}-{len(host)}-{idempotent:d}',
            path=path,
            idempotent=idempotent,
            host=host,
        ),
        strategies.sampled_from(PATTERNS),
        strategies.booleans(),
        strategies.sampled_from(['*', '*', 'host']),
    ),
    min_size=1,
    max_size=3,
    unique_by=lambda route: (route.host, route.path),
).map(tuple)
REQUESTS = [
    (host, 'GET', '/' + '/'.join(segments))
    for host in ('host', 'other')
    for length in (1, 2, 3)
    for segments in product('abc', repeat=length)
]


def find_unseen(
    before: tuple[Route, ...], after: tuple[Route, ...]
) -> set[str]:
    """Returns the non-idempotent routes that lose requests unreported.

    A route loses a request that will match an idempotent route or none;
    some danger has to name the route.
    """
    old, new = RouteTable(before), RouteTable(after)
    lost = set()
    for request in REQUESTS:
        was, now = old.find(*request), new.find(*request)
        if was and not was.idempotent and (now is None or now.idempotent):
            lost.add(was.name)
    dangers = find_dangers(
        replace(CARONI, routes=before), replace(CARONI, routes=after), None
    )
    named = {
        danger.before if isinstance(danger, MarkRemoved) else danger.route
        for danger in dangers
        if isinstance(danger, MarkRemoved | RouteRemoved)
    }
    return lost - named


@settings(max_examples=300)
@given(PATTERN_ROUTES, PATTERN_ROUTES, strategies.booleans())
def test_no_request_loses_its_mark_unseen(
    before: tuple[Route, ...], others: tuple[Route, ...], keep: bool
) -> None:
    """Whatever request becomes idempotent or lost, some danger says so."""
    known = {(route.host, route.path) for route in before}
    added = tuple(r for r in others if (r.host, r.path) not in known)
    after = (*before, *added) if keep else others
    assert_that(find_unseen(before, after), Equals(set()))


def test_added_overlapping_idempotent_route_is_a_danger() -> None:
    """For each pair of patterns a lost request is reported as a danger.

    An idempotent route with one pattern is added to a non-idempotent route
    with the other.
    """
    for old, new in permutations(PATTERNS, 2):
        route = replace(
            CARONI.routes[0], name='old', path=old, idempotent=False
        )
        added = replace(route, name='new', path=new, idempotent=True)
        unseen = find_unseen((route,), (route, added))
        assert_that(unseen, Equals(set()), f'{new} beside {old}')


def test_the_index_finds_every_pattern_with_a_common_request() -> None:
    """The index omits only patterns that do not overlap the path."""
    routes = [
        replace(CARONI.routes[0], name=f'r{number}', path=path)
        for number, path in enumerate(PATTERNS)
    ]
    depth = max_segment_count(routes)
    index = PatternIndex(routes, depth)
    for route in routes:
        common = {
            other.path
            for other in routes
            if find_common_requests(route, other, depth)
        }
        found = {other.path for other in index.find_candidates(route.path)}
        assert_that(common - found, Equals(set()), route.path)
