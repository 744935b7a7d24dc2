"""Events of a request while it is in progress."""

from msgspec import Struct

from cowslipmill.choice.server import Server
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason


class Load(Struct, frozen=True):
    """Load that a server reported with a response.

    Attributes:
        in_flight: Requests in flight at the server.
        queued: Requests in its queue.
    """

    in_flight: int
    queued: int


class Signals(Struct, frozen=True):
    """Status that a server reported with a response.

    Attributes:
        load: Load of the server, or None if it reported none.
        leaving: Whether the server accepts no new requests any more.
    """

    load: Load | None = None
    leaving: bool = False


NO_SIGNALS = Signals()


class ServerChosen(Struct, frozen=True):
    """A server was chosen for the next attempt.

    Attributes:
        server: Server that was chosen.
        view_age_ms: Age of the view of live servers, in milliseconds.
    """

    server: Server
    view_age_ms: int = 0


class ServerConfirmed(Struct, frozen=True):
    """The server confirmed that it accepts new requests."""


class ServerUnconfirmed(Struct, frozen=True):
    """The server is leaving, or did not confirm that it accepts requests."""


class ServerRefused(Struct, frozen=True):
    """No server is available to the request.

    Attributes:
        refusal: Reason and retry delay.
    """

    refusal: NotRun


class Connected(Struct, frozen=True):
    """The connection is ready and no byte of the request was written."""


class ConnectFailed(Struct, frozen=True):
    """No connection was established, so no byte was sent."""


class Shed(Struct, frozen=True):
    """The server shed the request and proved that it did not start it.

    Attributes:
        retry_after_ms: Retry delay that the server asked for.
        signals: Status that the server reported with the response.
    """

    retry_after_ms: int
    signals: Signals = NO_SIGNALS


class AnswerRead(Struct, frozen=True):
    """The complete response was read.

    Attributes:
        status: Status code.
        headers: Names and values of the headers.
        body: The complete body.
        signals: Status that the server reported with the response.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    signals: Signals = NO_SIGNALS


class ExchangeBroken(Struct, frozen=True):
    """The exchange failed after bytes may have reached the server.

    Attributes:
        reason: Why it failed.
    """

    reason: Reason


class DeadlinePassed(Struct, frozen=True):
    """The caller's deadline passed."""


class CallerLeft(Struct, frozen=True):
    """The caller closed its connection."""


Event = (
    ServerChosen
    | ServerConfirmed
    | ServerUnconfirmed
    | ServerRefused
    | Connected
    | ConnectFailed
    | Shed
    | AnswerRead
    | ExchangeBroken
    | DeadlinePassed
    | CallerLeft
)
