"""Interface to the HTTP headers that callers and servers exchange."""

from enum import Enum
from typing import Protocol

from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.leasing.load import Load
from cowslipmill.view.server import ServerRecord


class ResponseClass(Enum):
    """What a server's response implies for the request.

    Attributes:
        SUCCESS: The server executed the request.
        FAILURE: The server handled the request and responded with a status
            other than 2xx.
        SHED: The server did not execute the request; another one may.
        WRONG_SERVER: The request reached another server than intended,
            which did not execute it.
        NOT_ACCEPTED: The server rejected the request as invalid and did not
            execute it.
        UNVERIFIED: Nothing shows that the server itself responded, so the
            request may have been executed.
    """

    SUCCESS = 'success'
    FAILURE = 'failure'
    SHED = 'shed'
    WRONG_SERVER = 'wrong-server'
    NOT_ACCEPTED = 'not-accepted'
    UNVERIFIED = 'unproven'


class CallerHeaders:
    """Values that a caller sent in the headers of a request.

    Attributes:
        request_id: The request's id, empty if the caller sent none.
        timeout_s: How long the caller still waits for the response, in
            seconds; None if the caller sent no timeout.
    """

    __slots__ = ('request_id', 'timeout_s')

    def __init__(self, request_id: str, timeout_s: float | None) -> None:
        """Stores the values."""
        self.request_id = request_id
        self.timeout_s = timeout_s


class HeaderCodec(Protocol):
    """Reads and writes the headers of callers and servers.

    Attributes:
        request_id_header: Name of the header with the request's id, which a
            server repeats in its response.
    """

    request_id_header: bytes

    def parse_caller_headers(self, request: Request) -> CallerHeaders:
        """Returns the values that a caller sent with its request."""

    def server_request(
        self, request: Request, server: ServerRecord, remaining_s: float
    ) -> Request:
        """Returns the request to send to a server.

        Args:
            request: The caller's request.
            server: The server that is to execute it.
            remaining_s: Time left for the response, in seconds.
        """

    def classify(self, response: Response) -> ResponseClass:
        """Returns what a server's response implies for the request."""

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

    def announces_leaving(self, response: Response) -> bool:
        """Returns whether a server says that it wants no new requests."""

    def pause_s(self, response: Response, now_s: float) -> float | None:
        """Returns how long a server wants nothing from this host.

        Args:
            response: A response of the server.
            now_s: The present Unix time in seconds.

        Returns:
            Seconds, more than 0; None if the response names no such time.
        """

    def caller_response(self, response: Response) -> Response:
        """Returns the response to send to the caller for a server's one."""

    def health_request(self, server: ServerRecord, path: str) -> Request:
        """Returns a request for a server's health and load."""

    def decode_health(
        self, response: Response, server: ServerRecord
    ) -> Load | None:
        """Returns a server's load; None if another server responded."""

    def is_from_server(self, response: Response) -> bool:
        """Returns whether a server sent a response to a health request.

        Something that accepts connections in its place may send one, too.
        """

    def error_response(
        self, status: int, request_id: str, retry_after_s: float | None
    ) -> Response:
        """Returns a response that this host generates itself.

        Args:
            status: The HTTP status.
            request_id: The request's id, or empty.
            retry_after_s: Value for Retry-After in seconds; None for none.
        """
