"""How long connections may rest."""

from unittest.mock import Mock

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.forwarding.idlelimits import IdleLimits
from cowslipmill.forwarding.idlelimits import is_idle_loss


@pytest.fixture
def idle_limits() -> IdleLimits:
    """Returns what a host without losses knows."""
    return IdleLimits(Mock(), Mock(), lambda: 0.0)


def test_without_a_loss_any_rest_will_do(idle_limits: IdleLimits) -> None:
    assert_that(idle_limits.max_idle_s('registry', 0.0), Equals(float('inf')))


def test_a_loss_bounds_the_rest_of_its_service_for_a_while(
    idle_limits: IdleLimits,
) -> None:
    idle_limits.record_loss('registry', 0.4, 0.0)
    assert_that(idle_limits.max_idle_s('registry', 19.0), Equals(0.2))
    assert_that(idle_limits.max_idle_s('other', 19.0), Equals(float('inf')))
    assert_that(idle_limits.max_idle_s('registry', 21.0), Equals(float('inf')))


def test_the_shortest_rest_counts(idle_limits: IdleLimits) -> None:
    idle_limits.record_loss('registry', 0.4, 0.0)
    idle_limits.record_loss('registry', 3.0, 1.0)
    assert_that(idle_limits.max_idle_s('registry', 2.0), Equals(0.2))


def test_a_loss_is_told_once_in_a_while(idle_limits: IdleLimits) -> None:
    told = [
        idle_limits.record_loss('registry', rested_s, now)
        for rested_s, now in ((0.4, 0.0), (0.9, 1.0), (0.3, 2.0), (0.4, 8.0))
    ]
    assert_that(told, Equals([True, False, True, True]))


@pytest.mark.parametrize(
    ('rested_s', 'lost_s', 'answering', 'expected'),
    [
        (0.3, 0.002, False, True),
        (0.0, 0.002, False, False),
        (0.3, 0.2, False, False),
        (0.3, 0.002, True, False),
    ],
)
def test_only_a_reset_right_after_a_rest_is_a_loss(
    rested_s: float, lost_s: float, *, answering: bool, expected: bool
) -> None:
    loss = is_idle_loss(rested_s, lost_s, response_started=answering)
    assert_that(loss, Equals(expected))
