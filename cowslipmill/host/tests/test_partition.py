"""Tests of hosts that lose their links to servers, over several hosts.

Guard against callers being served worse by a host that reaches no server, or
only some, than by the others, and against other hosts paying for it.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from collections.abc import AsyncIterator
from collections.abc import Sequence

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.host.host import Host
from cowslipmill.host.tests.conftest import DOMAINS
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.partition import Cut
from cowslipmill.host.tests.partition import Partition
from cowslipmill.http1.message import Response

# Time after which a cut is no excuse any more.
CONTACT_S = 3.0
REQUESTS = 40
REQUEST_INTERVAL_S = 0.02
# Callers of cut hosts are served at least so often.
SERVED_SHARE = 0.9


@pytest_asyncio.fixture
async def partition(large_fleet: Fleet) -> AsyncIterator[Partition]:
    """Puts proxies between four hosts and four servers."""
    for name in ('three', 'four'):
        await large_fleet.add_backend(name, slots=4, domain=DOMAINS[1])
    for name in ('one', 'two'):
        large_fleet.backends[name].slots = 4
    await large_fleet.wait_until(
        lambda: all(len(h.view.servers) == 4 for h in large_fleet.hosts)
    )
    partition = Partition(large_fleet.hosts)
    yield partition
    partition.stop()


def coordinator(fleet: Fleet, domain: str = DOMAINS[0]) -> Host:
    """Returns the host that grants the slots of a domain's servers."""
    host = fleet.hosts[0]
    member = host.member_list.ranked_states('registry', domain)[0].member
    (found,) = [h for h in fleet.hosts if h.settings.name == member.name]
    return found


async def cut_off(
    fleet: Fleet, partition: Partition, hosts: Sequence[Host], how: Cut
) -> None:
    """Cuts all links between hosts and servers, which are in use."""
    addresses = [b.address for b in fleet.backends.values()]
    for host in hosts:
        await partition.connect(host, addresses)
    await send_requests(fleet, fleet.hosts, 20)
    for host in hosts:
        await partition.cut(host, addresses, how)


async def send_requests(
    fleet: Fleet, hosts: Sequence[Host], count: int = REQUESTS
) -> list[Response | BaseException]:
    """Sends requests to hosts in turn, half of them not idempotent."""
    tasks = []
    for number in range(count):
        index = fleet.hosts.index(hosts[number % len(hosts)])
        kind = 'book' if number // len(hosts) % 2 else 'read'
        tasks.append(
            create_task(fleet.send_request(f'/{kind}/{number}', host=index))
        )
        await sleep(REQUEST_INTERVAL_S)
    return list(await gather(*tasks, return_exceptions=True))


def count_served(responses: Sequence[Response | BaseException]) -> int:
    """Returns how many requests were answered with success."""
    return sum(
        isinstance(response, Response) and response.status == 200
        for response in responses
    )


def cut_hosts(fleet: Fleet, scope: str) -> list[Host]:
    """Returns the hosts to cut off: `one`, a `domain` or `most`."""
    if scope == 'domain':
        return [
            host
            for host in fleet.hosts
            if host.settings.failure_domain == DOMAINS[0]
        ]
    leader = coordinator(fleet)
    if scope == 'coordinator':
        return [leader]
    others = [host for host in fleet.hosts if host is not leader]
    if scope == 'most':
        return [leader, *others[:-1]]
    return [
        host
        for host in others
        if host.settings.failure_domain == leader.settings.failure_domain
    ]


SCOPES = ('one', 'coordinator', 'domain', 'most')


@pytest.mark.parametrize('how', list(Cut))
@pytest.mark.parametrize('scope', SCOPES)
async def test_callers_of_hosts_that_reach_no_server_are_served(
    large_fleet: Fleet, partition: Partition, scope: str, how: Cut
) -> None:
    """At the first attempt, from the time on at which the cut is known."""
    hosts = cut_hosts(large_fleet, scope)
    await cut_off(large_fleet, partition, hosts, how)
    load = create_task(send_requests(large_fleet, large_fleet.hosts, 100))
    await sleep(CONTACT_S)
    await load
    responses = await send_requests(large_fleet, hosts)
    assert_that(
        count_served(responses), GreaterThan(SERVED_SHARE * REQUESTS - 1)
    )


