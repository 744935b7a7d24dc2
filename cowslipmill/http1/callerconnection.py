"""One connection from a caller."""

from asyncio import BaseTransport
from asyncio import create_task
from asyncio import Protocol
from asyncio import Task
from asyncio import Transport
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from logging import getLogger
from socket import IPPROTO_TCP
from socket import TCP_NODELAY
from typing import cast

from httptools import HttpParserError
from httptools import HttpRequestParser

from cowslipmill.http1.message import encode_response
from cowslipmill.http1.message import Headers
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response

LOG = getLogger(__name__)

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Requests that a caller may send ahead before reading from it stops.
MAX_PIPELINED = 8


class CallerLimits:
    """What a caller may send and how long it may take.

    Attributes:
        header_bytes: Bound of a request's head.
        body_bytes: Bound of a request's body.
        header_s: Longest that a head may take.
        idle_s: Longest that a connection may be idle.
    """

    __slots__ = ('body_bytes', 'header_bytes', 'header_s', 'idle_s')

    def __init__(
        self,
        header_bytes: int,
        body_bytes: int,
        header_s: float,
        idle_s: float,
    ) -> None:
        """Keeps the bounds."""
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.idle_s = idle_s


Handler = Callable[[Request, 'CallerConnection'], Awaitable[Response | None]]


class CallerServer:
    """What the connections of one listener share.

    Attributes:
        handler: Answers a request; None ends the connection unanswered.
        limits: Bounds in force.
        clock: Returns monotonic seconds.
        closing: Whether answers end their connections.
        connections: Open connections.
    """

    __slots__ = ('clock', 'closing', 'connections', 'handler', 'limits')

    def __init__(
        self,
        handler: Handler,
        limits: CallerLimits,
        clock: Callable[[], float],
    ) -> None:
        """Starts without connections."""
        self.handler = handler
        self.limits = limits
        self.clock = clock
        self.closing = False
        self.connections: set[CallerConnection] = set()

    def __call__(self) -> 'CallerConnection':
        """Returns the protocol of a new connection."""
        return CallerConnection(self)

    def enforce_timeouts(self, now: float) -> None:
        """Ends connections that are idle or send too slowly."""
        for connection in list(self.connections):
            connection.cut_if_stalled(now)

    def close_idle(self) -> None:
        """Closes the connections on which nothing is under way."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    @property
    def busy(self) -> bool:
        """Whether a request is under way."""
        return any(c.task or c.waiting for c in self.connections)


class CallerConnection(Protocol):
    """Reads requests and answers them in their order.

    Attributes:
        disconnected: Whether the caller has closed the connection.
        since: When the connection became idle, or the head began.
    """

    def __init__(self, server: CallerServer) -> None:
        """Starts without a request."""
        self.server = server
        self.transport: Transport | None = None
        self.disconnected = False
        self.parser = HttpRequestParser(self)
        self.waiting: deque[Request] = deque()
        self.task: Task[None] | None = None
        self.on_disconnect: Callable[[], None] | None = None
        self.since = server.clock()
        self.receiving = False
        self.begin_request()

    def begin_request(self) -> None:
        """Forgets the parts of the request before."""
        self.target = b''
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.head_size = 0
        self.body_size = 0
        self.ended = False

    @property
    def idle(self) -> bool:
        """Whether no request is being read or served."""
        return not self.receiving and not self.waiting and self.task is None

    def connection_made(self, transport: BaseTransport) -> None:
        """Registers the connection."""
        self.transport = cast(Transport, transport)
        self.server.connections.add(self)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def connection_lost(self, error: Exception | None) -> None:
        """Tells the request under way that its caller left."""
        self.disconnected = True
        self.server.connections.discard(self)
        self.waiting.clear()
        if self.on_disconnect is not None:
            self.on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser."""
        if self.ended:
            return
        if not self.receiving:
            self.receiving = True
            self.since = self.server.clock()
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            self.reject(400)

    def on_url(self, url: bytes) -> None:
        """Keeps a part of the target."""
        self.target += url
        self.count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps one header."""
        self.headers.append((name.lower(), value))
        self.count_head(len(name) + len(value) + 4)

    def count_head(self, size: int) -> None:
        """Rejects a head beyond its bound."""
        self.head_size += size
        if self.head_size > self.server.limits.header_bytes:
            self.reject(431)

    def on_headers_complete(self) -> None:
        """Asks for the body if the caller waits to be asked."""
        for name, value in self.headers:
            if name == b'expect' and value.lower() == b'100-continue':
                self.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Keeps a part of the body within its bound."""
        self.body_size += len(body)
        if self.body_size > self.server.limits.body_bytes:
            self.reject(413)
            return
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Queues the request that is now whole."""
        if self.ended:
            return
        request = Request(
            self.parser.get_method(),
            self.target,
            self.headers,
            b''.join(self.chunks),
        )
        keep_alive = self.parser.should_keep_alive()
        self.begin_request()
        self.ended = not keep_alive
        self.receiving = False
        self.waiting.append(request)
        if len(self.waiting) >= MAX_PIPELINED and self.transport:
            self.transport.pause_reading()
        if self.task is None:
            self.task = create_task(self.serve())

    async def serve(self) -> None:
        """Answers the waiting requests one after the other."""
        try:
            while self.waiting and not self.disconnected:
                request = self.waiting.popleft()
                answer = await self.server.handler(request, self)
                self.on_disconnect = None
                if answer is None:
                    self.close()
                    return
                last = self.ended and not self.waiting
                close = last or self.server.closing
                bodiless = request.method == b'HEAD'
                self.write(
                    encode_response(answer, close=close, bodiless=bodiless)
                )
                self.since = self.server.clock()
                if close:
                    self.close()
                    return
            if self.transport is not None and not self.disconnected:
                self.transport.resume_reading()
        except Exception:
            # Nothing is known of the request; a closed connection says so.
            LOG.exception('request failed by an internal error')
            self.close()
        finally:
            self.task = None

    def reject(self, status: int) -> None:
        """Ends the connection on bytes that can't be taken in."""
        if self.ended:
            return
        self.ended = True
        self.receiving = False
        if self.task is None:
            answer = Response(status, [], b'')
            self.write(encode_response(answer, close=True, bodiless=False))
            self.close()

    def cut_if_stalled(self, now: float) -> None:
        """Ends the connection if its caller holds it up."""
        if self.task is not None or self.waiting:
            return
        limits = self.server.limits
        if self.receiving:
            if now - self.since > limits.header_s and not self.chunks:
                self.reject(408)
            return
        if now - self.since > limits.idle_s:
            self.close()

    def write(self, data: bytes) -> None:
        """Writes unless the caller has left."""
        if self.transport is not None and not self.disconnected:
            self.transport.write(data)

    def close(self) -> None:
        """Closes after what is written."""
        if self.transport is not None:
            self.transport.close()
