"""Tests of servers that warm up, without hosts."""

from random import Random

from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import HasLength
from testtools.matchers import LessThan
from testtools.matchers import MatchesAll

from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import Member
from cowslipmill.leasing.estimate import COLD_FACTOR
from cowslipmill.leasing.estimate import estimate_duration_s
from cowslipmill.leasing.grantlimits import GrantLimits
from cowslipmill.leasing.grantlimits import MAX_LEAVING_COORDINATORS
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.load import Load
from cowslipmill.leasing.ratelimits import COORDINATOR_SHARES
from cowslipmill.leasing.ratelimits import RateLimits
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.tests.conftest import DOMAIN
from cowslipmill.leasing.tests.conftest import make_record
from cowslipmill.leasing.tests.conftest import make_request
from cowslipmill.leasing.tests.conftest import make_scheduler
from cowslipmill.leasing.warmup import WarmUp
from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.tests.conftest import make_configuration
from cowslipmill.view.view import View

LIMIT_PER_S = 4.0
COLD_S = 3.0


def report_cold(
    server: ServerSlots, now: float, warm_up_s: float = COLD_S
) -> None:
    """Records that an idle server says that it stays cold."""
    slots = server.record.slots
    load = Load(0, 0, slots, 1.0, warm_up_s=warm_up_s)
    server.record_load(load, now, now)


def make_cold_scheduler(
    count: int = 1, per_s: float = LIMIT_PER_S
) -> SlotScheduler:
    """Returns a scheduler of servers that turned cold at time 0."""
    scheduler = make_scheduler(count)
    for server in scheduler.servers.values():
        server.warm_up.set_limit(per_s, 2.0, 0.0)
        report_cold(server, 0.0)
    return scheduler


def make_view(per_s: float) -> View:
    """Returns a view with a limit of cold servers, 0 for none."""
    view = View()
    set_limit(view, 1, per_s)
    return view


def set_limit(view: View, version: int, per_s: float) -> None:
    """Publishes a configuration with another limit of cold servers."""
    configuration = make_configuration(version)
    service = replace(configuration.services[0], warm_up_per_s=per_s)
    event = ConfigurationUpdated(replace(configuration, services=(service,)))
    view.apply_events([event], 0.0)


def make_limits(view: View, own: int = 0, hosts: int = 1) -> GrantLimits:
    """Returns the limits of one of some hosts that know each other."""
    members = [
        Member(f'host-{number}', DOMAIN, ('10.0.0.1', 80), number)
        for number in range(hosts)
    ]
    member_list = MemberList(members[own])
    member_list.add(members)
    return GrantLimits(view, member_list, RateLimits())


def test_a_server_that_reports_itself_cold_is_limited_from_then_on(
    random: Random,
) -> None:
    """Its free slots would draw more requests than it withstands."""
    scheduler = make_cold_scheduler()
    (server,) = scheduler.servers.values()
    assert_that(server.free_slots(0.0), Equals(0))
    report_cold(server, 0.26, COLD_S - 0.26)
    for number in range(2):
        scheduler.enqueue(make_request(number, 0.26, objective_s=2.0))
    (grant,) = scheduler.decide(0.26, random)
    assert_that(isinstance(grant, Grant), Equals(True))
    assert_that(server.free_slots(0.26), Equals(0))


def test_a_server_has_all_its_slots_once_it_is_warm() -> None:
    """Its limit would outlast the warm-up."""
    (server,) = make_cold_scheduler().servers.values()
    assert_that(server.free_slots(COLD_S + 0.01), Equals(2))
    assert_that(server.limited_per_s(COLD_S + 0.01), Equals(None))


def test_a_server_that_reports_itself_warm_is_not_limited_any_more() -> None:
    """The time that an earlier report named would keep it limited."""
    (server,) = make_cold_scheduler().servers.values()
    report_cold(server, 0.5, 0.0)
    assert_that(server.free_slots(0.5), Equals(2))


