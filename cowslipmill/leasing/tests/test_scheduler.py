"""Decisions of a slot scheduler, one by one."""

from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from cowslipmill.leasing.leaserequest import AskOtherDomains
from cowslipmill.leasing.leaserequest import Decision
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.load import Load
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.leasing.tests.conftest import make_record
from cowslipmill.leasing.tests.conftest import make_request
from cowslipmill.leasing.tests.conftest import make_scheduler
from cowslipmill.leasing.tests.conftest import report_load


def decide(
    scheduler: SlotScheduler,
    random: Random,
    *requests: LeaseRequest,
    now: float = 0.0,
) -> list[Decision]:
    for request in requests:
        scheduler.enqueue(request)
    return scheduler.decide(now, random)


def report(key: tuple[str, int], server: str, result: LeaseResult) -> Report:
    return Report(key, 'registry', 'domain-a', server, result, 0.1)


def grants_in(decisions: list[Decision]) -> list[Grant]:
    return [d for d in decisions if isinstance(d, Grant)]


def test_grants_never_exceed_the_slots(random: Random) -> None:
    scheduler = make_scheduler(2, slots=2)
    requests = [make_request(n, objective_s=5.0) for n in range(7)]
    decisions = decide(scheduler, random, *requests)
    assert_that(len(grants_in(decisions)), Equals(4))
    assert_that(len(scheduler.queue), Equals(3))


def test_servers_with_many_slots_are_kept_below_the_knee(
    random: Random,
) -> None:
    scheduler = make_scheduler(1, slots=6)
    requests = [make_request(n, objective_s=5.0) for n in range(6)]
    assert_that(
        len(grants_in(decide(scheduler, random, *requests))), Equals(4)
    )


def test_a_fast_server_is_preferred_to_a_slow_one(random: Random) -> None:
    scheduler = make_scheduler(2)
    report_load(scheduler.servers['server-0'], 0.0, slowdown=5.0)
    report_load(scheduler.servers['server-1'], 0.0)
    grants = grants_in(
        decide(scheduler, random, make_request(1), make_request(2))
    )
    assert_that({g.server for g in grants}, Equals({'server-1'}))


def test_a_request_is_queued_while_every_server_is_slow(
    random: Random,
) -> None:
    scheduler = make_scheduler(1)
    report_load(scheduler.servers['server-0'], 0.0, slowdown=5.0)
    assert_that(decide(scheduler, random, make_request(1)), Equals([]))
    report_load(scheduler.servers['server-0'], 0.05)
    assert_that(len(grants_in(scheduler.decide(0.05, random))), Equals(1))


def test_a_request_gets_a_slow_server_when_its_time_runs_out(
    random: Random,
) -> None:
    scheduler = make_scheduler(1)
    server = scheduler.servers['server-0']
    report_load(server, 0.0, slowdown=5.0)
    decide(
        scheduler, random, make_request(1, objective_s=0.3, deadline_s=0.85)
    )
    report_load(server, 0.2, slowdown=5.0)
    assert_that(scheduler.decide(0.2, random), Equals([]))
    report_load(server, 0.3, slowdown=5.0)
    assert_that(len(grants_in(scheduler.decide(0.3, random))), Equals(1))


def test_a_late_request_yields_to_one_that_can_be_in_time(
    random: Random,
) -> None:
    scheduler = make_scheduler(1, slots=1)
    late = make_request(1, objective_s=0.1, deadline_s=9.0, priority=0)
    in_time = make_request(2, now=0.2, objective_s=0.5)
    report_load(scheduler.servers['server-0'], 0.2)
    (grant,) = decide(scheduler, random, late, in_time, now=0.2)
    assert_that(grant, IsInstance(Grant))
    assert isinstance(grant, Grant)
    assert_that(grant.key, Equals(in_time.key))
    assert_that(scheduler.queue, Equals([late]))


def test_a_request_that_will_be_late_yields_too(random: Random) -> None:
    scheduler = make_scheduler(1, slots=1)
    scheduler.processing_times.record('read', 0.2)
    first = make_request(1, objective_s=0.1, deadline_s=9.0, priority=0)
    in_time = make_request(2, objective_s=0.5)
    (grant,) = decide(scheduler, random, first, in_time)
    assert isinstance(grant, Grant)
    assert_that(grant.key, Equals(in_time.key))


