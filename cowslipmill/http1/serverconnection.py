"""One connection to a server, one request at a time."""

from asyncio import BaseTransport
from asyncio import Future
from asyncio import get_running_loop
from asyncio import Protocol
from asyncio import timeout
from asyncio import Transport
from socket import IPPROTO_TCP
from socket import TCP_NODELAY
from socket import TCP_USER_TIMEOUT
from typing import cast

from httptools import HttpParserError
from httptools import HttpResponseParser

from cowslipmill.http1.message import encode_request
from cowslipmill.http1.message import Headers
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response

# Longest an unacknowledged segment may wait; above a few retransmissions.
USER_TIMEOUT_MS = 4_000
# Bound of an answer held in memory, twice the largest value of a store.
MAX_ANSWER_BYTES = 8_388_608
FIRST_REJECTION_STATUS = 400
# Margin below the idle time that a server announces.
IDLE_MARGIN_S = 1.0
# Idle time after which a connection without an announced one is replaced.
DEFAULT_IDLE_S = 8.0


class ConnectFailed(Exception):
    """No connection came about, so that nothing was sent."""


class ExchangeFailed(Exception):
    """A request was sent and no whole answer to it came back.

    Attributes:
        reset: Whether the server or the network broke the connection.
    """

    def __init__(self, reason: str, *, reset: bool) -> None:
        """Keeps the reason."""
        super().__init__(reason)
        self.reset = reset


