"""Tests of the scheduler: its rules, one by one."""

from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from cowslipmill.choice.health import HealthState
from cowslipmill.coordination.lease import Decision
from cowslipmill.coordination.lease import EntryLeaseResult
from cowslipmill.coordination.lease import Granted
from cowslipmill.coordination.lease import Queued
from cowslipmill.coordination.lease import Refused
from cowslipmill.coordination.lease import Report
from cowslipmill.coordination.scheduler import EntryScheduler
from cowslipmill.coordination.tests.conftest import make_lease_request
from cowslipmill.coordination.tests.conftest import make_server
from cowslipmill.coordination.tests.conftest import make_service
from cowslipmill.document.document import Priority
from cowslipmill.outcomes.outcome import Reason

WARM = -100.0


def make_scheduler(
    server_count: int = 1, slots: int = 2, *, max_leases: int | None = None
) -> EntryScheduler:
    scheduler = EntryScheduler(make_service(slots), max_leases=max_leases)
    records = [(make_server(number), WARM) for number in range(server_count)]
    scheduler.set_servers(scheduler.service, records, 0.0, Random(1))
    return scheduler


@pytest.fixture
def random() -> Random:
    return Random(1)


def only_grant(decisions: list[Decision]) -> Granted:
    (granted,) = decisions
    assert isinstance(granted, Granted)
    return granted


def answer_all(
    scheduler: EntryScheduler,
    now: float,
    random: Random,
    result: EntryLeaseResult = EntryLeaseResult.ANSWERED,
) -> None:
    for key in list(scheduler.leases):
        scheduler.release(key, Report(result), now, random)


def test_leases_spread_over_the_servers(random: Random) -> None:
    scheduler = make_scheduler(3)
    decisions = [
        scheduler.acquire(make_lease_request(n), 0.0, random) for n in range(3)
    ]
    names = {only_grant(decision).server.name for decision in decisions}
    assert_that(len(names), Equals(3))


def test_repeated_request_holds_one_slot(random: Random) -> None:
    scheduler = make_scheduler()
    first = scheduler.acquire(make_lease_request(1), 0.0, random)
    assert_that(
        scheduler.acquire(make_lease_request(1), 0.0, random), Equals(first)
    )
    assert_that(scheduler.servers['server-0'].in_flight, Equals(1))


def test_freed_slot_goes_to_the_queued_request(random: Random) -> None:
    scheduler = make_scheduler()
    for number in range(3):
        last = scheduler.acquire(make_lease_request(number), 0.0, random)
    assert_that(last, Equals([Queued(('entry-0', 2))]))
    key = ('entry-0', 0)
    decisions = scheduler.release(
        key, Report(EntryLeaseResult.ANSWERED), 0.1, random
    )
    assert_that(decisions[0], IsInstance(Granted))


def test_critical_requests_go_first(random: Random) -> None:
    scheduler = make_scheduler(slots=1)
    scheduler.acquire(make_lease_request(0), 0.0, random)
    scheduler.acquire(
        make_lease_request(1, priority=Priority.BULK), 0.0, random
    )
    scheduler.acquire(
        make_lease_request(2, priority=Priority.CRITICAL), 0.0, random
    )
    key = ('entry-0', 0)
    granted = scheduler.release(
        key, Report(EntryLeaseResult.ANSWERED), 0.1, random
    )
    assert_that(granted[0].key, Equals(('entry-0', 2)))


def test_load_spike_of_one_caller_delays_another_by_one_turn(
    random: Random,
) -> None:
    scheduler = make_scheduler(slots=1)
    for number in range(20):
        scheduler.acquire(
            make_lease_request(number, caller='rush'), 0.0, random
        )
    scheduler.acquire(make_lease_request(99, caller='assessor'), 0.0, random)
    order = []
    for _ in range(3):
        (key,) = scheduler.leases
        (granted,) = scheduler.release(
            key, Report(EntryLeaseResult.CANCELLED), 0.0, random
        )
        order.append(granted.key[1])
    assert_that(99 in order[:2], Equals(True))


def test_request_that_cannot_be_served_in_time_is_refused_at_once(
    random: Random,
) -> None:
    scheduler = make_scheduler(slots=1)
    scheduler.service_time.record(0.5)
    scheduler.acquire(make_lease_request(0), 0.0, random)
    for number in range(1, 50):
        last = scheduler.acquire(
            make_lease_request(number, deadline_at=4.0), 0.0, random
        )
    (refused,) = last
    assert isinstance(refused, Refused)
    assert_that(refused.reason, Equals(Reason.OVERLOADED))
    assert_that(refused.retry_after_ms, GreaterThan(1_000))
    assert_that(len(scheduler.queue), LessThan(8))


def test_expired_request_is_refused_after_a_pause(
    random: Random,
) -> None:
    scheduler = make_scheduler(slots=1)
    scheduler.acquire(make_lease_request(0), 0.0, random)
    scheduler.acquire(make_lease_request(1, deadline_at=1.0), 0.0, random)
    key = ('entry-0', 0)
    decisions = scheduler.release(
        key, Report(EntryLeaseResult.ANSWERED), 1.5, random
    )
    assert_that(decisions[0], IsInstance(Refused))
    assert_that(len(scheduler.leases), Equals(0))


