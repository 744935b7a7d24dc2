"""Drives a request through its exchange."""

from asyncio import CancelledError
from asyncio import timeout_at
from collections.abc import Callable

from opentelemetry.trace import SpanKind

from cowslipmill.attempts.action import Action
from cowslipmill.attempts.action import Choose
from cowslipmill.attempts.action import Confirm
from cowslipmill.attempts.action import Finish
from cowslipmill.attempts.action import Send
from cowslipmill.attempts.action import Write
from cowslipmill.attempts.advance import advance
from cowslipmill.attempts.budget import RetryBudget
from cowslipmill.attempts.event import Connected
from cowslipmill.attempts.event import DeadlinePassed
from cowslipmill.attempts.event import Event
from cowslipmill.attempts.event import ExchangeBroken
from cowslipmill.attempts.event import ServerChosen
from cowslipmill.attempts.event import ServerRefused
from cowslipmill.attempts.requeststate import RequestState
from cowslipmill.choice.chooser import Choice
from cowslipmill.choice.chooser import ChoiceRequest
from cowslipmill.choice.chooser import Chooser
from cowslipmill.choice.server import Server
from cowslipmill.coordination.lease import EntryLeaseResult
from cowslipmill.coordination.lease import Report
from cowslipmill.document.document import Route
from cowslipmill.entry.attemptreport import to_report
from cowslipmill.entry.firstbyte import FirstByteRefused
from cowslipmill.entry.hedging import Hedging
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.entry.upstream import OutgoingRequest
from cowslipmill.entry.upstream import Upstream
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.outcomes.headers import CALLER_HEADER
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.telemetry.traces import Traces

MAX_CALLER_CHARS = 64

OnServerLost = Callable[[Route, OutgoingRequest, Server], None]


class DispatchContext:
    """One request on its way.

    Attributes:
        request_state: Its state.
        request: What is sent.
        choice: The server of the present try, until it is used.
    """

    __slots__ = ('choice', 'request_state', 'request')

    def __init__(
        self, request_state: RequestState, request: OutgoingRequest
    ) -> None:
        """Starts without a server."""
        self.request_state = request_state
        self.request = request
        self.choice: Choice | None = None

    def make_choice_request(self, excluded: tuple[str, ...]) -> ChoiceRequest:
        """Returns what the next try asks of the chooser."""
        return ChoiceRequest(
            route=self.request_state.route,
            caller=caller_name(self.request),
            deadline_at=self.request_state.deadline_at,
            excluded=excluded,
        )

    def take_choice(self) -> Choice:
        """Returns the chosen server for use."""
        choice, self.choice = self.choice, None
        assert choice is not None
        return choice

    def release_unused(self) -> None:
        """Gives back a server that was chosen and not used."""
        if self.choice is not None:
            self.take_choice().release(Report(EntryLeaseResult.UNUSED))


