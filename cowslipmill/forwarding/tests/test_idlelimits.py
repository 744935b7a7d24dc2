"""How long connections to servers may be idle."""

from unittest.mock import Mock

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.forwarding.idlelimits import IdleLimits
from cowslipmill.forwarding.idlelimits import is_idle_loss


@pytest.fixture
def idle_limits() -> IdleLimits:
    """Returns the limits of a host that has recorded no loss."""
    return IdleLimits(Mock(), Mock(), lambda: 0.0)


def test_without_a_loss_there_is_no_limit(idle_limits: IdleLimits) -> None:
    assert_that(idle_limits.max_idle_s('registry', 0.0), Equals(float('inf')))


def test_a_loss_limits_the_idle_time_of_its_service_for_a_while(
    idle_limits: IdleLimits,
) -> None:
    idle_limits.record_loss('registry', 0.4, 0.0)
    assert_that(idle_limits.max_idle_s('registry', 19.0), Equals(0.2))
    assert_that(idle_limits.max_idle_s('other', 19.0), Equals(float('inf')))
    assert_that(idle_limits.max_idle_s('registry', 21.0), Equals(float('inf')))


def test_the_lowest_limit_applies(idle_limits: IdleLimits) -> None:
    idle_limits.record_loss('registry', 0.4, 0.0)
    idle_limits.record_loss('registry', 3.0, 1.0)
    assert_that(idle_limits.max_idle_s('registry', 2.0), Equals(0.2))


def test_a_loss_is_broadcast_if_it_lowers_or_renews_the_limit(
    idle_limits: IdleLimits,
) -> None:
    broadcast = [
        idle_limits.record_loss('registry', idle_s, now)
        for idle_s, now in ((0.4, 0.0), (0.9, 1.0), (0.3, 2.0), (0.4, 8.0))
    ]
    assert_that(broadcast, Equals([True, False, True, True]))


@pytest.mark.parametrize(
    ('idle_s', 'reset_delay_s', 'response_started', 'expected'),
    [
        (0.3, 0.002, False, True),
        (0.0, 0.002, False, False),
        (0.3, 0.2, False, False),
        (0.3, 0.002, True, False),
    ],
)
def test_only_an_immediate_reset_of_an_idle_connection_is_an_idle_loss(
    idle_s: float,
    reset_delay_s: float,
    *,
    response_started: bool,
    expected: bool,
) -> None:
    loss = is_idle_loss(
        idle_s, reset_delay_s, response_started=response_started
    )
    assert_that(loss, Equals(expected))