def test_late_requests_are_refused_at_once_during_an_overload(
    random: Random,
) -> None:
    scheduler = make_scheduler(1, slots=1)
    late = make_request(1, objective_s=0.1, deadline_s=9.0, priority=0)
    requests = [make_request(n, now=0.2, objective_s=0.3) for n in range(2, 9)]
    report_load(scheduler.servers['server-0'], 0.2)
    decisions = decide(scheduler, random, late, *requests, now=0.2)
    refused = {d.key for d in decisions if isinstance(d, Refusal)}
    assert_that(late.key in refused, Equals(True))
    assert_that(len(refused), GreaterThan(1))


def test_a_server_that_stays_slow_is_used(random: Random) -> None:
    scheduler = make_scheduler(1)
    server = scheduler.servers['server-0']
    scheduler.processing_times.record('read', 0.1)
    report_load(server, 0.0, slowdown=3.0)
    report_load(server, 0.5, slowdown=3.0)
    request = make_request(1, now=0.5, objective_s=1.0)
    assert_that(
        len(grants_in(decide(scheduler, random, request, now=0.5))), Equals(1)
    )


def test_a_request_that_cannot_meet_its_deadline_is_not_granted(
    random: Random,
) -> None:
    scheduler = make_scheduler(1)
    server = scheduler.servers['server-0']
    scheduler.processing_times.record('read', 0.2)
    report_load(server, 0.0, slowdown=20.0)
    report_load(server, 0.5, slowdown=20.0)
    late = make_request(1, now=0.5, objective_s=0.1, deadline_s=2.0)
    assert_that(
        grants_in(decide(scheduler, random, late, now=0.5)), Equals([])
    )
    later_deadline = make_request(2, now=0.5, objective_s=0.1, deadline_s=9.0)
    decisions = decide(scheduler, random, later_deadline, now=0.5)
    assert_that(
        [g.key for g in grants_in(decisions)], Equals([later_deadline.key])
    )


@pytest.mark.parametrize('order', [(1, 0), (0, 1)])
def test_the_more_urgent_request_is_granted_first(
    random: Random, order: tuple[int, int]
) -> None:
    scheduler = make_scheduler(1, slots=1)
    requests = [make_request(p, priority=p, objective_s=5) for p in order]
    (grant,) = grants_in(decide(scheduler, random, *requests))
    assert_that(grant.key, Equals(('host-1', 0)))


def test_requests_that_cannot_meet_their_objective_are_refused_at_once(
    random: Random,
) -> None:
    scheduler = make_scheduler(1, slots=1)
    requests = [make_request(n, objective_s=0.3) for n in range(20)]
    decisions = decide(scheduler, random, *requests)
    refused = [d for d in decisions if isinstance(d, Refusal)]
    assert_that(len(refused), GreaterThan(15))
    assert_that({r.reason for r in refused}, Equals({'overloaded'}))


def test_the_retry_delay_grows_with_the_queue(random: Random) -> None:
    delays_s = []
    for waiting in (1, 10):
        scheduler = make_scheduler(1, slots=1)
        scheduler.processing_times.record('read', 0.15)
        requests = [make_request(n, objective_s=9.0) for n in range(waiting)]
        decide(scheduler, Random(1), *requests)
        (refusal,) = decide(
            scheduler, Random(1), make_request(99, objective_s=0.2)
        )
        assert isinstance(refusal, Refusal)
        delays_s.append(refusal.retry_after_s)
    assert_that(delays_s[0], LessThan(delays_s[1]))


def test_retry_delays_are_spread(random: Random) -> None:
    scheduler = make_scheduler(0)
    decisions = decide(scheduler, random, *(make_request(n) for n in range(9)))
    delays_s = {d.retry_after_s for d in decisions if isinstance(d, Refusal)}
    assert_that(len(delays_s), Equals(9))


def test_other_domains_are_tried_when_the_own_is_full(
    random: Random,
) -> None:
    scheduler = make_scheduler(1, slots=1, other_domains_available=True)
    requests = [make_request(n, objective_s=0.5) for n in range(3)]
    decisions = decide(scheduler, random, *requests)
    remote = [d for d in decisions if isinstance(d, AskOtherDomains)]
    assert_that(len(remote), GreaterThan(0))


def test_large_requests_stay_in_their_domain(random: Random) -> None:
    scheduler = make_scheduler(1, other_domains_available=True)
    report_load(scheduler.servers['server-0'], 0.0, slowdown=5.0)
    decisions = decide(scheduler, random, make_request(1, kilobytes=9.0))
    assert_that(decisions, Equals([]))


