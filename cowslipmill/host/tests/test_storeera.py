"""Tests of a store that comes back from a copy some seconds old.

Guard against hosts that go back with it, that take a revision which was given
out again for the one they know, or that lose what the copy lacks.
"""

from asyncio import gather
from asyncio import sleep

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import make_server_entry
from cowslipmill.host.tests.conftest import make_test_configuration
from cowslipmill.host.tests.conftest import make_test_route
from cowslipmill.platform.storeapi import CONFIGURATION_KEY
from cowslipmill.standin.backend import StandinBackend

# Time in which all hosts learn what the store holds.
NOTICE_S = 2.0


async def send_to_all(
    fleet: Fleet, count: int = 40, path: str = '/book'
) -> set[int]:
    """Sends requests to all hosts in turn and returns their statuses."""
    return {
        (
            await fleet.send_request(f'{path}/{n}', host=n % len(fleet.hosts))
        ).status
        for n in range(count)
    }


async def count_runs_of_bursts(fleet: Fleet, backend: StandinBackend) -> int:
    """Returns how many requests a server gets when all slots are needed."""
    before = len(backend.runs)
    for number in range(5):
        await gather(
            *(fleet.send_request(f'/book/{number}-{n}') for n in range(6))
        )
    return len(backend.runs) - before


def versions(fleet: Fleet) -> set[int]:
    """Returns the versions of the configuration that hosts have."""
    return {host.view.version for host in fleet.hosts}


@pytest.mark.parametrize('removed', [False, True])
async def test_a_server_that_has_left_does_not_return_with_an_older_copy(
    large_fleet: Fleet, removed: bool
) -> None:
    """Neither at the hosts that knew it nor at one that starts then."""
    store = large_fleet.store
    backend = large_fleet.backends['one']
    copy = store.copy()
    store.put('servers/one', make_server_entry(backend, State='draining'))
    await sleep(NOTICE_S)
    if removed:
        store.remove('servers/one')
        await sleep(NOTICE_S)
    store.restore(copy)
    await large_fleet.add_host()
    await large_fleet.wait_until_ready()
    before = len(backend.runs)
    for _ in range(3):
        assert_that(await send_to_all(large_fleet), Equals({200}))
        await sleep(NOTICE_S / 2)
    assert_that(len(backend.runs), Equals(before))


async def test_what_is_written_at_a_revision_given_out_again_counts(
    large_fleet: Fleet,
) -> None:
    """The number alone is as old as what the hosts know."""
    store = large_fleet.store
    backend = large_fleet.backends['one']
    copy = store.copy()
    for _ in range(10):
        store.put('servers/one', make_server_entry(backend))
    await sleep(NOTICE_S)
    store.restore(copy)
    await sleep(NOTICE_S)
    store.put('servers/one', make_server_entry(backend, State='draining'))
    await sleep(NOTICE_S)
    before = len(backend.runs)
    assert_that(await send_to_all(large_fleet), Equals({200}))
    assert_that(len(backend.runs), Equals(before))


async def test_a_server_that_the_copy_lacks_is_used_until_it_writes_again(
    large_fleet: Fleet,
) -> None:
    """Servers write their entries about each second."""
    store = large_fleet.store
    copy = store.copy()
    backend = await large_fleet.add_backend('three')
    await sleep(NOTICE_S)
    store.restore(copy)
    await sleep(0.2)
    assert_that(
        await count_runs_of_bursts(large_fleet, backend), GreaterThan(2)
    )
    await sleep(0.4)
    store.put('servers/three', make_server_entry(backend))
    await sleep(NOTICE_S)
    assert_that(
        await count_runs_of_bursts(large_fleet, backend), GreaterThan(2)
    )


async def test_a_server_that_ended_meanwhile_is_gone(
    large_fleet: Fleet,
) -> None:
    """It doesn't write its entry again."""
    store = large_fleet.store
    copy = store.copy()
    await large_fleet.add_backend('three')
    await sleep(NOTICE_S)
    store.restore(copy)
    await sleep(2 * NOTICE_S)
    assert_that(
        ['three' in host.view.servers for host in large_fleet.hosts],
        Equals([False] * len(large_fleet.hosts)),
    )


async def test_no_configuration_reverts_with_an_older_copy(
    large_fleet: Fleet,
) -> None:
    """Nor at a host that starts; and the next ones are taken."""
    store = large_fleet.store
    added = make_test_route('/added/', 'safe')
    copy = store.copy()
    store.put(CONFIGURATION_KEY, make_test_configuration(2, added))
    await sleep(NOTICE_S)
    store.restore(copy)
    await large_fleet.add_host()
    await large_fleet.wait_until_ready()
    await sleep(NOTICE_S)
    assert_that(versions(large_fleet), Equals({2}))
    assert_that(await send_to_all(large_fleet, 20, '/added'), Equals({200}))
    store.put(CONFIGURATION_KEY, make_test_configuration(2, added))
    store.put(CONFIGURATION_KEY, make_test_configuration(3))
    await sleep(NOTICE_S)
    assert_that(versions(large_fleet), Equals({3}))


async def test_two_older_copies_in_a_row_are_survived(
    large_fleet: Fleet,
) -> None:
    """The second one comes before the first one is read."""
    store = large_fleet.store
    backend = large_fleet.backends['one']
    copy = store.copy()
    store.put('servers/one', make_server_entry(backend, State='draining'))
    await sleep(NOTICE_S)
    store.restore(copy)
    store.put(CONFIGURATION_KEY, make_test_configuration(2))
    store.restore(copy)
    await sleep(NOTICE_S)
    store.put(CONFIGURATION_KEY, make_test_configuration(3))
    await sleep(NOTICE_S)
    before = len(backend.runs)
    assert_that(await send_to_all(large_fleet), Equals({200}))
    assert_that(len(backend.runs), Equals(before))
    assert_that(versions(large_fleet), Equals({3}))


async def test_an_older_copy_is_read_once(fleet: Fleet) -> None:
    """A store that has just come back isn't asked for everything anew."""
    store = fleet.store
    copy = store.copy()
    for _ in range(10):
        entry = make_server_entry(fleet.backends['one'])
        store.put('servers/one', entry)
    await sleep(NOTICE_S)
    before = store.calls['/api/kv-range']
    store.restore(copy)
    await sleep(2 * NOTICE_S)
    assert store.calls['/api/kv-range'] - before <= 2
