"""The server side of HTTP/1.1: connections that callers open to a host."""

from asyncio import BaseTransport
from asyncio import CancelledError
from asyncio import create_task
from asyncio import current_task
from asyncio import get_running_loop
from asyncio import Handle
from asyncio import Protocol
from asyncio import Task
from asyncio import TimerHandle
from asyncio import Transport
from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
from logging import getLogger
from socket import IPPROTO_TCP
from socket import TCP_NODELAY
from sys import maxsize
from time import thread_time
from typing import cast

from httptools import HttpParserCallbackError
from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpRequestParser

from cowslipmill.http1.chunkpacer import ChunkPacer
from cowslipmill.http1.message import Body
from cowslipmill.http1.message import BodyBuffer
from cowslipmill.http1.message import encode_headers
from cowslipmill.http1.message import encode_response_head
from cowslipmill.http1.message import HEADER_OVERHEAD_BYTES
from cowslipmill.http1.message import Headers
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.outgoing import OutgoingData
from cowslipmill.memory.budget import Holding
from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.runtime.readsize import limit_read_size
from cowslipmill.runtime.readsize import READ_BYTES
from cowslipmill.runtime.workshare import ConnectionWork
from cowslipmill.runtime.workshare import WorkShares

LOG = getLogger(__name__)

CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Pipelined requests of one connection after which reading from it pauses.
MAX_PIPELINED = 8
# Memory that an open connection takes beside its requests, and what a request
# takes beside its text until it is answered.
CONNECTION_BYTES = 8_192
REQUEST_BYTES = 8_192
# What a head takes on the wire beyond what its limit counts.
HEAD_MARGIN_BYTES = 1_024
# Longest time for which input is discarded after the last response. Closing
# with input unread would reset the connection, and the caller would lose what
# it hasn't received of the response.
LINGER_S = 10.0
# Time for which a caller may take nothing of its response before that makes
# room for others.
STALL_S = 1.0
# Longest time that a request may take to arrive; no caller waits so long.
MAX_RECEIVE_S = 60.0
# Input that is parsed in one go, in bytes: at first, and after parts that took
# little processor time.
SLICE_BYTES = 4_096
MAX_SLICE_BYTES = 16_384
CHEAP_SLICE_S = 0.000_1
# Processor time after which the rest of the input waits for the next turn of
# the event loop.
TURN_S = 0.000_5
HEAD_END = b'\r\n\r\n'
# Time that a small read, or one of a plain body, may take uncounted, and what
# it can take for each byte: the clock also counts that others had the
# processor.
CHEAP_READ_S = 0.000_05
MAX_BYTE_S = 2e-7
PLAIN_BYTE_S = 1.5e-9
# Processor time of handling a request, for those that arrive beside two that
# aren't answered.
PIPELINED_S = 0.000_3
# Processor time of a read whose data is discarded.
DISCARDED_READ_S = 0.000_2
# Retry-After of a request for which there is no memory; other hosts may have
# some at once.
MEMORY_RETRY_AFTER_S = 0.5
# Retry-After of a request that waits when this host ends; other hosts can
# take it at once.
ENDED_RETRY_AFTER_S = 0.01


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
        memory: The budget of all connections of callers.
        request_id_header: Header that this host's own responses echo from
            their request; empty for none.
        closing: Whether each connection is closed once the requests that
            were received on it are answered.
        ended: Whether no further request is handled.
        connections: The open connections.
        shares: What the input of callers takes of the event loop.
        work_clock: Returns the seconds of processor time that the event loop
            has taken.
        slice_bytes: Input that is parsed in one go, in bytes.
        turn_s: Processor time of input in a turn of the event loop.
    """

    __slots__ = (
        'clock',
        'closing',
        'connections',
        'ended',
        'handler',
        'limits',
        'memory',
        'request_id_header',
        'shares',
        'slice_bytes',
        'turn_s',
        'work_clock',
    )

    def __init__(
        self,
        handler: Handler,
        limits: CallerLimits,
        clock: Callable[[], float],
        memory: MemoryBudget | None = None,
        *,
        request_id_header: bytes = b'',
        work_clock: Callable[[], float] = thread_time,
        slice_bytes: int = SLICE_BYTES,
        turn_s: float = TURN_S,
    ) -> None:
        """Starts without connections.

        Args:
            handler: Returns the response to a request.
            limits: The limits of the connections.
            clock: Returns monotonic seconds.
            memory: The budget of all connections of callers; None for no
                limit.
            request_id_header: Header that this host's own responses echo
                from their request; empty for none.
            work_clock: Returns the seconds of processor time that the event
                loop has taken.
            slice_bytes: Input that is parsed in one go, in bytes.
            turn_s: Processor time of input in a turn of the event loop, in
                seconds.
        """
        self.request_id_header = request_id_header
        self.shares = WorkShares('callers')
        self.work_clock = work_clock
        self.slice_bytes = slice_bytes
        self.turn_s = turn_s
        self.memory = memory or MemoryBudget('unlimited', maxsize)
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

    def error_response(
        self, request: Request, status: int, headers: Headers
    ) -> Response:
        """Returns an error of this host with the id of its request."""
        request_id = request.header(self.request_id_header)
        if request_id:
            headers = [*headers, (self.request_id_header, request_id)]
        return Response(status, headers, b'')

    def close_idle(self) -> None:
        """Closes the connections that have no request."""
        for connection in list(self.connections):
            if connection.idle:
                connection.close()

    def end(self) -> None:
        """Closes the connections that wait for no response, and takes no more.

        A request that the process reads from now on would be sent to a server
        and cut off when the process ends. One whose connection is closed
        instead counts as not read, also if a part of it has arrived.
        """
        for connection in list(self.connections):
            connection.parse_all()
        self.ended = True
        for connection in list(self.connections):
            if not connection.owes_answer:
                connection.close()

    @property
    def busy(self) -> bool:
        """Whether a request or a response is on its way on a connection."""
        return any(connection.busy for connection in self.connections)

    @property
    def owes_answers(self) -> bool:
        """Whether a request that was read whole waits for its response."""
        return any(connection.owes_answer for connection in self.connections)


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
        request_number: Number of the request that is received next.
        unfinished_bytes: Bytes received of a head that isn't complete, or
            since the last part of the body. The parser keeps a header to
            itself until its line ends.
        trailer_size: Size of the fields received after the body.
        pacer: Slows down a body of many small chunks.
        declared_bytes: Size of the body that the request's head announces.
        upgrading: Whether its head asks for another protocol.
        awaits_continue: Whether its caller waits for 100 Continue.
        input_ended: Whether further input is ignored, since a request asked
            for the connection to be closed or was rejected.
        input_closed: Whether the caller has closed its sending side.
        rejection: The error response to a rejected request, until it is sent
            after the responses to the requests before it.
        linger_timer: Closes the connection some time after its last response;
            None before.
        holding: The memory of the connection and of the request that is being
            received; a complete request has its own.
        untaken_bytes: Bytes of responses that the caller had not taken at
            `untaken_since`.
        untaken_since: Monotonic seconds since when it has taken none of them.
        untaken: The memory of the response that it is taking; None if there
            is none, or if the memory isn't counted.
        rest: Input that waits to be parsed.
        rest_holding: Its memory.
        work: What the input of the connection takes of the event loop.
        shown: Whether input of more than one slice has been parsed.
        turn: Parses the rest in the next turn of the event loop, or after a
            pause; None if none is due.
        paused: Whether that is after a pause, in which nothing is read.
    """

    def __init__(self, server: CallerServer) -> None:
        """Starts idle; `connection_made` sets the transport."""
        self.server = server
        self.transport: Transport | None = None
        self.outgoing: OutgoingData | None = None
        self.holding = Holding(server.memory, self)
        self.rest = b''
        self.rest_holding = Holding(server.memory, self)
        self.work = ConnectionWork(server.shares, 'unknown')
        self.shown = False
        self.turn: Handle | None = None
        self.paused = False
        self.request_number = 0
        self.untaken_bytes = 0
        self.untaken_since = 0.0
        self.untaken: Holding | None = None
        self.disconnected = False
        self.parser = HttpRequestParser(self)
        self.pending: deque[Request] = deque()
        self.task: Task[None] | None = None
        self.on_disconnect: Callable[[], None] | None = None
        self.phase_started_at = server.clock()
        self.receiving = False
        self.input_ended = False
        self.input_closed = False
        self.rejection: Response | None = None
        self.linger_timer: TimerHandle | None = None
        self.clear_request()

    def clear_request(self) -> None:
        """Discards the parsed parts of the previous request."""
        self.target = b''
        self.headers: Headers = []
        self.body = BodyBuffer()
        self.head_size = 0
        self.trailer_size = 0
        self.headers_complete = False
        self.unfinished_bytes = 0
        self.declared_bytes = 0
        self.upgrading = False
        self.awaits_continue = False
        self.pacer = ChunkPacer()

    @property
    def idle(self) -> bool:
        """Whether no request is being received or handled."""
        if self.rest or self.receiving:
            return False
        return not self.pending and self.task is None

    @property
    def busy(self) -> bool:
        """Whether a request or a response is on its way.

        A request that has been received in part counts, unless it is ignored,
        and so does a response that the caller has not taken yet.
        """
        if (self.receiving or self.rest) and not self.input_ended:
            return True
        return self.owes_answer

    @property
    def owes_answer(self) -> bool:
        """Whether a request is handled or its response not taken yet."""
        if self.task is not None or self.pending:
            return True
        return self.outgoing is not None and self.outgoing.size > 0

    def connection_made(self, transport: BaseTransport) -> None:
        """Registers the connection and disables Nagle's algorithm."""
        self.transport = cast(Transport, transport)
        limit_read_size(transport)
        # Without a buffer of its own, the transport reports that a response
        # was taken only when the system has all of it.
        self.transport.set_write_buffer_limits(high=0)
        self.outgoing = OutgoingData(self.transport)
        if self.server.ended or not self.holding.resize(CONNECTION_BYTES):
            self.input_ended = True
            self.close()
            return
        self.holding.allow_eviction(self.yield_memory)
        self.server.connections.add(self)
        peer = transport.get_extra_info('peername')
        if peer:
            self.work.key = str(peer[0])
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def connection_lost(self, error: Exception | None) -> None:
        """Drops pending requests and calls `on_disconnect`."""
        self.disconnected = True
        self.server.connections.discard(self)
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self.holding.release()
        self.discard_rest()
        if self.turn is not None:
            self.turn.cancel()
        self.clear_request()
        self.pending.clear()
        if self.outgoing is not None:
            self.outgoing.discard()
        if self.on_disconnect is not None:
            self.on_disconnect()

    def eof_received(self) -> bool:
        """Keeps the connection if a response is due on it.

        The caller may have closed the connection, or only its sending side:
        both look the same. As for one that has left, what may be repeated or
        hasn't run is cancelled, which closes the connection. What has
        arrived before is parsed, and its first request begins to be handled.
        """
        if self.rest:
            self.parse_all()
            get_running_loop().call_soon(self.end_input)
            return True
        if not self.owes_answer or self.linger_timer is not None:
            return False
        self.input_closed = True
        self.input_ended = True
        self.receiving = False
        self.pending.clear()
        if self.on_disconnect is not None:
            self.on_disconnect()
        return True

    def end_input(self) -> None:
        """Takes the end of the input, after what arrived before it."""
        if not self.disconnected and not self.eof_received():
            self.close()

    def __str__(self) -> str:
        """Returns what the connection is for, as written into logs."""
        peer = None
        if self.transport is not None:
            peer = self.transport.get_extra_info('peername')
        return f'request from {peer[0]}:{peer[1]}' if peer else 'request'

    def yield_memory(self) -> None:
        """Rejects the request that is being received, to make room.

        An idle connection is closed.
        """
        if self.receiving or self.rest:
            self.reject(503)
        else:
            self.close()

    def yield_rest(self) -> None:
        """Rejects the input that waits to be parsed, to make room."""
        self.reject(503)

    def pause_writing(self) -> None:
        """Stops sending until the caller has taken what was sent."""
        if self.outgoing is not None:
            self.outgoing.pause()

    def resume_writing(self) -> None:
        """Goes on sending."""
        if self.outgoing is not None:
            self.outgoing.resume()

    def data_received(self, data: bytes) -> None:
        """Takes input: parses little at once, and much of it in slices."""
        server = self.server
        if self.input_ended or server.ended:
            self.charge(DISCARDED_READ_S)
            return
        plain = False
        if self.rest or len(data) > server.slice_bytes:
            if not self.rest and not self.receiving:
                data = self.feed_head(data)
            plain = not self.rest and self.is_plain(len(data))
            if not data:
                return
            if not plain:
                self.keep(data)
                if self.turn is None:
                    self.parse_rest()
                return
        started_at = server.clock()
        self.feed(data)
        cost_s = server.clock() - started_at
        if cost_s > CHEAP_READ_S:
            byte_s = PLAIN_BYTE_S if plain else MAX_BYTE_S
            self.charge(min(cost_s, len(data) * byte_s))

    def feed_head(self, data: bytes) -> bytes:
        """Parses the first head in input and returns the rest.

        A body of a known length, which takes little, isn't cut then.

        Args:
            data: The input.
        """
        end = data.find(HEAD_END, 0, self.server.slice_bytes)
        if end < 0:
            return data
        end += len(HEAD_END)
        self.feed(data[:end])
        return b'' if self.input_ended else data[end:]

    def is_plain(self, size: int) -> bool:
        """Returns whether input is a part of a body of a known length.

        Args:
            size: Size of the input in bytes.
        """
        if not self.headers_complete:
            return False
        return self.declared_bytes - len(self.body.data) >= size

    def keep(self, data: bytes) -> None:
        """Keeps input until it is parsed; rejects it if there is no memory.

        Args:
            data: The input.
        """
        rest = self.rest + data if self.rest else data
        if not self.rest_holding.resize(len(rest)):
            self.reject(503)
            return
        if self.input_ended:
            # Its own request has made room.
            self.rest_holding.release()
            return
        self.rest = rest
        self.rest_holding.allow_eviction(self.yield_rest)
        if len(rest) > READ_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def parse_rest(self) -> None:
        """Parses input for a part of a turn, and plans to go on with the rest.

        The first large input of a caller that takes much waits for its turn,
        or a caller would get more with each new connection.
        """
        self.turn = None
        self.paused = False
        server = self.server
        if self.rest and not self.shown:
            self.shown = True
            pause_s = self.work.reserve(server.turn_s, server.clock())
            if pause_s:
                self.phase_started_at += pause_s
                self.pause(pause_s)
                return
        size = server.slice_bytes
        cost_s = 0.0
        while self.parses and not self.paused and cost_s < server.turn_s:
            if self.is_plain(len(self.rest)):
                size = len(self.rest)
            slice_s = self.parse_slice(size)
            cost_s += slice_s
            size *= 2 if slice_s < CHEAP_SLICE_S else 1
            size = min(size, MAX_SLICE_BYTES)
        if cost_s > CHEAP_READ_S:
            self.charge(cost_s)
        if self.parses and self.turn is None:
            self.turn = get_running_loop().call_soon(self.parse_rest)
        elif not self.rest:
            self.resume_reading()

    def parse_slice(self, size: int) -> float:
        """Parses a part of the rest and returns the processor time it took.

        Args:
            size: Its size in bytes.
        """
        started_s = self.server.work_clock()
        data, self.rest = self.rest[:size], self.rest[size:]
        self.rest_holding.resize(len(self.rest))
        # A request that is complete would be rejected for what follows it.
        self.rest_holding.forbid_eviction()
        self.feed(data)
        if self.input_ended or not self.rest:
            self.discard_rest()
        else:
            self.rest_holding.allow_eviction(self.yield_rest)
        return self.server.work_clock() - started_s

    def parse_all(self) -> None:
        """Parses the rest at once, as no later turn may come."""
        while self.rest:
            self.parse_slice(MAX_SLICE_BYTES)

    @property
    def parses(self) -> bool:
        """Whether there is input that is to be parsed now."""
        if not self.rest or self.disconnected or self.transport is None:
            return False
        if self.transport.is_closing():
            return False
        return len(self.pending) < MAX_PIPELINED

    def discard_rest(self) -> None:
        """Drops the input that waits to be parsed."""
        self.rest = b''
        self.rest_holding.release()

    def charge(self, cost_s: float) -> None:
        """Counts processor time of input; pauses if that was too much.

        No timeout counts the pause.

        Args:
            cost_s: The processor time, in seconds.
        """
        pause_s = self.work.charge(cost_s, self.server.clock())
        if pause_s and not self.paused:
            self.phase_started_at += pause_s
            self.pause(pause_s)

    def pause(self, pause_s: float) -> None:
        """Reads and parses nothing for a time.

        Args:
            pause_s: The time in seconds.
        """
        if self.transport is None or self.disconnected or self.paused:
            return
        if self.turn is not None:
            self.turn.cancel()
        self.paused = True
        self.transport.pause_reading()
        loop = get_running_loop()
        self.turn = loop.call_later(pause_s, self.parse_rest)

    def feed(self, data: bytes) -> None:
        """Parses input; an error in that leaves the requests before it alone.

        Without the guard, the event loop would close the connection at once.
        """
        try:
            self.receive(data)
        except Exception:
            LOG.exception(
                'input failed by an internal error',
                extra={'connection': str(self)},
            )
            # What was being received has not run, as it isn't complete.
            self.reject(503)

    def receive(self, data: bytes) -> None:
        """Feeds the parser; malformed input gets status 400."""
        if not self.receiving:
            self.receiving = True
            self.phase_started_at = self.server.clock()
        number = self.request_number
        in_body = self.headers_complete
        body_bytes = len(self.body.data)
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade as upgrade:
            self.parse_on(data, upgrade)
        except HttpParserCallbackError:
            raise
        except HttpParserError:
            self.reject(400)
        if self.receiving and not self.input_ended:
            if len(self.body.data) != body_bytes:
                self.unfinished_bytes = 0
            elif (
                number == self.request_number
                and in_body == self.headers_complete
            ):
                self.unfinished_bytes += len(data)
            self.hold_request()
            self.pace()

    def parse_on(self, data: bytes, upgrade: HttpParserUpgrade) -> None:
        """Parses requests for another protocol as if they didn't ask for it.

        RFC 9110, 7.8, lets a server ignore the field. The parser stops at
        such a request and skips its body, so that a new one is given the
        head without the field, and the bytes after it.

        Args:
            data: What the parser was fed.
            upgrade: Tells where it stopped.
        """
        rest = memoryview(data)
        while not self.input_ended:
            rest = rest[upgrade.args[0] :]
            head = self.encode_plain_head()
            self.clear_request()
            self.parser = HttpRequestParser(self)
            try:
                self.parser.feed_data(head)
                self.parser.feed_data(rest)
            except HttpParserUpgrade as next_upgrade:
                upgrade = next_upgrade
            except HttpParserCallbackError:
                raise
            except HttpParserError:
                self.reject(400)
            else:
                return

    def encode_plain_head(self) -> bytes:
        """Serializes the received head without its `Upgrade` field."""
        version = self.parser.get_http_version().encode()
        lines = [
            self.parser.get_method() + b' ' + self.target + b' HTTP/' + version
        ]
        lines += encode_headers(
            header for header in self.headers if header[0] != b'upgrade'
        )
        return b'\r\n'.join(lines) + b'\r\n\r\n'

    def pace(self) -> None:
        """Pauses reading after many small chunks."""
        pause_s = self.pacer.take_pause_s()
        if pause_s:
            self.pause(pause_s)

    def resume_reading(self) -> None:
        """Reads on, unless enough requests wait or the connection is lost."""
        if self.transport is None or self.disconnected or self.paused:
            return
        if self.rest:
            # A request is given no task while that of another ends.
            if self.turn is None:
                self.turn = get_running_loop().call_soon(self.parse_rest)
        elif len(self.pending) < MAX_PIPELINED:
            self.transport.resume_reading()

    def hold_request(self) -> None:
        """Counts the memory of the request that is being received.

        Rejects it if its head is too large or if there is no memory for it.
        """
        max_head_bytes = self.server.limits.header_bytes + HEAD_MARGIN_BYTES
        if self.unfinished_bytes > max_head_bytes:
            self.reject(431)
            return
        size = (
            CONNECTION_BYTES
            + self.head_memory
            + max(self.declared_bytes, len(self.body.data))
        )
        if not self.holding.resize(size):
            self.reject(503)

    @property
    def head_memory(self) -> int:
        """Memory of the target and the headers received, in bytes."""
        overhead = HEADER_OVERHEAD_BYTES * len(self.headers)
        if self.headers_complete:
            return self.head_size + self.unfinished_bytes + overhead
        return max(self.head_size, self.unfinished_bytes) + overhead

    def on_url(self, url: bytes) -> None:
        """Appends a part of the target."""
        self.target += url
        self.count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds one header; skips the fields after a body, up to a limit."""
        if self.input_ended:
            return
        if self.headers_complete:
            self.trailer_size += len(name) + len(value) + 4
            if self.trailer_size > self.server.limits.header_bytes:
                self.reject(431)
            return
        self.headers.append((name.lower(), value))
        # The four bytes are the colon, a space and the line end.
        self.count_head_bytes(len(name) + len(value) + 4)

    def count_head_bytes(self, size: int) -> None:
        """Rejects a request whose target and headers exceed their limit."""
        self.head_size += size
        if self.head_size > self.server.limits.header_bytes:
            self.reject(431)

    def on_headers_complete(self) -> None:
        """Sends 100 Continue if the caller expects it.

        Rejects a request whose body is announced to be too large, or for
        which there is no memory, before the body arrives. CONNECT gets status
        501, and what follows it isn't read, as it may be no HTTP.
        """
        self.headers_complete = True
        if self.parser.should_upgrade():
            self.upgrading = True
            if self.parser.get_method() == b'CONNECT':
                self.reject(501)
            return
        self.unfinished_bytes = 0
        for name, value in self.headers:
            if name == b'expect' and value.lower() == b'100-continue':
                self.awaits_continue = True
            elif name == b'content-length' and value.isdigit():
                # The parser has checked the value.
                self.declared_bytes = int(value)
        if self.declared_bytes > self.server.limits.body_bytes:
            self.reject(413)
        else:
            self.hold_request()
        if self.awaits_continue and self.task is None:
            self.send_continue()

    def send_continue(self) -> None:
        """Sends 100 Continue to a caller that waits for it."""
        if self.awaits_continue and not self.body.data:
            self.write(CONTINUE_RESPONSE, b'', None)
        self.awaits_continue = False

    def on_chunk_header(self) -> None:
        """Counts a chunk of the body."""
        self.pacer.chunks += 1

    def on_body(self, body: bytes) -> None:
        """Appends a part of the body; rejects a body beyond its limit."""
        if self.input_ended:
            return
        if len(self.body.data) + len(body) > self.server.limits.body_bytes:
            self.reject(413)
            return
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Queues the complete request and starts the task that handles it."""
        if self.input_ended or self.upgrading:
            return
        keep_alive = self.parser.should_keep_alive()
        request = self.take_request()
        if request is None:
            self.reject(503)
            return
        self.clear_request()
        self.input_ended = not keep_alive
        self.receiving = False
        self.request_number += 1
        if self.pending:
            self.charge(PIPELINED_S)
        self.pending.append(request)
        if len(self.pending) >= MAX_PIPELINED and self.transport:
            self.transport.pause_reading()
        if self.task is None:
            self.task = create_task(self.serve())

    def take_request(self) -> Request | None:
        """Returns the complete request; None if there is no memory for it."""
        self.unfinished_bytes = 0
        size = REQUEST_BYTES + self.head_memory + len(self.body.data)
        self.holding.resize(CONNECTION_BYTES)
        holding = Holding(self.server.memory, str(self))
        if not holding.resize(size):
            return None
        return Request(
            self.parser.get_method(),
            self.target,
            self.headers,
            self.body.data,
            holding,
        )

    async def serve(self) -> None:
        """Handles the pending requests one after the other."""
        self.holding.forbid_eviction()
        try:
            while self.pending and not self.disconnected:
                request = self.pending.popleft()
                response = await self.handle(request)
                self.on_disconnect = None
                if response is None:
                    self.close()
                    return
                if self.server.closing:
                    self.parse_all()
                close = self.closes_next
                if close:
                    self.input_ended = True
                    self.receiving = False
                response, head = self.encode(request, response, close=close)
                omit_body = request.method == b'HEAD'
                body = b'' if omit_body else response.body
                self.write(head, body, response)
                await self.drain(response)
                self.phase_started_at = self.server.clock()
                if close:
                    self.linger()
                    return
            if self.rejection is not None and not self.disconnected:
                self.send_rejection(self.rejection)
            elif self.input_closed or self.server.ended:
                self.close()
            self.send_continue()
            self.resume_reading()
        except CancelledError:
            self.close()
            raise
        except Exception:
            # Part of a response may have been sent.
            LOG.exception(
                'response failed by an internal error',
                extra={'connection': str(self)},
            )
            self.close()
        finally:
            self.task = None
            if not self.disconnected:
                self.holding.allow_eviction(self.yield_memory)

    async def handle(self, request: Request) -> Response | None:
        """Returns the response to a request; None to close without one.

        A request whose handler fails, or is cancelled though neither the
        caller left nor the process ends, may have run.
        """
        if self.server.ended:
            retry_after = b'%.3f' % ENDED_RETRY_AFTER_S
            return self.server.error_response(
                request, 503, [(b'retry-after', retry_after)]
            )
        try:
            return await self.server.handler(request, self)
        except CancelledError:
            task = current_task()
            if self.disconnected or (task is not None and task.cancelling()):
                raise
            return self.fail(request)
        except Exception:
            return self.fail(request)

    def fail(self, request: Request) -> Response:
        """Logs an error and returns status 502, which promises nothing."""
        request_id = request.header(self.server.request_id_header)
        LOG.exception(
            'request failed by an internal error',
            extra={
                'request': request_id.decode('latin-1'),
                'connection': str(self),
            },
        )
        return self.server.error_response(request, 502, [])

    def encode(
        self, request: Request, response: Response, *, close: bool
    ) -> tuple[Response, bytes]:
        """Returns the response to send, and its head.

        Args:
            request: The request.
            response: The handler's response.
            close: Whether the connection closes after it.
        """
        try:
            return response, encode_response_head(response, close=close)
        except Exception:
            response = self.fail(request)
            return response, encode_response_head(response, close=close)

    @property
    def closes_next(self) -> bool:
        """Whether the connection closes after the response that is due."""
        if self.pending or self.rejection is not None:
            return False
        server = self.server
        return self.input_ended or server.closing or server.ended

    async def drain(self, response: Response) -> None:
        """Waits until the caller has taken a response.

        Once it takes nothing for a time, the connection may be aborted to
        make room.
        """
        outgoing = self.outgoing
        if outgoing is None or outgoing.empty:
            return
        self.untaken_bytes = outgoing.unreceived
        self.untaken_since = self.server.clock()
        self.untaken = response.holding
        try:
            await outgoing.drain()
        finally:
            self.untaken = None
            if response.holding is not None:
                response.holding.forbid_eviction()

    def reject(self, status: int) -> None:
        """Ignores further input, sends an error status and closes.

        The status comes after the responses to the requests before it. What
        the caller still sends is discarded for a while.
        """
        if self.input_ended:
            return
        self.work.charge_all(self.server.clock())
        self.discard_rest()
        self.clear_request()
        self.input_ended = True
        self.receiving = False
        self.holding.resize(CONNECTION_BYTES)
        headers: Headers = []
        if status == 503:
            headers.append((b'retry-after', b'%.3f' % MEMORY_RETRY_AFTER_S))
        self.rejection = Response(status, headers, b'')
        if self.task is None and not self.pending:
            self.send_rejection(self.rejection)

    def send_rejection(self, response: Response) -> None:
        """Sends an error response as the last one and closes later."""
        self.write(encode_response_head(response, close=True), b'', None)
        self.linger()

    def linger(self) -> None:
        """Closes once the caller does, or after some time.

        Until then its input is discarded, as it may still be receiving the
        last response.
        """
        if self.transport is None or self.disconnected:
            return
        if self.input_closed:
            self.close()
            return
        self.input_ended = True
        self.discard_rest()
        self.clear_request()
        self.holding.resize(CONNECTION_BYTES)
        self.resume_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        loop = get_running_loop()
        self.linger_timer = loop.call_later(LINGER_S, self.close)

    def enforce_timeouts(self, now: float) -> None:
        """Closes the connection if its head or idle timeout has passed.

        A request gets status 408 if its head has not arrived in time, or no
        part of its body, or if the rest of the body takes far too long. A
        caller that takes no part of a response for the idle timeout is
        disconnected.

        Args:
            now: Monotonic seconds.
        """
        limits = self.server.limits
        if self.outgoing is not None and not self.outgoing.empty:
            self.check_progress(now)
            return
        if self.task is not None or self.pending:
            return
        if self.receiving:
            timeout_s = MAX_RECEIVE_S if self.body.data else limits.header_s
            if now - self.phase_started_at > timeout_s:
                self.reject(408)
            return
        if now - self.phase_started_at > limits.idle_s and not self.rest:
            self.close()

    def check_progress(self, now: float) -> None:
        """Looks whether the caller goes on taking its response.

        Args:
            now: Monotonic seconds.
        """
        assert self.outgoing is not None
        size = self.outgoing.unreceived
        if size != self.untaken_bytes:
            self.untaken_bytes = size
            self.untaken_since = now
            if self.untaken is not None:
                self.untaken.forbid_eviction()
            return
        stalled_s = now - self.untaken_since
        if stalled_s > self.server.limits.idle_s:
            self.abort()
        elif stalled_s > STALL_S and self.untaken is not None:
            self.untaken.allow_eviction(self.abort)

    def write(self, head: bytes, body: Body, owner: object) -> None:
        """Writes a message to the connection unless it is lost.

        Args:
            head: The head.
            body: The body.
            owner: What the body belongs to.
        """
        if self.outgoing is not None and not self.disconnected:
            self.outgoing.write(head, body, owner)

    def abort(self) -> None:
        """Closes the connection at once; what was not taken is lost."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Closes the connection after buffered data is sent."""
        self.discard_rest()
        if self.transport is not None:
            self.transport.close()
