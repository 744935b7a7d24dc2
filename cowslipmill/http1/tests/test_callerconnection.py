"""Tests of caller connections with raw bytes over a socket."""

from asyncio import get_running_loop
from asyncio import open_connection
from asyncio import sleep
from asyncio import StreamReader
from asyncio import StreamWriter
from collections.abc import AsyncIterator
from contextlib import suppress

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import Not
from testtools.matchers import StartsWith

from cowslipmill.http1.callerserver import CallerServer
from cowslipmill.http1.exchange import Exchange
from cowslipmill.http1.listenerstate import CallerLimits
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response

LIMITS = CallerLimits(1_000, 5_000, 3.0, 15.0)
GET_REQUEST = b'GET /a HTTP/1.1\r\nhost: one\r\n\r\n'


class CallerHarness:
    """A listener and a raw connection to it.

    Attributes:
        requests: The requests that reached the handler.
        disconnects: How often `on_disconnect` was called.
        responds: Whether the handler returns a response.
        raises: Whether the handler raises an exception.
    """

    def __init__(self) -> None:
        """Makes the protocol factory; the fixture listens and connects."""
        self.requests: list[Request] = []
        self.disconnects = 0
        self.responds = True
        self.raises = False
        loop = get_running_loop()
        self.server = CallerServer(self.handle, LIMITS, loop.time)
        self.reader: StreamReader
        self.writer: StreamWriter

    async def handle(
        self, request: Request, exchange: Exchange
    ) -> Response | None:
        """Responds with the request's body after a short delay."""
        self.requests.append(request)

        def count_disconnect() -> None:
            self.disconnects += 1

        exchange.on_disconnect = count_disconnect
        await sleep(0.02)
        if self.raises:
            raise RuntimeError('raised by the handler')
        if not self.responds:
            return None
        return Response(200, [(b'x-own', b'1')], request.body)

    async def send(self, data: bytes, wait_s: float = 0.15) -> bytes:
        """Sends bytes and returns what is received within `wait_s`."""
        self.writer.write(data)
        await sleep(wait_s)
        return await self.receive()

    async def receive(self) -> bytes:
        """Returns the received bytes, or none at the end of the stream."""
        if self.reader.at_eof():
            return b''
        # The received bytes are already in the buffer, so that reading them
        # need not wait for more.
        buffer: bytearray = self.reader._buffer  # type: ignore[attr-defined]
        data = bytes(buffer)
        buffer.clear()
        return data


@pytest_asyncio.fixture
async def caller() -> AsyncIterator[CallerHarness]:
    """Starts a listener and connects to it."""
    caller = CallerHarness()
    loop = get_running_loop()
    listener = await loop.create_server(caller.server, '127.0.0.1', 0)
    address = listener.sockets[0].getsockname()
    caller.reader, caller.writer = await open_connection(*address)
    yield caller
    caller.writer.close()
    listener.close()


async def test_a_connection_serves_consecutive_requests(
    caller: CallerHarness,
) -> None:
    for _ in range(3):
        assert_that(
            await caller.send(GET_REQUEST), StartsWith(b'HTTP/1.1 200 OK\r\n')
        )
    assert_that(len(caller.requests), Equals(3))


async def test_pipelined_requests_get_responses_in_order(
    caller: CallerHarness,
) -> None:
    post = b'POST /a HTTP/1.1\r\nhost: one\r\ncontent-length: 1\r\n\r\n'
    data = await caller.send(post + b'1' + post + b'2')
    assert_that(data.count(b'HTTP/1.1 200'), Equals(2))
    assert_that(data.index(b'\r\n\r\n1') < data.index(b'\r\n\r\n2'), Equals(1))


async def test_a_chunked_body_is_reassembled(caller: CallerHarness) -> None:
    head = b'POST /a HTTP/1.1\r\nhost: one\r\ntransfer-encoding: chunked\r\n'
    await caller.send(head + b'\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n')
    assert_that(caller.requests[0].body, Equals(b'abcde'))


