"""Reads and writes the headers of the platform's callers and servers."""

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
from cowslipmill.platform.headers import SERVER_LOAD
from cowslipmill.platform.headers import SERVER_NAME
from cowslipmill.platform.headers import SIGNATURE
from cowslipmill.platform.load import read_load
from cowslipmill.view.server import ServerRecord

BAD_REQUEST_STATUS = 400
# Callers take these as a promise that the request has not run.
NOT_EXECUTED_STATUSES = frozenset((408, MISDIRECTED_STATUS, 429, 503))
# Headers that concern this host and a server, not the caller.
HOST_ONLY_HEADERS = frozenset((SERVER_LOAD, SERVER_NAME))
REPLACED_HEADERS = frozenset((DEADLINE, EXPECTED_SERVER))


class PlatformHeaderCodec:
    """The platform's headers.

    Attributes:
        request_id_header: Header that an answer repeats from its request.
    """

    __slots__ = ()

    request_id_header = REQUEST_ID

    def parse_caller_headers(self, request: Request) -> CallerHeaders:
        """Returns what a caller states of its request."""
        patience_s = None
        text = request.header(DEADLINE)
        if text.isdigit():
            patience_s = int(text) / 1000
        name = request.header(REQUEST_ID).decode('latin-1')
        return CallerHeaders(name, patience_s)

    def server_request(
        self, request: Request, server: ServerRecord, remaining_s: float
    ) -> Request:
        """Returns the request as a server gets it."""
        headers: Headers = [
            (name, value)
            for name, value in end_to_end_headers(request.headers)
            if name not in REPLACED_HEADERS
        ]
        headers.append((DEADLINE, b'%d' % max(1, int(remaining_s * 1000))))
        headers.append((EXPECTED_SERVER, server.name.encode()))
        return Request(request.method, request.target, headers, request.body)

    def classify(self, answer: Response) -> ResponseClass:
        """Returns what an answer says about the request.

        Only an answer that bears the server's own mark is proof of what
        happened. A status that tells callers that the request has not run
        is handed on only with the server's word for it.
        """
        if answer.status == MISDIRECTED_STATUS:
            return ResponseClass.WRONG_SERVER
        if answer.header(NOT_EXECUTED):
            if answer.status == BAD_REQUEST_STATUS:
                return ResponseClass.NOT_ACCEPTED
            return ResponseClass.SHED
        if not answer.header(SIGNATURE) or answer.header(b'content-encoding'):
            return ResponseClass.UNVERIFIED
        if 200 <= answer.status < 300:
            return ResponseClass.SUCCESS
        if answer.status in NOT_EXECUTED_STATUSES:
            return ResponseClass.UNVERIFIED
        return ResponseClass.FAILURE

    def caller_response(self, answer: Response) -> Response:
        """Returns a server's answer as the caller gets it."""
        headers = [
            (name, value)
            for name, value in end_to_end_headers(answer.headers)
            if name not in HOST_ONLY_HEADERS
        ]
        return Response(answer.status, headers, answer.body)

    def health_request(self, server: ServerRecord, path: str) -> Request:
        """Returns the question for a server's health."""
        host, port = server.address
        headers = [(b'host', f'{host}:{port}'.encode())]
        return Request(b'GET', path.encode(), headers, b'')

    def decode_health(
        self, answer: Response, server: ServerRecord
    ) -> Load | None:
        """Returns a server's load; None if another server answered."""
        name = answer.header(SERVER_NAME)
        if name and name != server.name.encode():
            return None
        load = read_load(answer.header(SERVER_LOAD))
        if load is None:
            load = Load(0, 0, server.slots, 1.0, reported=False)
        return replace(load, healthy=answer.status == 200)

    def error_response(
        self, status: int, request_id: str, retry_after_s: float | None
    ) -> Response:
        """Returns an answer of this host's own."""
        headers: Headers = []
        if request_id:
            headers.append((REQUEST_ID, request_id.encode('latin-1')))
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b'%.3f' % retry_after_s))
        return Response(status, headers, b'')
