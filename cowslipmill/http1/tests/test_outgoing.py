"""Tests of data that is sent in pieces."""

from asyncio import create_task
from asyncio import sleep
from asyncio import Transport
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.http1.outgoing import OutgoingData
from cowslipmill.http1.outgoing import PIECE_BYTES

HEAD = b'head'
BODY = bytes(range(256)) * 4_096 * 7
# Most that is sent while others wait, a few pieces.
MAX_TURN_BYTES = 8 * PIECE_BYTES
MAX_TURNS = 1_000


class FastTransport(Transport):
    """A transport whose other side takes everything at once."""

    def __init__(self) -> None:
        """Starts empty."""
        super().__init__()
        self.sent = bytearray()

    def write(self, data: Any) -> None:
        """Takes data."""
        self.sent += data

    def get_write_buffer_size(self) -> int:
        """Returns what the other side has not taken: nothing."""
        return 0


@pytest.fixture
def transport() -> FastTransport:
    """Returns a transport."""
    return FastTransport()


@pytest.fixture
def outgoing(transport: FastTransport) -> OutgoingData:
    """Returns data on its way to the transport."""
    return OutgoingData(transport)


async def test_a_long_body_leaves_turns_to_others(
    transport: FastTransport, outgoing: OutgoingData
) -> None:
    """Copying megabytes at once held up all other connections."""
    outgoing.write(HEAD, BODY, None)
    largest = len(transport.sent)
    for _ in range(MAX_TURNS):
        before = len(transport.sent)
        await sleep(0)
        largest = max(largest, len(transport.sent) - before)
    assert_that(largest, LessThan(MAX_TURN_BYTES))
    assert_that(bytes(transport.sent) == HEAD + BODY, Equals(True))
    assert_that(outgoing.empty, Equals(True))


async def test_messages_are_sent_in_their_order_over_turns(
    transport: FastTransport, outgoing: OutgoingData
) -> None:
    """A short message doesn't pass a long one that is being sent."""
    outgoing.write(HEAD, BODY, None)
    outgoing.write(HEAD, b'short', None)
    outgoing.pause()
    await sleep(0)
    outgoing.resume()
    await outgoing.drain()
    expected = HEAD + BODY + HEAD + b'short'
    assert_that(bytes(transport.sent) == expected, Equals(True))


async def test_draining_waits_for_all_turns(
    transport: FastTransport, outgoing: OutgoingData
) -> None:
    """A connection that closes earlier would cut its response."""
    outgoing.write(HEAD, BODY, None)
    assert_that(outgoing.empty, Equals(False))
    assert_that(outgoing.size, GreaterThan(0))
    await outgoing.drain()
    assert_that(len(transport.sent), Equals(len(HEAD) + len(BODY)))


async def test_a_lost_connection_ends_the_turns(
    transport: FastTransport, outgoing: OutgoingData
) -> None:
    """Nothing is handed to a transport that is closed."""
    outgoing.write(HEAD, BODY, None)
    draining = create_task(outgoing.drain())
    await sleep(0)
    outgoing.discard()
    sent = len(transport.sent)
    await draining
    await sleep(0)
    assert_that(len(transport.sent), Equals(sent))