def test_small_requests_leave_a_domain_that_is_slow(random: Random) -> None:
    scheduler = make_scheduler(1, other_domains_available=True)
    report_load(scheduler.servers['server-0'], 0.0, slowdown=5.0)
    (decision,) = decide(scheduler, random, make_request(1, kilobytes=0.5))
    assert_that(decision, IsInstance(AskOtherDomains))


def test_large_requests_leave_their_domain_rather_than_be_late(
    random: Random,
) -> None:
    scheduler = make_scheduler(1, other_domains_available=True)
    slow = scheduler.servers['server-0']
    report_load(slow, 0.0, slowdown=5.0)
    request = make_request(1, kilobytes=9.0)
    assert_that(decide(scheduler, random, request), Equals([]))
    report_load(slow, 0.15, slowdown=5.0)
    (decision,) = decide(scheduler, random, now=0.15)
    assert_that(decision, IsInstance(AskOtherDomains))


def test_a_slow_server_is_granted_when_waiting_would_be_late(
    random: Random,
) -> None:
    scheduler = make_scheduler(1)
    slow = scheduler.servers['server-0']
    report_load(slow, 0.0, slowdown=2.0)
    request = make_request(1, objective_s=0.4)
    assert_that(decide(scheduler, random, request), Equals([]))
    report_load(slow, 0.1, slowdown=2.0)
    (decision,) = decide(scheduler, random, now=0.1)
    assert_that(decision, IsInstance(Grant))


def test_another_domain_is_granted_only_a_faster_server(
    random: Random,
) -> None:
    scheduler = make_scheduler(1)
    report_load(scheduler.servers['server-0'], 0.0, slowdown=5.0)
    (decision,) = decide(
        scheduler, random, make_request(1, max_duration_s=0.11)
    )
    assert_that(decision, IsInstance(Refusal))
    report_load(scheduler.servers['server-0'], 0.01)
    (decision,) = decide(
        scheduler,
        random,
        make_request(2, now=0.01, max_duration_s=0.2),
        now=0.01,
    )
    assert_that(decision, IsInstance(Grant))


def test_a_server_that_was_tried_is_not_granted_again(
    random: Random,
) -> None:
    scheduler = make_scheduler(2)
    request = make_request(1, excluded=('server-0',))
    (grant,) = grants_in(decide(scheduler, random, request))
    assert_that(grant.server, Equals('server-1'))


def test_a_server_that_fails_fast_gets_no_requests(random: Random) -> None:
    scheduler = make_scheduler(2, slots=4)
    for number in range(8):
        key = ('host-1', number)
        scheduler.record_result(
            report(key, 'server-0', LeaseResult.FAILED), 0.0
        )
    requests = [make_request(n, objective_s=2.0) for n in range(3)]
    grants = grants_in(decide(scheduler, random, *requests))
    assert_that({g.server for g in grants}, Equals({'server-1'}))


def test_the_failure_rate_decays(random: Random) -> None:
    scheduler = make_scheduler(1)
    server = scheduler.servers['server-0']
    scheduler.record_result(
        report(('host-1', 1), 'server-0', LeaseResult.FAILED), 0.0
    )
    assert_that(server.decayed_failure_rate(0.0), GreaterThan(0.2))
    assert_that(server.decayed_failure_rate(10.0), LessThan(0.01))


def test_an_unreachable_server_is_blocked_and_used_again(
    random: Random,
) -> None:
    scheduler = make_scheduler(1)
    key = ('host-1', 1)
    scheduler.record_result(
        report(key, 'server-0', LeaseResult.UNREACHABLE), 0.0
    )
    assert_that(
        grants_in(decide(scheduler, random, make_request(2))), Equals([])
    )
    report_load(scheduler.servers['server-0'], 0.2)
    assert_that(len(grants_in(scheduler.decide(0.2, random))), Equals(1))


def test_a_server_without_response_gets_no_requests_until_it_responds(
    random: Random,
) -> None:
    scheduler = make_scheduler(1)
    server = scheduler.servers['server-0']
    server.record_probe_failure(0.0)
    decide(scheduler, random, make_request(1, objective_s=5.0), now=1.0)
    assert_that(len(scheduler.queue), Equals(1))
    report_load(server, 1.1)
    assert_that(len(grants_in(scheduler.decide(1.1, random))), Equals(1))


def test_a_new_incarnation_starts_without_history(random: Random) -> None:
    scheduler = make_scheduler(1)
    scheduler.record_result(
        report(('host-1', 1), 'server-0', LeaseResult.FAILED), 0.0
    )
    record = make_record(0)
    restarted = type(record)(
        record.name,
        2,
        *[getattr(record, f) for f in record.__struct_fields__[2:]],
    )
    scheduler.set_servers([(restarted, False)], 1.0)
    assert_that(scheduler.servers['server-0'].failure_rate, Equals(0.0))


