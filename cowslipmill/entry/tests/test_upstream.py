"""Answers of servers, sent byte by byte by a raw stand-in."""

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
    """Answers each request with the next of its scripted byte strings.

    Attributes:
        script: Bytes to send by request; None answers nothing.
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
                answer = self.script.pop(0)
                if answer is not None:
                    writer.write(answer)
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
        """Keeps the parts."""
        self.server = server
        self.upstream = upstream
        self.fact = NodeRecord(
            name='registry-0',
            role=Role.BACKEND_SERVER,
            address=f'127.0.0.1:{port}',
            failure_domain='domain-a',
            incarnation=1,
            service='registry',
        )

    async def send(self, method: str = 'GET', body: bytes = b'') -> Event:
        """Makes one try."""
        request = OutgoingRequest(
            method, '/a?b=%20c', CIMultiDict(), body, MAX_ANSWER_BYTES
        )
        async with asyncio.timeout(TIMEOUT_S):
            return await self.upstream.send(self.fact, request, lambda: 500)

    async def send_for(self, answer: bytes, method: str = 'GET') -> Event:
        """Makes one try that gets these bytes."""
        self.server.script.append(answer)
        return await self.send(method)


@pytest_asyncio.fixture
async def bench() -> AsyncIterator[UpstreamHarness]:
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
    """Returns a well-framed answer."""
    head = [b'HTTP/1.1 ' + status, b'Content-Length: %d' % len(body)]
    return b'\r\n'.join([*head, *headers]) + b'\r\n\r\n' + body


async def test_an_answer_comes_whole_with_end_to_end_headers(
    bench: UpstreamHarness,
) -> None:
    """Hop-by-hop headers, signals and forged outcomes are left out."""
    event = await bench.send_for(
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


async def test_the_request_line_goes_on_as_it_came(
    bench: UpstreamHarness,
) -> None:
    """Neither path nor query is rewritten; the deadline is told."""
    await bench.send_for(framed_response(b''))
    lines = bench.server.heads[0].split(b'\r\n')
    assert_that(lines[0], Equals(b'GET /a?b=%20c HTTP/1.1'))
    assert_that(b'Cowslipmill-Deadline-Ms: 500' in lines, Equals(True))


async def test_a_whole_answer_leaves_its_connection_for_reuse(
    bench: UpstreamHarness,
) -> None:
    """Two requests in turn share one connection."""
    await bench.send_for(framed_response(b'1'))
    await bench.send_for(framed_response(b'2'))
    assert_that(bench.server.connections, Equals(1))


async def test_a_shed_request_comes_with_the_servers_retry_after(
    bench: UpstreamHarness,
) -> None:
    """The agreed form of a refusal is read."""
    event = await bench.send_for(
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
    ('answer', 'reason'),
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
async def test_no_part_of_a_broken_answer_goes_on(
    bench: UpstreamHarness, answer: bytes, reason: Reason
) -> None:
    """What is cut, malformed, ambiguous or too large breaks the exchange."""
    bench.server.hang_up = True
    event = await bench.send_for(answer)
    assert_that(event, Equals(ExchangeBroken(reason)))


@pytest.mark.parametrize(
    ('method', 'answer', 'status'),
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
async def test_an_answer_without_a_body_is_whole(
    bench: UpstreamHarness, method: str, answer: bytes, status: int
) -> None:
    """The method and the status decide about the body."""
    event = await bench.send_for(answer, method)
    assert isinstance(event, AnswerRead)
    assert_that((event.status, event.body), Equals((status, b'')))


async def test_bytes_after_an_answer_never_answer_the_next_request(
    bench: UpstreamHarness,
) -> None:
    """A second answer that nobody asked for is dropped."""
    stray = framed_response(b'stray')
    first = await bench.send_for(framed_response(b'first') + stray)
    second = await bench.send_for(framed_response(b'second'))
    assert isinstance(first, (AnswerRead, ExchangeBroken))
    assert isinstance(second, AnswerRead)
    assert_that(second.body, Equals(b'second'))
    assert_that(bench.server.connections, Equals(2))


async def test_a_late_answer_never_answers_the_next_request(
    bench: UpstreamHarness,
) -> None:
    """A cancelled exchange closes its connection."""
    bench.server.script.append(None)
    waiting = asyncio.create_task(bench.send())
    while not bench.server.heads:
        await asyncio.sleep(0.01)
    waiting.cancel()
    async with asyncio.timeout(TIMEOUT_S):
        await bench.server.closed.wait()
    await bench.send_for(framed_response(b'second'))
    assert_that(bench.server.connections, Equals(2))


async def test_a_lost_connection_is_not_tried_again_in_secret(
    bench: UpstreamHarness,
) -> None:
    """The library's own resend of idempotent requests stays off."""
    await bench.send_for(framed_response(b'1'))
    bench.server.hang_up = True
    event = await bench.send_for(b'')
    assert_that(event, Equals(ExchangeBroken(Reason.CONNECTION_LOST)))
    assert_that(bench.server.heads, HasLength(2))


async def test_a_refused_connection_proves_that_nothing_was_sent() -> None:
    """No byte leaves without a connection."""
    async with open_session() as session:
        bench = UpstreamHarness(RawServer(), Upstream(session), 1)
        assert_that(await bench.send(), IsInstance(ConnectFailed))


async def test_an_empty_post_says_that_it_is_empty(
    bench: UpstreamHarness,
) -> None:
    """A server need not wait for a body."""
    bench.server.script.append(framed_response(b''))
    await bench.send('POST')
    head = bench.server.heads[0]
    assert_that(b'\r\nContent-Length: 0\r\n' in head, Equals(True))
