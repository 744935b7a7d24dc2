"""Decisions of a home, one by one."""

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
from cowslipmill.leasing.tests.conftest import make_home
from cowslipmill.leasing.tests.conftest import make_record
from cowslipmill.leasing.tests.conftest import make_ticket
from cowslipmill.leasing.tests.conftest import tell_load


def decide(
    home: SlotScheduler,
    random: Random,
    *tickets: LeaseRequest,
    now: float = 0.0,
) -> list[Decision]:
    for ticket in tickets:
        home.enqueue(ticket)
    return home.decide(now, random)


def report(key: tuple[str, int], server: str, result: LeaseResult) -> Report:
    return Report(key, 'registry', 'domain-a', server, result, 0.1)


def granted(decisions: list[Decision]) -> list[Grant]:
    return [d for d in decisions if isinstance(d, Grant)]


def test_grants_never_exceed_the_slots(random: Random) -> None:
    home = make_home(2, slots=2)
    tickets = [make_ticket(n, objective_s=5.0) for n in range(7)]
    decisions = decide(home, random, *tickets)
    assert_that(len(granted(decisions)), Equals(4))
    assert_that(len(home.queue), Equals(3))


def test_servers_with_many_slots_are_kept_below_the_knee(
    random: Random,
) -> None:
    home = make_home(1, slots=6)
    tickets = [make_ticket(n, objective_s=5.0) for n in range(6)]
    assert_that(len(granted(decide(home, random, *tickets))), Equals(4))


def test_a_fast_server_goes_before_a_slow_one(random: Random) -> None:
    home = make_home(2)
    tell_load(home.servers['server-0'], 0.0, slowdown=5.0)
    tell_load(home.servers['server-1'], 0.0)
    grants = granted(decide(home, random, make_ticket(1), make_ticket(2)))
    assert_that({g.server for g in grants}, Equals({'server-1'}))


def test_a_ticket_waits_while_every_server_is_slow(random: Random) -> None:
    home = make_home(1)
    tell_load(home.servers['server-0'], 0.0, slowdown=5.0)
    assert_that(decide(home, random, make_ticket(1)), Equals([]))
    tell_load(home.servers['server-0'], 0.05)
    assert_that(len(granted(home.decide(0.05, random))), Equals(1))


def test_a_ticket_takes_a_slow_server_when_its_time_runs_out(
    random: Random,
) -> None:
    home = make_home(1)
    server = home.servers['server-0']
    tell_load(server, 0.0, slowdown=5.0)
    decide(home, random, make_ticket(1, objective_s=0.3, deadline_s=0.85))
    tell_load(server, 0.2, slowdown=5.0)
    assert_that(home.decide(0.2, random), Equals([]))
    tell_load(server, 0.3, slowdown=5.0)
    assert_that(len(granted(home.decide(0.3, random))), Equals(1))


def test_late_work_yields_to_work_that_can_be_in_time(
    random: Random,
) -> None:
    home = make_home(1, slots=1)
    late = make_ticket(1, objective_s=0.1, deadline_s=9.0, priority=0)
    in_time = make_ticket(2, now=0.2, objective_s=0.5)
    tell_load(home.servers['server-0'], 0.2)
    (grant,) = decide(home, random, late, in_time, now=0.2)
    assert_that(grant, IsInstance(Grant))
    assert isinstance(grant, Grant)
    assert_that(grant.key, Equals(in_time.key))
    assert_that(home.queue, Equals([late]))


def test_work_that_will_be_late_yields_too(random: Random) -> None:
    home = make_home(1, slots=1)
    home.work.record('read', 0.2)
    first = make_ticket(1, objective_s=0.1, deadline_s=9.0, priority=0)
    in_time = make_ticket(2, objective_s=0.5)
    (grant,) = decide(home, random, first, in_time)
    assert isinstance(grant, Grant)
    assert_that(grant.key, Equals(in_time.key))


