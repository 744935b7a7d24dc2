"""Requests and answers as they pass through a host."""

from collections.abc import Iterable

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
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
BODILESS_STATUSES = frozenset((204, 304))
REASONS = {
    200: b'OK',
    400: b'Bad Request',
    404: b'Not Found',
    408: b'Request Timeout',
    413: b'Content Too Large',
    431: b'Request Header Fields Too Large',
    502: b'Bad Gateway',
    503: b'Service Unavailable',
    504: b'Gateway Timeout',
}


class Request:
    """One request, read in full.

    Attributes:
        method: Such as `b'GET'`.
        target: Path and query as sent.
        headers: Names in lower case, in their order.
        body: The whole body.
    """

    __slots__ = ('body', 'headers', 'method', 'target')

    def __init__(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Keeps the parts."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header, or nothing."""
        return find_header(self.headers, name)


class Response:
    """One answer, read in full.

    Attributes:
        status: Status code.
        headers: Names in lower case, in their order.
        body: The whole body.
    """

    __slots__ = ('body', 'headers', 'status')

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        """Keeps the parts."""
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header, or nothing."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes:
    """Returns the first value of a header, or nothing."""
    for key, value in headers:
        if key == name:
            return value
    return b''


def end_to_end_headers(headers: Headers) -> Headers:
    """Returns the headers that concern more than one connection."""
    named = find_header(headers, b'connection').lower().split(b',')
    dropped = {name.strip() for name in named}
    return [
        (name, value)
        for name, value in headers
        if name not in HOP_BY_HOP and name not in dropped
    ]


def encode_request(request: Request) -> bytes:
    """Returns the bytes of a request with a length."""
    lines = [request.method + b' ' + request.target + b' HTTP/1.1']
    lines += encode_headers(request.headers)
    if request.body or request.method in (b'POST', b'PUT', b'PATCH'):
        lines.append(b'content-length: %d' % len(request.body))
    return b'\r\n'.join(lines) + b'\r\n\r\n' + request.body


def encode_response(answer: Response, *, close: bool, bodiless: bool) -> bytes:
    """Returns the bytes of an answer with a length.

    Args:
        answer: The answer.
        close: Whether the connection ends with it.
        bodiless: Whether the request was such that no body may follow.
    """
    reason = REASONS.get(answer.status, b'Status')
    lines = [b'HTTP/1.1 %d %b' % (answer.status, reason)]
    lines += encode_headers(answer.headers)
    if answer.status not in BODILESS_STATUSES:
        lines.append(b'content-length: %d' % len(answer.body))
    if close:
        lines.append(b'connection: close')
    body = b'' if bodiless else answer.body
    return b'\r\n'.join(lines) + b'\r\n\r\n' + body


def encode_headers(headers: Iterable[tuple[bytes, bytes]]) -> list[bytes]:
    """Returns one line for each header."""
    return [name + b': ' + value for name, value in headers]
