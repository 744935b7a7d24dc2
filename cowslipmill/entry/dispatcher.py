"""Drives a request through its exchange."""

from asyncio import CancelledError
from asyncio import timeout_at
from collections.abc import Callable

from opentelemetry.trace import SpanKind

from cowslipmill.choice.chooser import Choice
from cowslipmill.choice.chooser import Chooser
from cowslipmill.choice.chooser import Demand
from cowslipmill.choice.server import Server
from cowslipmill.document.document import Route
from cowslipmill.entry.firstbyte import FirstByteRefused
from cowslipmill.entry.hedging import Hedging
from cowslipmill.entry.results import report_of
from cowslipmill.entry.rules import Rules
from cowslipmill.entry.upstream import OutgoingRequest
from cowslipmill.entry.upstream import Upstream
from cowslipmill.homes.lease import Report
from cowslipmill.homes.lease import Result
from cowslipmill.hosts.fact import Fact
from cowslipmill.outcomes.headers import CALLER_HEADER
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.telemetry.traces import Traces
from cowslipmill.tries.action import Action
from cowslipmill.tries.action import Choose
from cowslipmill.tries.action import Confirm
from cowslipmill.tries.action import Finish
from cowslipmill.tries.action import Send
from cowslipmill.tries.action import Write
from cowslipmill.tries.advance import advance
from cowslipmill.tries.budget import RetryBudget
from cowslipmill.tries.event import Connected
from cowslipmill.tries.event import DeadlinePassed
from cowslipmill.tries.event import Event
from cowslipmill.tries.event import ExchangeBroken
from cowslipmill.tries.event import ServerChosen
from cowslipmill.tries.event import ServerRefused
from cowslipmill.tries.exchange import Exchange

MAX_CALLER_CHARS = 64

OnLost = Callable[[Route, OutgoingRequest, Server], None]


class Flight:
    """One request on its way.

    Attributes:
        exchange: Its state.
        request: What is sent.
        choice: The server of the present try, until it is used.
    """

    __slots__ = ('choice', 'exchange', 'request')

    def __init__(self, exchange: Exchange, request: OutgoingRequest) -> None:
        """Starts without a server."""
        self.exchange = exchange
        self.request = request
        self.choice: Choice | None = None

    def demand(self, excluded: tuple[str, ...]) -> Demand:
        """Returns what the next try asks of the chooser."""
        return Demand(
            route=self.exchange.route,
            caller=name_caller(self.request),
            deadline_at=self.exchange.deadline_at,
            excluded=excluded,
        )

    def take_choice(self) -> Choice:
        """Returns the chosen server for use."""
        choice, self.choice = self.choice, None
        assert choice is not None
        return choice

    def give_back_unused(self) -> None:
        """Gives back a server that was chosen and not used."""
        if self.choice is not None:
            self.take_choice().release(Report(Result.UNUSED))