@pytest.mark.parametrize(('entry_s', 'report_s'), [(3.0, 0.0), (0.0, 3.0)])
def test_the_entry_or_the_report_counts_whichever_is_longer(
    entry_s: float, report_s: float
) -> None:
    """A report of which one is late would lift the limit."""
    record = replace(make_record(0), warm_up_s=entry_s)
    server = ServerSlots(record, 0.0)
    server.warm_up.set_limit(LIMIT_PER_S, 2.0, 0.0)
    report_cold(server, 0.0, report_s)
    assert_that(server.limited_per_s(2.9), Equals(LIMIT_PER_S))
    assert_that(server.limited_per_s(3.1), Equals(None))


def test_an_entry_that_turns_cold_limits_a_server_that_reports_no_load() -> (
    None
):
    """Only its entry says so between two probes."""
    scheduler = make_scheduler(1)
    (server,) = scheduler.servers.values()
    server.record_load(Load(0, 0, 2, 1.0, reported=False), 0.0, 0.0)
    server.warm_up.set_limit(LIMIT_PER_S, 2.0, 0.0)
    record = replace(server.record, warm_up_s=COLD_S)
    scheduler.set_servers([(record, False)], 0.5)
    assert_that(server.free_slots(0.5), Equals(0))


@pytest.mark.parametrize(('named', 'warm_up'), [(1.0, 4.0), (4.0, 1.0)])
def test_the_lower_one_of_two_limits_counts(
    named: float, warm_up: float
) -> None:
    """A server in need would get what only a cold one withstands."""
    (server,) = make_cold_scheduler(per_s=warm_up).servers.values()
    server.limit_rate(named, 2.0, 0.0)
    assert_that(server.limited_per_s(0.0), Equals(1.0))
    assert_that(server.token_wait_s(0.0), Equals(1.0))
    assert_that(server.free_slots(0.9), Equals(0))
    assert_that(server.free_slots(1.1), Equals(1))
    server.spend_token(1.1)
    assert_that(server.free_slots(1.9), Equals(0))


def test_a_silent_server_gets_nothing(random: Random) -> None:
    """A lost probe would leave a coordinator with what was known before."""
    scheduler = make_scheduler(1)
    (server,) = scheduler.servers.values()
    server.warm_up.set_limit(LIMIT_PER_S, 2.0, 0.0)
    server.record_probe_failure(0.1)
    scheduler.enqueue(make_request(1, 1.0, objective_s=5.0))
    assert_that(scheduler.decide(1.0, random), Equals([]))


def test_an_older_report_of_a_limited_server_counts_for_one_request(
    random: Random,
) -> None:
    """Requests would be granted again and again though it has turned cold."""
    scheduler = make_scheduler(1)
    (server,) = scheduler.servers.values()
    server.warm_up.set_limit(LIMIT_PER_S, 2.0, 0.0)
    for number in range(2):
        scheduler.enqueue(make_request(number, 0.0, objective_s=5.0))
    decisions = scheduler.decide(0.05, random)
    assert_that(decisions, HasLength(1))


def test_requests_beyond_the_limit_are_refused_until_the_servers_are_warm(
    random: Random,
) -> None:
    """Callers would come back too early, or as late as for a slow limit."""
    scheduler = make_cold_scheduler(per_s=0.1)
    scheduler.enqueue(make_request(1))
    (refusal,) = scheduler.decide(0.0, random)
    assert isinstance(refusal, Refusal)
    assert_that(scheduler.servers['server-0'].token_wait_s(0.0), Equals(3.0))
    assert_that(refusal.retry_after_s, GreaterThan(2.99))


def test_the_wait_counts_cold_servers_by_their_limit(random: Random) -> None:
    """Requests would be queued for slots that may not be used."""
    scheduler = make_cold_scheduler(3)
    estimator = scheduler.wait_estimator
    estimator.update(scheduler.servers.values(), 0.0)
    assert_that(estimator.fast_slots, Equals(0.0))
    assert_that(estimator.limited_per_s, Equals(3 * LIMIT_PER_S))
    estimator.update(scheduler.servers.values(), COLD_S + 0.1)
    assert_that(estimator.fast_slots, Equals(6.0))
    assert_that(estimator.limited_per_s, Equals(0.0))


