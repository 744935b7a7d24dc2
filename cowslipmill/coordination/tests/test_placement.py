"""Properties of the assignment of services to coordinators."""

from random import Random

from hypothesis import given
from hypothesis.strategies import integers
from hypothesis.strategies import lists
from msgspec.structs import replace
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import LessThan

from cowslipmill.coordination.placement import choose_coordinators
from cowslipmill.coordination.placement import choose_first_coordinator
from cowslipmill.coordination.placement import count_coordinators
from cowslipmill.coordination.placement import find_coordinator
from cowslipmill.coordination.placement import Placement
from cowslipmill.coordination.tests.conftest import make_member
from cowslipmill.coordination.tests.conftest import make_server
from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.hosts.noderecord import NodeRecord

members = lists(integers(0, 40), min_size=1, max_size=19, unique=True).map(
    lambda numbers: [make_member(number) for number in numbers]
)
servers = lists(integers(0, 99), max_size=30, unique=True).map(
    lambda numbers: [make_server(number) for number in numbers]
)


@given(members, servers, integers(1, 3))
def test_each_server_has_one_coordinator(
    members: list[Member], servers: list[NodeRecord], count: int
) -> None:
    coordinators = choose_coordinators('registry', members, count)
    placement = Placement(coordinators, servers)
    owned = [
        record.name
        for part in placement.servers_by_coordinator.values()
        for record in part
    ]
    assert_that(sorted(owned), Equals(sorted(s.name for s in servers)))


@given(members, integers(1, 3))
def test_coordinators_are_in_different_failure_domains(
    members: list[Member], count: int
) -> None:
    coordinators = choose_coordinators('registry', members, count)
    domains = {coordinator.failure_domain for coordinator in coordinators}
    assert_that(domains, HasLength(len(coordinators)))


@given(members, servers)
def test_order_of_the_view_does_not_matter(
    members: list[Member], servers: list[NodeRecord]
) -> None:
    one = Placement(choose_coordinators('registry', members, 3), servers)
    two = Placement(choose_coordinators('registry', members[::-1], 3), servers)
    assert_that(two.coordinators, Equals(one.coordinators))
    assert_that(two.servers_by_coordinator, Equals(one.servers_by_coordinator))


@given(members, servers, integers(0, 18))
def test_only_servers_of_a_lost_coordinator_move(
    members: list[Member], servers: list[NodeRecord], index: int
) -> None:
    lost = members[index % len(members)]
    before = choose_coordinators('registry', members, 3)
    rest = [member for member in members if member is not lost]
    after = choose_coordinators('registry', rest, 3)
    if lost not in before:
        assert_that(after, Equals(before))
        return
    for server in servers:
        coordinator = find_coordinator(server, before)
        if coordinator is None or coordinator is lost:
            continue
        if coordinator.failure_domain == server.failure_domain:
            assert_that(find_coordinator(server, after), Equals(coordinator))


def test_leaving_entries_are_no_coordinators() -> None:
    leaving = [
        replace(make_member(number), state=LifecycleState.LEAVING)
        for number in range(3)
    ]
    coordinators = choose_coordinators(
        'registry', [*leaving, make_member(7)], 3
    )
    assert_that(
        [coordinator.name for coordinator in coordinators], Equals(['entry-7'])
    )


def test_services_spread_over_the_entries() -> None:
    members = [make_member(number) for number in range(18)]
    coordinators = [
        choose_coordinators(f'service-{number}', members, 1)[0].name
        for number in range(430)
    ]
    most = max(coordinators.count(member.name) for member in members)
    assert_that(most, LessThan(2 * 430 // 18))


def test_large_services_get_a_coordinator_in_each_failure_domain() -> None:
    assert_that(count_coordinators(14, 3), Equals(1))
    assert_that(count_coordinators(481, 3), Equals(3))
    assert_that(count_coordinators(10_000, 3), Equals(3))


def test_coordinator_in_the_own_failure_domain_is_asked_first() -> None:
    """A near coordinator saves a round trip, unless it has no servers."""
    coordinators = [make_member(number) for number in range(3)]
    near = coordinators[2].failure_domain
    assert_that(
        choose_first_coordinator(coordinators, [5, 5, 1], near, Random(1)),
        Equals(2),
    )
    first = choose_first_coordinator(coordinators, [0, 5, 0], near, Random(1))
    assert_that(first, Equals(1))
