"""What callers and servers say in headers, as typed values."""

from enum import Enum
from typing import Protocol

from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.leasing.load import Load
from cowslipmill.view.server import ServerRecord


class ResponseClass(Enum):
    """What an answer of a server says about the request."""

    SUCCESS = 'success'
    FAILURE = 'failure'
    SHED = 'shed'
    WRONG_SERVER = 'wrong-server'
    NOT_ACCEPTED = 'not-accepted'
    UNVERIFIED = 'unproven'


class CallerHeaders:
    """What a caller states of its request.

    Attributes:
        request_id: The request's id, or nothing.
        timeout_s: How long the caller waits; None if it doesn't say.
    """

    __slots__ = ('timeout_s', 'request_id')

    def __init__(self, request_id: str, timeout_s: float | None) -> None:
        """Keeps the parts."""
        self.request_id = request_id
        self.timeout_s = timeout_s


class HeaderCodec(Protocol):
    """Reads and writes the headers of callers and servers."""

    request_id_header: bytes

    def parse_caller_headers(self, request: Request) -> CallerHeaders:
        """Returns what a caller states of its request."""

    def server_request(
        self, request: Request, server: ServerRecord, remaining_s: float
    ) -> Request:
        """Returns the request as a server gets it."""

    def classify(self, answer: Response) -> ResponseClass:
        """Returns what an answer says about the request."""

    def caller_response(self, answer: Response) -> Response:
        """Returns a server's answer as the caller gets it."""

    def health_request(self, server: ServerRecord, path: str) -> Request:
        """Returns the question for a server's health."""

    def decode_health(
        self, answer: Response, server: ServerRecord
    ) -> Load | None:
        """Returns a server's load; None if another server answered."""

    def error_response(
        self, status: int, request_id: str, retry_after_s: float | None
    ) -> Response:
        """Returns an answer of this host's own."""
