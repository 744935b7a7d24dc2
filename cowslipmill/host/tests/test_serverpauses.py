"""Tests of servers that turn requests away and name a time to wait.

Guard against requests, probes and checks that reach such a server before its
time has passed, and against callers that pay for its pause.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from collections import Counter
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.host.host import Host
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import make_server_entry
from cowslipmill.host.tests.conftest import WAIT_S
from cowslipmill.host.tests.partition import Cut
from cowslipmill.host.tests.partition import Partition
from cowslipmill.http1.message import Response
from cowslipmill.standin.backend import StandinBackend

PAUSE_S = 2.0
# Requests on their way when a server names a pause still arrive so long.
GRACE_S = 0.5
# Requests that may reach a server from each host after that.
MAX_ARRIVALS = 2


async def send_to_all(
    fleet: Fleet, count: int, kind: str = 'book'
) -> list[Response]:
    """Sends requests to all hosts in turn."""
    tasks = []
    for number in range(count):
        host = number % len(fleet.hosts)
        tasks.append(
            create_task(fleet.send_request(f'/{kind}/{number}', host=host))
        )
        await sleep(0.01)
    return list(await gather(*tasks))


def count_served(responses: list[Response]) -> int:
    """Returns how many requests were answered with success."""
    return sum(response.status == 200 for response in responses)


async def start_pause(
    fleet: Fleet, backend: StandinBackend, pause: str
) -> None:
    """Has a server turn all requests away until it has told a host."""
    backend.arrivals.clear()
    backend.pause = pause
    loop = get_running_loop()
    deadline = loop.time() + WAIT_S
    while not backend.arrivals:
        assert loop.time() < deadline, 'no request has reached the server'
        await send_to_all(fleet, len(fleet.hosts))


def most_late_arrivals(
    backend: StandinBackend, pause_s: float = PAUSE_S
) -> int:
    """Returns how many requests of one host came in its pause, at most.

    The first one of each host began its pause, as all are turned away.

    Args:
        backend: The server.
        pause_s: Length of the pause, in seconds.
    """
    told: dict[str, float] = {}
    for arrival in backend.arrivals:
        told.setdefault(arrival.sender_ip, arrival.at)
    late = Counter(
        arrival.sender_ip
        for arrival in backend.arrivals
        if GRACE_S < arrival.at - told[arrival.sender_ip] < pause_s
    )
    return max(late.values(), default=0)


@pytest.mark.parametrize('kind', ['book', 'read'])
async def test_a_server_that_pauses_gets_nothing_from_a_host(
    fleet: Fleet, kind: str
) -> None:
    """No request, no probe and no check; other servers are used."""
    backend = fleet.backends['one']
    await start_pause(fleet, backend, str(PAUSE_S))
    responses = await send_to_all(fleet, 150, kind)
    assert_that(count_served(responses), Equals(150))
    assert_that(most_late_arrivals(backend), LessThan(MAX_ARRIVALS + 1))


async def test_a_server_that_pauses_gets_nothing_from_any_host(
    large_fleet: Fleet,
) -> None:
    """Whichever of them coordinates it."""
    backend = large_fleet.backends['one']
    await start_pause(large_fleet, backend, str(PAUSE_S))
    await send_to_all(large_fleet, 150)
    assert_that(most_late_arrivals(backend), LessThan(MAX_ARRIVALS + 1))


@pytest.mark.parametrize('leaving', [False, True])
@pytest.mark.parametrize('check', ['path', 'running'])
async def test_what_a_server_says_to_a_check_counts(
    fleet: Fleet, check: str, leaving: bool
) -> None:
    """A check is turned away and told that it leaves like a request."""
    host = fleet.hosts[0]
    record = host.view.servers['one'].record
    backend = fleet.backends['one']
    backend.says_leaving = leaving
    backend.pause = '' if leaving else str(PAUSE_S)
    if check == 'path':
        await host.path_checker.check(record)
    else:
        await host.prober.check(record, '/health')
    assert_that(len(backend.arrivals), Equals(1))
    await send_to_all(fleet, 40)
    assert_that(len(backend.arrivals), Equals(1))


async def test_a_server_is_used_again_after_its_pause(fleet: Fleet) -> None:
    """At once, although nothing asked for its health meanwhile."""
    backend = fleet.backends['one']
    await start_pause(fleet, backend, '0.6')
    backend.pause = ''
    await sleep(0.6)
    before = len(backend.runs)
    responses = await send_to_all(fleet, 40)
    assert_that(count_served(responses), Equals(40))
    assert_that(len(backend.runs) - before, GreaterThan(10))


async def test_a_pause_ends_with_the_server_that_named_it(
    fleet: Fleet,
) -> None:
    """A server that starts anew under the name has named none."""
    backend = fleet.backends['one']
    await start_pause(fleet, backend, '99999999')
    backend.pause = ''
    entry = make_server_entry(backend)
    entry['born'] = entry['born'] + 1_000
    fleet.store.put('servers/one', entry)
    await sleep(0.5)
    before = len(backend.runs)
    await send_to_all(fleet, 40)
    assert_that(len(backend.runs) - before, GreaterThan(10))


async def test_a_pause_outlasts_an_entry_that_lapses(fleet: Fleet) -> None:
    """The server is the same when its entry is written again."""
    backend = fleet.backends['one']
    await start_pause(fleet, backend, str(2 * PAUSE_S))
    fleet.store.remove('servers/one')
    await fleet.wait_until(lambda: 'one' not in fleet.hosts[0].view.servers)
    await send_to_all(fleet, 5)
    fleet.store.put('servers/one', make_server_entry(backend))
    await send_to_all(fleet, 150)
    assert_that(most_late_arrivals(backend, 2 * PAUSE_S), Equals(0))


@pytest.mark.parametrize('pause', ['soon', '-5', 'nan', '0', ''])
async def test_a_pause_that_says_nothing_keeps_no_server_out_of_use(
    fleet: Fleet, pause: str
) -> None:
    """Unreadable ones neither."""
    backend = fleet.backends['one']
    backend.pause = pause
    await send_to_all(fleet, 10)
    backend.pause = ''
    await sleep(0.3)
    before = len(backend.runs)
    await send_to_all(fleet, 40)
    assert_that(len(backend.runs) - before, GreaterThan(10))


async def pause_all(fleet: Fleet, pause_s: float) -> None:
    """Has all servers turn requests away, each for the same time."""
    for backend in fleet.backends.values():
        await start_pause(fleet, backend, str(pause_s))
    for backend in fleet.backends.values():
        backend.pause = ''


async def test_callers_with_time_outwait_a_service_that_pauses(
    fleet: Fleet,
) -> None:
    """They are served once a server takes requests again."""
    await pause_all(fleet, 0.4)
    responses = await gather(
        *(fleet.send_request(f'/book/{n}') for n in range(3))
    )
    assert_that(count_served(list(responses)), Equals(3))


async def test_callers_without_time_learn_how_long_a_service_pauses(
    fleet: Fleet,
) -> None:
    """No request waits for a server that won't take it in time."""
    await pause_all(fleet, 5.0)
    before = [len(b.arrivals) for b in fleet.backends.values()]
    response = await fleet.send_request('/book/short', deadline_ms=1_000)
    assert_that(response.status, Equals(503))
    assert_that(float(response.header(b'retry-after')), GreaterThan(4.0))
    assert_that(float(response.header(b'retry-after')), LessThan(5.0))
    assert_that(
        [len(b.arrivals) for b in fleet.backends.values()], Equals(before)
    )


@pytest_asyncio.fixture
async def partition(large_fleet: Fleet) -> AsyncIterator[Partition]:
    """Puts proxies on the links of one host, which is cut off later."""
    partition = Partition(large_fleet.hosts[:1])
    yield partition
    partition.stop()


async def test_no_host_sends_for_another_one_to_a_server_that_pauses(
    large_fleet: Fleet, partition: Partition
) -> None:
    """The pause counts for the host that would send."""
    cut: Host = large_fleet.hosts[0]
    addresses = [b.address for b in large_fleet.backends.values()]
    await partition.cut(cut, addresses, Cut.REFUSE)
    await send_to_all(large_fleet, 40)
    backend = large_fleet.backends['one']
    backend.arrivals.clear()
    backend.pause = str(PAUSE_S)
    await send_to_all(large_fleet, 180)
    assert_that(most_late_arrivals(backend), LessThan(MAX_ARRIVALS + 1))
