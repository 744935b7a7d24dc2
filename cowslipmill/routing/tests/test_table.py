"""Tests of the route table."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Is

from cowslipmill.document.document import Route
from cowslipmill.routing.table import RouteTable


def make_route(name: str, path: str, host: str = '*') -> Route:
    """Returns a route for GET."""
    return Route(
        name=name,
        team='team',
        service='service',
        methods=('GET',),
        path=path,
        host=host,
        idempotent=True,
    )


@pytest.fixture
def table() -> RouteTable:
    """Returns a table with several routes that match the same paths."""
    return RouteTable(
        [
            make_route('literal', '/a/b'),
            make_route('parameter', '/a/{id}'),
            make_route('rest', '/a/*'),
            make_route('deep', '/a/{id}/c'),
            make_route('host', '/a/b', host='one.example'),
        ]
    )


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('two.example', '/a/b', 'literal'),
        ('one.example', '/a/b', 'host'),
        ('one.example', '/a/x', 'parameter'),
        ('two.example', '/a/x/c', 'deep'),
        ('two.example', '/a/x/d', 'rest'),
        ('two.example', '/a/', 'rest'),
    ],
)
def test_most_specific_route_wins(
    table: RouteTable, host: str, path: str, name: str
) -> None:
    """Precedence: exact host, literal, parameter, final wildcard."""
    route = table.find(host, 'GET', path)
    assert route is not None
    assert_that(route.name, Equals(name))


def test_other_method_finds_no_route(table: RouteTable) -> None:
    """A route matches only its own methods."""
    assert_that(table.find('two.example', 'POST', '/a/b'), Is(None))


def test_replaced_routes_are_no_longer_found(table: RouteTable) -> None:
    """Replaced routes no longer match; unmatched paths return None."""
    table.replace([make_route('other', '/a/{key}'), make_route('new', '/n')])
    found = [
        route and route.name
        for route in (
            table.find('one.example', 'GET', '/a/b'),
            table.find('one.example', 'GET', '/a/x/c'),
            table.find('one.example', 'GET', '/n'),
        )
    ]
    assert_that(found, Equals(['other', None, 'new']))
