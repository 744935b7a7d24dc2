"""Hosts together: who reads, what all know, how they start and stop."""

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
from cowslipmill.host.tests.conftest import configuration
from cowslipmill.host.tests.conftest import DOMAINS
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import route
from cowslipmill.host.tests.conftest import WAIT_S
from cowslipmill.http1.message import Request
from cowslipmill.http1.serverconnection import open_connection
from cowslipmill.platform.configuration import decode_configuration
from cowslipmill.view.change import ConfigurationChange
from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.packed import PackedConfiguration

WATCH = '/api/kv-watch'


def versions(fleet: Fleet) -> list[int]:
    return [
        host.view.configuration.version if host.view.configuration else 0
        for host in fleet.hosts
    ]


def calls(fleet: Fleet) -> int:
    return sum(fleet.store.calls.values())


async def ready_status(fleet: Fleet, host: int) -> int:
    address = fleet.hosts[host].settings.readiness_listen
    connection = await open_connection(address, 1.0)
    headers = [(b'host', b'x')]
    request = Request(b'GET', b'/api/readiness', headers, b'')
    answer = await connection.exchange(request)
    connection.close()
    return answer.status


async def test_one_host_reads_for_all(large_fleet: Fleet) -> None:
    await sleep(1.2)
    before = calls(large_fleet)
    await sleep(2.0)
    # One watch in 0.9 s.
    assert_that(calls(large_fleet) - before, LessThan(5))


async def test_a_configuration_is_in_force_everywhere_within_its_bound(
    large_fleet: Fleet,
) -> None:
    started_at = get_running_loop().time()
    large_fleet.store.put('op/config', configuration(9))
    await large_fleet.until(lambda: versions(large_fleet) == [9] * 4)
    took_s = get_running_loop().time() - started_at
    assert_that(took_s, LessThan(2.0))


async def test_another_host_takes_over_when_the_reader_is_gone(
    large_fleet: Fleet,
) -> None:
    fleet = large_fleet
    await sleep(1.2)
    reader = next(h for h in fleet.hosts if h.read_schedule.active)
    fleet.hosts.remove(reader)
    await reader.stop()
    started_at = get_running_loop().time()
    fleet.store.put('op/config', configuration(9))
    await fleet.until(lambda: versions(fleet) == [9] * 3)
    assert_that(get_running_loop().time() - started_at, LessThan(2.0))


async def test_a_host_starts_from_the_others_while_the_store_is_down(
    large_fleet: Fleet,
) -> None:
    large_fleet.store.busy = True
    await large_fleet.add_host()
    await large_fleet.until_ready()
    answer = await large_fleet.ask('/read/a', host=4)
    assert_that(answer.status, Equals(200))
    large_fleet.store.busy = False
    large_fleet.store.put('op/config', configuration(9))
    await large_fleet.until(lambda: versions(large_fleet) == [9] * 5)
    assert_that([h.crashed for h in large_fleet.hosts], Equals([False] * 5))


async def test_an_older_configuration_never_comes_back(
    large_fleet: Fleet,
) -> None:
    extra = route('/new/', 'safe')
    large_fleet.store.put('op/config', configuration(9, extra))
    await large_fleet.until(lambda: versions(large_fleet) == [9] * 4)
    large_fleet.store.put('op/config', configuration(8))
    await sleep(0.5)
    assert_that(versions(large_fleet), Equals([9] * 4))
    answer = await large_fleet.ask('/new/a', host=3)
    assert_that(answer.status, Equals(200))


async def test_hosts_of_another_domain_borrow_what_is_there(
    large_fleet: Fleet,
) -> None:
    # A home that has measured nothing assumes longer work and refuses sooner.
    for host in range(4):
        await large_fleet.ask('/read/first', host=host)
    answers = await gather(
        *(large_fleet.ask(f'/read/{n}', host=n % 4) for n in range(8))
    )
    assert_that({a.status for a in answers}, Equals({200}))
    assert_that(
        large_fleet.hosts[2].settings.failure_domain, Equals('domain-b')
    )


