"""Tests of server responses, sent as raw bytes by a fake server."""

import asyncio
from collections.abc import AsyncIterator

from multidict import CIMultiDict
import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import IsInstance

from cowslipmill.attempts.event import AnswerRead
from cowslipmill.attempts.event import ConnectFailed
from cowslipmill.attempts.event import Event
from cowslipmill.attempts.event import ExchangeBroken
from cowslipmill.attempts.event import Shed
from cowslipmill.attempts.event import Signals
from cowslipmill.entry.upstream import open_session
from cowslipmill.entry.upstream import OutgoingRequest
from cowslipmill.entry.upstream import Upstream
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role
from cowslipmill.outcomes.outcome import Reason

TIMEOUT_S = 10.0
MAX_ANSWER_BYTES = 1_000


class RawServer:
    """Responds to each request with the next byte string of its script.

    Attributes:
        script: Bytes to send for each request; None sends nothing.
        hang_up: Whether the connection is closed after each response.
        heads: Request heads received.
        connections: Connections accepted.
        closed: Set when a caller closes a connection.
    """

    def __init__(self) -> None:
        """Starts without a script."""
        self.script: list[bytes | None] = []
        self.hang_up = False
        self.heads: list[bytes] = []
        self.connections = 0
        self.closed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self.connections += 1
        try:
            while True:
                self.heads.append(await reader.readuntil(b'\r\n\r\n'))
                response = self.script.pop(0)
                if response is not None:
                    writer.write(response)
                    await writer.drain()
                if self.hang_up:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        finally:
            writer.close()


class UpstreamHarness:
    """A raw server and the upstream that calls it."""

    def __init__(self, server: RawServer, upstream: Upstream, port: int):
        """Calls the server at `port` with `upstream`."""
        self.server = server
        self.upstream = upstream
        self.record = NodeRecord(
            name='registry-0',
            role=Role.BACKEND_SERVER,
            address=f'127.0.0.1:{port}',
            failure_domain='domain-a',
            incarnation=1,
            service='registry',
        )

    async def send(self, method: str = 'GET', body: bytes = b'') -> Event:
        """Makes one attempt."""
        request = OutgoingRequest(
            method, '/a?b=%20c', CIMultiDict(), body, MAX_ANSWER_BYTES
        )
        async with asyncio.timeout(TIMEOUT_S):
            return await self.upstream.send(self.record, request, lambda: 500)

    async def send_for(self, response: bytes, method: str = 'GET') -> Event:
        """Makes one attempt that gets these bytes."""
        self.server.script.append(response)
        return await self.send(method)


@pytest_asyncio.fixture
async def harness() -> AsyncIterator[UpstreamHarness]:
    """Starts a raw server on a free port."""
    raw = RawServer()
    listening = await asyncio.start_server(raw.serve, '127.0.0.1', 0)
    port = listening.sockets[0].getsockname()[1]
    async with open_session() as session:
        yield UpstreamHarness(raw, Upstream(session), port)
    listening.close()


def framed_response(
    body: bytes, *headers: bytes, status: bytes = b'200 OK'
) -> bytes:
    """Returns a well-framed response."""
    head = [b'HTTP/1.1 ' + status, b'Content-Length: %d' % len(body)]
    return b'\r\n'.join([*head, *headers]) + b'\r\n\r\n' + body


async def test_response_is_read_whole_with_end_to_end_headers(
    harness: UpstreamHarness,
) -> None:
    """Hop-by-hop headers, signals and forged outcomes are dropped."""
    event = await harness.send_for(
        framed_response(
            b'fine',
            b'X-Kept: 1',
            b'X-Kept: 2',
            b'Connection: keep-alive, X-Hop',
            b'X-Hop: secret',
            b'Keep-Alive: timeout=5',
            b'Endpoint-Load-Metrics: TEXT named_metrics.in_flight=3',
            b'Cowslipmill-Leaving: 1',
            b'Cowslipmill-Outcome: not-run',
        )
    )
    assert isinstance(event, AnswerRead)
    assert_that(event.headers, Equals((('X-Kept', '1'), ('X-Kept', '2'))))
    assert_that(event.body, Equals(b'fine'))
    assert_that(event.signals.leaving, Equals(True))
    assert event.signals.load is not None
    assert_that(event.signals.load.in_flight, Equals(3))


async def test_request_line_is_forwarded_unchanged(
    harness: UpstreamHarness,
) -> None:
    """Path and query are not rewritten; the deadline header is set."""
    await harness.send_for(framed_response(b''))
    lines = harness.server.heads[0].split(b'\r\n')
    assert_that(lines[0], Equals(b'GET /a?b=%20c HTTP/1.1'))
    assert_that(b'Cowslipmill-Deadline-Ms: 500' in lines, Equals(True))


async def test_connection_is_reused_after_whole_response(
    harness: UpstreamHarness,
) -> None:
    """Two requests in turn share one connection."""
    await harness.send_for(framed_response(b'1'))
    await harness.send_for(framed_response(b'2'))
    assert_that(harness.server.connections, Equals(1))


async def test_shed_request_has_the_servers_retry_delay(
    harness: UpstreamHarness,
) -> None:
    """A 503 with the not-started header is read as shed."""
    event = await harness.send_for(
        framed_response(
            b'',
            b'Cowslipmill-Not-Started: 1',
            b'Retry-After: 3',
            b'Cowslipmill-Leaving: 1',
            status=b'503 Busy',
        )
    )
    assert_that(event, Equals(Shed(3_000, Signals(leaving=True))))


