"""Tests of ways in which an answer that is owed is lost, found in a review."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import open_connection
from asyncio import sleep
from asyncio import StreamReader
from asyncio import timeout
from socket import AF_INET
from socket import SO_RCVBUF
from socket import SOCK_STREAM
from socket import socket
from socket import SOL_SOCKET

from msgspec.structs import replace
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.host.host import INPUT_END_FRACTION
from cowslipmill.host.host import READINESS_NOTICE_S
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import HOST_HEADER
from cowslipmill.host.tests.virtualtime import delay_event_loop
from cowslipmill.http1.callerserver import CallerServer
from cowslipmill.http1.exchange import Exchange
from cowslipmill.http1.listenerstate import CallerLimits
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.tests.test_memory import Sink
from cowslipmill.http1.tests.test_slowcallers import SlowSink
from cowslipmill.memory.budget import Holding
from cowslipmill.memory.budget import MemoryBudget

LIMITS = CallerLimits(16_384, 1_048_576, 3.0, 15.0)
REQUEST = b'GET /a HTTP/1.1\r\nhost: one\r\n\r\n'
BODY_BYTES = 1_500_000


async def respond(request: Request, exchange: Exchange) -> Response:
    """Answers at once with a long response."""
    return Response(200, [], b'z' * BODY_BYTES)


async def test_a_response_begun_before_a_stop_leaves_no_connection_open() -> (
    None
):
    """A request after it would be read, dropped and cut by the exit."""
    server = CallerServer(respond, LIMITS, get_running_loop().time)
    sink = SlowSink(server())
    sink.protocol.data_received(REQUEST)
    await sleep(0)
    server.closing = True
    server.end()
    while sink.untaken:
        sink.take()
        await sleep(0)
    await sleep(0)
    assert_that(server.owes_answers, Equals(False))
    assert_that(sink.aborted, Equals(True))


async def test_a_request_behind_a_response_ends_when_its_host_does() -> None:
    """It waits when the host takes no more: it gets an answer or a close."""
    server = CallerServer(respond, LIMITS, get_running_loop().time)
    sink = SlowSink(server())
    sink.protocol.data_received(REQUEST + REQUEST)
    await sleep(0)
    server.closing = True
    server.end()
    for _ in range(200):
        sink.take()
        await sleep(0)
    answered = sink.sent.count(b'HTTP/1.1 ') == 2
    assert_that(answered or sink.aborted, Equals(True))


async def test_a_closed_connection_delivers_the_response_before_it() -> None:
    """What a caller sends after the close resets the connection."""
    loop = get_running_loop()
    server = CallerServer(respond, LIMITS, loop.time)
    server.closing = True
    listener = await loop.create_server(server, '127.0.0.1', 0)
    sock = socket(AF_INET, SOCK_STREAM)
    sock.setsockopt(SOL_SOCKET, SO_RCVBUF, 65_536)
    sock.setblocking(False)
    await loop.sock_connect(sock, listener.sockets[0].getsockname())
    reader, writer = await open_connection(sock=sock, limit=4_096)
    writer.write(REQUEST)
    received = await reader.readexactly(4_096)
    async with timeout(10.0):
        while server.owes_answers:
            received += await reader.read(65_536)
            await sleep(0.005)
    # The host has done its part; the system still has a part of the response.
    writer.write(REQUEST)
    await sleep(0.1)
    received += await read_all(reader)
    writer.close()
    listener.close()
    assert_that(len(received) > BODY_BYTES, Equals(True))


async def read_all(reader: StreamReader) -> bytes:
    """Returns what comes until the close or a reset."""
    received = b''
    try:
        while data := await reader.read(65_536):
            received += data
    except ConnectionError:
        pass
    return received


async def test_an_internal_error_leaves_no_request_without_an_answer() -> None:
    """502 promises as little as a close, and is an answer."""

    async def fail(request: Request, exchange: Exchange) -> Response:
        """Fails after the request was sent."""
        raise RuntimeError('unexpected')

    server = CallerServer(fail, LIMITS, get_running_loop().time)
    sink = Sink(server())
    sink.protocol.data_received(REQUEST)
    for _ in range(5):
        await sleep(0)
    assert_that(bytes(sink.sent[:12]), Equals(b'HTTP/1.1 502'))


async def test_a_caller_that_takes_its_response_slowly_makes_no_room() -> None:
    """The system's buffer takes more only when a third of it is free."""
    loop = get_running_loop()
    servers = MemoryBudget('servers', 5_000_000)

    async def answer(request: Request, exchange: Exchange) -> Response:
        """Answers at once with a response of a server."""
        holding = Holding(servers, 'response')
        assert holding.resize(4_000_000)
        return Response(200, [], b'z' * 4_000_000, holding)

    server = CallerServer(answer, LIMITS, loop.time)
    listener = await loop.create_server(server, '127.0.0.1', 0)
    sock = socket(AF_INET, SOCK_STREAM)
    sock.setblocking(False)
    await loop.sock_connect(sock, listener.sockets[0].getsockname())
    await loop.sock_sendall(sock, REQUEST)
    loop.call_later(0.1, enforce, server)
    seen = 0
    for _ in range(120):
        await loop.sock_recv(sock, 25_000)
        await sleep(0.05)
        seen += bool(servers.evictable)
    sock.close()
    listener.close()
    assert_that(seen, Equals(0))


def enforce(server: CallerServer) -> None:
    """Enforces timeouts as the housekeeping of a host does."""
    loop = get_running_loop()
    server.enforce_timeouts(loop.time())
    if server.connections:
        loop.call_later(0.1, enforce, server)


async def test_a_host_that_stops_late_is_open_until_that_is_noticed(
    fleet: Fleet,
) -> None:
    """Its readiness check says so only since it has handled the signal."""
    host = fleet.hosts[0]
    host.settings = replace(host.settings, stop_s=6.0)
    handled_at = host.clock()
    await host.drain(handled_at - 1.0)
    open_s = host.clock() - handled_at
    assert_that(open_s, GreaterThan(READINESS_NOTICE_S))


async def test_a_request_that_came_whole_before_the_last_look_is_answered(
    fleet: Fleet,
) -> None:
    """Its host is late, and reads 64 KiB before it closes the connection."""
    loop = get_running_loop()
    host = fleet.hosts[0]
    sock = socket(AF_INET, SOCK_STREAM)
    sock.setblocking(False)
    await loop.sock_connect(sock, host.settings.callers_listen)
    body = b'z' * 150_000
    head = (
        f'POST /book/late HTTP/1.1\r\nhost: {HOST_HEADER}\r\n'
        'x-request-id: late\r\nx-deadline-ms: 2000\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    started_at = host.clock()
    stopping = create_task(host.drain())
    await sleep(READINESS_NOTICE_S - 0.1)
    await loop.sock_sendall(sock, head.encode())
    end_at = started_at + INPUT_END_FRACTION * host.settings.stop_s

    def send_rest() -> None:
        """Sends the whole body; the host sees it 0.3 s later."""
        assert sock.send(body) == len(body)
        delay_event_loop(0.3)

    loop.call_at(end_at, send_rest)
    await stopping
    try:
        answer = await loop.sock_recv(sock, 65_536)
    except ConnectionError:
        answer = b''
    sock.close()
    assert_that(answer[:9], Equals(b'HTTP/1.1 '))
