"""The client side of HTTP/1.1: connections that a host opens to servers."""

from asyncio import BaseTransport
from asyncio import Future
from asyncio import get_running_loop
from asyncio import Protocol
from asyncio import timeout
from asyncio import TimerHandle
from asyncio import Transport
from logging import getLogger
from socket import IPPROTO_TCP
from socket import TCP_NODELAY
from socket import TCP_USER_TIMEOUT
from sys import maxsize
from time import thread_time
from typing import cast

from httptools import HttpParserCallbackError
from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpResponseParser

from cowslipmill.http1.message import BodyBuffer
from cowslipmill.http1.message import encode_request_head
from cowslipmill.http1.message import FINAL_STATUSES
from cowslipmill.http1.message import HEADER_OVERHEAD_BYTES
from cowslipmill.http1.message import Headers
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.message import VALID_STATUSES
from cowslipmill.http1.outgoing import OutgoingData
from cowslipmill.memory.budget import Holding
from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.runtime.readsize import limit_read_size
from cowslipmill.runtime.readsize import READ_BYTES
from cowslipmill.runtime.workshare import ConnectionWork
from cowslipmill.runtime.workshare import WorkShares

LOG = getLogger(__name__)

# The kernel drops a connection whose data stays unacknowledged for this long,
# which leaves time for a few retransmissions.
USER_TIMEOUT_MS = 4_000
# The kernel counts that time also while a server reads nothing and its window
# is full. A longer body may meet that, and its request then waits for as long
# as its own timeout allows. Windows are no smaller than this.
MIN_WINDOW_BYTES = 16_384
NO_USER_TIMEOUT_MS = 0
# Responses are held in memory. The limit is twice the largest value in the
# platform's store, which is read over these connections as well.
MAX_RESPONSE_BYTES = 8_388_608
# Limit of what comes before the headers of a response are complete, interim
# responses included.
MAX_HEAD_BYTES = 131_072
# Limit of the framing of a response beyond its headers and a share of its
# body: chunk sizes and extensions, fields after the body.
MAX_FRAMING_BYTES = 131_072
# Bytes of framing allowed for each byte of a body. Chunks of four bytes or
# more keep within it, whatever the size of the body.
FRAMING_SHARE = 1.5
# Read at a time from a server whose responses take much processor time, about
# 0.5 ms of it.
SMALL_READ_BYTES = 8_192
# Processor time of one read from which on less is read at a time, in seconds.
# A read of 64 KiB of a plain body takes some 0.05 ms.
MAX_READ_COST_S = 0.000_2
# Processor time that each byte may take without being counted, in seconds:
# that of copying a plain body, twice.
PLAIN_BYTE_S = 1.5e-9
# Shorter input isn't measured: that takes longer than parsing it.
UNMEASURED_BYTES = 1_024
# Limit of the surplus responses that are skipped during one exchange.
MAX_SKIPPED_BYTES = 1_048_576
# Memory that the headers of a response may take.
MAX_HEAD_MEMORY_BYTES = 4 * MAX_HEAD_BYTES
# Memory that an open connection takes beside what it receives.
CONNECTION_BYTES = 8_192
# Responses with this status or a higher one may lack the request id.
MIN_ERROR_STATUS = 400
# Subtracted from the idle timeout that a server announces, so that no request
# is sent just as the server closes the connection.
IDLE_TIMEOUT_MARGIN_S = 1.0
# Idle time after which a connection is not used again, whether the server
# announces no timeout or a longer one.
MAX_IDLE_S = 8.0
# A Keep-Alive timeout of more digits is longer than any that counts.
MAX_TIMEOUT_DIGITS = 9


class ConnectFailed(Exception):
    """There was no usable connection, so nothing was sent."""


class ExchangeFailed(Exception):
    """A request was sent, but no complete response to it was received.

    Attributes:
        reset: Whether the server or the network closed the connection.
    """

    def __init__(self, reason: str, *, reset: bool) -> None:
        """Stores the reason, which is written to logs and metrics."""
        super().__init__(reason)
        self.reset = reset


class ResponseTooLarge(ExchangeFailed):
    """A response is larger than a host takes."""

    def __init__(self) -> None:
        """Creates the error."""
        super().__init__('answer exceeds its bound', reset=False)


