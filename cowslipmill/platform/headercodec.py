"""Reads and writes the headers of the platform's callers and servers."""

from email.utils import parsedate_to_datetime
from logging import getLogger
from math import inf
from math import isnan
from math import nan

from msgspec.structs import replace

from cowslipmill.forwarding.headercodec import CallerHeaders
from cowslipmill.forwarding.headercodec import ResponseClass
from cowslipmill.http1.message import end_to_end_headers
from cowslipmill.http1.message import Headers
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.leasing.load import Load
from cowslipmill.platform.headers import DEADLINE
from cowslipmill.platform.headers import EXPECTED_SERVER
from cowslipmill.platform.headers import MISDIRECTED_STATUS
from cowslipmill.platform.headers import NOT_EXECUTED
from cowslipmill.platform.headers import REQUEST_ID
from cowslipmill.platform.headers import RETRY_AFTER
from cowslipmill.platform.headers import SERVER_LEAVING
from cowslipmill.platform.headers import SERVER_LIMIT
from cowslipmill.platform.headers import SERVER_LOAD
from cowslipmill.platform.headers import SERVER_NAME
from cowslipmill.platform.headers import SIGNATURE
from cowslipmill.platform.headers import WARM_UP
from cowslipmill.platform.load import read_load
from cowslipmill.platform.serverentry import MAX_WARM_UP_MS
from cowslipmill.view.server import ServerRecord

LOG = getLogger(__name__)

# A timeout of more digits is no time in milliseconds.
MAX_TIMEOUT_DIGITS = 12
# Longest time for which a server's Retry-After is taken.
MAX_PAUSE_S = 86_400.0

BAD_REQUEST_STATUS = 400
UNAVAILABLE_STATUS = 503
# Callers take these as a guarantee that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset(
    (408, MISDIRECTED_STATUS, 429, UNAVAILABLE_STATUS)
)
# Headers between this host and a server that the caller does not get.
HOST_ONLY_HEADERS = frozenset((SERVER_LOAD, SERVER_NAME))
# A response to a health request has one of these if it is from a server.
SERVER_HEADERS = (SERVER_NAME, SERVER_LOAD, NOT_EXECUTED)
# Headers of the caller that this host replaces by its own.
REPLACED_HEADERS = frozenset((DEADLINE, EXPECTED_SERVER))


