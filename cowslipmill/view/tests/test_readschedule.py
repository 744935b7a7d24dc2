"""Which host reads the store, and when."""

from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.view.readschedule import READ_PAUSE_S
from cowslipmill.view.readschedule import ReadSchedule

# Leaving servers and configurations have to be known within this.
BOUND_S = 2.0


def make_turn(*, reading: bool = False) -> ReadSchedule:
    turn = ReadSchedule()
    turn.active = reading
    return turn


def test_the_first_host_reads_without_a_break() -> None:
    assert_that(make_turn().next_read_at(5.0, 0), Equals(5.0 + READ_PAUSE_S))


def test_others_wait_for_its_news() -> None:
    assert_that(make_turn().next_read_at(5.0, 1), GreaterThan(5.8))


def test_hosts_take_over_one_after_the_other() -> None:
    due = [make_turn().next_read_at(5.0, rank) for rank in range(1, 150)]
    assert_that(due, Equals(sorted(set(due))))


def test_the_fleet_reads_in_time_with_five_readers_lost() -> None:
    assert_that(make_turn().next_read_at(0.0, 5), LessThan(BOUND_S - 0.5))


def test_a_host_that_took_over_goes_on() -> None:
    turn = make_turn(reading=True)
    assert_that(turn.next_read_at(5.0, 3), Equals(5.0 + READ_PAUSE_S))


def test_it_stops_when_a_host_before_it_reads() -> None:
    turn = make_turn(reading=True)
    turn.start_read()
    turn.defer_to(1, 3)
    turn.record_result(failed=False, now=5.0)
    assert_that(turn.next_read_at(5.0, 3), GreaterThan(5.8))


def test_it_goes_on_when_a_host_behind_it_reads() -> None:
    turn = make_turn(reading=True)
    turn.defer_to(4, 3)
    assert_that(turn.active, Equals(True))


def test_failures_space_the_calls() -> None:
    turn = make_turn(reading=True)
    pauses = []
    for _ in range(4):
        turn.record_result(failed=True, now=5.0)
        pauses.append(round(turn.next_read_at(0.0, 0) - 5.0, 6))
    assert_that(pauses, Equals([0.3, 0.6, 1.2, 1.2]))


def test_a_host_without_news_reads_at_once() -> None:
    assert_that(ReadSchedule().next_read_at(float('-inf'), 3), LessThan(0.0))
