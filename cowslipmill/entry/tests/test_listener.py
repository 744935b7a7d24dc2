"""The caller's side, driven byte by byte."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import MatchesAny
from testtools.matchers import Not
from testtools.matchers import StartsWith

from cowslipmill.document.document import Document
from cowslipmill.document.document import Route
from cowslipmill.document.document import Service
from cowslipmill.document.document import Team
from cowslipmill.entry import connection as connection_module
from cowslipmill.entry import requestbody
from cowslipmill.entry.connection import CallerConnection
from cowslipmill.entry.connection import Stall
from cowslipmill.entry.listener import Listener
from cowslipmill.entry.rules import Rules
from cowslipmill.entry.upstream import OutgoingRequest
from cowslipmill.hosts.member import Member
from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import Outcome

BOUND_S = 10.0
END = b'\r\n\r\n'
GET = b'GET /desks/7 HTTP/1.1\r\nHost: a\r\n'
POST = b'POST /desks/7 HTTP/1.1\r\nHost: a\r\n'
PLAIN = Answered(200, (('X-From', 'server'),), b'whole', 'desk-0')


class FakeDispatcher:
    """Answers every request alike and keeps what it was given.

    Attributes:
        outcome: The outcome, or an error to raise.
        requests: Requests received.
        held: Requests wait for this to be set.
        cancelled: Set when a request was cancelled.
    """

    def __init__(self) -> None:
        """Answers at once."""
        self.outcome: Outcome | Exception = PLAIN
        self.requests: list[OutgoingRequest] = []
        self.held = asyncio.Event()
        self.held.set()
        self.cancelled = asyncio.Event()

    def next_key(self) -> str:
        """Returns a key for the caller."""
        return 'next'

    async def dispatch(
        self, route: Route, request: OutgoingRequest, deadline_at: float
    ) -> Outcome:
        """Serves one request."""
        self.requests.append(request)
        try:
            await self.held.wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


class Caller:
    """Opens raw connections to a listener."""

    def __init__(self, listener: Listener, dispatcher: FakeDispatcher) -> None:
        """Keeps the parts."""
        self.listener = listener
        self.dispatcher = dispatcher

    async def open(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connects."""
        host, port = self.listener.runner.addresses[0]
        return await asyncio.open_connection(host, port)

    async def send(self, request: bytes) -> bytes:
        """Sends bytes and returns what came until the connection closed."""
        reader, writer = await self.open()
        writer.write(request)
        async with asyncio.timeout(BOUND_S):
            received = await reader.read()
        writer.close()
        return received


@pytest_asyncio.fixture
async def caller() -> AsyncIterator[Caller]:
    """Starts a listener on a free port."""
    rules = Rules(
        Member(
            name='entry-0',
            host='host-0',
            failure_domain='domain-a',
            incarnation=1,
            peer_address='127.0.0.1:1',
        )
    )
    rules.put_in_force(
        Document(
            version=1,
            deployment='letters',
            teams=(Team(name='a'),),
            services=(Service(name='desk', team='a', slots_per_server=2),),
            routes=(
                Route(
                    name='see-desk',
                    team='a',
                    service='desk',
                    methods=('GET', 'HEAD', 'POST'),
                    path='/desks/{id}',
                    idempotent=True,
                    max_request_bytes=100,
                ),
            ),
        )
    )
    dispatcher = FakeDispatcher()
    loop = asyncio.get_running_loop()
    fake: Any = dispatcher
    listener = Listener('127.0.0.1:0', rules, fake, loop.time)
    await listener.start()
    yield Caller(listener, dispatcher)
    await listener.stop()


async def test_a_request_goes_on_with_its_end_to_end_headers(
    caller: Caller,
) -> None:
    """Hop-by-hop headers are left out; Via and Forwarded are added to."""
    await caller.send(
        GET + b'Connection: close, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n'
        b'Keep-Alive: 5\r\nUpgrade: h2c\r\nProxy-Connection: close\r\n'
        b'X-Kept: 1\r\nx-kept: 2\r\nVia: 1.0 portal\r\n'
        b'Forwarded: for=192.0.2.1' + END
    )
    headers = caller.dispatcher.requests[0].headers
    expected = {
        ('Host', 'a'),
        ('X-Kept', '1'),
        ('x-kept', '2'),
        ('Via', '1.0 portal, 1.1 cowslipmill'),
        ('Forwarded', 'for=192.0.2.1, for=127.0.0.1;proto=http'),
    }
    assert_that(set(headers.items()), Equals(expected))