async def test_a_host_whose_home_is_gone_serves_on(
    large_fleet: Fleet,
) -> None:
    fleet = large_fleet
    order = fleet.hosts[0].member_list.ranked_members(
        'registry', DOMAINS[0], 0.0
    )
    home = next(h for h in fleet.hosts if h.settings.name == order[0].name)
    other = next(
        index
        for index, host in enumerate(fleet.hosts)
        if host.settings.failure_domain == DOMAINS[0] and host is not home
    )
    await home.rpc.stop()
    for number in range(4):
        answer = await fleet.ask(f'/read/{number}', host=other)
        assert_that(answer.status, Equals(200))


async def test_a_stop_cuts_nothing(large_fleet: Fleet) -> None:
    fleet = large_fleet
    for backend in fleet.backends.values():
        backend.work_s = 0.4
    under_way = create_task(fleet.ask('/book/a'))
    await sleep(0.1)
    stop = create_task(fleet.hosts[0].drain())
    await sleep(0.1)
    assert_that(await ready_status(fleet, 0), Equals(503))
    later = await fleet.ask('/read/b')
    assert_that((await under_way).status, Equals(200))
    assert_that(later.status, Equals(200))
    await stop


async def test_a_stopping_host_refuses_what_it_may_not_finish(
    large_fleet: Fleet,
) -> None:
    fleet = large_fleet
    stop = create_task(fleet.hosts[0].drain())
    await sleep(2.1)
    before = fleet.runs()
    answer = await fleet.ask('/book/a')
    assert_that(answer.status, Equals(503))
    assert_that(fleet.runs(), Equals(before))
    await stop


async def test_readiness_does_not_depend_on_the_store(
    large_fleet: Fleet,
) -> None:
    large_fleet.store.silent = True
    await sleep(1.0)
    assert_that(await ready_status(large_fleet, 1), Equals(200))


async def test_a_host_that_starts_does_not_tell_everybody_everything(
    large_fleet: Fleet, monkeypatch: MonkeyPatch
) -> None:
    told: list[int] = []
    spread = Gossip.broadcast

    def count(gossip: Gossip, message: BroadcastMessage) -> None:
        if isinstance(message, News):
            told.append(len(message.events))
        spread(gossip, message)

    monkeypatch.setattr(Gossip, 'broadcast', count)
    await large_fleet.add_host()
    await large_fleet.until_ready()
    await sleep(0.3)
    assert_that(max(told, default=0), Equals(0))


async def test_a_host_with_another_version_than_the_one_before_catches_up(
    large_fleet: Fleet,
) -> None:
    other = large_fleet.hosts[0]
    raw = dumps(configuration(5)).encode()
    ahead = ConfigurationUpdated(decode_configuration(raw))
    other.view.apply_events([ahead], other.clock())
    large_fleet.store.put(
        'op/config', configuration(6, route('/new/', 'safe'))
    )
    await large_fleet.until(lambda: versions(large_fleet) == [6] * 4)
    routes = {
        tuple(sorted(r.prefix for r in host.view.configuration.routes))
        for host in large_fleet.hosts
        if host.view.configuration is not None
    }
    assert_that(routes, Equals({('/book/', '/new/', '/read/')}))


async def test_many_routes_are_told_compressed_and_few_as_a_change(
    large_fleet: Fleet,
) -> None:
    gossip = large_fleet.hosts[0].gossip
    many = [route(f'/r{number}/', 'safe') for number in range(200)]
    for version, routes, kind in (
        (2, many, PackedConfiguration),
        (3, [*many, route('/new/', 'safe')], ConfigurationChange),
    ):
        large_fleet.store.put('op/config', configuration(version, *routes))
        expected = [version] * 4
        await large_fleet.until(lambda: versions(large_fleet) == expected)
        assert_that(gossip.configuration_update(), IsInstance(kind))


async def test_hosts_that_start_learn_from_one_that_has_read(
    fleet: Fleet, monkeypatch: MonkeyPatch
) -> None:
    # However slow the machine, the others' view comes before the own read.
    monkeypatch.setattr('cowslipmill.host.host.OTHERS_FIRST_S', WAIT_S)
    await fleet.add_host()
    await fleet.add_host(DOMAINS[1])
    await fleet.until_ready()
    assert_that(fleet.store.calls['/api/kv-range'], Equals(1))


async def test_a_host_without_others_reads_by_itself_at_a_first_start(
    empty_fleet: Fleet,
) -> None:
    empty_fleet.store.put('op/config', configuration(1))
    await empty_fleet.add_backend('one')
    await empty_fleet.add_host(first_start=True)
    await empty_fleet.until_ready()
