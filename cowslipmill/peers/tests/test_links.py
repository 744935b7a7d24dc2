"""Tests of authenticated links between peers."""

from asyncio import gather
from asyncio import sleep
from collections.abc import AsyncIterator
from random import Random
from typing import Any

from msgspec import Struct
import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from websockets.asyncio.client import connect

from cowslipmill.launch.network import Network
from cowslipmill.peers.frame import make_frame_codec
from cowslipmill.peers.link import Unreachable
from cowslipmill.peers.links import PeerLinks
from cowslipmill.peers.server import PeerServer

KEY = 'a' * 32
OLD_KEY = 'b' * 32
ADDRESS = Network.for_this_process().host(0, 8190)


class Ping(Struct, frozen=True, tag='ping'):
    """A call."""

    number: int


class Pong(Struct, frozen=True, tag='pong'):
    """Its reply."""

    number: int
    peer: str


CODEC = make_frame_codec((Ping, Pong), max_bytes=4096)


async def answer(message: Any, peer: str) -> Pong:
    """Answers a ping, and fails on a negative number."""
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
        answer,
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
    """The reply names the caller as it authenticated itself."""
    reply = await links.call(ADDRESS, Ping(7), 5.0)
    assert_that(reply, Equals(Pong(7, 'entry-1')))


@pytest.mark.asyncio
async def test_old_key_is_accepted_during_rotation(server: PeerServer) -> None:
    """A peer that still signs with the old key is heard."""
    keys = (OLD_KEY, KEY)
    async with PeerLinks('entry-2', keys, CODEC, Random(1)) as links:
        reply = await links.call(ADDRESS, Ping(1), 5.0)
    assert_that(reply, IsInstance(Pong))


@pytest.mark.asyncio
async def test_unknown_key_is_refused(server: PeerServer) -> None:
    """A peer without a shared key gets no reply."""
    async with PeerLinks('entry-2', ('c' * 32,), CODEC, Random(1)) as links:
        reply = await links.call(ADDRESS, Ping(1), 1.0)
    assert_that(reply, IsInstance(Unreachable))


@pytest.mark.asyncio
async def test_failing_handler_costs_only_its_own_call(
    server: PeerServer, links: PeerLinks
) -> None:
    """A handler's exception ends one call and no connection."""
    failed = await links.call(ADDRESS, Ping(-1), 5.0)
    reply = await links.call(ADDRESS, Ping(2), 5.0)
    assert_that(failed, IsInstance(Unreachable))
    assert_that(reply, Equals(Pong(2, 'entry-1')))


@pytest.mark.asyncio
async def test_malformed_message_is_dropped(
    server: PeerServer, links: PeerLinks
) -> None:
    """Bytes that are no frame cost the connection nothing."""
    await links.call(ADDRESS, Ping(1), 5.0)
    link = links.links[ADDRESS]
    link.enqueue(b'\xff\xff')
    while not link.queue.empty():
        await sleep(0)
    reply = await links.call(ADDRESS, Ping(3), 5.0)
    assert_that(reply, Equals(Pong(3, 'entry-1')))


@pytest.mark.asyncio
async def test_flooding_peer_is_cut_off(
    server: PeerServer, links: PeerLinks
) -> None:
    """More messages than the bound end the connection."""
    replies = await gather(
        *(links.call(ADDRESS, Ping(number), 5.0) for number in range(200))
    )
    lost = [reply for reply in replies if isinstance(reply, Unreachable)]
    assert lost


@pytest.mark.asyncio
async def test_peer_that_is_not_there_is_unreachable(links: PeerLinks) -> None:
    """A call to an address where nobody listens ends by its timeout."""
    reply = await links.call(ADDRESS, Ping(1), 0.5)
    assert_that(reply, IsInstance(Unreachable))


@pytest.mark.asyncio
async def test_silent_client_is_not_heard(server: PeerServer) -> None:
    """Bytes in place of a proof end the connection."""
    async with connect(f'ws://{ADDRESS}') as connection:
        await connection.recv()
        await connection.send(b'\x00')
        await connection.wait_closed()
