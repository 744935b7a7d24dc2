"""Tests of bodies in many small chunks.

Guard against a few callers that keep the processor busy, and all others
waiting, with bodies that are far from their size limit.
"""

from asyncio import get_running_loop
from asyncio import sleep
from asyncio import timeout

import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.http1.callerconnection import CallerConnection
from cowslipmill.http1.callerserver import CallerServer
from cowslipmill.http1.chunkpacer import FREE_CHUNKS
from cowslipmill.http1.exchange import Exchange
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.tests.test_memory import LIMITS
from cowslipmill.http1.tests.test_memory import Sink

HEAD = b'POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
CHUNK = b'1\r\nx\r\n'
END = b'0\r\n\r\n'
WAIT_S = 20.0


class PausedSink(Sink):
    """A transport that knows whether it is read.

    Attributes:
        reading: Whether it is read.
    """

    reading = True

    def pause_reading(self) -> None:
        """Stops reading."""
        self.reading = False

    def resume_reading(self) -> None:
        """Reads on."""
        self.reading = True


async def respond(request: Request, exchange: Exchange) -> Response:
    """Responds with the length of the body."""
    return Response(200, [], b'%d' % len(request.body))


@pytest_asyncio.fixture
async def sink() -> PausedSink:
    """Returns the transport of a connection of a caller."""
    clock = get_running_loop().time
    # A whole read is parsed in one turn, so that the chunks alone decide.
    server = CallerServer(respond, LIMITS, clock, turn_s=WAIT_S)
    return PausedSink(CallerConnection(server))


async def wait_for_response(sink: PausedSink, body: bytes) -> None:
    """Waits until a request is answered with a body."""
    async with timeout(WAIT_S):
        while not sink.sent.endswith(b'\r\n\r\n' + body):
            await sleep(0.01)


async def test_a_body_of_many_small_chunks_is_read_slowly(
    sink: PausedSink,
) -> None:
    """Reading pauses for each chunk beyond the free ones."""
    sink.protocol.data_received(HEAD + CHUNK * FREE_CHUNKS)
    assert_that(sink.reading, Equals(True))
    sink.protocol.data_received(CHUNK * 50)
    assert_that(sink.reading, Equals(False))
    async with timeout(WAIT_S):
        while not sink.reading:
            await sleep(0.01)
    sink.protocol.data_received(END)
    await wait_for_response(sink, b'%d' % (FREE_CHUNKS + 50))


async def test_each_body_has_its_own_free_chunks(sink: PausedSink) -> None:
    """A caller that sends many requests on a connection isn't slowed down."""
    for _ in range(3):
        sink.protocol.data_received(HEAD + CHUNK * FREE_CHUNKS + END)
        assert_that(sink.reading, Equals(True))
        await wait_for_response(sink, b'%d' % FREE_CHUNKS)
        sink.sent.clear()
