"""Tests of what a coordinator remembers of arrivals and decisions.

Guard against kinds of requests that are starved.
"""

from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.leasing.demand import Demand


def test_a_route_granted_far_less_than_all_is_protected() -> None:
    """Guards against a route that is refused as long as others arrive."""
    demand = Demand()
    for _ in range(40):
        demand.record_decision('lookups', True, 1.0)
    for _ in range(10):
        demand.record_decision('orders', False, 1.0)
    assert_that(demand.protected_routes(1.0), Equals(frozenset(('orders',))))


def test_a_route_that_is_granted_again_is_not_protected() -> None:
    """Guards against protection that outlasts its cause."""
    demand = Demand()
    for _ in range(10):
        demand.record_decision('orders', False, 1.0)
    for _ in range(40):
        demand.record_decision('lookups', True, 1.0)
        demand.record_decision('orders', True, 9.0)
    assert_that(demand.protected_routes(9.0), Equals(frozenset()))


def test_arriving_work_counts_as_busy_slots() -> None:
    """Guards against late work that is kept for capacity that isn't spare."""
    demand = Demand()
    for step in range(400):
        demand.record_arrival(0.05, step * 0.01)
    assert_that(demand.arriving_slots(4.0), GreaterThan(4.5))
    assert_that(demand.arriving_slots(4.0), LessThan(5.5))
    assert_that(demand.arriving_slots(9.0), LessThan(0.5))


def test_a_request_left_out_is_forgotten() -> None:
    """Guards against large requests that are kept out after an overload."""
    demand = Demand()
    demand.record_left_out('lookups', 1, 0.1, 0.5, 1.0)
    assert_that(len(demand.recently_left_out(1.1)), Equals(1))
    assert_that(len(demand.recently_left_out(1.5)), Equals(0))
