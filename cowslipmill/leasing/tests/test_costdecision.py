"""Tests of decisions by what delays and refusals cost callers.

Guard against requests that are refused late, started in vain, or kept waiting
for capacity that isn't there.
"""

from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import AllMatch
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import HasLength
from testtools.matchers import IsInstance
from testtools.matchers import LessThan
from testtools.matchers import MatchesAll

from cowslipmill.leasing.costdecision import LEFT_OUT
from cowslipmill.leasing.costdecision import MAX_QUEUED
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.leasing.tests.conftest import DOMAIN
from cowslipmill.leasing.tests.conftest import make_request
from cowslipmill.leasing.tests.conftest import make_scheduler
from cowslipmill.leasing.tests.conftest import report_load

# Callers honour `Retry-After` up to this share of their remaining time.
HONOURED_SHARE = 1 / 3


@pytest.fixture
def scheduler() -> SlotScheduler:
    """Returns a scheduler of four slots that decides by cost."""
    scheduler = make_scheduler(2, slots=2)
    scheduler.weighs_cost = True
    return scheduler


def fill(scheduler: SlotScheduler, random: Random) -> None:
    """Grants all slots to requests that have just arrived."""
    for number in range(1000, 1004):
        scheduler.enqueue(make_request(number))
    decisions = scheduler.decide(0.0, random)
    assert_that(decisions, HasLength(4))


def queue_urgent(scheduler: SlotScheduler, count: int) -> None:
    """Queues requests of the highest urgency."""
    for number in range(count):
        scheduler.enqueue(make_request(number, priority=0, objective_s=0.8))


def test_requests_get_free_slots_at_once(
    scheduler: SlotScheduler, random: Random
) -> None:
    """Guards against requests that wait while slots are free."""
    for number in range(4):
        scheduler.enqueue(make_request(number))
    decisions = scheduler.decide(0.0, random)
    assert_that(decisions, AllMatch(IsInstance(Grant)))
    assert_that(decisions, HasLength(4))


def test_no_server_gets_more_than_its_slots(
    scheduler: SlotScheduler, random: Random
) -> None:
    """Guards against requests that a full server never answers."""
    fill(scheduler, random)
    queue_urgent(scheduler, 2)
    scheduler.decide(0.0, random)
    counts = [len(server.leases) for server in scheduler.servers.values()]
    assert_that(counts, Equals([2, 2]))


def test_what_does_not_fit_is_refused_at_once(
    scheduler: SlotScheduler, random: Random
) -> None:
    """Guards against requests that are held until their deadline."""
    fill(scheduler, random)
    queue_urgent(scheduler, 60)
    refused = [
        decision
        for decision in scheduler.decide(0.0, random)
        if isinstance(decision, Refusal)
    ]
    assert_that(len(refused), GreaterThan(30))