class ServerConnection(Protocol):
    """A connection to a server that carries one request at a time.

    A response with another request id than the open request is skipped, since
    it is a surplus response to an earlier request. Data that arrives while no
    request is open, or after a complete response, closes the connection.

    Attributes:
        request_id_header: Header that responses echo from their request; if
            empty, every response is taken as that of the open request.
            Otherwise the connection isn't used again after a response
            without it, such as that to a health request.
        pending_response: Completes with the response to the open request.
        request_id: Request id of the open request, or empty bytes.
        opened_at: Loop time when the connection was established.
        user_timeout_ms: The TCP user timeout in force; 0 for the system's.
        idle_deadline: Loop time from which the connection is not used again.
        idle_since: Loop time when the last exchange ended; None before.
        response_started: Whether data arrived since the last request was sent.
        received_bytes: Bytes that arrived since then, without those of
            surplus responses that were skipped.
        reusable: Whether the connection may carry further requests.
        skipped_bytes: Bytes of surplus responses since then.
        interim_bytes: Memory of the headers of interim responses since then.
        has_framing: Whether the response's headers tell where its body ends;
            otherwise it ends with the connection.
        headers_complete: Whether the response's headers have been received.
        memory: The budget of all connections to servers.
        holding: The memory that this one holds; a complete response has its
            own.
        shares: The processor time that responses of each server take; None
            if it isn't counted.
        work: The same for this connection.
        resume_timer: Ends a pause in reading; None while there is none.
    """

    def __init__(
        self,
        request_id_header: bytes = b'',
        memory: MemoryBudget | None = None,
        shares: WorkShares | None = None,
    ) -> None:
        """Starts unconnected; `connection_made` sets the transport.

        Args:
            request_id_header: Header that responses echo from their request;
                empty if they don't.
            memory: The budget of all connections to servers; None for no
                limit.
            shares: The processor time of all connections to servers; None if
                it isn't counted.
        """
        self.request_id_header = request_id_header
        self.memory = memory or MemoryBudget('unlimited', maxsize)
        self.holding = Holding(self.memory, self)
        self.shares = shares
        self.work: ConnectionWork | None = None
        self.resume_timer: TimerHandle | None = None
        self.transport: Transport | None = None
        self.outgoing: OutgoingData | None = None
        self.pending_response: Future[Response] | None = None
        self.request_id = b''
        self.opened_at = 0.0
        self.user_timeout_ms = NO_USER_TIMEOUT_MS
        self.idle_since: float | None = None
        self.response_started = False
        self.received_bytes = 0
        self.skipped_bytes = 0
        self.interim_bytes = 0
        self.idle_deadline = 0.0
        self.reusable = True
        self.parser = HttpResponseParser(self)
        self.clear_response()

    def clear_response(self) -> None:
        """Discards the parsed parts of the previous response."""
        self.status = 0
        self.headers: Headers = []
        self.head_bytes = 0
        self.body = BodyBuffer()
        self.has_framing = False
        self.headers_complete = False

    @property
    def usable(self) -> bool:
        """Whether a request can be sent now."""
        return (
            self.reusable
            and self.pending_response is None
            and self.resume_timer is None
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def connection_made(self, transport: BaseTransport) -> None:
        """Disables Nagle's algorithm and sets the TCP user timeout.

        Closes the connection if there is no memory for it.
        """
        self.transport = cast(Transport, transport)
        limit_read_size(transport)
        self.outgoing = OutgoingData(self.transport)
        self.opened_at = get_running_loop().time()
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.set_user_timeout(USER_TIMEOUT_MS)
        if not self.holding.resize(CONNECTION_BYTES):
            self.close()
            return
        self.holding.allow_eviction(self.yield_memory)
        if self.shares is not None:
            self.work = ConnectionWork(self.shares, self.server_address)
            self.choose_read_size(self.work.key in self.shares.heavy)

    def set_user_timeout(self, timeout_ms: int) -> None:
        """Sets the TCP user timeout, if it isn't set yet.

        Args:
            timeout_ms: Milliseconds; 0 for that of the system, minutes.
        """
        if self.transport is None or timeout_ms == self.user_timeout_ms:
            return
        self.user_timeout_ms = timeout_ms
        sock = self.transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms)

    def __str__(self) -> str:
        """Returns what the connection is for, as written into logs."""
        request_id = self.request_id.decode('latin-1')
        return f'response to {request_id} of {self.server_address}'

    @property
    def server_address(self) -> str:
        """IP address and port of the server, as written into logs."""
        peer = None
        if self.transport is not None:
            peer = self.transport.get_extra_info('peername')
        return ':'.join(map(str, peer[:2])) if peer else 'unknown'

    def yield_memory(self) -> None:
        """Gives up the response, or the idle connection, to make room."""
        self.fail('memory limit', reset=False)

    def pause_writing(self) -> None:
        """Stops sending, as the transport's buffer is full."""
        if self.outgoing is not None:
            self.outgoing.pause()

    def resume_writing(self) -> None:
        """Goes on sending."""
        if self.outgoing is not None:
            self.outgoing.resume()

    def data_received(self, data: bytes) -> None:
        """Takes input; closes the connection if no request is open.

        An error in that fails the open request, as what its server did with
        it is unknown.
        """
        if self.pending_response is None:
            self.close()
            return
        work = self.work
        if len(data) <= UNMEASURED_BYTES:
            work = None
        started_s = thread_time() if work is not None else 0.0
        try:
            self.receive(data)
        except Exception as error:
            LOG.exception(
                'input failed by an internal error',
                extra={'connection': str(self)},
            )
            self.fail(f'internal error: {error}', reset=False)
        if work is not None:
            self.charge(work, thread_time() - started_s, len(data))

    def charge(self, work: ConnectionWork, cost_s: float, size: int) -> None:
        """Counts processor time; reads less from a server that takes much.

        The pause is only for a response that goes on: an idle connection has
        to notice when its server closes it.

        Args:
            work: What the connection has taken.
            cost_s: Processor time of the input, in seconds.
            size: Bytes of the input.
        """
        self.choose_read_size(cost_s > MAX_READ_COST_S)
        cost_s -= size * PLAIN_BYTE_S
        if cost_s <= 0.0:
            return
        loop = get_running_loop()
        pause_s = work.charge(cost_s, loop.time())
        if not pause_s or self.pending_response is None:
            return
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.pause_reading()
        self.resume_timer = loop.call_later(pause_s, self.resume_reading)

    def resume_reading(self) -> None:
        """Ends a pause in reading."""
        self.resume_timer = None
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def choose_read_size(self, costly: bool) -> None:
        """Reads less at a time if it takes much processor time.

        Args:
            costly: Whether it does.
        """
        transport = self.transport
        if transport is not None and hasattr(transport, 'max_size'):
            transport.max_size = SMALL_READ_BYTES if costly else READ_BYTES

    def receive(self, data: bytes) -> None:
        """Feeds the parser; fails the open request if it can't be read."""
        self.response_started = True
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except HttpParserCallbackError:
            raise
        except HttpParserError as error:
            self.fail(f'not an answer: {error}', reset=False)
        except HttpParserUpgrade:
            self.fail('not an answer: switches protocols', reset=False)
        self.enforce_limits()

    def enforce_limits(self) -> None:
        """Fails the open request if its response has become too large."""
        if self.pending_response is None:
            return
        max_bytes = MAX_HEAD_BYTES
        if self.headers_complete and self.is_final:
            max_bytes = self.max_received_bytes
        if self.received_bytes > max_bytes:
            self.fail_with(ResponseTooLarge())
            return
        held_bytes = CONNECTION_BYTES + self.head_bytes + len(self.body.data)
        if not self.holding.resize(held_bytes):
            self.fail('memory limit', reset=False)

    @property
    def max_received_bytes(self) -> int:
        """Bytes that the response may have taken with the body so far."""
        head_bytes = self.interim_bytes + self.head_bytes
        body_bytes = len(self.body.data)
        framing_bytes = MAX_FRAMING_BYTES + int(FRAMING_SHARE * body_bytes)
        return head_bytes + body_bytes + framing_bytes

    def eof_received(self) -> None:
        """Completes a response without framing; fails any other one."""
        if self.is_final and self.headers_complete and not self.has_framing:
            self.finish_response(close=True)
            return
        self.fail('closed before the whole answer', reset=True)

    @property
    def is_final(self) -> bool:
        """Whether the response is no interim one (1xx)."""
        return self.status >= FINAL_STATUSES.start

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the open request, if there is one."""
        self.fail(str(error or 'connection closed'), reset=True)
        self.holding.release()
        if self.outgoing is not None:
            self.outgoing.discard()

    def on_message_begin(self) -> None:
        """Starts a response; an unexpected one makes reuse impossible."""
        self.clear_response()
        if self.pending_response is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds one header; skips the fields after a body."""
        if self.headers_complete or self.pending_response is None:
            return
        name = name.lower()
        if name in (b'content-length', b'transfer-encoding'):
            self.has_framing = True
        self.headers.append((name, value))
        self.head_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self.head_bytes > MAX_HEAD_MEMORY_BYTES:
            self.fail_with(ResponseTooLarge())

    def on_headers_complete(self) -> None:
        """Stores the status; fails a response with an invalid one."""
        self.status = self.parser.get_status_code()
        self.headers_complete = True
        if self.status not in VALID_STATUSES:
            # The parser takes those below 100 for interim ones.
            self.fail(f'not an answer: status {self.status}', reset=False)

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body; fails a response that is too large."""
        if self.pending_response is None:
            return
        if len(self.body.data) + len(body) > MAX_RESPONSE_BYTES:
            self.fail_with(ResponseTooLarge())
            return
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Finishes the response unless it is an interim one (1xx)."""
        if not self.is_final:
            self.interim_bytes += self.head_bytes
            self.clear_response()
            return
        self.finish_response(close=not self.parser.should_keep_alive())

    def finish_response(self, *, close: bool) -> None:
        """Completes the open request if the received response is its own.

        Args:
            close: Whether the connection ends with this response.
        """
        response = Response(self.status, self.headers, self.body.data)
        size = self.head_bytes + len(response.body)
        self.clear_response()
        if self.pending_response is None:
            self.reusable = False
            return
        if not self.matches_request(response):
            self.skipped_bytes += self.received_bytes
            self.received_bytes = 0
            if close or self.skipped_bytes > MAX_SKIPPED_BYTES:
                self.fail('answer to another request', reset=False)
            return
        self.holding.resize(CONNECTION_BYTES)
        response.holding = Holding(self.memory, str(self))
        if not response.holding.resize(size):
            self.fail('memory limit', reset=False)
            return
        pending, self.pending_response = self.pending_response, None
        identified = response.header(self.request_id_header)
        if close or (self.request_id_header and not identified):
            # A late copy of a response without an id would be taken for the
            # next one.
            self.reusable = False
        self.update_idle_deadline(response)
        if not pending.done():
            pending.set_result(response)
        if close:
            self.close()

    def matches_request(self, response: Response) -> bool:
        """Tells whether a response belongs to the open request.

        A response has to echo the request id, but an error status may come
        without one. One to a request without an id has none either.
        """
        if not self.request_id_header:
            return True
        echoed = response.header(self.request_id_header)
        if not echoed and response.status >= MIN_ERROR_STATUS:
            return True
        return echoed == self.request_id

    def update_idle_deadline(self, response: Response) -> None:
        """Derives the idle deadline from the server's Keep-Alive header."""
        timeout_s = MAX_IDLE_S
        keep_alive = response.header(b'keep-alive')
        if b'timeout=' in keep_alive:
            seconds = keep_alive.partition(b'timeout=')[2].partition(b',')[0]
            seconds = seconds.strip()
            if seconds.isdigit() and len(seconds) <= MAX_TIMEOUT_DIGITS:
                timeout_s = min(
                    timeout_s, int(seconds) - IDLE_TIMEOUT_MARGIN_S
                )
        self.idle_since = get_running_loop().time()
        self.idle_deadline = self.idle_since + timeout_s

    @property
    def reused(self) -> bool:
        """Whether the connection has carried an earlier request."""
        return self.idle_since is not None

    def idle_s(self, now: float) -> float:
        """Returns the seconds since the last exchange ended.

        Zero before the first exchange has ended.

        Args:
            now: Loop time.
        """
        return 0.0 if self.idle_since is None else now - self.idle_since

    def fail(self, reason: str, *, reset: bool) -> None:
        """Fails the open request, if there is one, and closes.

        Args:
            reason: Written to logs and metrics.
            reset: Whether the server or the network closed the connection.
        """
        self.fail_with(ExchangeFailed(reason, reset=reset))

    def fail_with(self, error: ExchangeFailed) -> None:
        """Fails the open request with an error, if there is one; closes."""
        self.reusable = False
        pending, self.pending_response = self.pending_response, None
        if pending is not None and not pending.done():
            pending.set_exception(error)
        self.close()

    def close(self) -> None:
        """Closes the connection at once; unsent data is discarded."""
        self.reusable = False
        if self.resume_timer is not None:
            self.resume_timer.cancel()
            self.resume_timer = None
        self.holding.release()
        self.clear_response()
        if self.transport is not None:
            self.transport.abort()

    async def exchange(
        self, request: Request, *, until: float | None = None
    ) -> Response:
        """Sends a request and returns its response.

        A failure, a timeout or a cancellation closes the connection.

        Args:
            request: The request to send.
            until: Loop time of the timeout; None for no timeout.

        Raises:
            ConnectFailed: If the connection wasn't usable and nothing was
                sent.
            ExchangeFailed: If no complete response was received.
            TimeoutError: If the response isn't complete in time.
        """
        outgoing = self.outgoing
        if not self.usable or outgoing is None:
            raise ConnectFailed('connection is closed')
        loop = get_running_loop()
        pending: Future[Response] = loop.create_future()
        self.pending_response = pending
        self.response_started = False
        self.received_bytes = 0
        self.skipped_bytes = 0
        self.interim_bytes = 0
        self.request_id = b''
        if self.request_id_header:
            self.request_id = request.header(self.request_id_header)
        long = len(request.body) > MIN_WINDOW_BYTES
        self.set_user_timeout(NO_USER_TIMEOUT_MS if long else USER_TIMEOUT_MS)
        outgoing.write(encode_request_head(request), request.body, request)
        timer = None
        if until is not None:
            timer = loop.call_at(until, time_out_response, pending)
        try:
            return await pending
        except BaseException:
            self.pending_response = None
            self.close()
            raise
        finally:
            if timer is not None:
                timer.cancel()


