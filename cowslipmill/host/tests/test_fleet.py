"""Tests of several hosts: store reads, gossip, start and drain."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from json import dumps

from pytest import MonkeyPatch
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from cowslipmill.fleet.gossip import Gossip
from cowslipmill.fleet.messages import BroadcastMessage
from cowslipmill.fleet.messages import News
from cowslipmill.host.tests.conftest import DOMAINS
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import make_test_configuration
from cowslipmill.host.tests.conftest import make_test_route
from cowslipmill.host.tests.conftest import WAIT_S
from cowslipmill.http1.message import Request
from cowslipmill.http1.serverconnection import open_connection
from cowslipmill.platform.configuration import decode_configuration
from cowslipmill.view.change import ConfigurationChange
from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.packed import PackedConfiguration

WATCH = '/api/kv-watch'
PAGES = '/api/kv-range'


def configuration_versions(fleet: Fleet) -> list[int]:
    return [
        host.view.configuration.version if host.view.configuration else 0
        for host in fleet.hosts
    ]


def store_call_count(fleet: Fleet) -> int:
    return sum(fleet.store.calls.values())


async def readiness_status(fleet: Fleet, host: int) -> int:
    address = fleet.hosts[host].settings.readiness_listen
    connection = await open_connection(address, 1.0)
    headers = [(b'host', b'x')]
    request = Request(b'GET', b'/api/readiness', headers, b'')
    response = await connection.exchange(request)
    connection.close()
    return response.status


async def test_one_host_reads_the_store_for_all(large_fleet: Fleet) -> None:
    await sleep(1.2)
    calls_before = store_call_count(large_fleet)
    await sleep(2.0)
    # The active reader makes one watch call in 0.9 s.
    assert_that(store_call_count(large_fleet) - calls_before, LessThan(5))


async def test_a_configuration_reaches_all_hosts_within_two_seconds(
    large_fleet: Fleet,
) -> None:
    started_at = get_running_loop().time()
    large_fleet.store.put('op/config', make_test_configuration(9))
    await large_fleet.wait_until(
        lambda: configuration_versions(large_fleet) == [9] * 4
    )
    took_s = get_running_loop().time() - started_at
    assert_that(took_s, LessThan(2.0))


async def test_another_host_takes_over_when_the_active_reader_stops(
    large_fleet: Fleet,
) -> None:
    fleet = large_fleet
    await sleep(1.2)
    reader = next(h for h in fleet.hosts if h.read_schedule.active)
    fleet.hosts.remove(reader)
    await reader.stop()
    started_at = get_running_loop().time()
    fleet.store.put('op/config', make_test_configuration(9))
    await fleet.wait_until(lambda: configuration_versions(fleet) == [9] * 3)
    assert_that(get_running_loop().time() - started_at, LessThan(2.0))


async def test_a_host_starts_from_peers_while_the_store_is_unavailable(
    large_fleet: Fleet,
) -> None:
    large_fleet.store.busy = True
    await large_fleet.add_host()
    await large_fleet.wait_until_ready()
    response = await large_fleet.send_request('/read/a', host=4)
    assert_that(response.status, Equals(200))
    large_fleet.store.busy = False
    large_fleet.store.put('op/config', make_test_configuration(9))
    await large_fleet.wait_until(
        lambda: configuration_versions(large_fleet) == [9] * 5
    )
    assert_that([h.crashed for h in large_fleet.hosts], Equals([False] * 5))


async def test_an_older_configuration_is_ignored(
    large_fleet: Fleet,
) -> None:
    extra = make_test_route('/new/', 'safe')
    large_fleet.store.put('op/config', make_test_configuration(9, extra))
    await large_fleet.wait_until(
        lambda: configuration_versions(large_fleet) == [9] * 4
    )
    large_fleet.store.put('op/config', make_test_configuration(8))
    await sleep(0.5)
    assert_that(configuration_versions(large_fleet), Equals([9] * 4))
    response = await large_fleet.send_request('/new/a', host=3)
    assert_that(response.status, Equals(200))


async def test_hosts_use_servers_of_another_failure_domain(
    large_fleet: Fleet,
) -> None:
    # A coordinator without measurements assumes long durations and refuses
    # requests earlier.
    for host in range(4):
        await large_fleet.send_request('/read/first', host=host)
    responses = await gather(
        *(large_fleet.send_request(f'/read/{n}', host=n % 4) for n in range(8))
    )
    assert_that({r.status for r in responses}, Equals({200}))
    assert_that(
        large_fleet.hosts[2].settings.failure_domain, Equals('domain-b')
    )


async def test_a_host_serves_on_while_its_coordinator_is_unreachable(
    large_fleet: Fleet,
) -> None:
    fleet = large_fleet
    ranked = fleet.hosts[0].member_list.ranked_members(
        'registry', DOMAINS[0], 0.0
    )
    coordinator = next(
        h for h in fleet.hosts if h.settings.name == ranked[0].name
    )
    other = next(
        index
        for index, host in enumerate(fleet.hosts)
        if host.settings.failure_domain == DOMAINS[0]
        and host is not coordinator
    )
    await coordinator.rpc.stop()
    for number in range(4):
        response = await fleet.send_request(f'/read/{number}', host=other)
        assert_that(response.status, Equals(200))


async def test_draining_interrupts_no_request(large_fleet: Fleet) -> None:
    fleet = large_fleet
    for backend in fleet.backends.values():
        backend.work_s = 0.4
    active_request = create_task(fleet.send_request('/book/a'))
    await sleep(0.1)
    drain_task = create_task(fleet.hosts[0].drain())
    await sleep(0.1)
    assert_that(await readiness_status(fleet, 0), Equals(503))
    later_response = await fleet.send_request('/read/b')
    assert_that((await active_request).status, Equals(200))
    assert_that(later_response.status, Equals(200))
    await drain_task


async def test_a_draining_host_refuses_requests_it_may_not_finish(
    large_fleet: Fleet,
) -> None:
    fleet = large_fleet
    drain_task = create_task(fleet.hosts[0].drain())
    await sleep(2.1)
    executions_before = fleet.execution_count()
    response = await fleet.send_request('/book/a')
    assert_that(response.status, Equals(503))
    assert_that(fleet.execution_count(), Equals(executions_before))
    await drain_task


async def test_a_host_stays_ready_while_the_store_is_silent(
    large_fleet: Fleet,
) -> None:
    large_fleet.store.silent = True
    await sleep(1.0)
    assert_that(await readiness_status(large_fleet, 1), Equals(200))


async def test_no_known_state_is_broadcast_when_a_host_starts(
    large_fleet: Fleet, monkeypatch: MonkeyPatch
) -> None:
    event_counts: list[int] = []
    broadcast = Gossip.broadcast

    def count(gossip: Gossip, message: BroadcastMessage) -> None:
        if isinstance(message, News):
            event_counts.append(len(message.events))
        broadcast(gossip, message)

    monkeypatch.setattr(Gossip, 'broadcast', count)
    await large_fleet.add_host()
    await large_fleet.wait_until_ready()
    await sleep(0.3)
    assert_that(max(event_counts, default=0), Equals(0))


async def test_a_host_with_an_unexpected_base_version_catches_up(
    large_fleet: Fleet,
) -> None:
    other = large_fleet.hosts[0]
    raw = dumps(make_test_configuration(5)).encode()
    ahead = ConfigurationUpdated(decode_configuration(raw))
    other.view.apply_events([ahead], other.clock())
    large_fleet.store.put(
        'op/config',
        make_test_configuration(6, make_test_route('/new/', 'safe')),
    )
    await large_fleet.wait_until(
        lambda: configuration_versions(large_fleet) == [6] * 4
    )
    routes = {
        tuple(sorted(r.prefix for r in host.view.configuration.routes))
        for host in large_fleet.hosts
        if host.view.configuration is not None
    }
    assert_that(routes, Equals({('/book/', '/new/', '/read/')}))


async def test_many_new_routes_are_sent_compressed_and_few_as_a_change(
    large_fleet: Fleet,
) -> None:
    gossip = large_fleet.hosts[0].gossip
    many = [make_test_route(f'/r{number}/', 'safe') for number in range(200)]
    for version, routes, kind in (
        (2, many, PackedConfiguration),
        (3, [*many, make_test_route('/new/', 'safe')], ConfigurationChange),
    ):
        large_fleet.store.put(
            'op/config', make_test_configuration(version, *routes)
        )
        expected = [version] * 4
        await large_fleet.wait_until(
            lambda: configuration_versions(large_fleet) == expected
        )
        assert_that(gossip.configuration_update(), IsInstance(kind))


async def test_starting_hosts_get_the_view_from_a_peer(
    fleet: Fleet, monkeypatch: MonkeyPatch
) -> None:
    # Long enough for the view of another host to arrive before the host reads
    # the store itself, even on a slow machine.
    for name in ('MIN_PEER_VIEW_WAIT_S', 'MAX_PEER_VIEW_WAIT_S'):
        monkeypatch.setattr(f'cowslipmill.host.host.{name}', WAIT_S)
    await fleet.add_host()
    await fleet.add_host(DOMAINS[1])
    await fleet.wait_until_ready()
    assert_that(fleet.store.calls['/api/kv-range'], Equals(1))


async def test_a_lone_host_reads_the_store_at_a_first_start(
    empty_fleet: Fleet,
) -> None:
    empty_fleet.store.put('op/config', make_test_configuration(1))
    await empty_fleet.add_backend('one')
    await empty_fleet.add_host(first_start=True)
    await empty_fleet.wait_until_ready()


async def test_few_hosts_read_the_store_when_all_start_at_once(
    large_fleet: Fleet,
) -> None:
    """After a loss of power; the store may hold thousands of servers."""
    fleet = large_fleet
    for _ in range(4):
        await fleet.add_host()
    await fleet.wait_until_ready()
    pages_before = fleet.store.calls[PAGES]
    await gather(*(fleet.restart_host(number) for number in range(8)))
    await fleet.wait_until_ready()
    assert_that(fleet.store.calls[PAGES] - pages_before, LessThan(5))