class PlatformHeaderCodec:
    """The headers of the platform.

    Attributes:
        request_id_header: Name of the header with the request's id, which a
            server repeats in its response.
    """

    __slots__ = ()

    request_id_header = REQUEST_ID

    def parse_caller_headers(self, request: Request) -> CallerHeaders:
        """Returns the values that a caller sent with its request.

        A timeout that isn't a whole number of milliseconds is ignored, and
        so is one of more than `MAX_TIMEOUT_DIGITS` digits.
        """
        timeout_s = None
        text = request.header(DEADLINE)
        if text.isdigit() and len(text) <= MAX_TIMEOUT_DIGITS:
            timeout_s = int(text) / 1000
        request_id = request.header(REQUEST_ID).decode('latin-1')
        return CallerHeaders(request_id, timeout_s)

    def server_request(
        self, request: Request, server: ServerRecord, remaining_s: float
    ) -> Request:
        """Returns the request to send to a server.

        Args:
            request: The caller's request.
            server: The server that is to execute it.
            remaining_s: Time left for the response, in seconds; at least
                1 ms is sent.
        """
        headers: Headers = [
            (name, value)
            for name, value in end_to_end_headers(request.headers)
            if name not in REPLACED_HEADERS
        ]
        headers.append((DEADLINE, b'%d' % max(1, int(remaining_s * 1000))))
        headers.append((EXPECTED_SERVER, server.name.encode()))
        return Request(
            request.method,
            request.target,
            headers,
            request.body,
            request.holding,
        )

    def classify(self, response: Response) -> ResponseClass:
        """Returns what a server's response implies for the request.

        Only a response with the signature of the server and without a
        content encoding shows that the server executed the request. A status
        by which callers know that the request was not executed is passed on
        only if the server says so in its headers as well.
        """
        if response.status == MISDIRECTED_STATUS:
            return ResponseClass.WRONG_SERVER
        if response.header(NOT_EXECUTED):
            if response.status == BAD_REQUEST_STATUS:
                return ResponseClass.NOT_ACCEPTED
            return ResponseClass.SHED
        if not response.header(SIGNATURE) or response.header(
            b'content-encoding'
        ):
            return ResponseClass.UNVERIFIED
        if 200 <= response.status < 300:
            return ResponseClass.SUCCESS
        if response.status in NOT_EXECUTED_STATUSES:
            return ResponseClass.UNVERIFIED
        return ResponseClass.FAILURE

    def rate_limit(
        self, response: Response, known_per_s: float | None
    ) -> float | None:
        """Returns the rate limit that a server names in a response.

        Args:
            response: The response.
            known_per_s: The limit known so far, which stays in force if the
                one in the response can't be read.

        Returns:
            Requests a second from all hosts together; None for no limit.
        """
        text = response.header(SERVER_LIMIT)
        if not text:
            return None
        try:
            per_s = float(text)
        except ValueError:
            per_s = nan
        if not 0.0 <= per_s < inf:
            LOG.warning(
                'header not usable',
                extra={
                    'field': SERVER_LIMIT.decode(),
                    'reason': f'not a rate: {text[:40]!r}',
                },
            )
            return known_per_s
        return per_s

    def announces_leaving(self, response: Response) -> bool:
        """Returns whether a server says that it wants no new requests."""
        return response.header(SERVER_LEAVING).strip() == b'1'

    def pause_s(self, response: Response, now_s: float) -> float | None:
        """Returns how long a server wants nothing from this host.

        Args:
            response: A response of the server.
            now_s: The present Unix time in seconds.

        Returns:
            Seconds, more than 0; None if the response names no such time.
        """
        text = response.header(RETRY_AFTER).decode('latin-1').strip()
        if response.status != UNAVAILABLE_STATUS or not text:
            return None
        pause_s = read_retry_after(text, now_s)
        if isnan(pause_s):
            LOG.warning(
                'header not usable',
                extra={
                    'field': RETRY_AFTER.decode(),
                    'reason': f'neither seconds nor a date: {text[:40]!r}',
                },
            )
            return None
        return min(pause_s, MAX_PAUSE_S) if pause_s > 0.0 else None

    def caller_response(self, response: Response) -> Response:
        """Returns the response to send to the caller for a server's one."""
        headers = [
            (name, value)
            for name, value in end_to_end_headers(response.headers)
            if name not in HOST_ONLY_HEADERS
        ]
        return Response(
            response.status, headers, response.body, response.holding
        )

    def health_request(self, server: ServerRecord, path: str) -> Request:
        """Returns a request for a server's health and load.

        Args:
            server: The server.
            path: Path of the health check.
        """
        host, port = server.address
        headers = [(b'host', f'{host}:{port}'.encode())]
        return Request(b'GET', path.encode(), headers, b'')

    def decode_health(
        self, response: Response, server: ServerRecord
    ) -> Load | None:
        """Returns a server's load; None if another server responded.

        If the response reports no load, a load of zero is returned, marked
        as not reported, with the slots of the server's entry in the store.
        A warm-up time that can't be read counts as none.
        """
        name = response.header(SERVER_NAME)
        if name and name != server.name.encode():
            return None
        load = read_load(response.header(SERVER_LOAD))
        if load is None:
            load = Load(0, 0, server.slots, 1.0, reported=False)
        return replace(
            load,
            healthy=response.status == 200,
            warm_up_s=read_warm_up_s(response.header(WARM_UP)),
        )

    def is_from_server(self, response: Response) -> bool:
        """Returns whether a server sent a response to a health request.

        It has at least one of the headers that only servers send.
        """
        return any(response.header(name) for name in SERVER_HEADERS)

    def error_response(
        self, status: int, request_id: str, retry_after_s: float | None
    ) -> Response:
        """Returns a response that this host generates itself.

        Args:
            status: The HTTP status.
            request_id: The request's id, or empty.
            retry_after_s: Value for Retry-After in seconds; None for none.
        """
        headers: Headers = []
        if request_id:
            headers.append((REQUEST_ID, request_id.encode('latin-1')))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b'%.3f' % retry_after_s))
        return Response(status, headers, b'')


def read_warm_up_s(text: bytes) -> float:
    """Returns how long a server stays cold.

    Args:
        text: Value of the header, in milliseconds; empty if there is none.

    Returns:
        Seconds; 0 if the text is empty or is no such time.
    """
    if not text:
        return 0.0
    try:
        warm_up_ms = float(text)
    except ValueError:
        warm_up_ms = nan
    if not 0.0 <= warm_up_ms <= MAX_WARM_UP_MS:
        LOG.warning(
            'header not usable',
            extra={
                'field': WARM_UP.decode(),
                'reason': f'not a time in milliseconds: {text[:40]!r}',
            },
        )
        return 0.0
    return warm_up_ms / 1000


def read_retry_after(text: str, now_s: float) -> float:
    """Returns the seconds that a Retry-After asks for.

    Args:
        text: Seconds as a decimal number, or a date.
        now_s: The present Unix time in seconds.

    Returns:
        Seconds, which may be negative; NaN if the text is neither.
    """
    try:
        return float(text)
    except ValueError:
        pass
    try:
        return parsedate_to_datetime(text).timestamp() - now_s
    except (ValueError, OverflowError):
        return nan