def time_out_response(pending: 'Future[Response]') -> None:
    """Fails a pending response with `TimeoutError`."""
    if not pending.done():
        pending.set_exception(TimeoutError())


async def open_connection(
    address: tuple[str, int],
    timeout_s: float,
    request_id_header: bytes = b'',
    *,
    source_ip: str = '',
    memory: MemoryBudget | None = None,
    shares: WorkShares | None = None,
) -> ServerConnection:
    """Opens a connection to a server.

    Args:
        address: IP address and port.
        timeout_s: Timeout of the connection's set-up.
        request_id_header: Header that responses echo from their request;
            empty if they don't.
        source_ip: Local IP address; empty if the system chooses it.
        memory: The budget of all connections to servers; None for no limit.
        shares: The processor time of all connections to servers; None if it
            isn't counted.

    Raises:
        ConnectFailed: If the connection isn't established in time.
    """
    loop = get_running_loop()
    local_address = (source_ip, 0) if source_ip else None
    try:
        async with timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ServerConnection(request_id_header, memory, shares),
                *address,
                local_addr=local_address,
            )
    except (OSError, TimeoutError) as error:
        reason = f'{type(error).__name__}: {error}'
        raise ConnectFailed(reason) from error
    return connection


class Dialer:
    """Opens this host's connections to servers.

    Attributes:
        source_ip: Local IP address of the connections; empty if the system
            chooses it.
        memory: The budget of all connections to servers; None for no limit.
        shares: The processor time that their responses take.
    """

    __slots__ = ('memory', 'shares', 'source_ip')

    def __init__(
        self, source_ip: str = '', memory: MemoryBudget | None = None
    ) -> None:
        """Stores the local IP address and the budget."""
        self.source_ip = source_ip
        self.memory = memory
        self.shares = WorkShares('servers')

    async def open(
        self,
        address: tuple[str, int],
        timeout_s: float,
        request_id_header: bytes = b'',
    ) -> ServerConnection:
        """Opens a connection; see `open_connection`."""
        return await open_connection(
            address,
            timeout_s,
            request_id_header,
            source_ip=self.source_ip,
            memory=self.memory,
            shares=self.shares,
        )
