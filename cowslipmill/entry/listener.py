"""Accepts requests from callers and sends the responses."""

from asyncio import CancelledError
from asyncio import current_task
from asyncio import sleep
from asyncio import Task
from asyncio import timeout
from collections.abc import Callable
from typing import Any

from aiohttp.web import BaseRequest
from aiohttp.web import Response
from aiohttp.web import ServerRunner
from aiohttp.web import TCPSite
from mode import Service
from multidict import CIMultiDict
from opentelemetry.trace import SpanKind

from cowslipmill.document.document import Route
from cowslipmill.entry.connection import CallerConnection
from cowslipmill.entry.connection import CallerServer
from cowslipmill.entry.metrics import INTERNAL_ERRORS
from cowslipmill.entry.metrics import REQUESTS_IN_FLIGHT
from cowslipmill.entry.metrics import route_metrics
from cowslipmill.entry.requestbody import read_body
from cowslipmill.entry.requestguard import RequestGuard
from cowslipmill.entry.requesthead import check_head
from cowslipmill.entry.requesthead import end_to_end_headers
from cowslipmill.entry.requesthead import read_deadline_ms
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.entry.upstream import OutgoingRequest
from cowslipmill.outcomes.headers import NEXT_KEY_HEADER
from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.outcome import Unknown
from cowslipmill.outcomes.rendering import render
from cowslipmill.runtime.address import split_address
from cowslipmill.runtime.program import ListenError
from cowslipmill.telemetry.traces import Traces

RETRY_AFTER_MS = 1_000
TIMEOUT_CHECK_INTERVAL_S = 1.0
BACKLOG = 1_024
SERVER_NAME = 'cowslipmill'
CLOSE_TIMEOUT_S = 2.0
DRAIN_CHECK_INTERVAL_S = 0.02
# Longest time for the outcomes of requests that are aborted.
ABORT_TIMEOUT_S = 0.5
# After these the caller's remaining bytes cannot be trusted.
CLOSING_REASONS = frozenset(
    (
        Reason.BAD_REQUEST,
        Reason.REQUEST_TOO_LARGE,
        Reason.SLOW_CALLER,
    )
)


