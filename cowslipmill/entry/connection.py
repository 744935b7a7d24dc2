"""Connections from callers, with bounds on what they may hold up."""

from asyncio import BaseTransport
from asyncio import get_running_loop
from asyncio import Transport
from collections.abc import Awaitable
from collections.abc import Callable
from enum import Enum
from typing import cast

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
    """Why a connection is cut."""

    SLOW_HEAD = 'slow-head'
    SLOW_READER = 'slow-reader'


class CallerConnection(RequestHandler):
    """One connection from a caller.

    Attributes:
        server: The server that accepted it.
        head_started_at: When the head now awaited began, or None.
        unsent_since: When an answer was first seen unsent, or None.
        over_limit: Whether it came when all allowed connections were open.
        serving: Whether a request is being served.
    """

    __slots__ = (
        'caller_transport',
        'head_started_at',
        'server',
        'serving',
        'over_limit',
        'unsent_since',
    )

    def __init__(self, server: 'CallerServer') -> None:
        """Sets the library's bounds."""
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
        self.caller_transport: Transport | None = None

    def connection_made(self, transport: BaseTransport) -> None:
        """Starts to wait for the first head."""
        super().connection_made(transport)
        # Transports of other event loops need not inherit from `Transport`.
        self.caller_transport = cast(Transport, transport)
        self.head_started_at = self.server.clock()
        self.over_limit = len(self.server.connections) > MAX_CONNECTIONS
        CALLER_CONNECTIONS.inc()

    def connection_lost(self, error: BaseException | None) -> None:
        """Counts the connection as closed."""
        super().connection_lost(error)
        CALLER_CONNECTIONS.dec()

    def data_received(self, data: bytes) -> None:
        """Notes when the next head begins."""
        if self.head_started_at is None and not self.serving:
            self.head_started_at = self.server.clock()
        super().data_received(data)

    def begin_request(self) -> None:
        """Notes that a head is complete."""
        self.serving = True
        self.head_started_at = None

    def end_request(self) -> None:
        """Notes that the request has its outcome."""
        self.serving = False

    def find_stall(self, unsent: int, now: float) -> Stall | None:
        """Returns why the connection must be cut, or None.

        Args:
            unsent: Bytes of answers that the caller has not taken.
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
        """Closes the connection if its caller holds it up."""
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
        """Refuses a request that the library could not read."""
        response = self.server.refuse(UNREADABLE_REQUEST)
        response.force_close()
        return response


class CallerServer(Server):
    """Accepts connections from callers.

    Attributes:
        clock: Returns monotonic seconds.
        refuse: Renders and counts a refusal.
    """

    def __init__(
        self,
        handler: Callable[[BaseRequest], Awaitable[StreamResponse]],
        refuse: Callable[[NotRun], Response],
        clock: Callable[[], float],
    ) -> None:
        """Takes the handler of requests."""
        super().__init__(handler, handler_cancellation=True)
        self.refuse = refuse
        self.clock = clock

    def __call__(self) -> CallerConnection:
        """Makes the protocol of a new connection."""
        return CallerConnection(self)

    def enforce_timeouts(self, now: float) -> None:
        """Closes every connection whose caller holds it up."""
        for connection in self.connections:
            if isinstance(connection, CallerConnection):
                connection.close_if_stalled(now)