@pytest.mark.parametrize('how', list(Cut))
@pytest.mark.parametrize('scope', ('one', 'coordinator'))
async def test_a_cut_host_takes_no_slot_from_the_others(
    large_fleet: Fleet, partition: Partition, scope: str, how: Cut
) -> None:
    """Its failures don't count against servers that other hosts reach."""
    hosts = cut_hosts(large_fleet, scope)
    calm = [host for host in large_fleet.hosts if host not in hosts]
    await cut_off(large_fleet, partition, hosts, how)
    load = create_task(send_requests(large_fleet, hosts, 100))
    await sleep(CONTACT_S / 3)
    responses = await send_requests(large_fleet, calm, 3 * REQUESTS)
    await load
    assert_that(count_served(responses), Equals(3 * REQUESTS))


@pytest.mark.parametrize('how', list(Cut))
async def test_a_cut_is_no_crash_of_servers(
    large_fleet: Fleet, partition: Partition, how: Cut
) -> None:
    """No request becomes a suspect because its host lost its links."""
    hosts = cut_hosts(large_fleet, 'coordinator')
    for backend in large_fleet.backends.values():
        backend.work_s = 0.2
    addresses = [b.address for b in large_fleet.backends.values()]
    await partition.connect(hosts[0], addresses)
    load = create_task(send_requests(large_fleet, hosts, 20))
    await sleep(0.3)
    await partition.cut(hosts[0], addresses, how)
    await load
    await sleep(1.0)
    # A crash that was reported is dismissed once the server has been checked.
    standing = [
        crash
        for record in hosts[0].gossip.suspects.records.values()
        for crash, dismissed in record.crash_ids.items()
        if not dismissed
    ]
    suspects = [
        record
        for host in large_fleet.hosts
        for record in host.gossip.suspects.records.values()
        if record.suspect
    ]
    assert_that(standing, Equals([]))
    assert_that(suspects, Equals([]))


async def test_a_host_without_help_blocks_no_server(
    large_fleet: Fleet, partition: Partition
) -> None:
    """What it can't reach is not down on its word alone."""
    (cut,) = cut_hosts(large_fleet, 'one')
    for host in large_fleet.hosts:
        host.relay_server.stopping = True
    await cut_off(large_fleet, partition, [cut], Cut.HANG)
    await send_requests(large_fleet, [cut], 30)
    leader = coordinator(large_fleet).lease_manager
    servers = leader.coordinators['registry', DOMAINS[0]].scheduler.servers
    assert_that(
        [server.failure_rate for server in servers.values()],
        Equals([0.0, 0.0]),
    )


async def test_servers_of_a_cut_domain_stay_in_use(
    large_fleet: Fleet, partition: Partition
) -> None:
    """A coordinator that reaches no server leaves its servers to another."""
    hosts = cut_hosts(large_fleet, 'domain')
    await cut_off(large_fleet, partition, hosts, Cut.HANG)
    await send_requests(large_fleet, hosts, 60)
    before = large_fleet.execution_count()
    near = [large_fleet.backends[name] for name in ('one', 'two')]
    runs_before = sum(len(backend.runs) for backend in near)
    await send_requests(large_fleet, large_fleet.hosts, 2 * REQUESTS)
    runs = sum(len(backend.runs) for backend in near) - runs_before
    share = runs / (large_fleet.execution_count() - before)
    assert_that(share, GreaterThan(1 / 3))


@pytest.mark.parametrize('how', list(Cut))
async def test_a_cut_host_does_not_have_servers_ejected(
    large_fleet: Fleet, partition: Partition, how: Cut
) -> None:
    """Else the other hosts would lose servers that they reach."""
    hosts = cut_hosts(large_fleet, 'one')
    await cut_off(large_fleet, partition, hosts, how)
    await send_requests(large_fleet, large_fleet.hosts, 100)
    ejections = [
        server.ejection.ejections
        for host in large_fleet.hosts
        for coordinator in host.lease_manager.coordinators.values()
        for server in coordinator.scheduler.servers.values()
    ]
    assert_that(sum(ejections), Equals(0))