async def test_a_compressed_body_goes_on_as_it_came(caller: Caller) -> None:
    """A body is never decoded on the way."""
    body = b'not really gzip'
    await caller.send(
        POST + b'Content-Encoding: gzip\r\nConnection: close\r\n'
        b'Content-Length: %d' % len(body) + END + body
    )
    request = caller.dispatcher.requests[0]
    assert_that(request.body, Equals(body))
    assert_that(request.headers['Content-Encoding'], Equals('gzip'))


async def test_the_answer_is_passed_on_whole(caller: Caller) -> None:
    """Status, headers and body are the server's."""
    received = await caller.send(GET + b'Connection: close' + END)
    assert_that(received, StartsWith(b'HTTP/1.1 200 OK\r\nX-From: server\r\n'))
    assert_that(received, Contains(b'Cowslipmill-Outcome: answered\r\n'))
    assert_that(received.endswith(END + b'whole'), Equals(True))


async def test_an_answer_to_head_keeps_its_length(caller: Caller) -> None:
    """The length is told and no body follows."""
    headers = (('Content-Length', '9000'),)
    caller.dispatcher.outcome = Answered(200, headers, b'', 'desk-0')
    received = await caller.send(
        GET.replace(b'GET', b'HEAD') + b'Connection: close' + END
    )
    assert_that(received, Contains(b'\r\nContent-Length: 9000\r\n'))
    assert_that(received.endswith(END), Equals(True))


@pytest.mark.parametrize('status', [204, 304])
async def test_a_status_without_body_ends_with_its_head(
    caller: Caller, status: int
) -> None:
    """Neither a body nor a coding follows."""
    caller.dispatcher.outcome = Answered(status, (), b'', 'desk-0')
    received = await caller.send(GET + b'Connection: close' + END)
    assert_that(received, StartsWith(b'HTTP/1.1 %d ' % status))
    assert_that(received, Not(Contains(b'Transfer-Encoding')))
    assert_that(received.endswith(END), Equals(True))


BAD_REQUEST = (b'HTTP/1.1 400 ', b'HTTP/1.0 400 ')
SMUGGLED = b'GET /desks/8 HTTP/1.1\r\nHost: a\r\n\r\n'
REFUSED_HEADS = [
    POST + b'Content-Length: 3\r\nTransfer-Encoding: chunked' + END,
    POST + b'Transfer-Encoding: chunked\r\nContent-Length: 3' + END,
    POST + b'Content-Length: 3\r\nContent-Length: 5' + END + b'abcde',
    POST + b'Content-Length: 3, 5' + END + b'abcde',
    POST + b'Content-Length: +3' + END + b'abc',
    POST + b'Content-Length: 0x3' + END + b'abc',
    POST + b'Content-Length: -3' + END + b'abc',
    POST + b'Content-Length : 3' + END + b'abc',
    POST + b'Content-Length: 3\r\n 5' + END + b'abcde',
    POST + b'Transfer-Encoding: xchunked' + END + b'0\r\n\r\n',
    POST + b'Transfer-Encoding: gzip, chunked' + END + b'0\r\n\r\n',
    POST + b'Transfer-Encoding: chunked, identity' + END + b'0\r\n\r\n',
    POST + b'Transfer-Encoding : chunked' + END + b'0\r\n\r\n',
    POST + b'Transfer-Encoding:\x0bchunked' + END + b'0\r\n\r\n',
    POST.replace(b'1.1', b'1.0')
    + b'Transfer-Encoding: chunked'
    + END
    + b'0\r\n\r\n',
    POST + b'Transfer-Encoding: chunked' + END + b'3;\nabc\r\n0\r\n\r\n',
    POST + b'Transfer-Encoding: chunked' + END + b'0x3\r\nabc\r\n0\r\n\r\n',
    POST + b'Transfer-Encoding: chunked' + END + b'3\r\nabcd\r\n0\r\n\r\n',
    POST + b'Transfer-Encoding: chunked' + END + b'-3\r\nabc\r\n0\r\n\r\n',
    GET + b'Bad Header: 1' + END,
    GET + b'X: a\x00b' + END,
    GET + b'X: a\rb' + END,
    GET + b': empty' + END,
    GET + b'Host: b' + END,
    b'GET /desks/7 HTTP/1.1' + END,
    b'GET /desks/7 HTTP/9.1\r\nHost: a' + END,
    b'GET http://a/desks/7 HTTP/1.1\r\nHost: a' + END,
    b'GET /desks/.. HTTP/1.1\r\nHost: a' + END,
    b'GET /desks/%2E%2e HTTP/1.1\r\nHost: a' + END,
    b'GET /desks/7#part HTTP/1.1\r\nHost: a' + END,
    b'GET /desks\\7 HTTP/1.1\r\nHost: a' + END,
    b'GET /desks/\xc3\xa9 HTTP/1.1\r\nHost: a' + END,
    b'OPTIONS * HTTP/1.1\r\nHost: a' + END,
    b'CONNECT a:80 HTTP/1.1\r\nHost: a' + END,
    b'G@T /desks/7 HTTP/1.1\r\nHost: a' + END,
    GET + b'Expect: wonders' + END,
    GET + b''.join(b'X-%d: 1\r\n' % n for n in range(200)) + b'\r\n',
    GET + b'X: ' + b'x' * 9_000 + END,
    b'GET /desks/' + b'7' * 9_000 + b' HTTP/1.1\r\nHost: a' + END,
    b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03' + END,
]