def test_late_work_is_refused_at_once_while_other_work_is(
    random: Random,
) -> None:
    home = make_home(1, slots=1)
    late = make_ticket(1, objective_s=0.1, deadline_s=9.0, priority=0)
    tickets = [make_ticket(n, now=0.2, objective_s=0.3) for n in range(2, 9)]
    tell_load(home.servers['server-0'], 0.2)
    decisions = decide(home, random, late, *tickets, now=0.2)
    refused = {d.key for d in decisions if isinstance(d, Refusal)}
    assert_that(late.key in refused, Equals(True))
    assert_that(len(refused), GreaterThan(1))


def test_a_server_that_stays_slow_is_used(random: Random) -> None:
    home = make_home(1)
    server = home.servers['server-0']
    home.work.record('read', 0.1)
    tell_load(server, 0.0, slowdown=3.0)
    tell_load(server, 0.5, slowdown=3.0)
    ticket = make_ticket(1, now=0.5, objective_s=1.0)
    assert_that(len(granted(decide(home, random, ticket, now=0.5))), Equals(1))


def test_work_that_cannot_meet_its_deadline_is_not_started(
    random: Random,
) -> None:
    home = make_home(1)
    server = home.servers['server-0']
    home.work.record('read', 0.2)
    tell_load(server, 0.0, slowdown=20.0)
    tell_load(server, 0.5, slowdown=20.0)
    late = make_ticket(1, now=0.5, objective_s=0.1, deadline_s=2.0)
    assert_that(granted(decide(home, random, late, now=0.5)), Equals([]))
    patient = make_ticket(2, now=0.5, objective_s=0.1, deadline_s=9.0)
    decisions = decide(home, random, patient, now=0.5)
    assert_that([g.key for g in granted(decisions)], Equals([patient.key]))


@pytest.mark.parametrize('order', [(1, 0), (0, 1)])
def test_the_more_urgent_ticket_goes_first(
    random: Random, order: tuple[int, int]
) -> None:
    home = make_home(1, slots=1)
    tickets = [make_ticket(p, priority=p, objective_s=5) for p in order]
    (grant,) = granted(decide(home, random, *tickets))
    assert_that(grant.key, Equals(('host-1', 0)))


def test_what_cannot_meet_its_objective_is_refused_at_once(
    random: Random,
) -> None:
    home = make_home(1, slots=1)
    tickets = [make_ticket(n, objective_s=0.3) for n in range(20)]
    decisions = decide(home, random, *tickets)
    refused = [d for d in decisions if isinstance(d, Refusal)]
    assert_that(len(refused), GreaterThan(15))
    assert_that({r.reason for r in refused}, Equals({'overloaded'}))


def test_the_wait_told_grows_with_the_backlog(random: Random) -> None:
    waits = []
    for waiting in (1, 10):
        home = make_home(1, slots=1)
        home.work.record('read', 0.15)
        tickets = [make_ticket(n, objective_s=9.0) for n in range(waiting)]
        decide(home, Random(1), *tickets)
        (refusal,) = decide(home, Random(1), make_ticket(99, objective_s=0.2))
        assert isinstance(refusal, Refusal)
        waits.append(refusal.retry_after_s)
    assert_that(waits[0], LessThan(waits[1]))


def test_waits_told_are_spread(random: Random) -> None:
    home = make_home(0)
    decisions = decide(home, random, *(make_ticket(n) for n in range(9)))
    waits = {d.retry_after_s for d in decisions if isinstance(d, Refusal)}
    assert_that(len(waits), Equals(9))


def test_other_domains_are_asked_when_the_own_is_full(
    random: Random,
) -> None:
    home = make_home(1, slots=1, others=True)
    tickets = [make_ticket(n, objective_s=0.5) for n in range(3)]
    decisions = decide(home, random, *tickets)
    asked = [d for d in decisions if isinstance(d, AskOtherDomains)]
    assert_that(len(asked), GreaterThan(0))


def test_large_requests_stay_in_their_domain(random: Random) -> None:
    home = make_home(1, others=True)
    tell_load(home.servers['server-0'], 0.0, slowdown=5.0)
    decisions = decide(home, random, make_ticket(1, kilobytes=9.0))
    assert_that(decisions, Equals([]))


