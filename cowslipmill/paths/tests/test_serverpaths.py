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


def test_a_server_that_responds_on_a_new_connection_may_have_restarted(
    paths: ServerPaths,
) -> None:
    """Nothing shows that it is still the process of before."""
    paths.record_reached(SERVERS[0], 1.0, 2.0)
    paths.record_reached(SERVERS[0], 5.0, 5.1)
    through = paths.has_run_through(SERVERS[0], 3.0, 5.0)
    assert_that(through, Equals(False))


def test_connections_that_outlast_each_other_show_that_a_server_ran(
    paths: ServerPaths,
) -> None:
    """A restart would have ended the older one before the other's start."""
    paths.record_reached(SERVERS[0], 1.0, 2.0)
    paths.record_reached(SERVERS[0], 1.5, 4.0)
    paths.record_reached(SERVERS[0], 3.5, 6.0)
    through = paths.has_run_through(SERVERS[0], 1.2, 6.0)
    assert_that(through, Equals(True))
    before = paths.has_run_through(SERVERS[0], 0.5, 6.0)
    assert_that(before, Equals(False))
    later = paths.has_run_through(SERVERS[0], 1.2, 6.5)
    assert_that(later, Equals(False))


def test_nothing_is_known_of_a_server_before_its_first_response(
    paths: ServerPaths,
) -> None:
    """A host that has just started can vouch for none."""
    paths.record_unreached(SERVERS[0], 'timeout', 1.0)
    for address in SERVERS[:2]:
        through = paths.has_run_through(address, 0.0, 1.0)
        assert_that(through, Equals(False))
