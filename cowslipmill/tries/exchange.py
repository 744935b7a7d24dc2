"""The state of one request and the function that moves it on.

The functions here neither wait nor read a clock: a driver passes in what
happened, with the present time, and carries out the action returned.
"""

from functools import singledispatch

from cowslipmill.document.document import Route
from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.outcome import Unknown
from cowslipmill.tries.action import Action
from cowslipmill.tries.action import Choose
from cowslipmill.tries.action import Finish
from cowslipmill.tries.action import Send
from cowslipmill.tries.budget import RetryBudget
from cowslipmill.tries.event import AnswerRead
from cowslipmill.tries.event import CallerLeft
from cowslipmill.tries.event import ConnectFailed
from cowslipmill.tries.event import DeadlinePassed
from cowslipmill.tries.event import Event
from cowslipmill.tries.event import ExchangeBroken
from cowslipmill.tries.event import ServerChosen
from cowslipmill.tries.event import ServerRefused
from cowslipmill.tries.event import Shed

MAX_TRIES = 3
RETRY_AFTER_MS = 1_000


class Exchange:
    """One request from its arrival to its outcome.

    Attributes:
        route: The route that was matched.
        budget: Retry budget of the route's service.
        deadline_at: When the caller stops waiting, monotonic seconds.
        tried: Servers that were given the request, in order.
        may_have_run: Whether a byte may have reached a server that did not
            prove that it left the request alone.
    """

    __slots__ = ('budget', 'deadline_at', 'may_have_run', 'route', 'tried')

    def __init__(
        self, route: Route, budget: RetryBudget, deadline_at: float
    ) -> None:
        """Starts before the first try."""
        self.route = route
        self.budget = budget
        self.deadline_at = deadline_at
        self.tried: list[str] = []
        self.may_have_run = False

    def start(self) -> Action:
        """Returns the first action."""
        self.budget.earn()
        return Choose(())

    def remaining_ms(self, now: float) -> int:
        """Returns the whole milliseconds until the deadline."""
        return max(0, int((self.deadline_at - now) * 1000))

    def give_up(self, reason: Reason, retry_after_ms: int) -> Finish:
        """Returns the honest outcome of a request that got no answer."""
        outcome: Outcome = NotRun(reason, retry_after_ms)
        if self.may_have_run:
            outcome = Unknown(reason, retry_after_ms)
        return Finish(outcome)

    def retry_or_give_up(
        self, reason: Reason, retry_after_ms: int, now: float
    ) -> Action:
        """Returns another try if one is allowed, else the outcome."""
        allowed = (
            len(self.tried) < MAX_TRIES
            and self.remaining_ms(now) > 0
            and (self.route.idempotent or not self.may_have_run)
            and self.budget.spend()
        )
        if allowed:
            return Choose(tuple(self.tried))
        return self.give_up(reason, retry_after_ms)


@singledispatch
def advance(event: Event, exchange: Exchange, now: float) -> Action:
    """Moves an exchange on.

    Args:
        event: What happened.
        exchange: The request, changed in place.
        now: Monotonic seconds.

    Returns:
        What the driver must do next.
    """
    raise TypeError(f'not an event: {event!r}')


@advance.register
def send_to_server(
    event: ServerChosen, exchange: Exchange, now: float
) -> Action:
    """Sends unless the deadline passed while the request waited."""
    remaining_ms = exchange.remaining_ms(now)
    if remaining_ms <= 0:
        return exchange.give_up(Reason.DEADLINE, RETRY_AFTER_MS)
    exchange.tried.append(event.server.name)
    return Send(event.server, remaining_ms)


@advance.register
def refuse(event: ServerRefused, exchange: Exchange, now: float) -> Action:
    """Ends the request with the refusal, or what an earlier try left."""
    refusal = event.refusal
    return exchange.give_up(refusal.reason, refusal.retry_after_ms)


@advance.register
def retry_unsent(
    event: ConnectFailed, exchange: Exchange, now: float
) -> Action:
    """Tries elsewhere: no byte was sent."""
    return exchange.retry_or_give_up(
        Reason.CONNECT_FAILED, RETRY_AFTER_MS, now
    )


@advance.register
def retry_shed(event: Shed, exchange: Exchange, now: float) -> Action:
    """Tries elsewhere: the server proved that it did not start."""
    return exchange.retry_or_give_up(Reason.SHED, event.retry_after_ms, now)


@advance.register
def answer(event: AnswerRead, exchange: Exchange, now: float) -> Action:
    """Ends the request with the server's whole answer."""
    server = exchange.tried[-1]
    outcome = Answered(event.status, event.headers, event.body, server)
    return Finish(outcome)


@advance.register
def retry_broken(
    event: ExchangeBroken, exchange: Exchange, now: float
) -> Action:
    """Tries elsewhere only if the request is idempotent."""
    exchange.may_have_run = True
    return exchange.retry_or_give_up(event.reason, RETRY_AFTER_MS, now)


@advance.register
def miss_deadline(
    event: DeadlinePassed, exchange: Exchange, now: float
) -> Action:
    """Ends the request at its deadline."""
    if exchange.tried:
        exchange.may_have_run = True
    return exchange.give_up(Reason.DEADLINE, RETRY_AFTER_MS)


@advance.register
def leave(event: CallerLeft, exchange: Exchange, now: float) -> Action:
    """Ends the request; nobody is there to be told."""
    if exchange.tried:
        exchange.may_have_run = True
    return exchange.give_up(Reason.CALLER_LEFT, RETRY_AFTER_MS)
