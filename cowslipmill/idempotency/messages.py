"""Messages between an entry and the owner of a key or suspect request."""

from msgspec import Struct

from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.outcome import Unknown

Headers = tuple[tuple[str, str], ...]


class ForwardRequest(Struct, frozen=True, tag='pass-on', kw_only=True):
    """Forwards a request to its owner.

    Attributes:
        key: The idempotency key, or '' for a suspect request, which only its
            owner may run.
        incarnation: Incarnation of the owner; another one must not run the
            request.
        route: Name of the request's route.
        method: HTTP method.
        target: Raw path and query.
        headers: Pairs of name and value.
        body: The whole body.
        deadline_ms: Time left in milliseconds.
    """

    key: str
    incarnation: int
    route: str
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline_ms: int


class ForwardedAnswer(Struct, frozen=True, tag='passed-answer', kw_only=True):
    """The server's complete response.

    Attributes:
        status: Status code.
        headers: Pairs of name and value.
        body: The whole body.
        server: Name of the backend server, or '' for a replayed response.
    """

    status: int
    headers: Headers
    body: bytes
    server: str


class ForwardedNotRun(Struct, frozen=True, tag='passed-not-run'):
    """No server ran the request.

    Attributes:
        reason: Why it was not run.
        retry_after_ms: Retry delay in milliseconds.
        detail: One sentence for the caller.
    """

    reason: Reason
    retry_after_ms: int
    detail: str


class ForwardedUnknown(Struct, frozen=True, tag='passed-unknown'):
    """A server may have run the request.

    Attributes:
        reason: Why there is no response.
        retry_after_ms: Retry delay in milliseconds.
        detail: One sentence for the caller.
    """

    reason: Reason
    retry_after_ms: int
    detail: str


class NotOwner(Struct, frozen=True, tag='not-home'):
    """The receiver isn't the intended owner and did not run the request."""


OWNER_MESSAGES = (
    ForwardRequest,
    ForwardedAnswer,
    ForwardedNotRun,
    ForwardedUnknown,
    NotOwner,
)

ForwardedOutcome = ForwardedAnswer | ForwardedNotRun | ForwardedUnknown


def outcome_to_message(outcome: Outcome) -> ForwardedOutcome:
    """Converts an outcome to the message that carries it."""
    match outcome:
        case Answered(status, headers, body, server):
            return ForwardedAnswer(
                status=status,
                headers=tuple((str(k), str(v)) for k, v in headers),
                body=body,
                server=server,
            )
        case NotRun(reason, retry_after_ms, detail):
            return ForwardedNotRun(reason, retry_after_ms, detail)
        case Unknown(reason, retry_after_ms, detail):
            return ForwardedUnknown(reason, retry_after_ms, detail)


def message_to_outcome(message: ForwardedOutcome) -> Outcome:
    """Converts a message to the outcome that it carries."""
    match message:
        case ForwardedAnswer():
            return Answered(
                message.status, message.headers, message.body, message.server
            )
        case ForwardedNotRun(reason, retry_after_ms, detail):
            return NotRun(reason, retry_after_ms, detail)
        case ForwardedUnknown(reason, retry_after_ms, detail):
            return Unknown(reason, retry_after_ms, detail)