def test_a_retry_delay_is_one_that_callers_honour(
    scheduler: SlotScheduler, random: Random
) -> None:
    """Guards against callers that cut the delay and come all together."""
    fill(scheduler, random)
    queue_urgent(scheduler, 200)
    delays = [
        decision.retry_after_s
        for decision in scheduler.decide(0.0, random)
        if isinstance(decision, Refusal)
    ]
    # These requests have a deadline of 1.5 s.
    honoured = MatchesAll(
        GreaterThan(0.0), LessThan(HONOURED_SHARE * 1.5 + 1e-9)
    )
    assert_that(delays, AllMatch(honoured))
    assert_that(len(set(delays)), GreaterThan(len(delays) // 2))


def test_a_refusal_tells_what_was_weighed(
    scheduler: SlotScheduler, random: Random
) -> None:
    """Guards against refusals that the log can't explain."""
    fill(scheduler, random)
    queue_urgent(scheduler, 60)
    decisions = scheduler.decide(0.0, random)
    refusal = next(d for d in decisions if isinstance(d, Refusal))
    assert_that(refusal.reason, Equals('overloaded'))
    assert_that(refusal.work_s, GreaterThan(0.0))
    assert_that(refusal.room, GreaterThan(0.0))


def test_requests_left_out_are_counted_once(
    scheduler: SlotScheduler, random: Random
) -> None:
    """Guards against a metric that counts rounds in place of requests."""
    before = LEFT_OUT.labels('late')._value.get()
    learn_work(scheduler, random, 0.1)
    fill(scheduler, random)
    late = make_request(1, objective_s=0.01, deadline_s=5.0)
    scheduler.enqueue(late)
    for step in range(5):
        scheduler.decide(0.001 * step, random)
    assert_that(LEFT_OUT.labels('late')._value.get() - before, Equals(1.0))


def test_a_request_that_cannot_end_in_time_is_not_started(
    scheduler: SlotScheduler, random: Random
) -> None:
    """Guards against work whose response nobody waits for."""
    learn_work(scheduler, random, 0.1)
    scheduler.enqueue(make_request(1, objective_s=0.02, deadline_s=0.05))
    decisions = scheduler.decide(0.0, random)
    assert_that(decisions, AllMatch(IsInstance(Refusal)))
    assert_that(decisions, HasLength(1))


def test_late_work_gets_a_slot_that_nothing_else_needs(
    scheduler: SlotScheduler, random: Random
) -> None:
    """Guards against refusals of late requests while there is room."""
    learn_work(scheduler, random, 0.1)
    scheduler.enqueue(make_request(1, objective_s=0.02, deadline_s=1.0))
    decisions = scheduler.decide(0.0, random)
    assert_that(decisions, AllMatch(IsInstance(Grant)))
    assert_that(decisions, HasLength(1))


def test_no_momentarily_slow_server_is_used_while_requests_compete(
    scheduler: SlotScheduler, random: Random
) -> None:
    """Guards against slots that one request keeps five times as long."""
    for server in scheduler.servers.values():
        report_load(server, 0.0, slowdown=5.0)
    learn_work(scheduler, random, 0.05)
    queue = [
        make_request(number, objective_s=0.3, deadline_s=5.0)
        for number in range(4)
    ]
    for request in queue:
        scheduler.enqueue(request)
    for step in range(10):
        now = 0.002 * step
        for server in scheduler.servers.values():
            report_load(server, now, slowdown=5.0)
        grants = [
            decision
            for decision in scheduler.decide(now, random)
            if isinstance(decision, Grant)
        ]
        assert_that(grants, HasLength(0))


def test_slow_servers_do_not_count_as_more_work(
    scheduler: SlotScheduler, random: Random
) -> None:
    """Guards against estimates that count the slowness of servers twice."""
    learn_work(scheduler, random, 0.1)
    for server in scheduler.servers.values():
        server.warm_up.first_until = 100.0
    learn_work(scheduler, random, 0.2, first=5000)
    work_s = scheduler.cost_decision.works.typical_s(make_request(1))
    assert_that(work_s, MatchesAll(GreaterThan(0.08), LessThan(0.12)))


def test_requests_without_a_server_are_refused_at_once(
    scheduler: SlotScheduler, random: Random
) -> None:
    """Guards against requests that wait for a domain that is out of use."""
    fill(scheduler, random)
    queue_urgent(scheduler, 2)
    scheduler.decide(0.0, random)
    scheduler.set_servers([], 0.0)
    decisions = scheduler.decide(0.001, random)
    assert_that(decisions, AllMatch(IsInstance(Refusal)))
    assert_that(decisions, HasLength(2))
    reasons = {d.reason for d in decisions if isinstance(d, Refusal)}
    assert_that(reasons, Equals({'no server'}))
    assert_that(scheduler.queue, HasLength(0))


def test_a_queue_is_bounded(scheduler: SlotScheduler, random: Random) -> None:
    """Guards against a queue of requests that takes all memory."""
    learn_work(scheduler, random, 0.001)
    fill(scheduler, random)
    for number in range(MAX_QUEUED + 100):
        scheduler.enqueue(make_request(number, objective_s=60.0))
    scheduler.decide(0.0, random)
    assert_that(len(scheduler.queue), LessThan(MAX_QUEUED + 1))


def learn_work(
    scheduler: SlotScheduler,
    random: Random,
    duration_s: float,
    first: int = 2000,
) -> None:
    """Has requests of a duration served, one after the other."""
    for number in range(first, first + 20):
        request: LeaseRequest = make_request(
            number, objective_s=5.0, deadline_s=9.0
        )
        for server in scheduler.servers.values():
            report_load(server, 0.0)
        scheduler.enqueue(request)
        [grant] = scheduler.decide(0.0, random)
        assert isinstance(grant, Grant)
        report = Report(
            grant.key,
            'registry',
            DOMAIN,
            grant.server,
            LeaseResult.ANSWERED,
            duration_s,
        )
        scheduler.record_result(report, 0.0)


def test_servers_that_have_just_shed_count_as_capacity(
    scheduler: SlotScheduler, random: Random
) -> None:
    """All requests would be refused that can be served 30 ms later."""
    for server in scheduler.servers.values():
        server.record_result(LeaseResult.SHED, 0.0)
    scheduler.enqueue(make_request(1))
    assert_that(scheduler.decide(0.0, random), Equals([]))
    for server in scheduler.servers.values():
        report_load(server, 0.031)
    decisions = scheduler.decide(0.031, random)
    assert_that(decisions, AllMatch(IsInstance(Grant)))
    assert_that(decisions, HasLength(1))


def test_nothing_is_granted_that_ends_after_its_deadline(
    scheduler: SlotScheduler, random: Random
) -> None:
    """A deadline before the objective would have work done in vain."""
    scheduler.enqueue(make_request(1, objective_s=0.9, deadline_s=0.1))
    decisions = scheduler.decide(0.0, random)
    assert_that(decisions, AllMatch(IsInstance(Refusal)))
    assert_that(decisions, HasLength(1))