class Listener(Service):
    """The HTTP server of an entry, for callers.

    Attributes:
        address: Address to listen on.
        routing_state: Routes and the document in use.
        request_guard: Serves the requests.
        clock: Returns monotonic seconds.
        traces: Records a span for each request.
        stopping: Whether responses close their connections.
        aborting: Whether requests in flight end without a response from
            their server.
        in_flight: Tasks of the requests in flight, each with whether it
            was handed to the request guard.
    """

    def __init__(
        self,
        address: str,
        routing_state: RoutingState,
        request_guard: RequestGuard,
        clock: Callable[[], float],
        *,
        traces: Traces | None = None,
    ) -> None:
        """Creates the listener; `on_start` starts to listen."""
        super().__init__()
        self.traces = traces or Traces()
        self.address = address
        self.routing_state = routing_state
        self.request_guard = request_guard
        self.clock = clock
        self.stopping = False
        self.aborting = False
        self.in_flight: dict[Task[Any], bool] = {}

    async def on_start(self) -> None:
        """Starts to listen.

        Raises:
            ListenError: If the address cannot be bound.
        """
        self.server = CallerServer(self.handle, self.refuse, self.clock)
        self.runner = ServerRunner(
            self.server, access_log=None, shutdown_timeout=CLOSE_TIMEOUT_S
        )
        await self.runner.setup()
        host, port = split_address(self.address)
        site = TCPSite(self.runner, host, port, backlog=BACKLOG)
        try:
            await site.start()
        except OSError as error:
            raise ListenError('listen', self.address, error) from error

    @Service.task
    async def enforce_timeouts(self) -> None:
        """Aborts connections whose caller exceeded a timeout."""
        while not self.should_stop:
            await self.sleep(TIMEOUT_CHECK_INTERVAL_S)
            self.server.enforce_timeouts(self.clock())

    async def drain(self, timeout_s: float) -> None:
        """Stops accepting connections and ends every request received.

        Args:
            timeout_s: How long to wait for the requests in flight and those
                that wait behind them on a connection; those left then get
                the outcome as known so far.
        """
        self.stopping = True
        for site in list(self.runner.sites):
            await site.stop()
        if await self.wait_until_answered(timeout_s):
            return
        self.aborting = True
        for task in list(self.in_flight):
            task.cancel()
        await self.wait_until_answered(ABORT_TIMEOUT_S)

    async def wait_until_answered(self, timeout_s: float) -> bool:
        """Waits until every request received has its outcome.

        Args:
            timeout_s: How long to wait.

        Returns:
            Whether every request has.
        """
        try:
            async with timeout(timeout_s):
                while self.in_flight or self.server.owes_responses:
                    await sleep(DRAIN_CHECK_INTERVAL_S)
        except TimeoutError:
            return False
        return True

    async def on_stop(self) -> None:
        """Closes every connection once its last response is sent."""
        await self.runner.cleanup()

    async def handle(self, request: BaseRequest) -> Response:
        """Serves one request and returns its response."""
        arrived_at = self.clock()
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        connection.begin_request()
        task = current_task()
        assert task is not None
        self.in_flight[task] = False
        REQUESTS_IN_FLIGHT.inc()
        try:
            route = self.find_route(request, connection)
            name = route.name if isinstance(route, Route) else ''
            with self.traces.span(
                'request',
                SpanKind.SERVER,
                carrier=request.headers,
                attributes={'route': name},
            ) as span:
                outcome = await self.serve_until_outcome(
                    request, route, arrived_at, task
                )
                span.set_attribute('outcome', outcome.label)
        finally:
            connection.end_request()
            REQUESTS_IN_FLIGHT.dec()
            del self.in_flight[task]
        route_metrics(name).duration.observe(self.clock() - arrived_at)
        response = self.build_response(name, outcome)
        if self.closes_after(outcome, connection):
            response.force_close()
        return response

    def closes_after(
        self, outcome: Outcome, connection: CallerConnection
    ) -> bool:
        """Returns whether a connection closes after the response due on it.

        What was read whole behind the request is answered before, unless it
        cannot be trusted.
        """
        if not isinstance(outcome, Answered):
            if outcome.reason in CLOSING_REASONS:
                return True
        if connection.owes_response:
            return False
        return self.stopping or connection.input_closed

    async def serve_until_outcome(
        self,
        request: BaseRequest,
        route: Route | NotRun,
        arrived_at: float,
        task: 'Task[Any]',
    ) -> Outcome:
        """Returns the outcome, also after an error or an aborted drain.

        Args:
            request: The request.
            route: Its route, or why there is none.
            arrived_at: Monotonic seconds.
            task: The task that serves the request.

        Raises:
            CancelledError: If the caller disconnected.
        """
        if isinstance(route, NotRun):
            return route
        try:
            return await self.serve(request, route, arrived_at, task)
        except CancelledError:
            if not self.aborting:
                raise
            task.uncancel()
            return self.outcome_so_far(task, Reason.STOPPING)
        except Exception:
            INTERNAL_ERRORS.inc()
            return self.outcome_so_far(task, Reason.INTERNAL_ERROR)

    def outcome_so_far(self, task: 'Task[Any]', reason: Reason) -> Outcome:
        """Returns the outcome of a request that is aborted.

        It is unknown once the request was handed to the request guard, as
        bytes may have reached a server.
        """
        if self.in_flight[task]:
            return Unknown(reason, RETRY_AFTER_MS)
        return NotRun(reason, RETRY_AFTER_MS)

    def refuse(self, refusal: NotRun) -> Response:
        """Returns the response to a request without a route, and counts it."""
        return self.build_response('', refusal)

    def build_response(self, route: str, outcome: Outcome) -> Response:
        """Returns the response for an outcome, and counts it.

        Args:
            route: Name of the route, or '' if there is none.
            outcome: The outcome.
        """
        rendered = render(outcome)
        response = Response(
            status=rendered.status,
            headers=CIMultiDict(rendered.headers),
            body=rendered.body,
        )
        response.headers.setdefault('Server', SERVER_NAME)
        response.headers[NEXT_KEY_HEADER] = self.request_guard.next_key()
        if isinstance(outcome, Answered):
            route_metrics(route).answered.inc()
        else:
            route_metrics(route).count_refused(
                outcome.label, outcome.reason.value
            )
        return response

    def find_route(
        self, request: BaseRequest, connection: CallerConnection
    ) -> Route | NotRun:
        """Returns the route of a request, or why it is refused."""
        if self.aborting:
            return NotRun(Reason.STOPPING, RETRY_AFTER_MS)
        if connection.over_limit:
            return NotRun(Reason.OVERLOADED, RETRY_AFTER_MS)
        refusal = check_head(request)
        if refusal is not None:
            return refusal
        if self.routing_state.document is None:
            return NotRun(Reason.NO_CONFIGURATION, RETRY_AFTER_MS)
        host = request.headers.get('Host', '').partition(':')[0].lower()
        path = request.raw_path.partition('?')[0]
        route = self.routing_state.routes.find(host, request.method, path)
        return route or NotRun(Reason.NO_ROUTE, RETRY_AFTER_MS)

    async def serve(
        self,
        request: BaseRequest,
        route: Route,
        arrived_at: float,
        task: 'Task[Any]',
    ) -> Outcome:
        """Reads the body and hands the request to the request guard."""
        body = await read_body(request, route.max_request_bytes)
        if isinstance(body, NotRun):
            return body
        outgoing = OutgoingRequest(
            request.method,
            request.raw_path,
            end_to_end_headers(request),
            body,
            route.max_answer_bytes,
        )
        deadline_ms = read_deadline_ms(request, route.deadline_ms)
        deadline_at = arrived_at + deadline_ms / 1000
        self.in_flight[task] = True
        connection = request.protocol
        assert isinstance(connection, CallerConnection)
        connection.unrepeatable = not route.idempotent
        return await self.request_guard.dispatch(route, outgoing, deadline_at)
