"""Moves an exchange on: what follows from each event."""

from functools import singledispatch

from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.tries.action import Action
from cowslipmill.tries.action import Confirm
from cowslipmill.tries.action import Finish
from cowslipmill.tries.action import Send
from cowslipmill.tries.action import Write
from cowslipmill.tries.event import AnswerRead
from cowslipmill.tries.event import CallerLeft
from cowslipmill.tries.event import Connected
from cowslipmill.tries.event import ConnectFailed
from cowslipmill.tries.event import DeadlinePassed
from cowslipmill.tries.event import Event
from cowslipmill.tries.event import ExchangeBroken
from cowslipmill.tries.event import ServerChosen
from cowslipmill.tries.event import ServerConfirmed
from cowslipmill.tries.event import ServerRefused
from cowslipmill.tries.event import ServerUnconfirmed
from cowslipmill.tries.event import Shed
from cowslipmill.tries.exchange import Exchange
from cowslipmill.tries.exchange import Phase
from cowslipmill.tries.exchange import RETRY_AFTER_MS

MAX_VIEW_AGE_MS = 5_000
FAILED_STATUSES = frozenset((500, 502, 503, 504))


def advance(event: Event, exchange: Exchange, now: float) -> Action:
    """Moves an exchange on.

    An event that comes after the outcome changes nothing.

    Args:
        event: What happened.
        exchange: The request, changed in place.
        now: Monotonic seconds.

    Returns:
        What the driver must do next.
    """
    if exchange.outcome is not None:
        return Finish(exchange.outcome)
    return apply(event, exchange, now)


@singledispatch
def apply(event: Event, exchange: Exchange, now: float) -> Action:
    """Applies an event to an exchange that has no outcome yet."""
    raise TypeError(f'not an event: {event!r}')


@apply.register
def begin(event: ServerChosen, exchange: Exchange, now: float) -> Action:
    """Connects, after a question to the server if the view has expired."""
    if exchange.remaining_ms(now) <= 0:
        return exchange.give_up(Reason.DEADLINE, RETRY_AFTER_MS)
    exchange.begin_try(event.server)
    stale = event.view_age_ms > MAX_VIEW_AGE_MS
    if stale and not exchange.route.idempotent:
        exchange.phase = Phase.CONFIRMING
        return Confirm(event.server)
    return connect(exchange, now)


def connect(exchange: Exchange, now: float) -> Action:
    """Has the driver connect to the server of the present try."""
    assert exchange.server is not None
    exchange.phase = Phase.CONNECTING
    return Send(exchange.server, exchange.remaining_ms(now))


@apply.register
def trust(event: ServerConfirmed, exchange: Exchange, now: float) -> Action:
    """Connects to a server that takes new work."""
    if exchange.remaining_ms(now) <= 0:
        return exchange.give_up(Reason.DEADLINE, RETRY_AFTER_MS)
    return connect(exchange, now)


@apply.register
def distrust(
    event: ServerUnconfirmed, exchange: Exchange, now: float
) -> Action:
    """Tries elsewhere: no byte was sent."""
    exchange.end_try(ran=False)
    return exchange.retry_or_give_up(Reason.STALE_VIEW, RETRY_AFTER_MS, now)


@apply.register
def refuse(event: ServerRefused, exchange: Exchange, now: float) -> Action:
    """Ends the request with the refusal, or what an earlier try left."""
    refusal = event.refusal
    if exchange.may_have_run or exchange.failure is not None:
        return exchange.give_up(refusal.reason, refusal.retry_after_ms)
    return exchange.finish(refusal)


@apply.register
def write(event: Connected, exchange: Exchange, now: float) -> Action:
    """Permits the first byte unless the deadline passed meanwhile.

    A process that was paused wakes up here, so nothing may lie between this
    check and the write. A hedge of an idempotent request comes here while
    the first try is at its server.
    """
    hedged = exchange.phase is Phase.SENT and exchange.route.idempotent
    if exchange.phase is not Phase.CONNECTING and not hedged:
        return exchange.give_up(Reason.CONNECT_FAILED, RETRY_AFTER_MS)
    remaining_ms = exchange.remaining_ms(now)
    if remaining_ms <= 0:
        return exchange.give_up(Reason.DEADLINE, RETRY_AFTER_MS)
    exchange.phase = Phase.SENT
    return Write(remaining_ms)


@apply.register
def retry_unsent(
    event: ConnectFailed, exchange: Exchange, now: float
) -> Action:
    """Tries elsewhere, as no byte was sent in this try."""
    if exchange.phase is Phase.SENT:
        return break_off(ExchangeBroken(Reason.CONNECTION_LOST), exchange, now)
    exchange.end_try(ran=False)
    return exchange.retry_or_give_up(
        Reason.CONNECT_FAILED, RETRY_AFTER_MS, now
    )


@apply.register
def retry_shed(event: Shed, exchange: Exchange, now: float) -> Action:
    """Tries elsewhere: the server proved that it did not start."""
    exchange.end_try(ran=False)
    return exchange.retry_or_give_up(Reason.SHED, event.retry_after_ms, now)


@apply.register
def answer(event: AnswerRead, exchange: Exchange, now: float) -> Action:
    """Ends the request with the server's whole answer.

    A failure of an idempotent request is tried elsewhere first.
    """
    assert exchange.server is not None
    outcome = Answered(
        event.status, event.headers, event.body, exchange.server.name
    )
    if event.status not in FAILED_STATUSES or not exchange.route.idempotent:
        return exchange.finish(outcome)
    exchange.failure = outcome
    exchange.end_try(ran=True)
    return exchange.retry_or_give_up(Reason.BAD_ANSWER, RETRY_AFTER_MS, now)


@apply.register
def break_off(event: ExchangeBroken, exchange: Exchange, now: float) -> Action:
    """Tries elsewhere only what is idempotent or was not yet sent."""
    if exchange.phase is not Phase.SENT:
        return retry_unsent(ConnectFailed(), exchange, now)
    if event.reason is Reason.CONNECTION_LOST:
        assert exchange.server is not None
        exchange.broken.append(exchange.server)
    exchange.end_try(ran=True)
    if event.reason is Reason.ANSWER_TOO_LARGE:
        return exchange.give_up(event.reason, RETRY_AFTER_MS)
    return exchange.retry_or_give_up(event.reason, RETRY_AFTER_MS, now)


@apply.register
def miss_deadline(
    event: DeadlinePassed, exchange: Exchange, now: float
) -> Action:
    """Ends the request at its deadline."""
    return exchange.give_up(Reason.DEADLINE, RETRY_AFTER_MS)


@apply.register
def leave(event: CallerLeft, exchange: Exchange, now: float) -> Action:
    """Ends the request; nobody is there to be told."""
    return exchange.give_up(Reason.CALLER_LEFT, RETRY_AFTER_MS)