def test_without_a_limit_a_cold_server_counts_as_slow_by_its_entry() -> None:
    """Deployments without a limit would be served in another way."""
    record = replace(make_record(0), warm_up_s=COLD_S)
    server = ServerSlots(record, 0.0)
    server.warm_up.set_limit(None, 0.0, 0.0)
    report_cold(server, 0.0, 9.0)
    assert_that(server.free_slots(0.0), Equals(2))
    assert_that(server.token_wait_s(0.0), Equals(0.0))
    assert_that(
        estimate_duration_s(server, 0.1, 0.0), Equals(COLD_FACTOR * 0.1)
    )
    assert_that(estimate_duration_s(server, 0.1, 3.1), Equals(0.1))


def test_a_warm_up_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """Each probe would write a line, or the second warm-up none."""
    caplog.set_level('INFO')
    warm_up = WarmUp(make_record(0), 0.0)
    for now in (1.0, 1.5, 2.0, 3.9):
        warm_up.record_report(4.0 - now, now)
    # Reports and entries that were under way at the end.
    warm_up.record_report(0.02, 4.01)
    warm_up.record_entry(0.1, 4.05)
    warm_up.record_report(0.0, 4.2)
    warm_up.record_report(COLD_S, 7.0)
    remaining = [
        getattr(record, 'remaining_ms')  # noqa: B009
        for record in caplog.records
        if record.getMessage() == 'server warming up'
    ]
    assert_that(remaining, Equals([3_000.0, 3_000.0]))


def test_the_limit_holds_without_any_rate_limit() -> None:
    """Limits would be in force only once a server has named one."""
    view = make_view(LIMIT_PER_S)
    scheduler = make_scheduler(1)
    (server,) = scheduler.servers.values()
    limits = make_limits(view)
    limits.apply(scheduler, 'registry', DOMAIN, 0.0)
    report_cold(server, 0.0)
    share, _ = COORDINATOR_SHARES[0]
    assert_that(server.limited_per_s(0.0), Equals(share * LIMIT_PER_S))
    set_limit(view, 2, 0.0)
    limits.apply(scheduler, 'registry', DOMAIN, 0.0)
    assert_that(server.limited_per_s(0.0), Equals(None))


def test_servers_that_come_later_are_limited_as_well() -> None:
    """The limit would hold only for the servers of the first request."""
    view = make_view(LIMIT_PER_S)
    scheduler = make_scheduler(1)
    limits = make_limits(view)
    limits.apply(scheduler, 'registry', DOMAIN, 0.0)
    records = [(make_record(number), False) for number in range(2)]
    scheduler.set_servers(records, 0.0)
    view.generation += 1
    limits.apply(scheduler, 'registry', DOMAIN, 0.0)
    for server in scheduler.servers.values():
        report_cold(server, 0.0)
        assert_that(server.free_slots(0.0), Equals(0))


@pytest.mark.parametrize('leaving', [False, True])
@pytest.mark.parametrize('hosts', [1, 2, 3, 8, 40])
def test_the_shares_of_all_hosts_keep_the_bound(
    hosts: int, leaving: bool
) -> None:
    """Hosts that can't reach each other would exceed it together."""
    view = make_view(LIMIT_PER_S)
    shares = []
    for own in range(hosts):
        limits = make_limits(view, own, hosts)
        if leaving:
            for state in limits.member_list.states.values():
                state.leaving = True
        shares.append(limits.warm_up_share('registry', DOMAIN))
    assert_that(
        sum(share for share, _ in shares),
        MatchesAll(GreaterThan(0.0), LessThan(1.5)),
    )
    most_saved_up = max(MAX_LEAVING_COORDINATORS, 4) + 0.1
    assert_that(sum(saved for _, saved in shares), LessThan(most_saved_up))