@pytest.mark.parametrize('head', REFUSED_HEADS)
async def test_an_ambiguous_request_is_refused_and_its_connection_closed(
    caller: Caller, head: bytes
) -> None:
    """Nothing goes on, and nothing behind it is read as a request."""
    received = await caller.send(head + SMUGGLED)
    assert_that(received[:13], MatchesAny(*(Equals(x) for x in BAD_REQUEST)))
    expected = b'Cowslipmill-Outcome: not-run; reason=bad-request\r\n'
    assert_that(received, Contains(expected))
    assert_that(received.count(b'Cowslipmill-Outcome'), Equals(1))
    assert_that(caller.dispatcher.requests, HasLength(0))


@pytest.mark.parametrize(
    'rest',
    [
        b'Content-Length: 101' + END,
        b'Content-Length: 99999999999999999' + END,
        b'Transfer-Encoding: chunked' + END + b'65\r\n' + b'x' * 101,
        b'Content-Length: 101\r\nExpect: 100-continue' + END,
    ],
)
async def test_a_body_over_its_bound_is_refused_before_it_is_read(
    caller: Caller, rest: bytes
) -> None:
    """Declared and chunked bodies have the route's bound."""
    received = await caller.send(POST + rest)
    assert_that(received, StartsWith(b'HTTP/1.1 413 '))
    assert_that(received, Contains(b'not-run; reason=request-too-large'))
    assert_that(caller.dispatcher.requests, HasLength(0))


async def test_a_caller_that_waits_to_be_asked_is_asked(
    caller: Caller,
) -> None:
    """The expectation is met here and does not go on."""
    reader, writer = await caller.open()
    writer.write(
        POST + b'Content-Length: 3\r\nExpect: 100-continue\r\n'
        b'Connection: close' + END
    )
    async with asyncio.timeout(BOUND_S):
        asked = await reader.readuntil(END)
        writer.write(b'abc')
        received = await reader.read()
    writer.close()
    assert_that(asked, Equals(b'HTTP/1.1 100 Continue' + END))
    assert_that(received, StartsWith(b'HTTP/1.1 200 OK\r\n'))
    request = caller.dispatcher.requests[0]
    assert_that(request.body, Equals(b'abc'))
    assert_that('Expect' in request.headers, Equals(False))


async def test_pipelined_requests_are_answered_in_order(
    caller: Caller,
) -> None:
    """Each request on a kept connection gets its own answer."""
    second = POST + b'Connection: close\r\nTransfer-Encoding: chunked' + END
    received = await caller.send(
        GET + b'\r\n' + second + b'3\r\nabc\r\n0\r\n\r\n'
    )
    assert_that(received.count(b'HTTP/1.1 200 OK'), Equals(2))
    bodies = [request.body for request in caller.dispatcher.requests]
    assert_that(bodies, Equals([b'', b'abc']))


async def test_an_error_of_this_process_is_told_as_unknown(
    caller: Caller,
) -> None:
    """Bytes may have gone to a server before the error."""
    caller.dispatcher.outcome = RuntimeError('a fault')
    received = await caller.send(GET + b'Connection: close' + END)
    assert_that(received, StartsWith(b'HTTP/1.1 502 '))
    assert_that(received, Contains(b'unknown; reason=internal-error'))


async def test_a_caller_that_leaves_cancels_its_request(
    caller: Caller,
) -> None:
    """Work for nobody is given up."""
    caller.dispatcher.held.clear()
    _, writer = await caller.open()
    writer.write(GET + b'\r\n')
    await wait_for_requests(caller, 1)
    writer.close()
    async with asyncio.timeout(BOUND_S):
        await caller.dispatcher.cancelled.wait()


