"""HTTP/1.1 requests and responses, and how they are serialized."""

from collections.abc import Iterable

from cowslipmill.memory.budget import Holding

Headers = list[tuple[bytes, bytes]]
Body = bytes | bytearray

# Headers that are not forwarded: those that concern one connection only, and
# those that a host sets or handles itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    )
)
# Memory that a header takes beside its text.
HEADER_OVERHEAD_BYTES = 160
# Statuses of RFC 9110, section 15, and those of them that are no interim ones.
# With any other status, what the server did isn't known.
VALID_STATUSES = range(100, 600)
FINAL_STATUSES = range(200, 600)
BODILESS_STATUSES = frozenset((204, 304))
REASON_PHRASES = {
    200: b'OK',
    400: b'Bad Request',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    431: b'Request Header Fields Too Large',
    501: b'Not Implemented',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


def measure_headers(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Returns the memory that headers take, in bytes."""
    return sum(
        HEADER_OVERHEAD_BYTES + len(name) + len(value)
        for name, value in headers
    )


class Request:
    """A request with its complete body.

    Attributes:
        method: The method, such as `b'GET'`.
        target: The path and query exactly as received.
        headers: Pairs of lower-case name and value in their original order.
        body: The complete body; empty if there is none.
        holding: The memory that the request holds; None if not counted.
    """

    __slots__ = ('body', 'headers', 'holding', 'method', 'target')

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: Body,
        holding: Holding | None = None,
    ) -> None:
        """Stores the parts without checking them."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.holding = holding

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header, or empty bytes."""
        return find_header(self.headers, name)


class Response:
    """A response with its complete body.

    Attributes:
        status: The status code.
        headers: Pairs of lower-case name and value in their original order.
        body: The complete body; empty if there is none.
        holding: The memory that the response holds; None if not counted.
    """

    __slots__ = ('body', 'headers', 'holding', 'status')

    def __init__(
        self,
        status: int,
        headers: Headers,
        body: Body,
        holding: Holding | None = None,
    ) -> None:
        """Stores the parts without checking them."""
        self.status = status
        self.headers = headers
        self.body = body
        self.holding = holding

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header, or empty bytes."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes:
    """Returns the first value of a header, or empty bytes."""
    for key, value in headers:
        if key == name:
            return value
    return b''


class BodyBuffer:
    """A body that is received in parts.

    A body in one part, as most are, isn't copied. Further parts are appended
    in place, so that many small ones take no more than their bytes.

    Attributes:
        data: What was received so far.
    """

    __slots__ = ('data',)

    def __init__(self) -> None:
        """Starts empty."""
        self.data: Body = b''

    def append(self, part: bytes) -> None:
        """Appends a part."""
        if not self.data:
            self.data = part
            return
        if not isinstance(self.data, bytearray):
            self.data = bytearray(self.data)
        self.data += part


def end_to_end_headers(headers: Headers) -> Headers:
    """Returns the headers without the hop-by-hop ones.

    Headers that the `Connection` header lists are hop-by-hop as well.
    """
    listed = find_header(headers, b'connection').lower().split(b',')
    dropped = {name.strip() for name in listed}
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP_HEADERS and name not in dropped
    ]


def encode_request_head(request: Request) -> bytes:
    """Serializes a request without its body.

    Adds `Content-Length` if there is a body or the method usually has one.
    """
    lines = [request.method + b' ' + request.target + b' HTTP/1.1']
    lines += encode_headers(request.headers)
    if request.body or request.method in (b'POST', b'PUT', b'PATCH'):
        lines.append(b'content-length: %d' % len(request.body))
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def encode_response_head(response: Response, *, close: bool) -> bytes:
    """Serializes a response without its body.

    Adds `Content-Length` unless the status rules out a body.

    Args:
        response: The response to send.
        close: Whether to add `Connection: close`.
    """
    reason = REASON_PHRASES.get(response.status, b'Status')
    lines = [b'HTTP/1.1 %d %b' % (response.status, reason)]
    lines += encode_headers(response.headers)
    if response.status not in BODILESS_STATUSES:
        lines.append(b'content-length: %d' % len(response.body))
    if close:
        lines.append(b'connection: close')
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def encode_headers(headers: Iterable[tuple[bytes, bytes]]) -> list[bytes]:
    """Returns one header line per header, without line ends."""
    return [name + b': ' + value for name, value in headers]
