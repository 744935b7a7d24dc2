"""Tests of the pool of idle connections."""

from unittest.mock import Mock

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.http1.pool import ConnectionPool

ADDRESS = ('127.0.0.1', 9000)


def make_connection(*, idle_s: float = 0.0) -> Mock:
    connection = Mock(usable=True, idle_deadline=10.0)
    connection.idle_s.return_value = idle_s
    return connection


@pytest.fixture
def pool() -> ConnectionPool:
    """Returns an empty pool."""
    return ConnectionPool()


def test_the_most_recently_used_connection_is_reused(
    pool: ConnectionPool,
) -> None:
    first, last = make_connection(), make_connection()
    pool.release(ADDRESS, first)
    pool.release(ADDRESS, last)
    assert_that(pool.acquire(ADDRESS, 0.0), Equals(last))


def test_connections_beyond_the_limit_close_least_recent_first(
    pool: ConnectionPool,
) -> None:
    connections = [make_connection() for _ in range(4)]
    for connection in connections:
        pool.release(ADDRESS, connection, max_idle=2)
    closed = [connection.close.called for connection in connections]
    assert_that(closed, Equals([True, True, False, False]))


def test_a_lower_limit_closes_surplus_connections(
    pool: ConnectionPool,
) -> None:
    for _ in range(5):
        pool.release(ADDRESS, make_connection())
    pool.release(ADDRESS, make_connection(), max_idle=2)
    assert_that(len(pool.idle[ADDRESS]), Equals(2))


def test_a_connection_idle_for_too_long_is_closed(
    pool: ConnectionPool,
) -> None:
    connection = make_connection(idle_s=0.5)
    pool.release(ADDRESS, connection)
    assert_that(pool.acquire(ADDRESS, 0.0, max_idle_s=0.4), Equals(None))
    assert_that(connection.close.called, Equals(True))
