"""Idle connections to servers."""

from unittest.mock import Mock

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.http1.pool import ConnectionPool

ADDRESS = ('127.0.0.1', 9000)


def make_connection(*, rested_s: float = 0.0) -> Mock:
    connection = Mock(usable=True, idle_until=10.0)
    connection.rested_s.return_value = rested_s
    return connection


@pytest.fixture
def pool() -> ConnectionPool:
    """Returns an empty pool."""
    return ConnectionPool()


def test_the_last_used_connection_comes_first(pool: ConnectionPool) -> None:
    first, last = make_connection(), make_connection()
    pool.put(ADDRESS, first)
    pool.put(ADDRESS, last)
    assert_that(pool.take(ADDRESS, 0.0), Equals(last))


def test_the_bound_closes_the_oldest(pool: ConnectionPool) -> None:
    connections = [make_connection() for _ in range(4)]
    for connection in connections:
        pool.put(ADDRESS, connection, most=2)
    closed = [connection.close.called for connection in connections]
    assert_that(closed, Equals([True, True, False, False]))


def test_a_smaller_bound_holds_at_once(pool: ConnectionPool) -> None:
    for _ in range(5):
        pool.put(ADDRESS, make_connection())
    pool.put(ADDRESS, make_connection(), most=2)
    assert_that(len(pool.idle[ADDRESS]), Equals(2))


def test_a_connection_that_rested_too_long_is_closed(
    pool: ConnectionPool,
) -> None:
    connection = make_connection(rested_s=0.5)
    pool.put(ADDRESS, connection)
    assert_that(pool.take(ADDRESS, 0.0, longest_rest_s=0.4), Equals(None))
    assert_that(connection.close.called, Equals(True))
