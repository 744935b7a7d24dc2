"""Tests of servers that warm up, over several hosts.

Guard against a cold server that gets more from all hosts together than it
withstands, and against callers paying for it while other servers are free.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from enum import Enum

from prometheus_client import REGISTRY
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.fleet.messages import AskLease
from cowslipmill.fleet.messages import Ping
from cowslipmill.host.host import Host
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import make_server_entry
from cowslipmill.host.tests.conftest import make_test_route
from cowslipmill.http1.message import Response
from cowslipmill.standin.backend import StandinBackend
from cowslipmill.standin.published import make_configuration
from cowslipmill.standin.warmups import allowed_per_second

WARM_UP_PER_S = 3.6
COLD_S = 2.0
GAUGE = 'cowslipmill_host_cold_servers'
# Work that lets two slots take 25 requests a second, twice the bound.
WORK_S = 0.04
SEND_INTERVAL_S = 0.008


async def limit_cold_servers(fleet: Fleet, per_s: float) -> None:
    """Publishes a limit of cold servers and waits until all hosts know it."""
    routes = [
        make_test_route('/read/', 'safe'),
        make_test_route('/book/', 'unsafe'),
    ]
    configuration = make_configuration(2, *routes, warm_up_per_s=per_s)
    fleet.store.put('op/config', configuration)
    await fleet.wait_until(
        lambda: all(h.view.version == 2 for h in fleet.hosts)
    )


async def keep_sending(
    fleet: Fleet, for_s: float, hosts: list[int]
) -> list[Response]:
    """Sends requests to some hosts in turn, far more than servers take."""
    loop = get_running_loop()
    until = loop.time() + for_s
    tasks = []
    number = 0
    while loop.time() < until:
        number += 1
        target = f'/book/{number}' if number % 2 else f'/read/{number}'
        host = hosts[number % len(hosts)]
        tasks.append(create_task(fleet.send_request(target, host=host)))
        await sleep(SEND_INTERVAL_S)
    return list(await gather(*tasks))


def coordinator(fleet: Fleet) -> int:
    """Returns the index of the host that grants the first domain's slots."""
    host = fleet.hosts[0]
    member = host.member_list.ranked_members(
        'registry', 'domain-a', host.clock()
    )[0]
    names = [h.settings.name for h in fleet.hosts]
    return names.index(member.name)


def turn_cold(fleet: Fleet, for_s: float = COLD_S) -> list[StandinBackend]:
    """Has all servers turn cold and returns them."""
    now = get_running_loop().time()
    backends = list(fleet.backends.values())
    for backend in backends:
        backend.warm_ups.begin(for_s, now)
    return backends


def silence(host: Host) -> None:
    """Lets a host reply to no other one, while it goes on by itself."""

    async def never_reply(message: object, sender: str) -> None:
        """Waits for longer than any host does."""
        await sleep(60.0)

    for message_type in (AskLease, Ping):
        host.rpc.register(message_type, never_reply)


class Loss(Enum):
    """What happens to the host that grants the servers' slots."""

    NONE = 'none'
    RESTARTED = 'restarted'
    SILENT = 'silent'


@pytest.mark.parametrize('loss', list(Loss))
async def test_cold_servers_get_no_more_than_their_bound_from_all_hosts(
    large_fleet: Fleet, loss: Loss
) -> None:
    """Servers that turn cold under full load would crash.

    So would they while the host that grants their slots restarts, or grants
    for itself while others do in its place.
    """
    for backend in large_fleet.backends.values():
        backend.work_s = WORK_S
    await limit_cold_servers(large_fleet, WARM_UP_PER_S)
    first = coordinator(large_fleet)
    hosts = [0, 1, 2, 3]
    if loss is Loss.RESTARTED:
        hosts.remove(first)
    sending = create_task(keep_sending(large_fleet, COLD_S + 1.5, hosts))
    await sleep(0.8)
    if loss is Loss.SILENT:
        silence(large_fleet.hosts[first])
    backends = turn_cold(large_fleet)
    if loss is Loss.RESTARTED:
        await sleep(0.2)
        await large_fleet.restart_host(first)
    await sending
    for backend in backends:
        most = backend.warm_ups.most_per_second()
        assert_that(most, LessThan(allowed_per_second(WARM_UP_PER_S) + 0.01))
        assert_that(len(backend.warm_ups.arrivals), GreaterThan(0))