@pytest.mark.parametrize(
    ('response', 'reason'),
    [
        (b'', Reason.CONNECTION_LOST),
        (b'HTTP/1.1 200 OK\r\nContent-Le', Reason.CONNECTION_LOST),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut',
            Reason.CONNECTION_LOST,
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ncut',
            Reason.CONNECTION_LOST,
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'3\r\ncut\r\n',
            Reason.CONNECTION_LOST,
        ),
        (b'HTTP/1.1 200 OK\r\n\r\nup to the end', Reason.BAD_ANSWER),
        (b'HTTP/1.0 200 OK\r\n\r\nup to the end', Reason.BAD_ANSWER),
        (b'SSH-2.0-nothing of ours\r\n\r\n', Reason.BAD_ANSWER),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: nine\r\n\r\nninebytes',
            Reason.BAD_ANSWER,
        ),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n'
            b'Content-Length: 5\r\n\r\nabcde',
            Reason.BAD_ANSWER,
        ),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n',
            Reason.BAD_ANSWER,
        ),
        (
            b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n'
            b'Connection: upgrade\r\n\r\n',
            Reason.BAD_ANSWER,
        ),
        (
            b'HTTP/1.1 600 Odd\r\nContent-Length: 3\r\n\r\nabc',
            Reason.BAD_ANSWER,
        ),
        (
            b'HTTP/1.1 999 Odd\r\nContent-Length: 3\r\n\r\nabc',
            Reason.BAD_ANSWER,
        ),
        (
            b'HTTP/1.1 099 Odd\r\nContent-Length: 3\r\n\r\nabc',
            Reason.BAD_ANSWER,
        ),
        (
            b'HTTP/1.1 200 OK\r\nX: ' + b'x' * 70_000 + b'\r\n\r\n',
            Reason.BAD_ANSWER,
        ),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n' + b'x' * 2000,
            Reason.ANSWER_TOO_LARGE,
        ),
        (
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'7d0\r\n' + b'x' * 2000 + b'\r\n0\r\n\r\n',
            Reason.ANSWER_TOO_LARGE,
        ),
    ],
)
async def test_no_part_of_a_broken_response_is_forwarded(
    harness: UpstreamHarness, response: bytes, reason: Reason
) -> None:
    """Truncated, malformed, ambiguous or oversized responses are errors."""
    harness.server.hang_up = True
    event = await harness.send_for(response)
    assert_that(event, Equals(ExchangeBroken(reason)))


@pytest.mark.parametrize(
    ('method', 'response', 'status'),
    [
        ('HEAD', b'HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n', 200),
        ('GET', b'HTTP/1.1 204 No Content\r\n\r\n', 204),
        ('GET', b'HTTP/1.1 304 Not Modified\r\nETag: "a"\r\n\r\n', 304),
        ('GET', b'HTTP/1.1 100 Continue\r\n\r\n' + framed_response(b''), 200),
        (
            'GET',
            b'HTTP/1.1 103 Early Hints\r\n\r\n' + framed_response(b''),
            200,
        ),
    ],
)
async def test_response_without_body_is_whole(
    harness: UpstreamHarness, method: str, response: bytes, status: int
) -> None:
    """Method and status decide whether a body follows."""
    event = await harness.send_for(response, method)
    assert isinstance(event, AnswerRead)
    assert_that((event.status, event.body), Equals((status, b'')))


async def test_bytes_after_a_response_never_answer_the_next_request(
    harness: UpstreamHarness,
) -> None:
    """An unsolicited second response is dropped with its connection."""
    stray = framed_response(b'stray')
    first = await harness.send_for(framed_response(b'first') + stray)
    second = await harness.send_for(framed_response(b'second'))
    assert isinstance(first, (AnswerRead, ExchangeBroken))
    assert isinstance(second, AnswerRead)
    assert_that(second.body, Equals(b'second'))
    assert_that(harness.server.connections, Equals(2))


async def test_late_response_never_answers_the_next_request(
    harness: UpstreamHarness,
) -> None:
    """Cancelling an attempt closes its connection."""
    harness.server.script.append(None)
    waiting = asyncio.create_task(harness.send())
    while not harness.server.heads:
        await asyncio.sleep(0.01)
    waiting.cancel()
    async with asyncio.timeout(TIMEOUT_S):
        await harness.server.closed.wait()
    await harness.send_for(framed_response(b'second'))
    assert_that(harness.server.connections, Equals(2))


async def test_lost_connection_is_not_retried_by_the_library(
    harness: UpstreamHarness,
) -> None:
    """The HTTP library's own retry of idempotent requests stays off."""
    await harness.send_for(framed_response(b'1'))
    harness.server.hang_up = True
    event = await harness.send_for(b'')
    assert_that(event, Equals(ExchangeBroken(Reason.CONNECTION_LOST)))
    assert_that(harness.server.heads, HasLength(2))


async def test_refused_connection_is_a_failed_connect() -> None:
    """Without a connection no byte was sent, which `ConnectFailed` proves."""
    async with open_session() as session:
        harness = UpstreamHarness(RawServer(), Upstream(session), 1)
        assert_that(await harness.send(), IsInstance(ConnectFailed))


async def test_empty_post_has_content_length_zero(
    harness: UpstreamHarness,
) -> None:
    """The server does not wait for a body."""
    harness.server.script.append(framed_response(b''))
    await harness.send('POST')
    head = harness.server.heads[0]
    assert_that(b'\r\nContent-Length: 0\r\n' in head, Equals(True))
