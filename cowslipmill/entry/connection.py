"""Connections from callers, with timeouts and limits."""

from asyncio import BaseTransport
from asyncio import get_running_loop
from asyncio import Transport
from collections.abc import Awaitable
from collections.abc import Callable
from enum import Enum
from typing import cast

from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web import BaseRequest
from aiohttp.web import RequestHandler
from aiohttp.web import Response
from aiohttp.web import Server
from aiohttp.web import StreamResponse

from cowslipmill.entry.metrics import CALLER_CONNECTIONS
from cowslipmill.entry.metrics import CUT_CONNECTIONS
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason

HEAD_TIMEOUT_S = 10.0
SEND_TIMEOUT_S = 30.0
KEEP_ALIVE_TIMEOUT_S = 75.0
LINGERING_S = 1.0
MAX_CONNECTIONS = 8_192
MAX_LINE_BYTES = 8_190
MAX_HEADER_COUNT = 100


UNREADABLE_REQUEST = NotRun(
    Reason.BAD_REQUEST, 0, 'the request cannot be read'
)


class Stall(Enum):
    """Why a connection is aborted; the value is a metric label."""

    SLOW_HEAD = 'slow-head'
    SLOW_READER = 'slow-reader'


class CallerConnection(RequestHandler):
    """One connection from a caller.

    Attributes:
        server: The server that accepted it.
        head_started_at: When the wait for the current request head began
            (monotonic seconds), or None outside a head.
        unsent_since: When unsent response bytes were first seen (monotonic
            seconds), or None.
        over_limit: Whether it was accepted beyond `MAX_CONNECTIONS`.
        serving: Whether a request is being served.
        served: Number of requests that have their outcome.
        unrepeatable: Whether the request that is being served may have run
            and must not be repeated.
        newest_head: Head of the request that was read last, or what stands
            in its place if it cannot be read; None before the first.
        newest_body: The body of that request.
        input_closed: Whether the caller has closed its sending side, and
            waits for responses.
    """

    __slots__ = (
        'caller_transport',
        'head_started_at',
        'input_closed',
        'newest_body',
        'newest_head',
        'over_limit',
        'served',
        'server',
        'serving',
        'unrepeatable',
        'unsent_since',
    )

    def __init__(self, server: 'CallerServer') -> None:
        """Sets the timeouts and limits of the HTTP library."""
        super().__init__(
            server,
            loop=get_running_loop(),
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            lingering_time=LINGERING_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_HEADER_COUNT,
            auto_decompress=False,
            access_log=None,  # type: ignore[arg-type]
        )
        self.server = server
        self.head_started_at: float | None = None
        self.unsent_since: float | None = None
        self.over_limit = False
        self.serving = False
        self.served = 0
        self.unrepeatable = False
        self.newest_head: object = None
        self.newest_body: StreamReader | None = None
        self.input_closed = False
        self.caller_transport: Transport | None = None

    def connection_made(self, transport: BaseTransport) -> None:
        """Starts the timeout of the first request head."""
        super().connection_made(transport)
        # Transports of other event loops need not inherit from `Transport`.
        self.caller_transport = cast(Transport, transport)
        self.head_started_at = self.server.clock()
        self.over_limit = len(self.server.connections) > MAX_CONNECTIONS
        CALLER_CONNECTIONS.inc()

    def connection_lost(self, error: BaseException | None) -> None:
        """Decrements the gauge of open connections."""
        super().connection_lost(error)
        self.newest_body = None
        CALLER_CONNECTIONS.dec()

    def data_received(self, data: bytes) -> None:
        """Starts the head timeout with the first byte of the next request."""
        if self.head_started_at is None and not self.serving:
            self.head_started_at = self.server.clock()
        super().data_received(data)
        if self._messages:
            self.newest_head, self.newest_body = self._messages[-1]

    def eof_received(self) -> bool:  # type: ignore[override]
        """Keeps the connection open if its caller waits for a response.

        The caller may have closed the connection, or only its sending side:
        both look the same. One that has announced with `Connection: close`
        that it sends no more is taken to wait. So is one whose request must
        not be repeated, as the request goes on at its server. Any other has
        left, and its request is cancelled.
        """
        self.input_closed = self.owes_response and (
            self.unrepeatable or self.end_announced
        )
        return self.input_closed

    @property
    def owes_response(self) -> bool:
        """Whether a request whose head was read has no outcome yet."""
        return self._request_count > self.served

    @property
    def end_announced(self) -> bool:
        """Whether the newest request is complete, and the last one."""
        head = self.newest_head
        if not isinstance(head, RawRequestMessage) or not head.should_close:
            return False
        return self.newest_body is not None and self.newest_body.is_eof()

    def begin_request(self) -> None:
        """Stops the head timeout: the request head is complete."""
        self.serving = True
        self.head_started_at = None

    def end_request(self) -> None:
        """Marks the connection as idle: the request has its outcome."""
        self.serving = False
        self.unrepeatable = False
        self.served += 1

    def find_stall(self, unsent: int, now: float) -> Stall | None:
        """Returns why the connection must be aborted, or None.

        Args:
            unsent: Response bytes that are still in the write buffer.
            now: Monotonic seconds.
        """
        if self.head_started_at is not None:
            if now - self.head_started_at > HEAD_TIMEOUT_S:
                return Stall.SLOW_HEAD
        if not unsent:
            self.unsent_since = None
            return None
        if self.unsent_since is None:
            self.unsent_since = now
        if now - self.unsent_since > SEND_TIMEOUT_S:
            return Stall.SLOW_READER
        return None

    def close_if_stalled(self, now: float) -> None:
        """Aborts the connection if its caller exceeded a timeout."""
        transport = self.caller_transport
        if transport is None or transport.is_closing():
            return
        stall = self.find_stall(transport.get_write_buffer_size(), now)
        if stall is not None:
            CUT_CONNECTIONS.labels(stall.value).inc()
            transport.abort()

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> Response:
        """Returns the response to a request that could not be parsed."""
        response = self.server.refuse(UNREADABLE_REQUEST)
        response.force_close()
        return response


class CallerServer(Server):
    """Accepts connections from callers.

    Attributes:
        clock: Returns monotonic seconds.
        refuse: Renders a refusal as a response and counts it.
    """

    def __init__(
        self,
        handler: Callable[[BaseRequest], Awaitable[StreamResponse]],
        refuse: Callable[[NotRun], Response],
        clock: Callable[[], float],
    ) -> None:
        """Accepts connections and hands their requests to `handler`."""
        super().__init__(handler, handler_cancellation=True)
        self.refuse = refuse
        self.clock = clock

    def __call__(self) -> CallerConnection:
        """Returns the protocol of a new connection."""
        return CallerConnection(self)

    @property
    def owes_responses(self) -> bool:
        """Whether a request on any connection has no outcome yet."""
        return any(
            isinstance(connection, CallerConnection)
            and connection.owes_response
            for connection in self.connections
        )

    def enforce_timeouts(self, now: float) -> None:
        """Aborts every connection whose caller exceeded a timeout."""
        for connection in self.connections:
            if isinstance(connection, CallerConnection):
                connection.close_if_stalled(now)