@pytest.mark.parametrize(
    ('data', 'status'),
    [
        (b'GET /a HTTP/1.1\r\nx: ' + b'y' * 2_000 + b'\r\n\r\n', b'431'),
        (
            b'POST /a HTTP/1.1\r\nhost: one\r\ncontent-length: 9000\r\n\r\n'
            + b'z' * 9_000,
            b'413',
        ),
        (b'\x00\x01\x02 nonsense\r\n\r\n', b'400'),
        (
            b'POST /a HTTP/1.1\r\nhost: one\r\ncontent-length: 3\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
            b'400',
        ),
    ],
)
async def test_invalid_or_oversized_requests_are_rejected_unhandled(
    caller: CallerHarness, data: bytes, status: bytes
) -> None:
    assert_that(await caller.send(data), StartsWith(b'HTTP/1.1 ' + status))
    assert_that(caller.requests, Equals([]))


async def test_connection_close_of_a_caller_is_honoured(
    caller: CallerHarness,
) -> None:
    data = await caller.send(
        b'GET /a HTTP/1.1\r\nhost: one\r\nconnection: close\r\n\r\n'
    )
    assert_that(data, Contains(b'connection: close'))
    assert_that(caller.reader.at_eof(), Equals(True))


async def test_a_stopping_host_sends_connection_close(
    caller: CallerHarness,
) -> None:
    caller.server.closing = True
    assert_that(await caller.send(GET_REQUEST), Contains(b'connection: close'))
    assert_that(caller.reader.at_eof(), Equals(True))


async def test_close_idle_closes_only_connections_without_a_request(
    caller: CallerHarness,
) -> None:
    caller.writer.write(GET_REQUEST)
    await sleep(0.01)
    caller.server.close_idle()
    assert_that(await caller.send(b''), StartsWith(b'HTTP/1.1 200'))
    caller.server.close_idle()
    await sleep(0.05)
    assert_that(caller.reader.at_eof(), Equals(True))


async def test_on_disconnect_is_called_while_a_request_is_handled(
    caller: CallerHarness,
) -> None:
    caller.writer.write(GET_REQUEST)
    await sleep(0.01)
    caller.writer.transport.abort()
    await sleep(0.1)
    assert_that(caller.disconnects, Equals(1))


async def test_a_handler_without_response_closes_the_connection(
    caller: CallerHarness,
) -> None:
    caller.responds = False
    assert_that(await caller.send(GET_REQUEST), Equals(b''))
    assert_that(caller.reader.at_eof(), Equals(True))


async def test_a_slow_request_head_times_out(caller: CallerHarness) -> None:
    await caller.send(b'GET /a HT')
    later = get_running_loop().time() + LIMITS.header_s + 1.0
    caller.server.enforce_timeouts(later)
    assert_that(await caller.send(b''), StartsWith(b'HTTP/1.1 408'))


async def test_an_idle_connection_is_closed_after_its_timeout(
    caller: CallerHarness,
) -> None:
    await caller.send(GET_REQUEST)
    now = get_running_loop().time()
    caller.server.enforce_timeouts(now + 0.8 * LIMITS.idle_s)
    assert_that(await caller.send(GET_REQUEST), StartsWith(b'HTTP/1.1 200'))
    caller.server.enforce_timeouts(now + LIMITS.idle_s + 1.0)
    await sleep(0.05)
    assert_that(caller.reader.at_eof(), Equals(True))


async def test_expect_100_continue_is_honoured_once(
    caller: CallerHarness,
) -> None:
    head = b'POST /a HTTP/1.1\r\nhost: one\r\nexpect: 100-continue\r\n'
    data = await caller.send(head + b'content-length: 2\r\n\r\n')
    assert_that(data, StartsWith(b'HTTP/1.1 100'))
    data = await caller.send(b'ok')
    assert_that(data, StartsWith(b'HTTP/1.1 200'))
    assert_that(data, Not(Contains(b'HTTP/1.1 100')))


