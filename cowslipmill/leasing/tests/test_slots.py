"""Occupancy of a server, from its load reports and open leases."""

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.leasing.estimate import estimate_duration_s
from cowslipmill.leasing.slots import Lease
from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.tests.conftest import make_record
from cowslipmill.leasing.tests.conftest import report_load


def make_slots(slots: int = 2) -> ServerSlots:
    return ServerSlots(make_record(0, slots), 0.0)


def add_lease(server: ServerSlots, number: int, now: float) -> None:
    server.leases[('host-1', number)] = Lease(now, now + 1.0, 'read')


def test_a_report_counts_the_leases_of_other_coordinators() -> None:
    server = make_slots()
    report_load(server, 1.0, running=2)
    assert_that(server.free_slots(1.01), Equals(0))


def test_a_lease_in_transit_is_added_to_the_report() -> None:
    server = make_slots()
    report_load(server, 1.0, running=1)
    add_lease(server, 1, 1.001)
    assert_that(server.occupancy(1.002), Equals(2))


def test_a_lease_that_the_report_counted_is_not_counted_twice() -> None:
    server = make_slots()
    add_lease(server, 1, 0.5)
    report_load(server, 1.0, running=1)
    assert_that(server.occupancy(1.01), Equals(1))


def test_a_release_after_the_report_frees_its_slot() -> None:
    server = make_slots()
    add_lease(server, 1, 0.5)
    report_load(server, 1.0, running=1)
    server.release(('host-1', 1))
    assert_that(server.occupancy(1.01), Equals(0))


def test_a_lost_release_does_not_hold_a_slot() -> None:
    server = make_slots()
    add_lease(server, 1, 0.0)
    report_load(server, 1.0, running=0)
    assert_that(server.free_slots(1.01), Equals(2))


def test_leases_are_counted_when_the_report_is_old() -> None:
    server = make_slots()
    report_load(server, 1.0, running=2)
    assert_that(server.free_slots(2.0), Equals(2))


def test_a_late_report_does_not_replace_a_newer_one() -> None:
    server = make_slots()
    report_load(server, 2.0, running=2)
    report_load(server, 1.0, running=0)
    assert_that(server.occupancy(2.01), Equals(2))


def test_a_request_that_starts_in_a_slow_period_stays_slow() -> None:
    server = make_slots()
    report_load(server, 0.0, slowdown=5.0)
    assert_that(estimate_duration_s(server, 0.3, 0.0), GreaterThan(1.4))


@given(
    running=st.integers(0, 20),
    waiting=st.integers(0, 20),
    granted_at=st.lists(st.floats(0.0, 2.0), max_size=8),
    now=st.floats(2.0, 3.0),
)
def test_occupancy_is_never_negative(
    running: int, waiting: int, granted_at: list[float], now: float
) -> None:
    server = make_slots(6)
    for number, at in enumerate(granted_at):
        add_lease(server, number, at)
    report_load(server, 1.0, running=running, waiting=waiting)
    for number in range(len(granted_at)):
        server.release(('host-1', number))
    assert_that(server.occupancy(now) >= 0, Equals(True))
