"""The outcomes of a request.

Each request ends with exactly one outcome. `NotRun` requires proof: no byte
was sent to a server, or the server reported that it did not start the
request.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import ClassVar


class Reason(Enum):
    """Why a request got no complete response from a server."""

    NO_ROUTE = 'no-route'
    BAD_REQUEST = 'bad-request'
    REQUEST_TOO_LARGE = 'request-too-large'
    SLOW_CALLER = 'slow-caller'
    CALLER_LEFT = 'caller-left'
    NO_SERVER = 'no-server'
    NO_CONFIGURATION = 'no-configuration'
    OVERLOADED = 'overloaded'
    SHED = 'shed-by-server'
    CONNECT_FAILED = 'connect-failed'
    CONNECTION_LOST = 'connection-lost'
    DEADLINE = 'deadline'
    ANSWER_TOO_LARGE = 'answer-too-large'
    BAD_ANSWER = 'bad-answer'
    STOPPING = 'stopping'
    SUSPECT = 'suspect-request'
    KEY_MEMORY_FULL = 'key-memory-full'
    # The owner of the key is lost or doesn't reply, or the key has expired.
    KEY_HOME_GONE = 'key-home-gone'
    KEY_REUSED = 'key-reused'
    KEY_INVALID = 'key-invalid'
    # A lease was requested from an entry that doesn't coordinate the service's
    # servers, or the server didn't confirm that it accepts new requests.
    STALE_VIEW = 'stale-view'
    INTERNAL_ERROR = 'internal-error'


@dataclass(frozen=True, slots=True)
class Answered:
    """The server's complete response to the request.

    Attributes:
        label: Name of the outcome in headers, metrics and spans.
        status: The server's status code.
        headers: End-to-end headers in the order received.
        body: The whole body.
        server: Name of the backend server, or '' for a replayed response.
    """

    label: ClassVar[str] = 'answered'

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    server: str = ''


@dataclass(frozen=True, slots=True)
class NotRun:
    """No server ran the request.

    Attributes:
        label: Name of the outcome in headers, metrics and spans.
        reason: Why the request was not run.
        retry_after_ms: Retry delay in milliseconds.
        detail: One sentence for the caller.
    """

    label: ClassVar[str] = 'not-run'

    reason: Reason
    retry_after_ms: int
    detail: str = ''


@dataclass(frozen=True, slots=True)
class Unknown:
    """A server may have run the request, but there is no complete response.

    Attributes:
        label: Name of the outcome in headers, metrics and spans.
        reason: Why there is no complete response.
        retry_after_ms: Retry delay in milliseconds.
        detail: One sentence for the caller.
    """

    label: ClassVar[str] = 'unknown'

    reason: Reason
    retry_after_ms: int = field(default=1_000)
    detail: str = ''


Outcome = Answered | NotRun | Unknown
