"""Sends a request to one backend server and reads the whole response."""

from collections.abc import Mapping

from aiohttp import ClientConnectorError
from aiohttp import ClientError
from aiohttp import ClientResponse
from aiohttp import ClientResponseError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import ConnectionTimeoutError
from aiohttp import DummyCookieJar
from aiohttp import TCPConnector
from multidict import CIMultiDict
from yarl import URL

from cowslipmill.attempts.event import AnswerRead
from cowslipmill.attempts.event import ConnectFailed
from cowslipmill.attempts.event import Event
from cowslipmill.attempts.event import ExchangeBroken
from cowslipmill.attempts.event import ServerConfirmed
from cowslipmill.attempts.event import ServerUnconfirmed
from cowslipmill.attempts.event import Shed
from cowslipmill.entry.firstbyte import FirstByteRefused
from cowslipmill.entry.firstbyte import GuardedRequest
from cowslipmill.entry.firstbyte import PERMIT
from cowslipmill.entry.firstbyte import Permit
from cowslipmill.entry.metrics import attempt_counter
from cowslipmill.entry.signals import parse_signals
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.outcomes.headers import HOP_BY_HOP
from cowslipmill.outcomes.headers import LEAVING_HEADER
from cowslipmill.outcomes.headers import LOAD_HEADER
from cowslipmill.outcomes.headers import NOT_STARTED_HEADER
from cowslipmill.outcomes.outcome import Reason

CONNECT_TIMEOUT_S = 0.25
KEEP_ALIVE_TIMEOUT_S = 10.0
SHED_RETRY_AFTER_MS = 1_000
MAX_RETRY_AFTER_MS = 60_000
# Statuses of a whole response (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)
BODYLESS_STATUSES = frozenset((204, 304))
CONSUMED_HEADERS = frozenset((LOAD_HEADER.lower(), 'content-length'))
OWN_HEADER_PREFIX = 'cowslipmill-'
CANCELLED_LABEL = 'cancelled'
CONFIRM_TIMEOUT = ClientTimeout(total=CONNECT_TIMEOUT_S)
CONFIRM_PATH = '/healthz'
RESULT_LABELS: dict[type[Event], str] = {
    AnswerRead: 'answered',
    Shed: 'shed',
    ConnectFailed: 'connect-failed',
    ExchangeBroken: 'broken',
}
NO_TOTAL_TIMEOUT = ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)


class OutgoingRequest:
    """A caller's request as it is sent to servers.

    Attributes:
        method: HTTP method.
        target: Raw path and query.
        headers: End-to-end headers.
        body: The whole body.
        max_answer_bytes: Size limit of the response body.
    """

    __slots__ = ('body', 'headers', 'max_answer_bytes', 'method', 'target')

    def __init__(
        self,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: bytes,
        max_answer_bytes: int,
    ) -> None:
        """Creates the request; nothing is sent yet."""
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.max_answer_bytes = max_answer_bytes


class Upstream:
    """HTTP client of the backend servers."""

    __slots__ = ('session',)

    def __init__(self, session: ClientSession) -> None:
        """Uses a session made by `open_session`."""
        self.session = session

    async def send(
        self, record: NodeRecord, request: OutgoingRequest, permit: Permit
    ) -> Event:
        """Makes one attempt and counts its result.

        The connection is closed, never reused, unless the whole response
        was read; cancelling this call closes it too, which shows the server
        that the request was cancelled.

        Args:
            record: The server.
            request: The request to send.
            permit: Called right before the first byte; returns the remaining
                milliseconds or raises `FirstByteRefused`.
        """
        result = CANCELLED_LABEL
        try:
            event = await self.exchange(record, request, permit)
            result = RESULT_LABELS[type(event)]
            return event
        finally:
            attempt_counter(record.service, result).inc()

    async def exchange(
        self, record: NodeRecord, request: OutgoingRequest, permit: Permit
    ) -> Event:
        """Sends the request and returns the event that ended the attempt."""
        token = PERMIT.set(permit)
        url = URL(f'http://{record.address}{request.target}', encoded=True)
        try:
            async with self.session.request(
                request.method,
                url,
                headers=request.headers,
                data=request.body or None,
                allow_redirects=False,
                timeout=NO_TOTAL_TIMEOUT,
            ) as response:
                return await read_response(response, request.max_answer_bytes)
        except (
            ClientConnectorError,
            ConnectionTimeoutError,
            FirstByteRefused,
        ):
            return ConnectFailed()
        except ClientResponseError:
            return ExchangeBroken(Reason.BAD_ANSWER)
        except (ClientError, OSError):
            return ExchangeBroken(Reason.CONNECTION_LOST)
        finally:
            PERMIT.reset(token)

    async def confirm(self, record: NodeRecord) -> Event:
        """Asks a server's health check whether it accepts new requests."""
        url = URL(f'http://{record.address}{CONFIRM_PATH}')
        try:
            async with self.session.get(
                url, timeout=CONFIRM_TIMEOUT
            ) as response:
                leaving = LEAVING_HEADER in response.headers
                if response.status == 200 and not leaving:
                    return ServerConfirmed()
        except (ClientError, OSError):
            pass
        return ServerUnconfirmed()


