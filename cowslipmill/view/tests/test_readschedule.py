"""Tests of which host reads the store, and when."""

from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.view.readschedule import READ_PAUSE_S
from cowslipmill.view.readschedule import ReadSchedule

# Seconds within which hosts must know leaving servers and configurations.
MAX_DELAY_S = 2.0


def make_schedule(*, active: bool = False) -> ReadSchedule:
    schedule = ReadSchedule()
    schedule.active = active
    return schedule


def test_the_first_host_reads_after_the_pause() -> None:
    assert_that(
        make_schedule().next_read_at(5.0, 0), Equals(5.0 + READ_PAUSE_S)
    )


def test_standby_hosts_wait_for_updates() -> None:
    assert_that(make_schedule().next_read_at(5.0, 1), GreaterThan(5.8))


def test_hosts_take_over_in_order_of_rank() -> None:
    due_times = [
        make_schedule().next_read_at(5.0, rank) for rank in range(1, 150)
    ]
    assert_that(due_times, Equals(sorted(set(due_times))))


def test_a_host_takes_over_in_time_after_five_lost_readers() -> None:
    assert_that(
        make_schedule().next_read_at(0.0, 5), LessThan(MAX_DELAY_S - 0.5)
    )


def test_a_host_that_took_over_stays_active() -> None:
    schedule = make_schedule(active=True)
    assert_that(schedule.next_read_at(5.0, 3), Equals(5.0 + READ_PAUSE_S))


def test_an_active_reader_defers_to_a_host_ranked_before_it() -> None:
    schedule = make_schedule(active=True)
    schedule.start_read()
    schedule.defer_to(1, 3)
    schedule.record_result(failed=False, now=5.0)
    assert_that(schedule.next_read_at(5.0, 3), GreaterThan(5.8))


def test_an_active_reader_ignores_a_host_ranked_after_it() -> None:
    schedule = make_schedule(active=True)
    schedule.defer_to(4, 3)
    assert_that(schedule.active, Equals(True))


def test_reads_back_off_exponentially_after_failures() -> None:
    schedule = make_schedule(active=True)
    backoffs = []
    for _ in range(4):
        schedule.record_result(failed=True, now=5.0)
        backoffs.append(round(schedule.next_read_at(0.0, 0) - 5.0, 6))
    assert_that(backoffs, Equals([0.3, 0.6, 1.2, 1.2]))


def test_a_host_without_a_view_reads_at_once() -> None:
    assert_that(ReadSchedule().next_read_at(float('-inf'), 3), LessThan(0.0))