def test_small_requests_leave_a_domain_that_is_slow(random: Random) -> None:
    home = make_home(1, others=True)
    tell_load(home.servers['server-0'], 0.0, slowdown=5.0)
    (decision,) = decide(home, random, make_ticket(1, kilobytes=0.5))
    assert_that(decision, IsInstance(AskOtherDomains))


def test_large_requests_leave_their_domain_rather_than_be_late(
    random: Random,
) -> None:
    home = make_home(1, others=True)
    slow = home.servers['server-0']
    tell_load(slow, 0.0, slowdown=5.0)
    ticket = make_ticket(1, kilobytes=9.0)
    assert_that(decide(home, random, ticket), Equals([]))
    tell_load(slow, 0.15, slowdown=5.0)
    (decision,) = decide(home, random, now=0.15)
    assert_that(decision, IsInstance(AskOtherDomains))


def test_a_slow_server_is_taken_when_it_is_the_last_in_time(
    random: Random,
) -> None:
    home = make_home(1)
    slow = home.servers['server-0']
    tell_load(slow, 0.0, slowdown=2.0)
    ticket = make_ticket(1, objective_s=0.4)
    assert_that(decide(home, random, ticket), Equals([]))
    tell_load(slow, 0.1, slowdown=2.0)
    (decision,) = decide(home, random, now=0.1)
    assert_that(decision, IsInstance(Grant))


def test_another_domain_gets_only_a_better_server(random: Random) -> None:
    home = make_home(1)
    tell_load(home.servers['server-0'], 0.0, slowdown=5.0)
    (decision,) = decide(home, random, make_ticket(1, max_duration_s=0.11))
    assert_that(decision, IsInstance(Refusal))
    tell_load(home.servers['server-0'], 0.01)
    (decision,) = decide(
        home, random, make_ticket(2, now=0.01, max_duration_s=0.2), now=0.01
    )
    assert_that(decision, IsInstance(Grant))


def test_a_server_that_was_tried_is_not_granted_again(
    random: Random,
) -> None:
    home = make_home(2)
    ticket = make_ticket(1, excluded=('server-0',))
    (grant,) = granted(decide(home, random, ticket))
    assert_that(grant.server, Equals('server-1'))


def test_failing_fast_attracts_nothing(random: Random) -> None:
    home = make_home(2, slots=4)
    for number in range(8):
        key = ('host-1', number)
        home.record_result(report(key, 'server-0', LeaseResult.FAILED), 0.0)
    tickets = [make_ticket(n, objective_s=2.0) for n in range(3)]
    grants = granted(decide(home, random, *tickets))
    assert_that({g.server for g in grants}, Equals({'server-1'}))


def test_failures_are_forgotten(random: Random) -> None:
    home = make_home(1)
    server = home.servers['server-0']
    home.record_result(
        report(('host-1', 1), 'server-0', LeaseResult.FAILED), 0.0
    )
    assert_that(server.failure_share(0.0), GreaterThan(0.2))
    assert_that(server.failure_share(10.0), LessThan(0.01))


def test_a_server_out_of_reach_is_set_aside_and_comes_back(
    random: Random,
) -> None:
    home = make_home(1)
    key = ('host-1', 1)
    home.record_result(report(key, 'server-0', LeaseResult.UNREACHABLE), 0.0)
    assert_that(granted(decide(home, random, make_ticket(2))), Equals([]))
    tell_load(home.servers['server-0'], 0.2)
    assert_that(len(granted(home.decide(0.2, random))), Equals(1))


def test_a_silent_server_gets_nothing_until_it_answers(
    random: Random,
) -> None:
    home = make_home(1)
    server = home.servers['server-0']
    server.record_probe_failure(0.0)
    decide(home, random, make_ticket(1, objective_s=5.0), now=1.0)
    assert_that(len(home.queue), Equals(1))
    tell_load(server, 1.1)
    assert_that(len(granted(home.decide(1.1, random))), Equals(1))


def test_a_new_incarnation_starts_without_history(random: Random) -> None:
    home = make_home(1)
    home.record_result(
        report(('host-1', 1), 'server-0', LeaseResult.FAILED), 0.0
    )
    again = make_record(0)
    restarted = type(again)(
        again.name,
        2,
        *[getattr(again, f) for f in again.__struct_fields__[2:]],
    )
    home.set_servers([(restarted, False)], 1.0)
    assert_that(home.servers['server-0'].failures, Equals(0.0))