async def read_response(response: ClientResponse, max_bytes: int) -> Event:
    """Reads the whole response, up to `max_bytes` of body."""
    if response.status not in FINAL_STATUSES or not is_well_framed(response):
        response.close()
        return ExchangeBroken(Reason.BAD_ANSWER)
    body = await read_body(response, max_bytes)
    if body is None:
        response.close()
        return ExchangeBroken(Reason.ANSWER_TOO_LARGE)
    signals = parse_signals(response.headers)
    if response.status == 503 and NOT_STARTED_HEADER in response.headers:
        return Shed(read_retry_after_ms(response.headers), signals)
    return AnswerRead(
        response.status, forwarded_headers(response), body, signals
    )


def has_no_body(response: ClientResponse) -> bool:
    """Tells whether a response has no body by its method or status."""
    return response.method == 'HEAD' or response.status in BODYLESS_STATUSES


def is_well_framed(response: ClientResponse) -> bool:
    """Tells whether the end of the response is unambiguous.

    A response that is delimited only by the close of its connection may be
    truncated, so it is not well framed.
    """
    lengths = response.headers.getall('Content-Length', ())
    codings = response.headers.getall('Transfer-Encoding', ())
    if len(lengths) + len(codings) > 1:
        return False
    return bool(lengths or codings) or has_no_body(response)


async def read_body(response: ClientResponse, max_bytes: int) -> bytes | None:
    """Returns the whole body, or None if it is too large."""
    if has_no_body(response):
        return b''
    if (response.content_length or 0) > max_bytes:
        return None
    chunks = []
    size = 0
    async for chunk in response.content.iter_any():
        size += len(chunk)
        if size > max_bytes:
            return None
        chunks.append(chunk)
    return b''.join(chunks)


def forwarded_headers(response: ClientResponse) -> tuple[tuple[str, str], ...]:
    """Returns the headers to forward to the caller."""
    dropped = HOP_BY_HOP | CONSUMED_HEADERS
    connection = response.headers.get('Connection')
    if connection is not None:
        dropped |= connection_options(connection)
    if response.method == 'HEAD':
        dropped -= {'content-length'}
    return tuple(
        (name, value)
        for name, value in response.headers.items()
        if (lower := name.lower()) not in dropped
        and not lower.startswith(OWN_HEADER_PREFIX)
    )


def connection_options(value: str) -> frozenset[str]:
    """Returns the lower-case names that a `Connection` header lists."""
    return frozenset(name.strip().lower() for name in value.split(','))


def read_retry_after_ms(headers: Mapping[str, str]) -> int:
    """Returns the retry delay of a server that shed a request.

    Args:
        headers: Headers of the response; without a valid `Retry-After` the
            delay is `SHED_RETRY_AFTER_MS`.
    """
    value = headers.get('Retry-After', '')
    if not (value.isascii() and value.isdecimal()) or len(value) > 6:
        return SHED_RETRY_AFTER_MS
    return min(int(value) * 1000, MAX_RETRY_AFTER_MS)


def open_session() -> ClientSession:
    """Returns a session for calls to backend servers."""
    connector = TCPConnector(limit=0, keepalive_timeout=KEEP_ALIVE_TIMEOUT_S)
    session = ClientSession(
        connector=connector,
        cookie_jar=DummyCookieJar(),
        auto_decompress=False,
        request_class=GuardedRequest,
        skip_auto_headers=('User-Agent', 'Accept', 'Accept-Encoding'),
    )
    # The library retries idempotent requests itself on a lost connection;
    # attempts are counted and bounded by the dispatcher instead.
    session._retry_connection = False
    return session
