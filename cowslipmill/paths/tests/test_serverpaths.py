"""Tests of what a host believes of its paths to servers.

Guard against a server that is down being taken for lost links, the reverse,
and a path that stays lost.
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.paths.serverpaths import Address
from cowslipmill.paths.serverpaths import FIRST_CHECK_INTERVAL_S
from cowslipmill.paths.serverpaths import ISOLATION_FAILURES
from cowslipmill.paths.serverpaths import MAX_CHECK_INTERVAL_S
from cowslipmill.paths.serverpaths import ServerPaths

SERVERS: list[Address] = [('10.0.0.1', port) for port in range(5)]


@pytest.fixture
def lost() -> list[Address | None]:
    """Collects the paths that were reported as lost."""
    return []


@pytest.fixture
def paths(lost: list[Address | None]) -> ServerPaths:
    """Returns paths of which nothing is known."""
    return ServerPaths(lost.append)


def fail(paths: ServerPaths, count: int, now: float) -> None:
    """Records that some servers can't be reached."""
    for address in SERVERS[:count]:
        paths.record_unreached(address, 'timeout', now)


def test_one_server_that_is_down_isolates_no_host(
    paths: ServerPaths, lost: list[Address | None]
) -> None:
    """However often it can't be reached."""
    for second in range(10):
        fail(paths, 1, float(second))
    assert_that(paths.isolated, Equals(False))
    assert_that(paths.is_lost(SERVERS[0]), Equals(True))
    assert_that(paths.is_lost(SERVERS[1]), Equals(False))
    assert_that(lost, Equals([SERVERS[0]]))


def test_several_unreached_servers_isolate_a_host(
    paths: ServerPaths, lost: list[Address | None]
) -> None:
    """Then no server counts as reached, also those not tried yet."""
    fail(paths, ISOLATION_FAILURES, 1.0)
    assert_that(paths.isolated, Equals(True))
    assert_that(paths.is_lost(SERVERS[-1]), Equals(True))
    assert_that(lost[-1], Equals(None))


def test_an_old_connection_shows_no_path(paths: ServerPaths) -> None:
    """Old connections may live on while new ones are refused."""
    fail(paths, ISOLATION_FAILURES, 1.0)
    paths.record_reached(SERVERS[0], 0.5, 2.0)
    assert_that(paths.isolated, Equals(True))
    assert_that(paths.is_lost(SERVERS[0]), Equals(True))
    assert_that(paths.was_reached_since(SERVERS[0], 2.0), Equals(True))


def test_a_new_connection_ends_an_isolation(paths: ServerPaths) -> None:
    """The other servers' paths stay lost until each is checked."""
    fail(paths, ISOLATION_FAILURES, 1.0)
    paths.record_reached(SERVERS[0], 1.5, 2.0)
    assert_that(paths.isolated, Equals(False))
    assert_that(
        [paths.is_lost(address) for address in SERVERS[:3]],
        Equals([False, True, True]),
    )


def test_a_lost_path_is_checked_again_and_again(paths: ServerPaths) -> None:
    """Ever more seldom up to a bound, and soon after the next loss."""
    now = 0.0
    for _ in range(10):
        fail(paths, 1, now)
        assert_that(paths.start_check(SERVERS[0], now), Equals(False))
        now += MAX_CHECK_INTERVAL_S
        assert_that(paths.start_check(SERVERS[0], now), Equals(True))
        assert_that(paths.start_check(SERVERS[0], now), Equals(False))
    paths.record_reached(SERVERS[0], now, now)
    fail(paths, 1, now)
    now += FIRST_CHECK_INTERVAL_S
    assert_that(paths.start_check(SERVERS[0], now), Equals(True))


def test_servers_that_are_gone_isolate_no_host(paths: ServerPaths) -> None:
    """Their addresses are forgotten."""
    fail(paths, ISOLATION_FAILURES, 1.0)
    paths.retain(SERVERS[2:])
    assert_that(paths.isolated, Equals(False))
    assert_that(paths.is_lost(SERVERS[0]), Equals(False))
