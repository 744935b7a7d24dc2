"""What the remaining patience of callers tells."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.forwarding.callertimeouts import MIN_SAMPLES
from cowslipmill.forwarding.callertimeouts import RouteTimeouts
from cowslipmill.forwarding.callertimeouts import WINDOW_SIZE


@pytest.fixture
def patience() -> RouteTimeouts:
    """Returns a route whose callers begin with 3.4 to 4 seconds."""
    patience = RouteTimeouts()
    random = Random(2)
    for _ in range(WINDOW_SIZE):
        patience.record(random.uniform(3.4, 4.0))
    return patience


def test_a_first_request_has_not_waited(patience: RouteTimeouts) -> None:
    random = Random(3)
    waited = [patience.waited_s(random.uniform(3.5, 4.0)) for _ in range(100)]
    assert_that(set(waited), Equals({0.0}))


def test_a_caller_that_returns_has_waited(patience: RouteTimeouts) -> None:
    waited_s = patience.waited_s(2.6)
    assert_that(waited_s, GreaterThan(0.75))
    assert_that(waited_s, LessThan(1.4))


def test_little_is_concluded_from_few_requests() -> None:
    patience = RouteTimeouts()
    for _ in range(MIN_SAMPLES - 1):
        patience.record(4.0)
    assert_that(patience.waited_s(1.0), Equals(0.0))


def test_callers_of_several_kinds_have_waited_only_below_all(
    patience: RouteTimeouts,
) -> None:
    for _ in range(WINDOW_SIZE // 4):
        patience.record(1.0)
    assert_that(patience.waited_s(1.0), Equals(0.0))
    assert_that(patience.waited_s(0.4), Equals(0.6))


@given(st.lists(st.floats(0.0, 100.0), max_size=200), st.floats(0.0, 100.0))
def test_no_one_has_waited_for_longer_than_a_stated_time(
    times: list[float], patience_s: float
) -> None:
    patience = RouteTimeouts()
    for time_s in times:
        patience.record(time_s)
    assert 0.0 <= patience.waited_s(patience_s) <= max(times, default=0.0)
