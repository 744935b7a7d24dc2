"""Transitions of the request state machine, one handler per event."""

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
    """Applies an event to a request and returns the next action.

    An event after the outcome changes nothing.

    Args:
        event: What happened.
        request_state: State of the request, changed in place.
        now: Current monotonic time in seconds.

    Returns:
        Action that the driver carries out next.
    """
    if request_state.outcome is not None:
        return Finish(request_state.outcome)
    return apply(event, request_state, now)


@singledispatch
def apply(event: Event, request_state: RequestState, now: float) -> Action:
    """Applies an event to a request that has no outcome yet.

    Raises:
        TypeError: No handler is registered for the type of the event.
    """
    raise TypeError(f'unsupported event: {event!r}')


@apply.register
def on_server_chosen(
    event: ServerChosen, request_state: RequestState, now: float
) -> Action:
    """Connects to the chosen server, or asks it first if the view is stale.

    Only a request that is not idempotent has its server asked first.
    """
    if request_state.remaining_ms(now) <= 0:
        return request_state.give_up(Reason.DEADLINE, RETRY_AFTER_MS)
    request_state.start_attempt(event.server)
    stale = event.view_age_ms > MAX_VIEW_AGE_MS
    if stale and not request_state.route.idempotent:
        request_state.phase = Phase.CONFIRMING
        return Confirm(event.server)
    return connect(request_state, now)


def connect(request_state: RequestState, now: float) -> Action:
    """Returns the action that connects to the server of this attempt."""
    assert request_state.server is not None
    request_state.phase = Phase.CONNECTING
    return Send(request_state.server, request_state.remaining_ms(now))


@apply.register
def on_server_confirmed(
    event: ServerConfirmed, request_state: RequestState, now: float
) -> Action:
    """Connects to a server that accepts new requests."""
    if request_state.remaining_ms(now) <= 0:
        return request_state.give_up(Reason.DEADLINE, RETRY_AFTER_MS)
    return connect(request_state, now)


@apply.register
def on_server_unconfirmed(
    event: ServerUnconfirmed, request_state: RequestState, now: float
) -> Action:
    """Retries on another server: no byte was sent."""
    request_state.end_attempt(ran=False)
    return request_state.retry_or_give_up(
        Reason.STALE_VIEW, RETRY_AFTER_MS, now
    )


@apply.register
def on_server_refused(
    event: ServerRefused, request_state: RequestState, now: float
) -> Action:
    """Ends the request with the refusal or an earlier attempt's result."""
    refusal = event.refusal
    if request_state.may_have_run or request_state.failed_answer is not None:
        return request_state.give_up(refusal.reason, refusal.retry_after_ms)
    return request_state.finish(refusal)


@apply.register
def on_connected(
    event: Connected, request_state: RequestState, now: float
) -> Action:
    """Permits the first byte unless the deadline has passed.

    A paused process may resume here after the deadline, so no other step may
    come between this check and the write. A hedge of an idempotent request
    connects while its first attempt is in progress.
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
def on_connect_failed(
    event: ConnectFailed, request_state: RequestState, now: float
) -> Action:
    """Retries on another server: no byte of this attempt was sent."""
    if request_state.phase is Phase.SENT:
        return on_exchange_broken(
            ExchangeBroken(Reason.CONNECTION_LOST), request_state, now
        )
    request_state.end_attempt(ran=False)
    return request_state.retry_or_give_up(
        Reason.CONNECT_FAILED, RETRY_AFTER_MS, now
    )


@apply.register
def on_shed(event: Shed, request_state: RequestState, now: float) -> Action:
    """Retries on another server: this one proved that it did not start."""
    request_state.end_attempt(ran=False)
    return request_state.retry_or_give_up(
        Reason.SHED, event.retry_after_ms, now
    )


@apply.register
def on_answer_read(
    event: AnswerRead, request_state: RequestState, now: float
) -> Action:
    """Ends the request with the complete response of the server.

    A failed response to an idempotent request is retried first.
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
def on_exchange_broken(
    event: ExchangeBroken, request_state: RequestState, now: float
) -> Action:
    """Retries the request if it is idempotent or was not sent yet."""
    if request_state.phase is not Phase.SENT:
        return on_connect_failed(ConnectFailed(), request_state, now)
    if event.reason is Reason.CONNECTION_LOST:
        assert request_state.server is not None
        request_state.lost_servers.append(request_state.server)
    request_state.end_attempt(ran=True)
    if event.reason is Reason.ANSWER_TOO_LARGE:
        return request_state.give_up(event.reason, RETRY_AFTER_MS)
    return request_state.retry_or_give_up(event.reason, RETRY_AFTER_MS, now)


@apply.register
def on_deadline_passed(
    event: DeadlinePassed, request_state: RequestState, now: float
) -> Action:
    """Ends the request at its deadline."""
    return request_state.give_up(Reason.DEADLINE, RETRY_AFTER_MS)


@apply.register
def on_caller_left(
    event: CallerLeft, request_state: RequestState, now: float
) -> Action:
    """Ends the request after its caller disconnected."""
    return request_state.give_up(Reason.CALLER_LEFT, RETRY_AFTER_MS)
