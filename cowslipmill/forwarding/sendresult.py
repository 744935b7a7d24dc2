"""How one attempt to send a request to a server ended."""

from dataclasses import dataclass

from cowslipmill.forwarding.headercodec import ResponseClass
from cowslipmill.http1.message import Response


# The names of the three result classes are written into logs.
@dataclass(frozen=True, slots=True)
class NotSent:
    """The server could not be reached; nothing was sent to it.

    Attributes:
        server: The server's name.
        reason: Why, as written into the log.
        confirmed: Whether this shows that the server is down, and not only
            that this host has no path to it.
        paused: Whether the server wants nothing from this host for a time.
        evacuated: Whether its failure domain is evacuated.
    """

    server: str
    reason: str
    confirmed: bool = False
    paused: bool = False
    evacuated: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent and no complete response arrived.

    Attributes:
        server: The server's name.
        reason: Why, as written into the log.
        reset: Whether the connection broke.
        idle: Whether the server had dropped the connection while it was
            idle, before the request.
        path_lost: Whether the path to the server was lost meanwhile, so that
            the server may not have failed.
    """

    server: str
    reason: str
    reset: bool
    idle: bool = False
    path_lost: bool = False


@dataclass(frozen=True, slots=True)
class Sent:
    """The request was sent and the server responded.

    Attributes:
        server: The server's name.
        response_class: What the response implies for the request.
        response: The response.
    """

    server: str
    response_class: ResponseClass
    response: Response

    @property
    def reason(self) -> str:
        """The class of the response, as written into the log."""
        return self.response_class.value


SendResult = NotSent | Lost | Sent