def test_a_lease_ends_at_its_deadline(random: Random) -> None:
    scheduler = make_scheduler(slots=1)
    scheduler.acquire(make_lease_request(0, deadline_at=1.0), 0.0, random)
    scheduler.acquire(make_lease_request(1), 0.5, random)
    (granted,) = scheduler.poll(1.1, random)
    assert_that(granted.key, Equals(('entry-0', 1)))


def test_server_that_left_gets_no_lease_and_its_last_one_is_released(
    random: Random,
) -> None:
    scheduler = make_scheduler(1)
    scheduler.acquire(make_lease_request(0), 0.0, random)
    scheduler.set_servers(
        scheduler.service, [(make_server(1), WARM)], 0.0, random
    )
    scheduler.release(
        ('entry-0', 0), Report(EntryLeaseResult.ANSWERED), 0.1, random
    )
    for number in range(1, 3):
        granted = only_grant(
            scheduler.acquire(make_lease_request(number), 0.2, random)
        )
        assert_that(granted.server.name, Equals('server-1'))


def test_server_that_fails_fast_is_ejected_and_restored(
    random: Random,
) -> None:
    scheduler = make_scheduler(3)
    scheduler.service_time.record(0.05)
    failing = scheduler.servers['server-0']
    now = 0.0
    for number in range(40):
        now += 0.06
        decision = only_grant(
            scheduler.acquire(make_lease_request(number), now, random)
        )
        failed = decision.server.name == 'server-0'
        result = (
            EntryLeaseResult.FAILED if failed else EntryLeaseResult.ANSWERED
        )
        scheduler.release(decision.key, Report(result), now + 0.001, random)
    assert_that(failing.health.state, Equals(HealthState.EJECTED))
    now = failing.health.ejected_until
    assert_that(failing.allowed(now), Equals(1))
    failing.health.record(False)
    assert_that(failing.allowed(now), Equals(2))
    assert_that(failing.health.state, Equals(HealthState.HEALTHY))


def test_failure_holds_its_slot_for_the_mean_service_time(
    random: Random,
) -> None:
    scheduler = make_scheduler(1, slots=1)
    scheduler.service_time.record(0.05)
    scheduler.acquire(make_lease_request(0), 0.0, random)
    scheduler.release(
        ('entry-0', 0), Report(EntryLeaseResult.FAILED), 0.001, random
    )
    assert_that(scheduler.servers['server-0'].has_room(0.04), Equals(False))
    assert_that(scheduler.servers['server-0'].has_room(0.06), Equals(True))


def test_servers_that_all_fail_are_not_ejected(random: Random) -> None:
    scheduler = make_scheduler(3)
    for number in range(60):
        now = float(number)
        scheduler.acquire(
            make_lease_request(number, deadline_at=1e9), now, random
        )
        answer_all(scheduler, now, random, EntryLeaseResult.FAILED)
    states = {s.health.state for s in scheduler.servers.values()}
    assert_that(states, Equals({HealthState.HEALTHY}))


def test_no_more_than_a_share_of_the_servers_is_ejected(
    random: Random,
) -> None:
    scheduler = make_scheduler(6)
    now = 0.0
    for number in range(200):
        now += 0.001
        granted = only_grant(
            scheduler.acquire(make_lease_request(number), now, random)
        )
        failed = granted.server.name in ('server-0', 'server-1', 'server-2')
        result = (
            EntryLeaseResult.FAILED if failed else EntryLeaseResult.ANSWERED
        )
        scheduler.release(granted.key, Report(result), now, random)
        scheduler.poll(now, random)
    ejected = [
        slots
        for slots in scheduler.servers.values()
        if slots.health.state is HealthState.EJECTED
    ]
    assert_that(len(ejected), Equals(2))


def test_a_cold_server_ramps_up(random: Random) -> None:
    scheduler = EntryScheduler(make_service(6))
    scheduler.set_servers(
        scheduler.service, [(make_server(0), 0.0)], 0.0, random
    )
    slots = scheduler.servers['server-0']
    allowed = [slots.allowed(now) for now in (0.0, 2.5, 5.0)]
    assert_that(allowed, Equals([1, 3, 6]))


def test_external_requests_count_while_their_report_is_fresh(
    random: Random,
) -> None:
    scheduler = make_scheduler(1)
    scheduler.acquire(make_lease_request(0), 0.0, random)
    report = Report(EntryLeaseResult.ANSWERED, load=3)
    scheduler.release(('entry-0', 0), report, 0.1, random)
    assert_that(scheduler.servers['server-0'].has_room(0.15), Equals(False))
    assert_that(scheduler.servers['server-0'].has_room(0.4), Equals(True))


def test_a_retry_goes_to_another_failure_domain(random: Random) -> None:
    scheduler = make_scheduler(4)
    lease_request = make_lease_request(0, excluded=('server-0',))
    for _ in range(10):
        granted = only_grant(scheduler.acquire(lease_request, 0.0, random))
        assert_that(granted.server.failure_domain != 'domain-a', Equals(True))
        scheduler.release(
            lease_request.key, Report(EntryLeaseResult.CANCELLED), 0.0, random
        )


def test_max_leases_bounds_all_leases(random: Random) -> None:
    scheduler = make_scheduler(3, max_leases=2)
    for number in range(3):
        last = scheduler.acquire(make_lease_request(number), 0.0, random)
    assert_that(last[0], IsInstance(Queued))
