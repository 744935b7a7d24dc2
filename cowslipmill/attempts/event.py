"""What may happen to a request while it is served."""

from msgspec import Struct

from cowslipmill.choice.server import Server
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason


class Load(Struct, frozen=True):
    """The load that a server reported along with an answer."""

    in_flight: int
    queued: int


class Signals(Struct, frozen=True):
    """What a server said about itself along with an answer.

    Attributes:
        load: Its load, or None if it reported none.
        leaving: Whether it takes no new work any more.
    """

    load: Load | None = None
    leaving: bool = False


NO_SIGNALS = Signals()


class ServerChosen(Struct, frozen=True):
    """A server with room was found.

    Attributes:
        server: The server.
        view_age_ms: Age of the view that holds it to be live.
    """

    server: Server
    view_age_ms: int = 0


class ServerConfirmed(Struct, frozen=True):
    """The server said that it takes new work."""


class ServerUnconfirmed(Struct, frozen=True):
    """The server is leaving, or did not say whether it takes new work."""


class ServerRefused(Struct, frozen=True):
    """No server may get the request now."""

    refusal: NotRun


class Connected(Struct, frozen=True):
    """A connection is ready and no byte of the request was written."""


class ConnectFailed(Struct, frozen=True):
    """No connection came about, so no byte was sent."""


class Shed(Struct, frozen=True):
    """The server said in the agreed form that it did not start."""

    retry_after_ms: int
    signals: Signals = NO_SIGNALS


class AnswerRead(Struct, frozen=True):
    """The whole answer was read."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    signals: Signals = NO_SIGNALS


class ExchangeBroken(Struct, frozen=True):
    """The exchange ended after bytes may have reached the server."""

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
