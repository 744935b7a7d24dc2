"""Tests of the authenticated connections between peers."""

from asyncio import gather
from asyncio import sleep
from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from asyncio import timeout
from collections.abc import AsyncIterator
from contextlib import closing
from random import Random
from typing import Any

from msgspec import Struct
import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import IsInstance
from testtools.matchers import LessThan
from websockets.asyncio.client import connect
from websockets.exceptions import ConnectionClosedError

from cowslipmill.launch.network import Network
from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.peers.frame import make_frame_codec
from cowslipmill.peers.framequeue import CONNECTION_BYTES
from cowslipmill.peers.link import Unreachable
from cowslipmill.peers.links import PeerLinks
from cowslipmill.peers.server import PeerServer
from cowslipmill.peers.session import authenticate_to_server

KEY = 'a' * 32
OLD_KEY = 'b' * 32
ADDRESS = Network.for_this_process().host(0, 8190)


class Ping(Struct, frozen=True, tag='ping'):
    """A call that the server replies to with a `Pong`."""

    number: int


class Pong(Struct, frozen=True, tag='pong'):
    """The reply to a `Ping`."""

    number: int
    peer: str


class Blob(Struct, frozen=True, tag='blob'):
    """A message of any size."""

    data: bytes


CODEC = make_frame_codec((Ping, Pong, Blob), max_bytes=4096)


async def reply_to_ping(message: Any, peer: str) -> Pong:
    """Returns the reply to a ping and raises on a negative number."""
    if message.number < 0:
        raise ValueError('negative')
    return Pong(message.number, peer)


@pytest_asyncio.fixture
async def server() -> AsyncIterator[PeerServer]:
    """Starts a server that accepts an old and a new key."""
    running = PeerServer(
        ADDRESS,
        'peer_listen',
        (KEY, OLD_KEY),
        CODEC,
        reply_to_ping,
        max_messages_per_second=50.0,
    )
    async with running:
        yield running


@pytest_asyncio.fixture
async def links() -> AsyncIterator[PeerLinks]:
    """Returns links that sign with the new key."""
    async with PeerLinks('entry-1', (KEY,), CODEC, Random(1)) as running:
        yield running


@pytest.mark.asyncio
async def test_call_returns_its_reply(
    server: PeerServer, links: PeerLinks
) -> None:
    """The handler gets the name that the client authenticated with."""
    reply = await links.call(ADDRESS, Ping(7), 5.0)
    assert_that(reply, Equals(Pong(7, 'entry-1')))


@pytest.mark.asyncio
async def test_old_key_is_accepted_during_rotation(server: PeerServer) -> None:
    """A client that still signs with the old key gets a reply."""
    keys = (OLD_KEY, KEY)
    async with PeerLinks('entry-2', keys, CODEC, Random(1)) as links:
        reply = await links.call(ADDRESS, Ping(1), 5.0)
    assert_that(reply, IsInstance(Pong))


@pytest.mark.asyncio
async def test_unknown_key_is_refused(server: PeerServer) -> None:
    """A client without a shared key gets no reply."""
    async with PeerLinks('entry-2', ('c' * 32,), CODEC, Random(1)) as links:
        reply = await links.call(ADDRESS, Ping(1), 1.0)
    assert_that(reply, IsInstance(Unreachable))


@pytest.mark.asyncio
async def test_handler_exception_fails_only_its_call(
    server: PeerServer, links: PeerLinks
) -> None:
    """The connection stays open for further calls."""
    failed = await links.call(ADDRESS, Ping(-1), 5.0)
    reply = await links.call(ADDRESS, Ping(2), 5.0)
    assert_that(failed, IsInstance(Unreachable))
    assert_that(reply, Equals(Pong(2, 'entry-1')))


@pytest.mark.asyncio
async def test_malformed_frame_is_dropped(
    server: PeerServer, links: PeerLinks
) -> None:
    """The connection stays open after bytes that can't be decoded."""
    await links.call(ADDRESS, Ping(1), 5.0)
    link = links.links[ADDRESS]
    link.enqueue(b'\xff\xff')
    while not link.queue.empty():
        await sleep(0)
    reply = await links.call(ADDRESS, Ping(3), 5.0)
    assert_that(reply, Equals(Pong(3, 'entry-1')))


@pytest.mark.asyncio
async def test_client_over_the_rate_limit_is_disconnected(
    server: PeerServer, links: PeerLinks
) -> None:
    """Some of 200 calls at once fail against a limit of 50 per second."""
    replies = await gather(
        *(links.call(ADDRESS, Ping(number), 5.0) for number in range(200))
    )
    lost = [reply for reply in replies if isinstance(reply, Unreachable)]
    assert lost


@pytest.mark.asyncio
async def test_call_without_a_server_is_unreachable(links: PeerLinks) -> None:
    """A call to an address without a listener returns within its timeout."""
    reply = await links.call(ADDRESS, Ping(1), 0.5)
    assert_that(reply, IsInstance(Unreachable))