async def test_without_a_limit_cold_servers_get_what_their_slots_take(
    large_fleet: Fleet,
) -> None:
    """The load of these tests would keep the bound whatever hosts do."""
    for backend in large_fleet.backends.values():
        backend.work_s = WORK_S
    sending = create_task(keep_sending(large_fleet, COLD_S, [0, 1, 2, 3]))
    await sleep(0.2)
    backends = turn_cold(large_fleet)
    await sending
    most = max(backend.warm_ups.most_per_second() for backend in backends)
    assert_that(most, GreaterThan(allowed_per_second(WARM_UP_PER_S)))


async def test_requests_beyond_the_limit_go_to_warm_servers(
    large_fleet: Fleet,
) -> None:
    """None would be refused for the cold one while another one is free."""
    await limit_cold_servers(large_fleet, 0.5)
    cold = large_fleet.backends['one']
    cold.warm_ups.begin(9.0, get_running_loop().time())
    for number in range(24):
        response = await large_fleet.send_request(
            f'/book/{number}', host=number % 4
        )
        assert_that(response.status, Equals(200))
    assert_that(len(cold.runs), LessThan(3))


async def test_a_warm_server_is_used_as_before(large_fleet: Fleet) -> None:
    """Its limit would outlast the warm-up."""
    await limit_cold_servers(large_fleet, WARM_UP_PER_S)
    first, second = turn_cold(large_fleet, 0.5)
    await sleep(0.7)
    responses = await keep_sending(large_fleet, 1.0, [0, 1, 2, 3])
    assert_that({r.status for r in responses}, Equals({200}))
    assert_that(min(len(first.runs), len(second.runs)), GreaterThan(25))


async def test_a_warm_up_is_logged_once_and_counted(
    fleet: Fleet, caplog: pytest.LogCaptureFixture
) -> None:
    """An operator couldn't tell why a server gets little."""
    caplog.set_level('INFO')
    (host,) = fleet.hosts
    await limit_cold_servers(fleet, WARM_UP_PER_S)
    turn_cold(fleet, 1.0)
    await keep_sending(fleet, 0.5, [0])
    host.lease_manager.update_metrics()
    assert_that(REGISTRY.get_sample_value(GAUGE), Equals(2.0))
    await keep_sending(fleet, 1.0, [0])
    host.lease_manager.update_metrics()
    assert_that(REGISTRY.get_sample_value(GAUGE), Equals(0.0))
    lines = [
        (record.server, record.service)  # type: ignore[attr-defined]
        for record in caplog.records
        if record.getMessage() == 'server warming up'
    ]
    expected = [('one', 'registry'), ('two', 'registry')]
    assert_that(sorted(lines), Equals(expected))


async def test_an_entry_that_turns_cold_is_told_to_all_hosts(
    large_fleet: Fleet,
) -> None:
    """Hosts that don't probe a server would count it as warm."""
    backend = large_fleet.backends['one']
    started_at = get_running_loop().time()
    entry = make_server_entry(backend, WarmupLeftMs=2_500)
    large_fleet.store.put('servers/one', entry)
    await large_fleet.wait_until(
        lambda: all(
            host.view.servers['one'].cold_until > started_at + 2.0
            for host in large_fleet.hosts
        )
    )


async def test_a_server_that_starts_cold_gets_no_more_than_its_bound(
    large_fleet: Fleet,
) -> None:
    """It would be filled at once, as it looks idle."""
    await limit_cold_servers(large_fleet, WARM_UP_PER_S)
    sending = create_task(keep_sending(large_fleet, 2.5, [0, 1, 2, 3]))
    await sleep(0.5)
    backend = large_fleet.backends['one']
    backend.stop()
    await sleep(0.3)
    backend.warm_ups.begin(1.5, get_running_loop().time())
    await backend.start_again()
    entry = make_server_entry(
        backend, born=1_700_000_009_000, WarmupLeftMs=1_500
    )
    large_fleet.store.put('servers/one', entry)
    await sending
    most = backend.warm_ups.most_per_second()
    assert_that(most, LessThan(allowed_per_second(WARM_UP_PER_S) + 0.01))
    assert_that(len(backend.warm_ups.arrivals), GreaterThan(0))