async def test_a_body_that_stalls_is_refused(
    caller: Caller, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A caller gets a bounded time for its body."""
    monkeypatch.setattr(requestbody, 'BODY_TIMEOUT_S', 0.05)
    received = await caller.send(POST + b'Content-Length: 3' + END + b'a')
    assert_that(received, StartsWith(b'HTTP/1.1 408 '))
    assert_that(received, Contains(b'not-run; reason=slow-caller'))


@pytest.mark.parametrize('start', [b'', b'GET /desks/7 HT', GET])
async def test_a_head_that_stalls_is_cut(caller: Caller, start: bytes) -> None:
    """A connection without a whole head is closed after the bound."""
    reader, writer = await caller.open()
    writer.write(start)
    while not caller.listener.server.connections:
        await asyncio.sleep(0.01)
    bound = connection_module.HEAD_TIMEOUT_S
    now = asyncio.get_running_loop().time()
    caller.listener.server.cut_stalled(now + bound - 1)
    assert_that(reader.at_eof(), Equals(False))
    caller.listener.server.cut_stalled(now + bound + 1)
    assert_that(await read_to_end(reader), Equals(b''))
    writer.close()


async def test_a_kept_connection_may_rest(caller: Caller) -> None:
    """Only a head that has begun is timed after the first request."""
    reader, writer = await caller.open()
    writer.write(GET + b'\r\n')
    async with asyncio.timeout(BOUND_S):
        await reader.readuntil(b'whole')
    now = asyncio.get_running_loop().time()
    bound = connection_module.HEAD_TIMEOUT_S
    caller.listener.server.cut_stalled(now + bound + 1)
    writer.write(GET + b'\r\n')
    async with asyncio.timeout(BOUND_S):
        await reader.readuntil(b'whole')
    writer.close()


async def test_a_caller_that_takes_no_bytes_is_cut(caller: Caller) -> None:
    """Answers are kept for a bounded time."""
    connection = CallerConnection(caller.listener.server)
    bound = connection_module.SEND_TIMEOUT_S
    stalls = [
        connection.find_stall(10, 1.0),
        connection.find_stall(0, 2.0),
        connection.find_stall(10, 3.0),
        connection.find_stall(10, 3.0 + bound),
        connection.find_stall(10, 3.1 + bound),
    ]
    expected = [None, None, None, None, Stall.SLOW_READER]
    assert_that(stalls, Equals(expected))


async def test_a_connection_too_many_is_refused(
    caller: Caller, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its requests are refused, and when to come back is told."""
    monkeypatch.setattr(connection_module, 'MAX_CONNECTIONS', 0)
    received = await caller.send(GET + b'Connection: close' + END)
    assert_that(received, Contains(b'not-run; reason=overloaded'))
    assert_that(received, Contains(b'Retry-After: 1\r\n'))


async def test_a_stop_answers_what_is_in_flight(caller: Caller) -> None:
    """A request that finishes within the bound gets its answer."""
    caller.dispatcher.held.clear()
    sent = asyncio.create_task(caller.send(GET + b'\r\n'))
    await wait_for_requests(caller, 1)
    drained = asyncio.create_task(caller.listener.drain(BOUND_S))
    while not caller.listener.stopping:
        await asyncio.sleep(0)
    caller.dispatcher.held.set()
    await drained
    received = await sent
    assert_that(received, StartsWith(b'HTTP/1.1 200 OK\r\n'))
    assert_that(received, Contains(b'Connection: close\r\n'))


async def test_a_stop_tells_what_it_cannot_finish(caller: Caller) -> None:
    """A request at a frozen server ends as unknown at the bound."""
    caller.dispatcher.held.clear()
    sent = asyncio.create_task(caller.send(GET + b'\r\n'))
    slow = POST + b'Content-Length: 3' + END
    unsent = asyncio.create_task(caller.send(slow))
    await wait_for_requests(caller, 1)
    while len(caller.listener.dispatching) < 2:
        await asyncio.sleep(0.01)
    await caller.listener.drain(0.0)
    assert_that(await sent, Contains(b'unknown; reason=stopping'))
    assert_that(await unsent, Contains(b'not-run; reason=stopping'))
    assert_that(caller.dispatcher.cancelled.is_set(), Equals(True))


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Returns what came until the connection was closed or reset."""
    async with asyncio.timeout(BOUND_S):
        try:
            return await reader.read()
        except ConnectionError:
            return b''


async def wait_for_requests(caller: Caller, count: int) -> None:
    """Returns when the dispatcher has been given so many requests."""
    async with asyncio.timeout(BOUND_S):
        while len(caller.dispatcher.requests) < count:
            await asyncio.sleep(0.01)