class Dispatcher:
    """Carries out the actions of exchanges.

    Attributes:
        routing_state: What is in force.
        upstream: Connections to the backend servers.
        chooser: Finds servers.
        hedging: Second tries of slow idempotent requests.
        clock: Returns monotonic seconds.
        on_attempt: Called with a server and what came of a try.
        on_server_lost: Called with each server that was lost with its request.
        traces: Makes a span of each choice and each try.
    """

    __slots__ = (
        'chooser',
        'clock',
        'hedging',
        'on_attempt',
        'on_server_lost',
        'routing_state',
        'traces',
        'upstream',
    )

    def __init__(
        self,
        routing_state: RoutingState,
        upstream: Upstream,
        chooser: Chooser,
        clock: Callable[[], float],
        *,
        traces: Traces | None = None,
    ) -> None:
        """Keeps the parts."""
        self.traces = traces or Traces()
        self.routing_state = routing_state
        self.upstream = upstream
        self.chooser = chooser
        self.clock = clock
        self.hedging = Hedging(clock)
        self.on_attempt: Callable[[NodeRecord, Event], None] = ignore_attempt
        self.on_server_lost: OnServerLost | None = None

    async def dispatch(
        self, route: Route, request: OutgoingRequest, deadline_at: float
    ) -> Outcome:
        """Serves one request and returns its outcome.

        Args:
            route: Its route.
            request: What to send.
            deadline_at: Monotonic seconds.
        """
        self.routing_state.refresh_if_stale(route.service)
        budget = self.routing_state.budgets.get(route.service) or RetryBudget(
            0.0
        )
        request_state = RequestState(route, budget, deadline_at)
        context = DispatchContext(request_state, request)
        action = request_state.start()
        try:
            async with timeout_at(deadline_at):
                while not isinstance(action, Finish):
                    event = await self.execute(action, context)
                    action = advance(event, request_state, self.clock())
        except TimeoutError:
            last = advance(DeadlinePassed(), request_state, self.clock())
            assert isinstance(last, Finish)
            action = last
        finally:
            context.release_unused()
        return action.outcome

    async def execute(self, action: Action, context: DispatchContext) -> Event:
        """Does what the exchange asks for and returns what happened."""
        if isinstance(action, Choose):
            return await self.choose(action, context)
        if isinstance(action, Confirm):
            return await self.upstream.confirm(action.server.record)
        assert isinstance(action, Send)
        return await self.send(action, context)

    async def choose(self, action: Choose, context: DispatchContext) -> Event:
        """Returns a server, or why there is none."""
        context.release_unused()
        choice_request = context.make_choice_request(action.excluded)
        with self.traces.span('choose', SpanKind.CLIENT):
            choice = await self.chooser.acquire(choice_request)
        if isinstance(choice, NotRun):
            return ServerRefused(choice)
        context.choice = choice
        age_ms = self.routing_state.view_age_ms(self.clock())
        return ServerChosen(choice.server, age_ms)

    async def send(self, action: Send, context: DispatchContext) -> Event:
        """Sends the request, and again elsewhere if it takes long."""
        route = context.request_state.route
        service = self.routing_state.services.get(route.service)
        hedge_share = service.hedge_share if service else 0.0
        self.hedging.count_request(route, hedge_share)
        delay_s = self.hedging.delay_s(route, hedge_share)
        first = self.send_attempt(context.take_choice(), action, context)
        if delay_s is None:
            return await first
        return await self.hedging.race(
            route, first, delay_s, lambda: self.hedge(action, context)
        )

    async def hedge(
        self, action: Send, context: DispatchContext
    ) -> Event | None:
        """Sends the request a second time if a slot is free elsewhere."""
        tried = tuple(context.request_state.tried)
        choice_request = ChoiceRequest(
            route=context.request_state.route,
            caller=caller_name(context.request),
            deadline_at=context.request_state.deadline_at,
            excluded=tried,
            may_wait=False,
        )
        choice = await self.chooser.acquire(choice_request)
        if isinstance(choice, NotRun):
            return None
        return await self.send_attempt(choice, action, context)

    async def send_attempt(
        self, choice: Choice, action: Send, context: DispatchContext
    ) -> Event:
        """Makes one try and gives its server back."""
        server = choice.server
        request_state = context.request_state
        started_at = self.clock()

        def permit() -> int:
            """Returns the time left if the first byte may be written now."""
            action = advance(Connected(), request_state, self.clock())
            if not isinstance(action, Write):
                raise FirstByteRefused
            return action.deadline_ms

        server.in_flight += 1
        report = Report(EntryLeaseResult.CANCELLED)
        try:
            with self.traces.span(
                'try', SpanKind.CLIENT, attributes={'server': server.name}
            ) as span:
                self.traces.inject(context.request.headers)
                event = await self.upstream.send(
                    server.record, context.request, permit
                )
                span.set_attribute('result', type(event).__name__)
            report = to_report(event)
            self.on_attempt(server.record, event)
            if is_connection_lost(event) and self.on_server_lost is not None:
                self.on_server_lost(
                    request_state.route, context.request, server
                )
            if request_state.outcome is not None:
                report = Report(EntryLeaseResult.UNUSED)
            if report.result is EntryLeaseResult.ANSWERED:
                self.hedging.record_latency(request_state.route, started_at)
            return event
        except CancelledError:
            if self.clock() >= request_state.deadline_at:
                report = Report(EntryLeaseResult.FAILED)
            raise
        finally:
            server.in_flight -= 1
            choice.release(report)


def ignore_attempt(record: NodeRecord, event: Event) -> None:
    """Takes no notice of what came of a try."""


def is_connection_lost(event: Event) -> bool:
    """Tells whether a server broke its connection."""
    return (
        isinstance(event, ExchangeBroken)
        and event.reason is Reason.CONNECTION_LOST
    )


def caller_name(request: OutgoingRequest) -> str:
    """Returns who sent a request: the name it gives, or its address."""
    headers = request.headers
    name = headers.get(CALLER_HEADER) or headers.get('Forwarded') or ''
    return name[:MAX_CALLER_CHARS]
