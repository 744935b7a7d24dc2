"""Tests of a store whose answers are cut, or come once more.

Guard against a host that takes a part of an answer for the whole, follows
the store no longer, or goes back to what the store held before.
"""

from asyncio import open_connection
from asyncio import Server
from asyncio import sleep
from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from collections.abc import AsyncIterator
from enum import Enum

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import make_server_entry
from cowslipmill.host.tests.conftest import make_test_configuration
from cowslipmill.host.tests.test_oddentries import check_hosts_follow
from cowslipmill.standin.backend import reset
from cowslipmill.standin.store import StandinStore

# Time in which hosts read the store a few times.
READS_S = 2.5


class Cut(Enum):
    """How the connection ends after a part of an answer."""

    CLOSES = 'closes'
    RESETS = 'resets'
    STAYS = 'stays'


class AnswerProxy:
    """Carries calls to the store, and harms the answers.

    Attributes:
        store: The store.
        cut: How answers are cut; None if they aren't.
        share: How much of each answer is sent then, from 0 to 1.
        every: Each so-manieth answer is cut or repeated.
        repeats: Whether the answer before is sent once more as the next call
            comes.
        harmed: Number of answers cut, or sent once more.
    """

    def __init__(self, store: StandinStore) -> None:
        """Starts without faults."""
        self.store = store
        self.cut: Cut | None = None
        self.share = 0.0
        self.every = 1
        self.repeats = False
        self.harmed = 0
        self.answers = 0
        self.server: Server | None = None

    async def start(self) -> None:
        """Takes the place of the store."""
        self.target = self.store.address
        self.server = await start_server(self.carry, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.store.address = (host, port)

    async def carry(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Carries the calls of one connection."""
        upstream, there = await open_connection(*self.target)
        last = b''
        try:
            while True:
                there.write(await reader.readuntil(b'\r\n\r\n'))
                self.answers += 1
                is_harmed = self.answers % self.every == 0
                if self.repeats and last and is_harmed:
                    self.harmed += 1
                    writer.write(last)
                last = await read_answer(upstream)
                if self.cut is None or not is_harmed:
                    writer.write(last)
                    continue
                self.harmed += 1
                writer.write(last[: int(self.share * len(last))])
                await writer.drain()
                if self.cut is Cut.STAYS:
                    await sleep(30.0)
                if self.cut is Cut.RESETS:
                    reset(writer)
                return
        except (OSError, EOFError):
            return
        finally:
            there.close()
            writer.close()


async def read_answer(reader: StreamReader) -> bytes:
    """Returns the next answer of the store, which has a length."""
    head = await reader.readuntil(b'\r\n\r\n')
    size = int(head.lower().partition(b'content-length:')[2].split()[0])
    return head + await reader.readexactly(size)


@pytest_asyncio.fixture
async def proxy(empty_fleet: Fleet) -> AsyncIterator[AnswerProxy]:
    """Puts a proxy between the store, two hosts and three servers."""
    proxy = AnswerProxy(empty_fleet.store)
    await proxy.start()
    empty_fleet.store.put('op/config', make_test_configuration(1))
    for name in ('one', 'two', 'three'):
        await empty_fleet.add_backend(name)
    await empty_fleet.add_host()
    await empty_fleet.add_host()
    await empty_fleet.wait_until_ready()
    yield proxy
    assert proxy.server is not None
    proxy.server.close()


def knows_all(fleet: Fleet) -> bool:
    """Returns whether all hosts know what the store holds, and no more."""
    held = {
        key.removeprefix('servers/')
        for key in fleet.store.items
        if key.startswith('servers/')
    }
    return all(
        {
            name
            for name, known in host.view.servers.items()
            if not known.record.leaving
        }
        == held
        for host in fleet.hosts
    )


@pytest.mark.parametrize('cut', list(Cut))
@pytest.mark.parametrize('share', [0.0, 0.02, 0.2, 0.6, 0.99])
async def test_an_answer_of_the_store_that_is_cut_is_not_taken(
    empty_fleet: Fleet, proxy: AnswerProxy, share: float, cut: Cut
) -> None:
    """In its head or its body, of a watch and of a full read."""
    fleet = empty_fleet
    proxy.share = share
    proxy.cut = cut
    fleet.store.remove('servers/three')
    fleet.store.put('op/config', make_test_configuration(2))
    await sleep(READS_S / 2)
    fleet.store.compact()
    await sleep(READS_S / 2)
    assert_that(proxy.harmed, GreaterThan(1))
    for host in fleet.hosts:
        assert_that(host.view.version, Equals(1))
        assert_that('three' in host.view.servers, Equals(True))
    response = await fleet.send_request('/read/1')
    assert_that(response.status, Equals(200))
    proxy.cut = None
    await check_hosts_follow(fleet, 3)
    await fleet.wait_until(lambda: knows_all(fleet))


@pytest.mark.parametrize('cut', list(Cut))
async def test_hosts_follow_a_store_that_cuts_every_other_answer(
    empty_fleet: Fleet, proxy: AnswerProxy, cut: Cut
) -> None:
    """Also one that starts, which reads all in several pages."""
    fleet = empty_fleet
    fleet.store.page_size = 2
    proxy.share = 0.9
    proxy.cut = cut
    proxy.every = 2
    await check_hosts_follow(fleet, 2)
    fleet.store.compact()
    await fleet.restart_host(0)
    await fleet.wait_until_ready()
    fleet.store.remove('servers/three')
    await check_hosts_follow(fleet, 3)
    assert_that(proxy.harmed, GreaterThan(1))


@pytest.mark.parametrize('page_size', [1, 2, 500])
@pytest.mark.parametrize('every', [1, 2, 3, 7])
async def test_hosts_follow_a_store_that_repeats_its_answers(
    empty_fleet: Fleet, proxy: AnswerProxy, every: int, page_size: int
) -> None:
    """The answer to the call before comes as that to the next one."""
    fleet = empty_fleet
    fleet.store.page_size = page_size
    proxy.repeats = True
    proxy.every = every
    for version in range(2, 6):
        name = f'new-{version}'
        await fleet.add_backend(name)
        await check_hosts_follow(fleet, version)
        await fleet.wait_until(lambda: knows_all(fleet))
        fleet.store.compact()
        await sleep(READS_S / 2)
        assert_that(knows_all(fleet), Equals(True))
        fleet.store.remove(f'servers/{name}')
        await fleet.wait_until(lambda: knows_all(fleet))
    await fleet.restart_host(0)
    await fleet.wait_until_ready()
    await check_hosts_follow(fleet, 6)
    assert_that(proxy.harmed, GreaterThan(1))


async def test_a_server_that_leaves_stays_so_if_answers_are_repeated(
    empty_fleet: Fleet, proxy: AnswerProxy
) -> None:
    """An older answer still has its entry as it was before."""
    fleet = empty_fleet
    proxy.repeats = True
    leaving = fleet.backends['three']
    fields = make_server_entry(leaving)
    fleet.store.put('servers/three', {**fields, 'State': 'draining'})
    await fleet.wait_until(
        lambda: all(
            host.view.servers['three'].record.leaving for host in fleet.hosts
        )
    )
    runs = len(leaving.runs)
    for _ in range(3):
        fleet.store.compact()
        await sleep(READS_S / 2)
        for number in range(6):
            await fleet.send_request(f'/read/{number}', host=number % 2)
    assert_that(len(leaving.runs), Equals(runs))
