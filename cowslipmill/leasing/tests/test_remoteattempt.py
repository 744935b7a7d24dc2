"""Tests of requests to other failure domains while servers are short.

Guard against coordinators that spend their processor time on attempts which
fail, and against requests that wait for servers which don't respond.
"""

from random import Random

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.leasing.leaserequest import AskOtherDomains
from cowslipmill.leasing.remoteattempt import REMOTE_ATTEMPT_PAUSE_S
from cowslipmill.leasing.remoteattempt import RemotePace
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.leasing.tests.conftest import make_request
from cowslipmill.leasing.tests.conftest import make_scheduler
from cowslipmill.leasing.tests.conftest import report_load

QUEUED = 20


def make_full_scheduler(*, weighs_cost: bool) -> SlotScheduler:
    """Returns a scheduler of full servers with queued requests."""
    scheduler = make_scheduler(other_domains_available=True)
    scheduler.weighs_cost = weighs_cost
    for server in scheduler.servers.values():
        report_load(server, 0.0, running=2)
    for number in range(QUEUED):
        scheduler.enqueue(make_request(number, objective_s=3.0))
    return scheduler


def count_attempts(scheduler: SlotScheduler, now: float) -> int:
    """Decides, and lets each attempt fail; returns their number."""
    decisions = scheduler.decide(now, Random(1))
    attempts = [d for d in decisions if isinstance(d, AskOtherDomains)]
    for attempt in attempts:
        scheduler.end_remote_attempt(attempt.request, now)
    return len(attempts)


def test_attempts_are_paced_while_other_domains_are_full() -> None:
    """All queued requests would ask again every 50 ms."""
    scheduler = make_full_scheduler(weighs_cost=True)
    count_attempts(scheduler, 0.0)
    now = 0.0
    attempts = 0
    while now < 1.0:
        now += 0.01
        attempts += count_attempts(scheduler, now)
    rounds = round(1.0 / REMOTE_ATTEMPT_PAUSE_S)
    assert_that(attempts <= rounds, Equals(True))


def test_attempts_go_on_after_one_that_succeeds() -> None:
    """Free servers elsewhere would be found by one request at a time."""
    pace = RemotePace()
    pace.record_result(granted=False, now=0.0)
    assert_that(pace.allows(0.01), Equals(False))
    pace.record_result(granted=True, now=0.02)
    assert_that(pace.allows(0.02), Equals(True))


def test_servers_that_do_not_respond_are_out_of_service() -> None:
    """Requests would wait for them, and ask other domains again and again."""
    scheduler = make_full_scheduler(weighs_cost=True)
    first, *others = scheduler.servers.values()
    for server in others:
        server.record_probe_failure(0.0)
    assert_that(scheduler.is_out_of_service(), Equals(False))
    first.record_probe_failure(0.0)
    assert_that(scheduler.is_out_of_service(), Equals(True))
    report_load(first, 0.1)
    assert_that(scheduler.is_out_of_service(), Equals(False))


def test_a_lone_failure_domain_stays_in_service() -> None:
    """Its requests have nowhere else to go."""
    scheduler = make_full_scheduler(weighs_cost=True)
    scheduler.other_domains_available = False
    for server in scheduler.servers.values():
        server.record_probe_failure(0.0)
    assert_that(scheduler.is_out_of_service(), Equals(False))