class Dispatcher:
    """Carries out the actions of exchanges.

    Attributes:
        rules: What is in force.
        upstream: Connections to the backend servers.
        chooser: Finds servers.
        hedging: Second tries of slow idempotent requests.
        clock: Returns monotonic seconds.
        observe: Called with a server and what came of a try.
        on_lost: Called with each server that was lost with its request.
        traces: Makes a span of each choice and each try.
    """

    __slots__ = (
        'chooser',
        'clock',
        'hedging',
        'observe',
        'on_lost',
        'rules',
        'traces',
        'upstream',
    )

    def __init__(
        self,
        rules: Rules,
        upstream: Upstream,
        chooser: Chooser,
        clock: Callable[[], float],
        *,
        traces: Traces | None = None,
    ) -> None:
        """Keeps the parts."""
        self.traces = traces or Traces()
        self.rules = rules
        self.upstream = upstream
        self.chooser = chooser
        self.clock = clock
        self.hedging = Hedging(clock)
        self.observe: Callable[[Fact, Event], None] = ignore
        self.on_lost: OnLost | None = None

    async def dispatch(
        self, route: Route, request: OutgoingRequest, deadline_at: float
    ) -> Outcome:
        """Serves one request and returns its outcome.

        Args:
            route: Its route.
            request: What to send.
            deadline_at: Monotonic seconds.
        """
        self.rules.refresh_if_stale(route.service)
        budget = self.rules.budgets.get(route.service) or RetryBudget(0.0)
        exchange = Exchange(route, budget, deadline_at)
        flight = Flight(exchange, request)
        action = exchange.start()
        try:
            async with timeout_at(deadline_at):
                while not isinstance(action, Finish):
                    event = await self.carry_out(action, flight)
                    action = advance(event, exchange, self.clock())
        except TimeoutError:
            last = advance(DeadlinePassed(), exchange, self.clock())
            assert isinstance(last, Finish)
            action = last
        finally:
            flight.give_back_unused()
        return action.outcome

    async def carry_out(self, action: Action, flight: Flight) -> Event:
        """Does what the exchange asks for and returns what happened."""
        if isinstance(action, Choose):
            return await self.choose(action, flight)
        if isinstance(action, Confirm):
            return await self.upstream.confirm(action.server.fact)
        assert isinstance(action, Send)
        return await self.send(action, flight)

    async def choose(self, action: Choose, flight: Flight) -> Event:
        """Returns a server, or why there is none."""
        flight.give_back_unused()
        demand = flight.demand(action.excluded)
        with self.traces.span('choose', SpanKind.CLIENT):
            choice = await self.chooser.acquire(demand)
        if isinstance(choice, NotRun):
            return ServerRefused(choice)
        flight.choice = choice
        age_ms = self.rules.view_age_ms(self.clock())
        return ServerChosen(choice.server, age_ms)

    async def send(self, action: Send, flight: Flight) -> Event:
        """Sends the request, and again elsewhere if it takes long."""
        route = flight.exchange.route
        service = self.rules.services.get(route.service)
        hedge_share = service.hedge_share if service else 0.0
        self.hedging.earn(route, hedge_share)
        delay_s = self.hedging.delay_s(route, hedge_share)
        first = self.send_once(flight.take_choice(), action, flight)
        if delay_s is None:
            return await first
        return await self.hedging.race(
            route, first, delay_s, lambda: self.hedge(action, flight)
        )

    async def hedge(self, action: Send, flight: Flight) -> Event | None:
        """Sends the request a second time if a slot is free elsewhere."""
        tried = tuple(flight.exchange.tried)
        demand = Demand(
            route=flight.exchange.route,
            caller=name_caller(flight.request),
            deadline_at=flight.exchange.deadline_at,
            excluded=tried,
            may_wait=False,
        )
        choice = await self.chooser.acquire(demand)
        if isinstance(choice, NotRun):
            return None
        return await self.send_once(choice, action, flight)

    async def send_once(
        self, choice: Choice, action: Send, flight: Flight
    ) -> Event:
        """Makes one try and gives its server back."""
        server = choice.server
        exchange = flight.exchange
        started_at = self.clock()

        def permit() -> int:
            """Returns the time left if the first byte may be written now."""
            action = advance(Connected(), exchange, self.clock())
            if not isinstance(action, Write):
                raise FirstByteRefused
            return action.deadline_ms

        server.in_flight += 1
        report = Report(Result.CANCELLED)
        try:
            with self.traces.span(
                'try', SpanKind.CLIENT, attributes={'server': server.name}
            ) as span:
                self.traces.inject(flight.request.headers)
                event = await self.upstream.send(
                    server.fact, flight.request, permit
                )
                span.set_attribute('result', type(event).__name__)
            report = report_of(event)
            self.observe(server.fact, event)
            if is_lost(event) and self.on_lost is not None:
                self.on_lost(exchange.route, flight.request, server)
            if exchange.outcome is not None:
                report = Report(Result.UNUSED)
            if report.result is Result.ANSWERED:
                self.hedging.record(exchange.route, started_at)
            return event
        except CancelledError:
            if self.clock() >= exchange.deadline_at:
                report = Report(Result.FAILED)
            raise
        finally:
            server.in_flight -= 1
            choice.release(report)


def ignore(fact: Fact, event: Event) -> None:
    """Takes no notice of what came of a try."""


def is_lost(event: Event) -> bool:
    """Tells whether a server broke its connection."""
    return (
        isinstance(event, ExchangeBroken)
        and event.reason is Reason.CONNECTION_LOST
    )


def name_caller(request: OutgoingRequest) -> str:
    """Returns who sent a request: the name it gives, or its address."""
    headers = request.headers
    name = headers.get(CALLER_HEADER) or headers.get('Forwarded') or ''
    return name[:MAX_CALLER_CHARS]
