"""Moves an exchange on: what follows from each event."""

from functools import singledispatch

from cowslipmill.attempts.action import Action
from cowslipmill.attempts.action import Confirm
from cowslipmill.attempts.action import Finish
from cowslipmill.attempts.action import Send
from cowslipmill.attempts.action import Write
from cowslipmill.attempts.event import AnswerRead
from cowslipmill.attempts.event import CallerLeft
from cowslipmill.attempts.event import Connected
from cowslipmill.attempts.event import ConnectFailed
from cowslipmill.attempts.event import DeadlinePassed
from cowslipmill.attempts.event import Event
from cowslipmill.attempts.event import ExchangeBroken
from cowslipmill.attempts.event import ServerChosen
from cowslipmill.attempts.event import ServerConfirmed
from cowslipmill.attempts.event import ServerRefused
from cowslipmill.attempts.event import ServerUnconfirmed
from cowslipmill.attempts.event import Shed
from cowslipmill.attempts.requeststate import Phase
from cowslipmill.attempts.requeststate import RequestState
from cowslipmill.attempts.requeststate import RETRY_AFTER_MS
from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import Reason

MAX_VIEW_AGE_MS = 5_000
FAILED_STATUSES = frozenset((500, 502, 503, 504))


def advance(event: Event, request_state: RequestState, now: float) -> Action:
    """Moves an exchange on.

    An event that comes after the outcome changes nothing.

    Args:
        event: What happened.
        request_state: The request, changed in place.
        now: Monotonic seconds.

    Returns:
        What the driver must do next.
    """
    if request_state.outcome is not None:
        return Finish(request_state.outcome)
    return apply(event, request_state, now)


@singledispatch
def apply(event: Event, request_state: RequestState, now: float) -> Action:
    """Applies an event to an exchange that has no outcome yet."""
    raise TypeError(f'not an event: {event!r}')


@apply.register
def begin(
    event: ServerChosen, request_state: RequestState, now: float
) -> Action:
    """Connects, after a question to the server if the view has expired."""
    if request_state.remaining_ms(now) <= 0:
        return request_state.give_up(Reason.DEADLINE, RETRY_AFTER_MS)
    request_state.start_attempt(event.server)
    stale = event.view_age_ms > MAX_VIEW_AGE_MS
    if stale and not request_state.route.idempotent:
        request_state.phase = Phase.CONFIRMING
        return Confirm(event.server)
    return connect(request_state, now)


def connect(request_state: RequestState, now: float) -> Action:
    """Has the driver connect to the server of the present try."""
    assert request_state.server is not None
    request_state.phase = Phase.CONNECTING
    return Send(request_state.server, request_state.remaining_ms(now))


@apply.register
def trust(
    event: ServerConfirmed, request_state: RequestState, now: float
) -> Action:
    """Connects to a server that takes new work."""
    if request_state.remaining_ms(now) <= 0:
        return request_state.give_up(Reason.DEADLINE, RETRY_AFTER_MS)
    return connect(request_state, now)


@apply.register
def distrust(
    event: ServerUnconfirmed, request_state: RequestState, now: float
) -> Action:
    """Tries elsewhere: no byte was sent."""
    request_state.end_attempt(ran=False)
    return request_state.retry_or_give_up(
        Reason.STALE_VIEW, RETRY_AFTER_MS, now
    )


@apply.register
def refuse(
    event: ServerRefused, request_state: RequestState, now: float
) -> Action:
    """Ends the request with the refusal, or what an earlier try left."""
    refusal = event.refusal
    if request_state.may_have_run or request_state.failed_answer is not None:
        return request_state.give_up(refusal.reason, refusal.retry_after_ms)
    return request_state.finish(refusal)


@apply.register
def write(event: Connected, request_state: RequestState, now: float) -> Action:
    """Permits the first byte unless the deadline passed meanwhile.

    A process that was paused wakes up here, so nothing may lie between this
    check and the write. A hedge of an idempotent request comes here while
    the first try is at its server.
    """
    hedged = (
        request_state.phase is Phase.SENT and request_state.route.idempotent
    )
    if request_state.phase is not Phase.CONNECTING and not hedged:
        return request_state.give_up(Reason.CONNECT_FAILED, RETRY_AFTER_MS)
    remaining_ms = request_state.remaining_ms(now)
    if remaining_ms <= 0:
        return request_state.give_up(Reason.DEADLINE, RETRY_AFTER_MS)
    request_state.phase = Phase.SENT
    return Write(remaining_ms)


@apply.register
def retry_unsent(
    event: ConnectFailed, request_state: RequestState, now: float
) -> Action:
    """Tries elsewhere, as no byte was sent in this try."""
    if request_state.phase is Phase.SENT:
        return break_off(
            ExchangeBroken(Reason.CONNECTION_LOST), request_state, now
        )
    request_state.end_attempt(ran=False)
    return request_state.retry_or_give_up(
        Reason.CONNECT_FAILED, RETRY_AFTER_MS, now
    )


@apply.register
def retry_shed(event: Shed, request_state: RequestState, now: float) -> Action:
    """Tries elsewhere: the server proved that it did not start."""
    request_state.end_attempt(ran=False)
    return request_state.retry_or_give_up(
        Reason.SHED, event.retry_after_ms, now
    )


@apply.register
def answer(
    event: AnswerRead, request_state: RequestState, now: float
) -> Action:
    """Ends the request with the server's whole answer.

    A failure of an idempotent request is tried elsewhere first.
    """
    assert request_state.server is not None
    outcome = Answered(
        event.status, event.headers, event.body, request_state.server.name
    )
    if (
        event.status not in FAILED_STATUSES
        or not request_state.route.idempotent
    ):
        return request_state.finish(outcome)
    request_state.failed_answer = outcome
    request_state.end_attempt(ran=True)
    return request_state.retry_or_give_up(
        Reason.BAD_ANSWER, RETRY_AFTER_MS, now
    )


@apply.register
def break_off(
    event: ExchangeBroken, request_state: RequestState, now: float
) -> Action:
    """Tries elsewhere only what is idempotent or was not yet sent."""
    if request_state.phase is not Phase.SENT:
        return retry_unsent(ConnectFailed(), request_state, now)
    if event.reason is Reason.CONNECTION_LOST:
        assert request_state.server is not None
        request_state.lost_servers.append(request_state.server)
    request_state.end_attempt(ran=True)
    if event.reason is Reason.ANSWER_TOO_LARGE:
        return request_state.give_up(event.reason, RETRY_AFTER_MS)
    return request_state.retry_or_give_up(event.reason, RETRY_AFTER_MS, now)


@apply.register
def miss_deadline(
    event: DeadlinePassed, request_state: RequestState, now: float
) -> Action:
    """Ends the request at its deadline."""
    return request_state.give_up(Reason.DEADLINE, RETRY_AFTER_MS)


@apply.register
def leave(
    event: CallerLeft, request_state: RequestState, now: float
) -> Action:
    """Ends the request; nobody is there to be told."""
    return request_state.give_up(Reason.CALLER_LEFT, RETRY_AFTER_MS)
