"""Tests of servers that say in their responses that they leave.

Guard against requests to a server that leaves while the store doesn't know
yet, or can't be reached.
"""

from asyncio import get_running_loop
from asyncio import sleep

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import make_server_entry
from cowslipmill.host.tests.conftest import WAIT_S
from cowslipmill.standin.backend import StandinBackend

# Time in which all hosts learn of it, less than a leaving server serves on.
NOTICE_S = 0.5


async def announce_leaving(fleet: Fleet) -> StandinBackend:
    """Has a server say that it leaves, to one host at least.

    The first to hear it may be a load probe or a request.
    """
    backend = fleet.backends['one']
    backend.says_leaving = True
    loop = get_running_loop()
    deadline = loop.time() + WAIT_S
    number = 0
    while not any(h.view.announced_leaving for h in fleet.hosts):
        assert loop.time() < deadline, 'no host heard that the server leaves'
        number += 1
        host = number % len(fleet.hosts)
        await fleet.send_request(f'/read/notice-{number}', host=host)
    await sleep(NOTICE_S)
    return backend


async def send_to_all(fleet: Fleet, count: int = 40) -> list[int]:
    """Sends requests to all hosts in turn and returns their statuses."""
    return [
        (
            await fleet.send_request(f'/book/{n}', host=n % len(fleet.hosts))
        ).status
        for n in range(count)
    ]


@pytest.mark.parametrize('store_up', [True, False])
async def test_a_server_that_says_that_it_leaves_gets_nothing_new(
    large_fleet: Fleet, store_up: bool
) -> None:
    """From any host, and whether the store is up or not."""
    large_fleet.store.busy = not store_up
    backend = await announce_leaving(large_fleet)
    before = len(backend.runs)
    statuses = await send_to_all(large_fleet)
    assert_that(len(backend.runs), Equals(before))
    assert_that(set(statuses), Equals({200}))


async def test_a_heartbeat_takes_back_no_word_of_leaving(
    large_fleet: Fleet,
) -> None:
    """The entry in the store may still say that the server is ready."""
    backend = await announce_leaving(large_fleet)
    entry = make_server_entry(backend, WarmupLeftMs=700)
    large_fleet.store.put('servers/one', entry)
    await sleep(NOTICE_S)
    before = len(backend.runs)
    await send_to_all(large_fleet)
    assert_that(len(backend.runs), Equals(before))


async def test_a_server_that_starts_anew_is_not_leaving(
    large_fleet: Fleet,
) -> None:
    """The word is of one incarnation, also under the same name."""
    backend = await announce_leaving(large_fleet)
    backend.says_leaving = False
    entry = make_server_entry(backend)
    entry['born'] = entry['born'] + 1_000
    large_fleet.store.put('servers/one', entry)
    await sleep(NOTICE_S)
    before = len(backend.runs)
    await send_to_all(large_fleet, 80)
    assert_that(len(backend.runs), GreaterThan(before))


@pytest.mark.parametrize('store_up', [True, False])
async def test_a_host_that_starts_knows_which_servers_leave(
    large_fleet: Fleet, store_up: bool
) -> None:
    """The store's entry may still say that the server is ready."""
    backend = await announce_leaving(large_fleet)
    large_fleet.store.busy = not store_up
    await large_fleet.add_host()
    await large_fleet.wait_until_ready()
    await sleep(NOTICE_S)
    before = len(backend.runs)
    statuses = await send_to_all(large_fleet)
    assert_that(set(statuses), Equals({200}))
    assert_that(len(backend.runs), Equals(before))


@pytest.mark.parametrize('number', range(4))
async def test_a_restarted_host_sends_nothing_to_a_server_that_leaves(
    large_fleet: Fleet, number: int
) -> None:
    """From its first moment, whoever tells it first."""
    backend = await announce_leaving(large_fleet)
    before = len(backend.runs)
    await large_fleet.restart_host(number)
    for count in range(100):
        await large_fleet.send_request(f'/book/{count}', host=number)
        await sleep(0.01)
    assert_that(len(backend.runs), Equals(before))


async def test_a_restarted_host_does_not_use_a_server_that_has_left(
    large_fleet: Fleet,
) -> None:
    """Also if the store comes back from a copy that still holds it."""
    fleet = large_fleet
    backend = await announce_leaving(fleet)
    copy = fleet.store.copy()
    fleet.store.remove('servers/one')
    await sleep(NOTICE_S)
    fleet.store.restore(copy)
    before = len(backend.runs)
    for number in range(4):
        await fleet.restart_host(number)
        for count in range(40):
            await fleet.send_request(f'/book/{count}', host=number)
            await sleep(0.01)
    assert_that(len(backend.runs), Equals(before))