def test_a_lapsed_server_is_the_last_resort(random: Random) -> None:
    home = make_home(0)
    records = [(make_record(0), True), (make_record(1), False)]
    home.set_servers(records, 0.0)
    for server in home.servers.values():
        tell_load(server, 0.0)
    tickets = [make_ticket(n, objective_s=3.0) for n in range(3)]
    servers = [g.server for g in granted(decide(home, random, *tickets))]
    assert_that(servers, Equals(['server-1', 'server-1', 'server-0']))


def test_a_lost_lease_ends_after_its_deadline(random: Random) -> None:
    home = make_home(1, slots=1)
    decide(home, random, make_ticket(1, deadline_s=1.0))
    tell_load(home.servers['server-0'], 3.0)
    ticket = make_ticket(2, now=3.0)
    assert_that(len(granted(decide(home, random, ticket, now=3.0))), Equals(1))


def test_a_cancelled_ticket_leaves_the_queue(random: Random) -> None:
    home = make_home(1, slots=1)
    decide(home, random, *(make_ticket(n, objective_s=5) for n in range(2)))
    home.cancel(('host-1', 1))
    assert_that(home.queue, Equals([]))


def test_a_decision_asks_a_sample_of_a_large_service(random: Random) -> None:
    home = make_home(60)
    home.enqueue(make_ticket(1, now=1.0))
    assert_that(len(home.servers_to_probe(1.0, random)), LessThan(9))


def test_nobody_is_asked_while_enough_is_known(random: Random) -> None:
    home = make_home(5)
    tell_load(home.servers['server-0'], 1.0)
    home.enqueue(make_ticket(1, now=1.0))
    assert_that(home.servers_to_probe(1.001, random), Equals([]))
    assert_that(len(home.servers_to_probe(1.01, random)), GreaterThan(0))


def test_servers_that_were_slow_a_moment_ago_are_asked_last(
    random: Random,
) -> None:
    home = make_home(12)
    for number in range(6):
        tell_load(home.servers[f'server-{number}'], 1.0, slowdown=5.0)
    home.enqueue(make_ticket(1, now=1.02))
    asked = {server.name for server in home.servers_to_probe(1.02, random)}
    slow = {f'server-{number}' for number in range(6)}
    assert_that(asked & slow, Equals(set()))


def test_a_full_server_is_asked_seldom(random: Random) -> None:
    home = make_home(1, slots=1)
    tell_load(home.servers['server-0'], 1.0, running=1)
    home.enqueue(make_ticket(1, now=1.05))
    assert_that(home.servers_to_probe(1.05, random), Equals([]))
    assert_that(len(home.servers_to_probe(1.15, random)), Equals(1))


def test_an_old_report_grants_nothing(random: Random) -> None:
    home = make_home(1)
    decisions = decide(home, random, make_ticket(1, now=0.2), now=0.2)
    assert_that(granted(decisions), Equals([]))
    tell_load(home.servers['server-0'], 0.21)
    assert_that(len(granted(home.decide(0.21, random))), Equals(1))


def test_a_server_far_away_serves_a_ticket_that_has_waited(
    random: Random,
) -> None:
    home = make_home(1)
    ticket = make_ticket(1, now=0.2)
    decide(home, random, ticket, now=0.2)
    tell_load(home.servers['server-0'], 0.2)
    assert_that(len(granted(home.decide(0.24, random))), Equals(1))


def test_a_server_that_tells_no_load_is_lent_by_its_leases(
    random: Random,
) -> None:
    home = make_home(1, slots=2)
    server = home.servers['server-0']
    server.record_load(Load(0, 0, 2, 1.0, reported=False), 0.0, 0.0)
    tickets = [make_ticket(n, now=5.0, objective_s=9.0) for n in range(3)]
    grants = granted(decide(home, random, *tickets, now=5.0))
    assert_that(len(grants), Equals(2))
    server.record_probe_failure(5.1)
    assert_that(server.silent, Equals(0))
