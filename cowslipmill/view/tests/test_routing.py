"""Tests of finding a request's route and choosing its service."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import LessThan

from cowslipmill.view.configuration import RouteTarget
from cowslipmill.view.routing import RouteTable
from cowslipmill.view.tests.conftest import make_configuration
from cowslipmill.view.tests.conftest import make_route

TABLE = RouteTable(
    make_configuration(1, make_route('/a/'), make_route('/a/b/'))
)


def find_prefix(host: str, path: str) -> str:
    route = TABLE.find(host, path)
    return '' if route is None else route.prefix


def test_the_longest_matching_prefix_wins() -> None:
    assert_that(find_prefix('one.example', '/a/b/c'), Equals('/a/b/'))
    assert_that(find_prefix('one.example', '/a/bc'), Equals('/a/'))


def test_a_prefix_matches_whole_path_segments_only() -> None:
    assert_that(find_prefix('one.example', '/ab'), Equals(''))
    assert_that(find_prefix('one.example', '/a'), Equals(''))


def test_the_http_host_is_case_insensitive() -> None:
    assert_that(find_prefix('ONE.example', '/a/'), Equals('/a/'))
    assert_that(find_prefix('two.example', '/a/'), Equals(''))


def test_requests_are_divided_by_weight() -> None:
    targets = (
        RouteTarget('registry', 90.0),
        RouteTarget('other', 10.0),
        RouteTarget('none', 0.0),
    )
    route = make_route(targets=targets)
    random = Random(3)
    chosen = [TABLE.choose_service(route, random) for _ in range(4_000)]
    assert_that(abs(chosen.count('other') / 4_000 - 0.1), LessThan(0.02))
    assert_that(chosen.count('none'), Equals(0))


@given(st.integers(0, 10_000), st.floats(0.05, 0.95))
def test_300_requests_over_many_hosts_match_the_weights(
    seed: int, share: float
) -> None:
    targets = (
        RouteTarget('registry', share),
        RouteTarget('other', 1.0 - share),
    )
    route = make_route(targets=targets)
    random = Random(seed)
    hosts = [RouteTable(make_configuration(1, route)) for _ in range(18)]
    chosen = [
        random.choice(hosts).choose_service(route, random) for _ in range(300)
    ]
    assert_that(abs(chosen.count('registry') / 300 - share), LessThan(0.05))