async def test_an_exception_in_the_handler_is_answered_as_unknown(
    caller: CallerHarness,
) -> None:
    caller.raises = True
    data = await caller.send(GET_REQUEST)
    assert_that(data, StartsWith(b'HTTP/1.1 502 '))
    assert_that(data, Not(Contains(b'retry-after')))
    caller.raises = False
    data = await caller.send(GET_REQUEST)
    assert_that(data, StartsWith(b'HTTP/1.1 200 '))


async def test_a_server_is_busy_while_a_request_arrives(
    caller: CallerHarness,
) -> None:
    """A host that stops must not end before it has answered."""
    await caller.send(b'POST /a HTTP/1.1\r\nhost: one\r\n')
    assert_that(caller.server.busy, Equals(True))
    await caller.send(b'content-length: 2\r\n\r\na')
    assert_that(caller.server.busy, Equals(True))
    await caller.send(b'b')
    assert_that(caller.server.busy, Equals(False))


async def test_a_server_is_busy_until_a_response_has_been_taken(
    caller: CallerHarness,
) -> None:
    """A host that stops must not break it off."""
    size = 16 * 1_048_576
    caller.server.limits = CallerLimits(1_000, size, 3.0, 15.0)
    head = b'POST /a HTTP/1.1\r\nhost: one\r\ncontent-length: %d\r\n\r\n'
    caller.writer.write(head % size + bytes(size))
    await sleep(0.5)
    assert_that(caller.server.busy, Equals(True))
    head_size = len(await caller.reader.readuntil(b'\r\n\r\n'))
    assert_that(head_size, Not(Equals(0)))
    await caller.reader.readexactly(size)
    assert_that(caller.server.busy, Equals(False))


async def test_a_rejected_request_keeps_no_server_busy(
    caller: CallerHarness,
) -> None:
    """Its caller may go on sending what is ignored."""
    await caller.send(b'GET /a HTTP/1.1\r\nx: ' + b'y' * 2_000 + b'\r\n')
    await caller.send(b'more: ')
    assert_that(caller.server.busy, Equals(False))


async def test_a_server_that_has_ended_takes_no_request(
    caller: CallerHarness,
) -> None:
    """The process ends now, and would cut it off after it was sent on."""
    await caller.send(b'')
    caller.writer.write(GET_REQUEST)
    caller.server.end()
    with suppress(ConnectionError):
        assert_that(await caller.reader.read(), Equals(b''))
    assert_that(caller.requests, Equals([]))


async def test_a_connection_made_after_the_end_is_closed(
    caller: CallerHarness,
) -> None:
    """It was accepted before the listener was closed."""
    await caller.send(b'')
    caller.server.end()
    host, port = caller.writer.get_extra_info('peername')
    reader, writer = await open_connection(host, port)
    writer.write(GET_REQUEST)
    with suppress(ConnectionError):
        assert_that(await reader.read(), Equals(b''))
    writer.close()
    assert_that(caller.requests, Equals([]))


async def test_a_pipelined_request_is_not_begun_after_the_end(
    caller: CallerHarness,
) -> None:
    """The one before it is answered."""
    caller.writer.write(GET_REQUEST + GET_REQUEST)
    await sleep(0.01)
    caller.server.end()
    await sleep(0.1)
    assert_that(len(caller.requests), Equals(1))


async def test_a_rejected_caller_that_sends_on_gets_its_response(
    caller: CallerHarness,
) -> None:
    """Closing meanwhile resets the connection, and the response is lost."""
    head = b'POST /a HTTP/1.1\r\nhost: one\r\ncontent-length: 9000000\r\n\r\n'
    caller.writer.write(head)
    for _ in range(60):
        caller.writer.write(b'z' * 150_000)
        await caller.writer.drain()
        await sleep(0.05)
    response = await caller.reader.read(12)
    assert_that(response, Equals(b'HTTP/1.1 413'))
