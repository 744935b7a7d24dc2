"""Tests of which requests are left out when not all can be in time.

Guard against a choice that costs callers more than another one would.
"""

from random import Random
from time import perf_counter

from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import LessThan

from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.requirements import Requirements
from cowslipmill.leasing.selection import Candidate
from cowslipmill.leasing.selection import select_on_time

NO_ROUTES: frozenset[str] = frozenset()


def make_candidate(
    number: int,
    work_s: float,
    slack_s: float,
    *,
    priority: int = 1,
    route: str = 'read',
    asked_before_s: float = 0.0,
    admitted: bool = False,
) -> Candidate:
    """Returns a candidate that has just arrived."""
    requirements = Requirements(
        'catalogue',
        route,
        priority,
        work_s + slack_s,
        3.0,
        asked_before_s=asked_before_s,
    )
    request = LeaseRequest(('host-1', number), requirements, 0.0)
    request.admitted = admitted
    return Candidate(request, work_s, slack_s, 0.0)


def numbers(candidates: list[Candidate]) -> list[int]:
    """Returns the numbers of candidates."""
    return [candidate.request.key[1] for candidate in candidates]


def test_all_are_selected_if_all_fit() -> None:
    """Guards against refusals without need."""
    candidates = [make_candidate(n, 0.1, 1.0) for n in range(8)]
    selection = select_on_time(candidates, 1.0, NO_ROUTES)
    assert_that(selection.left_out, HasLength(0))


def test_the_least_urgent_is_left_out_first() -> None:
    """Guards against an urgent request that makes room for another one."""
    candidates = [
        make_candidate(1, 0.4, 0.5, priority=0),
        make_candidate(2, 0.1, 0.5, priority=2),
    ]
    selection = select_on_time(candidates, 1.0, NO_ROUTES)
    assert_that(numbers(selection.left_out), Equals([2]))


def test_the_most_work_is_left_out_among_equals() -> None:
    """Guards against one large request that makes several others late."""
    candidates = [
        make_candidate(1, 0.4, 0.5),
        make_candidate(2, 0.2, 0.51),
        make_candidate(3, 0.2, 0.52),
    ]
    selection = select_on_time(candidates, 1.0, NO_ROUTES)
    assert_that(numbers(selection.left_out), Equals([1]))


def test_an_admitted_request_stays_among_equals() -> None:
    """Guards against refusals of requests that have waited."""
    candidates = [
        make_candidate(1, 0.4, 0.5, admitted=True),
        make_candidate(2, 0.2, 0.51),
    ]
    selection = select_on_time(candidates, 1.0, NO_ROUTES)
    assert_that(numbers(selection.left_out), Equals([2]))


def test_an_admitted_request_makes_room_for_a_more_urgent_one() -> None:
    """Guards against urgent requests that wait behind admitted ones."""
    candidates = [
        make_candidate(1, 0.4, 0.5, priority=1, admitted=True),
        make_candidate(2, 0.4, 0.5, priority=0),
    ]
    selection = select_on_time(candidates, 1.0, NO_ROUTES)
    assert_that(numbers(selection.on_time)[0], Equals(2))


def test_a_caller_refused_before_is_left_out_later() -> None:
    """Guards against refusing the same caller again and again."""
    candidates = [
        make_candidate(1, 0.3, 0.5),
        make_candidate(2, 0.3, 0.5, asked_before_s=0.3),
    ]
    selection = select_on_time(candidates, 1.0, NO_ROUTES)
    assert_that(numbers(selection.left_out), Equals([1]))


def test_a_retry_without_a_pause_gains_nothing() -> None:
    """Guards against capacity for callers that don't wait."""
    candidates = [
        make_candidate(1, 0.3, 0.50),
        make_candidate(2, 0.3, 0.48, asked_before_s=0.02),
    ]
    selection = select_on_time(candidates, 1.0, NO_ROUTES)
    assert_that(numbers(selection.on_time), Equals([1]))


def test_a_retry_is_not_ahead_of_equal_work_that_waited() -> None:
    """Guards against retries that overtake requests in the queue."""
    candidates = [
        make_candidate(1, 0.1, 0.9, asked_before_s=0.4),
        make_candidate(2, 0.1, 1.2),
    ]
    selection = select_on_time(candidates, 1.0, NO_ROUTES)
    assert_that(numbers(selection.on_time), Equals([2, 1]))


def test_a_route_that_is_served_too_little_is_left_out_last() -> None:
    """Guards against a kind of requests that is starved."""
    candidates = [
        make_candidate(1, 0.4, 0.5, priority=2, route='download'),
        make_candidate(2, 0.4, 0.5, priority=0),
    ]
    protected = frozenset(('download',))
    selection = select_on_time(candidates, 1.0, protected)
    assert_that(numbers(selection.on_time), Equals([1]))


def test_a_long_queue_is_decided_fast() -> None:
    """Guards against a selection whose cost grows with the queue squared.

    A coordinator has 0.43 of a core for up to 150 requests a second, so that
    a round has 2.8 ms; it is allowed a tenth of these for 100 requests, and
    ten times as much here for a busy machine.
    """
    random = Random(1)
    candidates = [
        make_candidate(n, random.uniform(0.1, 0.5), random.uniform(0.1, 3.0))
        for n in range(100)
    ]
    durations: list[float] = []
    for _ in range(20):
        began = perf_counter()
        select_on_time(candidates, 10.0, NO_ROUTES)
        durations.append(perf_counter() - began)
    assert_that(min(durations), LessThan(0.0028))
