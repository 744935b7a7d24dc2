"""Requests of callers as bytes on a connection."""

from asyncio import get_running_loop
from asyncio import open_connection
from asyncio import sleep
from asyncio import StreamReader
from asyncio import StreamWriter
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import Not
from testtools.matchers import StartsWith

from cowslipmill.http1.callerconnection import CallerConnection
from cowslipmill.http1.callerconnection import CallerLimits
from cowslipmill.http1.callerconnection import CallerServer
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response

LIMITS = CallerLimits(1_000, 5_000, 3.0, 15.0)
GET = b'GET /a HTTP/1.1\r\nhost: one\r\n\r\n'


class Caller:
    """A listener and a raw connection to it."""

    def __init__(self) -> None:
        """Starts without requests."""
        self.requests: list[Request] = []
        self.left = 0
        self.answers = True
        self.fails = False
        loop = get_running_loop()
        self.server = CallerServer(self.handle, LIMITS, loop.time)
        self.reader: StreamReader
        self.writer: StreamWriter

    async def handle(
        self, request: Request, connection: CallerConnection
    ) -> Response | None:
        """Answers with the request's body."""
        self.requests.append(request)

        def leave() -> None:
            self.left += 1

        connection.on_disconnect = leave
        await sleep(0.02)
        if self.fails:
            raise RuntimeError('a fault of our own')
        if not self.answers:
            return None
        return Response(200, [(b'x-own', b'1')], request.body)

    async def send(self, data: bytes, wait_s: float = 0.15) -> bytes:
        """Sends bytes and returns what comes within a time."""
        self.writer.write(data)
        await sleep(wait_s)
        return await self.receive()

    async def receive(self) -> bytes:
        """Returns what has come."""
        if self.reader.at_eof():
            return b''
        # Everything that has come is in the buffer after the wait.
        buffer: bytearray = self.reader._buffer  # type: ignore[attr-defined]
        data = bytes(buffer)
        buffer.clear()
        return data


@pytest_asyncio.fixture
async def caller() -> AsyncIterator[Caller]:
    """Starts a listener and connects to it."""
    caller = Caller()
    loop = get_running_loop()
    listener = await loop.create_server(caller.server, '127.0.0.1', 0)
    address = listener.sockets[0].getsockname()
    caller.reader, caller.writer = await open_connection(*address)
    yield caller
    caller.writer.close()
    listener.close()


async def test_a_connection_serves_request_after_request(
    caller: Caller,
) -> None:
    for _ in range(3):
        assert_that(await caller.send(GET), StartsWith(b'HTTP/1.1 200 OK\r\n'))
    assert_that(len(caller.requests), Equals(3))


async def test_requests_sent_ahead_are_answered_in_order(
    caller: Caller,
) -> None:
    post = b'POST /a HTTP/1.1\r\nhost: one\r\ncontent-length: 1\r\n\r\n'
    data = await caller.send(post + b'1' + post + b'2')
    assert_that(data.count(b'HTTP/1.1 200'), Equals(2))
    assert_that(data.index(b'\r\n\r\n1') < data.index(b'\r\n\r\n2'), Equals(1))


async def test_a_body_in_chunks_is_joined(caller: Caller) -> None:
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
async def test_what_exceeds_a_bound_is_rejected_and_never_served(
    caller: Caller, data: bytes, status: bytes
) -> None:
    assert_that(await caller.send(data), StartsWith(b'HTTP/1.1 ' + status))
    assert_that(caller.requests, Equals([]))


async def test_a_caller_that_asks_to_close_is_closed(caller: Caller) -> None:
    data = await caller.send(
        b'GET /a HTTP/1.1\r\nhost: one\r\nconnection: close\r\n\r\n'
    )
    assert_that(data, Contains(b'connection: close'))
    assert_that(caller.reader.at_eof(), Equals(True))


async def test_a_stopping_host_says_so_and_closes(caller: Caller) -> None:
    caller.server.closing = True
    assert_that(await caller.send(GET), Contains(b'connection: close'))
    assert_that(caller.reader.at_eof(), Equals(True))


async def test_a_stopping_host_closes_idle_connections_only(
    caller: Caller,
) -> None:
    caller.writer.write(GET)
    await sleep(0.01)
    caller.server.close_idle()
    assert_that(await caller.send(b''), StartsWith(b'HTTP/1.1 200'))
    caller.server.close_idle()
    await sleep(0.05)
    assert_that(caller.reader.at_eof(), Equals(True))


async def test_leaving_is_told_while_the_request_is_served(
    caller: Caller,
) -> None:
    caller.writer.write(GET)
    await sleep(0.01)
    caller.writer.transport.abort()
    await sleep(0.1)
    assert_that(caller.left, Equals(1))


async def test_no_answer_closes_the_connection(caller: Caller) -> None:
    caller.answers = False
    assert_that(await caller.send(GET), Equals(b''))
    assert_that(caller.reader.at_eof(), Equals(True))


async def test_a_slow_head_is_cut_off(caller: Caller) -> None:
    await caller.send(b'GET /a HT')
    later = get_running_loop().time() + LIMITS.header_s + 1.0
    caller.server.enforce_timeouts(later)
    assert_that(await caller.send(b''), StartsWith(b'HTTP/1.1 408'))


async def test_an_idle_connection_is_kept_within_its_bound(
    caller: Caller,
) -> None:
    await caller.send(GET)
    now = get_running_loop().time()
    caller.server.enforce_timeouts(now + 0.8 * LIMITS.idle_s)
    assert_that(await caller.send(GET), StartsWith(b'HTTP/1.1 200'))
    caller.server.enforce_timeouts(now + LIMITS.idle_s + 1.0)
    await sleep(0.05)
    assert_that(caller.reader.at_eof(), Equals(True))


async def test_the_asked_body_is_asked_for(caller: Caller) -> None:
    head = b'POST /a HTTP/1.1\r\nhost: one\r\nexpect: 100-continue\r\n'
    data = await caller.send(head + b'content-length: 2\r\n\r\n')
    assert_that(data, StartsWith(b'HTTP/1.1 100'))
    data = await caller.send(b'ok')
    assert_that(data, StartsWith(b'HTTP/1.1 200'))
    assert_that(data, Not(Contains(b'HTTP/1.1 100')))


async def test_a_fault_of_our_own_closes_the_connection(
    caller: Caller,
) -> None:
    caller.fails = True
    assert_that(await caller.send(GET), Equals(b''))
    assert_that(caller.reader.at_eof(), Equals(True))
