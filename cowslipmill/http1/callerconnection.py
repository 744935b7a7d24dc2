"""The server side of HTTP/1.1: connections that callers open to a host."""

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

from cowslipmill.http1.message import encode_response_head
from cowslipmill.http1.message import Headers
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response

LOG = getLogger(__name__)

CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Pipelined requests of one connection after which reading from it pauses.
MAX_PIPELINED = 8


class CallerLimits:
    """Size limits and timeouts of caller connections.

    Attributes:
        header_bytes: Maximum size of a request's target and headers.
        body_bytes: Maximum size of a request's body.
        header_s: Timeout for receiving a request's head.
        idle_s: Timeout of a connection without a request.
    """

    __slots__ = ('body_bytes', 'header_bytes', 'header_s', 'idle_s')

    def __init__(
        self,
        header_bytes: int,
        body_bytes: int,
        header_s: float,
        idle_s: float,
    ) -> None:
        """Stores the limits."""
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.idle_s = idle_s


Handler = Callable[[Request, 'CallerConnection'], Awaitable[Response | None]]


class CallerServer:
    """The protocol factory of a listener, and the state its connections share.

    Attributes:
        handler: Returns the response to a request, or None to close the
            connection without one.
        limits: The limits in force for all connections.
        clock: Returns monotonic seconds.
        closing: Whether each connection is closed after its next response.
        ended: Whether no further request is handled.
        connections: The open connections.
    """

    __slots__ = (
        'clock',
        'closing',
        'connections',
        'ended',
        'handler',
        'limits',
    )

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
        self.ended = False
        self.connections: set[CallerConnection] = set()

    def __call__(self) -> 'CallerConnection':
        """Returns the protocol object of a new connection."""
        return CallerConnection(self)

    def enforce_timeouts(self, now: float) -> None:
        """Closes connections that exceeded a timeout.

        Args:
            now: Monotonic seconds.
        """
        for connection in list(self.connections):
            connection.enforce_timeouts(now)

    def close_idle(self) -> None:
        """Closes the connections that have no request."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    def end(self) -> None:
        """Closes the connections that have no request, and takes no more.

        A request that the process reads from now on would be sent to a server
        and cut off when the process ends. One whose connection is closed
        instead counts as not read.
        """
        self.ended = True
        self.close_idle()

    @property
    def busy(self) -> bool:
        """Whether a request or a response is on its way on a connection."""
        return any(connection.busy for connection in self.connections)


class CallerConnection(Protocol):
    """A connection from a caller; responds to requests in their order.

    Attributes:
        server: The shared state of the listener's connections.
        disconnected: Whether the connection is lost.
        pending: Complete requests that are not handled yet.
        task: The task that handles requests, while there are any.
        on_disconnect: Called if the connection is lost while a request is
            being handled; the handler sets it for its request.
        phase_started_at: Monotonic seconds when the connection became idle or
            the first byte of the present request arrived.
        receiving: Whether a request has been received in part.
        input_ended: Whether further input is ignored, since a request asked
            for the connection to be closed or was rejected.
    """

    def __init__(self, server: CallerServer) -> None:
        """Starts idle; `connection_made` sets the transport."""
        self.server = server
        self.transport: Transport | None = None
        self.disconnected = False
        self.parser = HttpRequestParser(self)
        self.pending: deque[Request] = deque()
        self.task: Task[None] | None = None
        self.on_disconnect: Callable[[], None] | None = None
        self.phase_started_at = server.clock()
        self.receiving = False
        self.clear_request()

    def clear_request(self) -> None:
        """Discards the parsed parts of the previous request."""
        self.target = b''
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.head_size = 0
        self.body_size = 0
        self.input_ended = False

    @property
    def idle(self) -> bool:
        """Whether no request is being received or handled."""
        return not self.receiving and not self.pending and self.task is None

    @property
    def busy(self) -> bool:
        """Whether a request or a response is on its way.

        A request that has been received in part counts, unless it is ignored,
        and so does a response that the caller has not taken yet.
        """
        if self.task is not None or self.pending:
            return True
        if self.receiving and not self.input_ended:
            return True
        return bool(self.transport and self.transport.get_write_buffer_size())

    def connection_made(self, transport: BaseTransport) -> None:
        """Registers the connection and disables Nagle's algorithm."""
        self.transport = cast(Transport, transport)
        if self.server.ended:
            self.input_ended = True
            self.close()
            return
        self.server.connections.add(self)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def connection_lost(self, error: Exception | None) -> None:
        """Drops pending requests and calls `on_disconnect`."""
        self.disconnected = True
        self.server.connections.discard(self)
        self.pending.clear()
        if self.on_disconnect is not None:
            self.on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; malformed input gets status 400."""
        if self.input_ended or self.server.ended:
            return
        if not self.receiving:
            self.receiving = True
            self.phase_started_at = self.server.clock()
        try:
            self.parser.feed_data(data)
        except HttpParserError:
            self.reject(400)

    def on_url(self, url: bytes) -> None:
        """Appends a part of the target."""
        self.target += url
        self.count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds one header."""
        self.headers.append((name.lower(), value))
        # The four bytes are the colon, a space and the line end.
        self.count_head_bytes(len(name) + len(value) + 4)

    def count_head_bytes(self, size: int) -> None:
        """Rejects a request whose target and headers exceed their limit."""
        self.head_size += size
        if self.head_size > self.server.limits.header_bytes:
            self.reject(431)

    def on_headers_complete(self) -> None:
        """Sends 100 Continue if the caller expects it."""
        for name, value in self.headers:
            if name == b'expect' and value.lower() == b'100-continue':
                self.write(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body; rejects a body beyond its limit."""
        self.body_size += len(body)
        if self.body_size > self.server.limits.body_bytes:
            self.reject(413)
            return
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Queues the complete request and starts the task that handles it."""
        if self.input_ended:
            return
        request = Request(
            self.parser.get_method(),
            self.target,
            self.headers,
            b''.join(self.chunks),
        )
        keep_alive = self.parser.should_keep_alive()
        self.clear_request()
        self.input_ended = not keep_alive
        self.receiving = False
        self.pending.append(request)
        if len(self.pending) >= MAX_PIPELINED and self.transport:
            self.transport.pause_reading()
        if self.task is None:
            self.task = create_task(self.serve())

    async def serve(self) -> None:
        """Handles the pending requests one after the other."""
        try:
            while self.pending and not (
                self.disconnected or self.server.ended
            ):
                request = self.pending.popleft()
                response = await self.server.handler(request, self)
                self.on_disconnect = None
                if response is None:
                    self.close()
                    return
                is_last = self.input_ended and not self.pending
                close = is_last or self.server.closing
                omit_body = request.method == b'HEAD'
                head = encode_response_head(response, close=close)
                self.write(head if omit_body else head + response.body)
                self.phase_started_at = self.server.clock()
                if close:
                    self.close()
                    return
            if self.transport is not None and not self.disconnected:
                self.transport.resume_reading()
        except Exception:
            # The request may have run, so no status would be right; closing
            # the connection leaves its outcome open.
            LOG.exception('request failed by an internal error')
            self.close()
        finally:
            self.task = None

    def reject(self, status: int) -> None:
        """Ignores further input, sends an error status and closes.

        If an earlier request is being handled, the connection closes after
        its response instead, and no error status is sent.
        """
        if self.input_ended:
            return
        self.input_ended = True
        self.receiving = False
        if self.task is None:
            response = Response(status, [], b'')
            self.write(encode_response_head(response, close=True))
            self.close()

    def enforce_timeouts(self, now: float) -> None:
        """Closes the connection if its head or idle timeout has passed.

        A request gets status 408 if its head has not arrived in time, or no
        part of its body. No timeout applies once a part of the body is there.

        Args:
            now: Monotonic seconds.
        """
        if self.task is not None or self.pending:
            return
        limits = self.server.limits
        if self.receiving:
            if (
                now - self.phase_started_at > limits.header_s
                and not self.chunks
            ):
                self.reject(408)
            return
        if now - self.phase_started_at > limits.idle_s:
            self.close()

    def write(self, data: bytes) -> None:
        """Writes to the connection unless it is lost."""
        if self.transport is not None and not self.disconnected:
            self.transport.write(data)

    def close(self) -> None:
        """Closes the connection after buffered data is sent."""
        if self.transport is not None:
            self.transport.close()
