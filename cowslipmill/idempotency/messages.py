"""Messages between an entry and the home of a key or of a suspect."""

from msgspec import Struct

from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.outcome import Unknown

Headers = tuple[tuple[str, str], ...]


class ForwardRequest(Struct, frozen=True, tag='pass-on', kw_only=True):
    """A request that its home must run.

    `incarnation` is that of the home; another one must not run it. Without
    `key` the request is a suspect that only its home may try.
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
    """The whole answer of the server."""

    status: int
    headers: Headers
    body: bytes
    server: str


class ForwardedNotRun(Struct, frozen=True, tag='passed-not-run'):
    """Proof that no server ran the request."""

    reason: Reason
    retry_after_ms: int
    detail: str


class ForwardedUnknown(Struct, frozen=True, tag='passed-unknown'):
    """A server may have run the request."""

    reason: Reason
    retry_after_ms: int
    detail: str


class NotOwner(Struct, frozen=True, tag='not-home'):
    """This process is not the incarnation that was meant."""


RESEND_MESSAGES = (
    ForwardRequest,
    ForwardedAnswer,
    ForwardedNotRun,
    ForwardedUnknown,
    NotOwner,
)

ForwardedOutcome = ForwardedAnswer | ForwardedNotRun | ForwardedUnknown


def outcome_to_message(outcome: Outcome) -> ForwardedOutcome:
    """Returns the message that carries an outcome."""
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
    """Returns the outcome that a message carries."""
    match message:
        case ForwardedAnswer():
            return Answered(
                message.status, message.headers, message.body, message.server
            )
        case ForwardedNotRun(reason, retry_after_ms, detail):
            return NotRun(reason, retry_after_ms, detail)
        case ForwardedUnknown(reason, retry_after_ms, detail):
            return Unknown(reason, retry_after_ms, detail)
