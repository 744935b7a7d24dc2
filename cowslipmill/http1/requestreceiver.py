"""Receives the requests of a connection of a caller."""

from asyncio import Protocol
from asyncio import Transport
from logging import getLogger

from httptools import HttpParserCallbackError
from httptools import HttpParserError
from httptools import HttpParserUpgrade
from httptools import HttpRequestParser

from cowslipmill.http1.chunkpacer import ChunkPacer
from cowslipmill.http1.listenerstate import ListenerState
from cowslipmill.http1.message import Body
from cowslipmill.http1.message import BodyBuffer
from cowslipmill.http1.message import encode_headers
from cowslipmill.http1.message import HEADER_OVERHEAD_BYTES
from cowslipmill.http1.message import Headers
from cowslipmill.http1.message import Request
from cowslipmill.http1.outgoing import OutgoingData
from cowslipmill.memory.budget import Holding

# The logger keeps the name that the module had before.
LOG = getLogger('cowslipmill.http1.callerconnection')

# Memory that an open connection takes beside its requests, and what a request
# takes beside its text until it is answered.
CONNECTION_BYTES = 8_192
REQUEST_BYTES = 8_192
# What a head takes on the wire beyond what its limit counts.
HEAD_MARGIN_BYTES = 1_024
CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestReceiver(Protocol):
    """Parses the requests of a connection and checks their sizes.

    Attributes:
        server: The shared state of the listener's connections.
        disconnected: Whether the connection is lost.
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
        holding: The memory of the connection and of the request that is being
            received; a complete request has its own.
    """

    def __init__(self, server: ListenerState) -> None:
        """Starts idle; `connection_made` sets the transport."""
        self.server = server
        self.transport: Transport | None = None
        self.outgoing: OutgoingData | None = None
        self.holding = Holding(server.memory, self)
        self.request_number = 0
        self.disconnected = False
        self.parser = HttpRequestParser(self)
        self.phase_started_at = server.clock()
        self.receiving = False
        self.input_ended = False
        self.clear_request()

    @property
    def unanswered(self) -> bool:
        """Whether a request that was received waits for its response."""
        raise NotImplementedError

    def on_request(self, request: Request) -> None:
        """Takes a complete request."""
        raise NotImplementedError

    def reject(self, status: int) -> None:
        """Ignores further input, sends an error status and closes."""
        raise NotImplementedError

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
        if self.awaits_continue and not self.unanswered:
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
        self.on_request(request)

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

    def write(self, head: bytes, body: Body, owner: object) -> None:
        """Writes a message to the connection unless it is lost.

        Args:
            head: The head.
            body: The body.
            owner: What the body belongs to.
        """
        if self.outgoing is not None and not self.disconnected:
            self.outgoing.write(head, body, owner)

    def pace(self) -> None:
        """Pauses reading after many small chunks."""
        raise NotImplementedError
