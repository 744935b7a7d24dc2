"""Shares follow the largest recent number of entries."""

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.limits.connections import connection_share
from cowslipmill.limits.membership import LargestMembership
from cowslipmill.limits.membership import WINDOW_S


def test_partition_does_not_enlarge_the_share() -> None:
    largest = LargestMembership()
    largest.update(18, 0.0)
    largest.update(6, 10.0)
    assert_that(largest.count, Equals(18))
    assert_that(connection_share(260, largest.count), Equals(14))


def test_an_old_membership_is_forgotten() -> None:
    largest = LargestMembership()
    largest.update(18, 0.0)
    largest.update(6, 10.0)
    largest.update(6, WINDOW_S + 1.0)
    assert_that(largest.count, Equals(6))


def test_growth_counts_at_once() -> None:
    largest = LargestMembership()
    largest.update(6, 0.0)
    largest.update(19, 1.0)
    assert_that(largest.count, Equals(19))
