"""How long callers have waited, estimated from their timeouts."""

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
def timeouts() -> RouteTimeouts:
    """Returns a route whose callers start with timeouts of 3.4 to 4 s."""
    timeouts = RouteTimeouts()
    random = Random(2)
    for _ in range(WINDOW_SIZE):
        timeouts.record(random.uniform(3.4, 4.0))
    return timeouts


def test_a_first_request_has_not_waited(timeouts: RouteTimeouts) -> None:
    random = Random(3)
    waited = [timeouts.waited_s(random.uniform(3.5, 4.0)) for _ in range(100)]
    assert_that(set(waited), Equals({0.0}))


def test_a_retry_has_waited(timeouts: RouteTimeouts) -> None:
    waited_s = timeouts.waited_s(2.6)
    assert_that(waited_s, GreaterThan(0.75))
    assert_that(waited_s, LessThan(1.4))


def test_few_samples_give_no_estimate() -> None:
    timeouts = RouteTimeouts()
    for _ in range(MIN_SAMPLES - 1):
        timeouts.record(4.0)
    assert_that(timeouts.waited_s(1.0), Equals(0.0))


def test_the_shortest_of_several_usual_timeouts_is_the_floor(
    timeouts: RouteTimeouts,
) -> None:
    for _ in range(WINDOW_SIZE // 4):
        timeouts.record(1.0)
    assert_that(timeouts.waited_s(1.0), Equals(0.0))
    assert_that(timeouts.waited_s(0.4), Equals(0.6))


@given(st.lists(st.floats(0.0, 100.0), max_size=200), st.floats(0.0, 100.0))
def test_the_estimate_never_exceeds_a_recorded_timeout(
    times: list[float], timeout_s: float
) -> None:
    timeouts = RouteTimeouts()
    for time_s in times:
        timeouts.record(time_s)
    assert 0.0 <= timeouts.waited_s(timeout_s) <= max(times, default=0.0)
