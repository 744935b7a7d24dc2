"""Executes the state machine of a request: choose, send, retry, finish."""

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
    """What the dispatcher keeps of one request.

    Attributes:
        request_state: State machine of the request.
        request: The request as it is sent to servers.
        choice: Server chosen for the current attempt, until it is used.
    """

    __slots__ = ('choice', 'request', 'request_state')

    def __init__(
        self, request_state: RequestState, request: OutgoingRequest
    ) -> None:
        """Starts without a chosen server."""
        self.request_state = request_state
        self.request = request
        self.choice: Choice | None = None

    def make_choice_request(self, excluded: tuple[str, ...]) -> ChoiceRequest:
        """Returns the request to the chooser for the next attempt.

        Args:
            excluded: Names of servers that must not be chosen.
        """
        return ChoiceRequest(
            route=self.request_state.route,
            caller=caller_name(self.request),
            deadline_at=self.request_state.deadline_at,
            excluded=excluded,
        )

    def take_choice(self) -> Choice:
        """Returns the chosen server; the caller must release it."""
        choice, self.choice = self.choice, None
        assert choice is not None
        return choice

    def release_unused(self) -> None:
        """Releases a server that was chosen and not used."""
        if self.choice is not None:
            self.take_choice().release(Report(EntryLeaseResult.UNUSED))


class Dispatcher:
    """Executes the actions of request state machines.

    Attributes:
        routing_state: Routes, servers and budgets in use.
        upstream: Connections to the backend servers.
        chooser: Chooses the server of each attempt.
        hedging: Hedges slow idempotent requests.
        clock: Returns monotonic seconds.
        on_attempt: Called with the server and the result of each attempt.
        on_server_lost: Called when the connection to a server was lost after
            a request was sent on it.
        traces: Records a span for each choice and each attempt.
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
        """Starts without callbacks."""
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
            route: The route of the request.
            request: The request to send.
            deadline_at: When the caller stops waiting, monotonic seconds.
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
        """Executes one action and returns the event that followed."""
        if isinstance(action, Choose):
            return await self.choose(action, context)
        if isinstance(action, Confirm):
            return await self.upstream.confirm(action.server.record)
        assert isinstance(action, Send)
        return await self.send(action, context)

    async def choose(self, action: Choose, context: DispatchContext) -> Event:
        """Chooses a server; returns `ServerRefused` if there is none."""
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
        """Sends the request, and a hedge if it is slow and may be hedged."""
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
        """Sends the hedge; returns None if no other server has a free slot."""
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
        """Makes one attempt and releases its server."""
        server = choice.server
        request_state = context.request_state
        started_at = self.clock()

        def permit() -> int:
            """Returns the remaining milliseconds before the first byte.

            Raises:
                FirstByteRefused: If the request must not be sent any more.
            """
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
    """Ignores the result of an attempt."""


def is_connection_lost(event: Event) -> bool:
    """Tells whether the connection to the server was lost."""
    return (
        isinstance(event, ExchangeBroken)
        and event.reason is Reason.CONNECTION_LOST
    )


def caller_name(request: OutgoingRequest) -> str:
    """Returns who sent a request, at most `MAX_CALLER_CHARS` long.

    This is the name in the caller header, else the `Forwarded` header.
    """
    headers = request.headers
    name = headers.get(CALLER_HEADER) or headers.get('Forwarded') or ''
    return name[:MAX_CALLER_CHARS]