def test_a_missing_server_is_the_last_resort(random: Random) -> None:
    scheduler = make_scheduler(0)
    records = [(make_record(0), True), (make_record(1), False)]
    scheduler.set_servers(records, 0.0)
    for server in scheduler.servers.values():
        report_load(server, 0.0)
    requests = [make_request(n, objective_s=3.0) for n in range(3)]
    servers = [
        g.server for g in grants_in(decide(scheduler, random, *requests))
    ]
    assert_that(servers, Equals(['server-1', 'server-1', 'server-0']))


def test_a_lost_lease_expires_after_its_deadline(random: Random) -> None:
    scheduler = make_scheduler(1, slots=1)
    decide(scheduler, random, make_request(1, deadline_s=1.0))
    report_load(scheduler.servers['server-0'], 3.0)
    request = make_request(2, now=3.0)
    assert_that(
        len(grants_in(decide(scheduler, random, request, now=3.0))), Equals(1)
    )


def test_a_cancelled_request_leaves_the_queue(random: Random) -> None:
    scheduler = make_scheduler(1, slots=1)
    decide(
        scheduler, random, *(make_request(n, objective_s=5) for n in range(2))
    )
    scheduler.cancel(('host-1', 1))
    assert_that(scheduler.queue, Equals([]))


def test_a_decision_probes_a_sample_of_a_large_service(random: Random) -> None:
    scheduler = make_scheduler(60)
    scheduler.enqueue(make_request(1, now=1.0))
    assert_that(len(scheduler.servers_to_probe(1.0, random)), LessThan(9))


def test_no_server_is_probed_while_enough_slots_are_known(
    random: Random,
) -> None:
    scheduler = make_scheduler(5)
    report_load(scheduler.servers['server-0'], 1.0)
    scheduler.enqueue(make_request(1, now=1.0))
    assert_that(scheduler.servers_to_probe(1.001, random), Equals([]))
    assert_that(len(scheduler.servers_to_probe(1.01, random)), GreaterThan(0))


def test_recently_slow_servers_are_probed_last(
    random: Random,
) -> None:
    scheduler = make_scheduler(12)
    for number in range(6):
        report_load(scheduler.servers[f'server-{number}'], 1.0, slowdown=5.0)
    scheduler.enqueue(make_request(1, now=1.02))
    probed = {
        server.name for server in scheduler.servers_to_probe(1.02, random)
    }
    slow = {f'server-{number}' for number in range(6)}
    assert_that(probed & slow, Equals(set()))


def test_a_full_server_is_probed_seldom(random: Random) -> None:
    scheduler = make_scheduler(1, slots=1)
    report_load(scheduler.servers['server-0'], 1.0, running=1)
    scheduler.enqueue(make_request(1, now=1.05))
    assert_that(scheduler.servers_to_probe(1.05, random), Equals([]))
    assert_that(len(scheduler.servers_to_probe(1.15, random)), Equals(1))


def test_no_lease_is_granted_by_an_old_report(random: Random) -> None:
    scheduler = make_scheduler(1)
    decisions = decide(scheduler, random, make_request(1, now=0.2), now=0.2)
    assert_that(grants_in(decisions), Equals([]))
    report_load(scheduler.servers['server-0'], 0.21)
    assert_that(len(grants_in(scheduler.decide(0.21, random))), Equals(1))


def test_a_request_that_has_waited_is_granted_by_an_older_report(
    random: Random,
) -> None:
    scheduler = make_scheduler(1)
    request = make_request(1, now=0.2)
    decide(scheduler, random, request, now=0.2)
    report_load(scheduler.servers['server-0'], 0.2)
    assert_that(len(grants_in(scheduler.decide(0.24, random))), Equals(1))


def test_a_server_without_load_reports_is_limited_by_its_leases(
    random: Random,
) -> None:
    scheduler = make_scheduler(1, slots=2)
    server = scheduler.servers['server-0']
    server.record_load(Load(0, 0, 2, 1.0, reported=False), 0.0, 0.0)
    requests = [make_request(n, now=5.0, objective_s=9.0) for n in range(3)]
    grants = grants_in(decide(scheduler, random, *requests, now=5.0))
    assert_that(len(grants), Equals(2))
    server.record_probe_failure(5.1)
    assert_that(server.failed_probes, Equals(0))