class ServerConnection(Protocol):
    """Sends requests and pairs each with its own answer.

    An answer that bears another identity than the request is skipped: it is
    an extra answer to an earlier one. Bytes that arrive while no request is
    open, or after a whole answer, end the connection.

    Attributes:
        request_id_header: Header that an answer repeats, or nothing.
        idle_deadline: When the connection must not be used any more.
        idle_since: When its last exchange ended; None before the first.
        response_started: Whether a byte of the open request's answer has come.
    """

    def __init__(self, request_id_header: bytes = b'') -> None:
        """Starts without a transport."""
        self.request_id_header = request_id_header
        self.transport: Transport | None = None
        self.waiter: Future[Response] | None = None
        self.identity = b''
        self.idle_since: float | None = None
        self.response_started = False
        self.idle_deadline = 0.0
        self.reusable = True
        self.parser = HttpResponseParser(self)
        self.begin_answer()

    def begin_answer(self) -> None:
        """Forgets the parts of the answer before."""
        self.status = 0
        self.headers: Headers = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.framed = False
        self.started = False

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        return (
            self.reusable
            and self.waiter is None
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def connection_made(self, transport: BaseTransport) -> None:
        """Sets the socket's options."""
        self.transport = cast(Transport, transport)
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS)

    def data_received(self, data: bytes) -> None:
        """Feeds the parser; bytes of no request end the connection."""
        if self.waiter is None:
            self.close()
            return
        self.response_started = True
        try:
            self.parser.feed_data(data)
        except HttpParserError as error:
            self.fail(f'not an answer: {error}', reset=False)

    def eof_received(self) -> None:
        """Ends an answer that has no length; others are incomplete."""
        if self.started and not self.framed and self.status:
            self.finish_answer(close=True)
            return
        self.fail('closed before the whole answer', reset=True)

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the open request."""
        self.fail(str(error or 'connection closed'), reset=True)

    def on_message_begin(self) -> None:
        """Starts an answer."""
        self.begin_answer()
        if self.waiter is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps one header."""
        name = name.lower()
        if name in (b'content-length', b'transfer-encoding'):
            self.framed = True
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Notes the status."""
        self.status = self.parser.get_status_code()
        self.started = True

    def on_body(self, body: bytes) -> None:
        """Keeps a part of the body within the bound."""
        self.size += len(body)
        if self.size > MAX_ANSWER_BYTES:
            self.fail('answer exceeds its bound', reset=False)
            return
        self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Hands over the answer if it belongs to the open request."""
        if self.status < 200:
            return
        self.finish_answer(close=not self.parser.should_keep_alive())

    def finish_answer(self, *, close: bool) -> None:
        """Ends the open request with the answer just read."""
        answer = Response(self.status, self.headers, b''.join(self.chunks))
        self.started = False
        if self.waiter is None:
            self.reusable = False
            return
        if not self.belongs(answer):
            if close:
                self.fail('answer to another request', reset=False)
            return
        waiter, self.waiter = self.waiter, None
        if close:
            self.reusable = False
        self.note_idle_time(answer)
        if not waiter.done():
            waiter.set_result(answer)
        if close:
            self.close()

    def belongs(self, answer: Response) -> bool:
        """Tells whether an answer is to the open request.

        A success has to repeat the request's identity; a rejection may come
        without any.
        """
        if not self.identity:
            return True
        repeated = answer.header(self.request_id_header)
        if not repeated and answer.status >= FIRST_REJECTION_STATUS:
            return True
        return repeated == self.identity

    def note_idle_time(self, answer: Response) -> None:
        """Notes how long the server keeps the idle connection."""
        idle_s = DEFAULT_IDLE_S
        announced = answer.header(b'keep-alive')
        if b'timeout=' in announced:
            digits = announced.partition(b'timeout=')[2].partition(b',')[0]
            if digits.strip().isdigit():
                idle_s = min(idle_s, int(digits) - IDLE_MARGIN_S)
        self.idle_since = get_running_loop().time()
        self.idle_deadline = self.idle_since + idle_s

    @property
    def reused(self) -> bool:
        """Whether it had been idle between two requests."""
        return self.idle_since is not None

    def idle_s(self, now: float) -> float:
        """Returns for how long the connection has been idle."""
        return 0.0 if self.idle_since is None else now - self.idle_since

    def fail(self, reason: str, *, reset: bool) -> None:
        """Fails the open request and closes."""
        self.reusable = False
        waiter, self.waiter = self.waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_exception(ExchangeFailed(reason, reset=reset))
        self.close()

    def close(self) -> None:
        """Closes the connection."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    async def exchange(
        self, request: Request, *, until: float | None = None
    ) -> Response:
        """Sends a request and returns its answer.

        Args:
            request: What to send.
            until: Loop time after which the answer isn't awaited.

        Raises:
            ConnectFailed: If nothing was sent.
            ExchangeFailed: If no whole answer came.
            TimeoutError: If time ran out.
        """
        transport = self.transport
        if not self.usable or transport is None:
            raise ConnectFailed('connection is closed')
        loop = get_running_loop()
        waiter: Future[Response] = loop.create_future()
        self.waiter = waiter
        self.response_started = False
        self.identity = b''
        if self.request_id_header:
            self.identity = request.header(self.request_id_header)
        transport.write(encode_request(request))
        timer = None
        if until is not None:
            timer = loop.call_at(until, expire, waiter)
        try:
            return await waiter
        except BaseException:
            self.waiter = None
            self.close()
            raise
        finally:
            if timer is not None:
                timer.cancel()


def expire(waiter: 'Future[Response]') -> None:
    """Ends the wait for an answer."""
    if not waiter.done():
        waiter.set_exception(TimeoutError())


async def open_connection(
    address: tuple[str, int], timeout_s: float, request_id_header: bytes = b''
) -> ServerConnection:
    """Opens a connection.

    Args:
        address: IP number and port.
        timeout_s: Bound of the connection's set-up.
        request_id_header: Header that pairs answers with requests.

    Raises:
        ConnectFailed: If it didn't open in time.
    """
    loop = get_running_loop()
    try:
        async with timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ServerConnection(request_id_header), *address
            )
    except (OSError, TimeoutError) as error:
        reason = f'{type(error).__name__}: {error}'
        raise ConnectFailed(reason) from error
    return connection