@pytest.mark.asyncio
async def test_malformed_proof_closes_the_connection(
    server: PeerServer,
) -> None:
    """The server closes the connection if it gets bytes but no proof."""
    async with connect(f'ws://{ADDRESS}') as connection:
        await connection.recv()
        await connection.send(b'\x00')
        await connection.wait_closed()


@pytest.mark.asyncio
async def test_a_peer_that_reads_nothing_leaves_room_for_others() -> None:
    """What waits for many such peers filled the process."""
    memory = MemoryBudget('hosts', 400_000)

    async def accept(reader: StreamReader, writer: StreamWriter) -> None:
        with closing(writer):
            await reader.read()

    silent = await start_server(accept, '127.0.0.1', 0)
    port = silent.sockets[0].getsockname()[1]
    message = Blob(b'x' * 3_000)
    async with PeerLinks('one', (KEY,), CODEC, Random(1), memory) as links:
        link = await links.get_or_open(f'127.0.0.1:{port}')
        assert link is not None
        sent = [link.send(message) for _ in range(1_000)]
        other = await links.get_or_open(ADDRESS)
        assert other is not None
        assert_that(other.send(message), Equals(True))
    silent.close()
    assert_that(sent.count(True), LessThan(140))
    assert_that(memory.peak_bytes, LessThan(400_001))


@pytest.mark.asyncio
async def test_memory_of_received_messages_is_given_back() -> None:
    """A host would refuse all others once its budget seemed used up."""
    memory = MemoryBudget('hosts', 400_000)
    server = PeerServer(
        ADDRESS, 'peer_listen', (KEY,), CODEC, reply_to_ping, memory=memory
    )
    async with server:
        async with PeerLinks('one', (KEY,), CODEC, Random(1)) as links:
            for number in range(20):
                blob = Blob(b'x' * 3_000)
                calls = [links.call(ADDRESS, blob, 5.0) for _ in range(5)]
                ping = links.call(ADDRESS, Ping(number), 5.0)
                *_, reply = await gather(*calls, ping)
                assert_that(reply, Equals(Pong(number, 'one')))
            assert_that(memory.held_bytes, LessThan(2 * CONNECTION_BYTES))
        async with timeout(10.0):
            while server.connections:
                await sleep(0.01)
    assert_that(memory.held_bytes, Equals(0))
    assert_that(server.open_calls, Equals(0))
    assert_that(memory.peak_bytes, GreaterThan(15_000))


@pytest.mark.asyncio
async def test_a_peer_that_sends_without_end_leaves_room_for_others() -> None:
    """Parts of messages and pings filled the process."""
    frames = {
        'parts': b'\x02\x80' + bytes(4) + (b'\x00\x80' + bytes(4)) * 9_000,
        'pings': (b'\x89\xfd' + bytes(4) + b'x' * 125) * 90_000,
    }
    memory = MemoryBudget('hosts', 400_000)
    bounded = PeerServer(
        ADDRESS, 'peer_listen', (KEY,), CODEC, reply_to_ping, memory=memory
    )
    async with bounded:
        for data in frames.values():
            async with connect(
                f'ws://{ADDRESS}', close_timeout=0.1
            ) as connection:
                await authenticate_to_server(connection, 'odd', (KEY,))
                connection.transport.pause_reading()
                connection.transport.write(data)
                async with timeout(10.0):
                    while bounded.connections:
                        await sleep(0.01)
        async with PeerLinks('one', (KEY,), CODEC, Random(1)) as links:
            reply = await links.call(ADDRESS, Ping(1), 5.0)
    assert_that(reply, Equals(Pong(1, 'one')))
    assert_that(memory.peak_bytes, LessThan(400_001))


@pytest.mark.asyncio
async def test_a_peer_without_the_key_sends_no_large_message(
    server: PeerServer,
) -> None:
    """Anyone could fill the process with messages that are received whole."""
    async with connect(f'ws://{ADDRESS}') as connection:
        await connection.recv()
        await connection.send(b'\x00' * 3_000)
        with pytest.raises(ConnectionClosedError) as closed:
            await connection.recv()
    assert closed.value.rcvd is not None
    assert_that(closed.value.rcvd.code, Equals(1009))


class Novelty(Struct, frozen=True, tag='novelty'):
    """A call that only the client knows."""


@pytest.mark.asyncio
async def test_a_call_that_the_peer_does_not_know_returns_at_once(
    server: PeerServer,
) -> None:
    """The older peer has no reply to it, and goes on with other calls."""
    codec = make_frame_codec((Ping, Pong, Novelty), max_bytes=4096)
    async with PeerLinks('entry-1', (KEY,), codec, Random(1)) as links:
        replies = await gather(
            links.call(ADDRESS, Novelty(), 60.0),
            links.call(ADDRESS, Ping(7), 5.0),
        )
    expected = Unreachable('the peer returned no result', sent=True)
    assert_that(replies, Equals([expected, Pong(7, 'entry-1')]))
