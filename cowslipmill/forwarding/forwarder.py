"""Takes a request from its caller to a server and its answer back."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import FIRST_COMPLETED
from asyncio import Task
from asyncio import timeout_at
from asyncio import wait
from collections.abc import Callable
from random import Random

from cowslipmill.forwarding.attempts import Attempts
from cowslipmill.forwarding.attempts import NextStep
from cowslipmill.forwarding.callertimeouts import CallerTimeouts
from cowslipmill.forwarding.crashtracker import CrashTracker
from cowslipmill.forwarding.crashtracker import fingerprint_of
from cowslipmill.forwarding.headercodec import HeaderCodec
from cowslipmill.forwarding.headercodec import ResponseClass
from cowslipmill.forwarding.requestcontext import RequestContext
from cowslipmill.forwarding.retrybudgets import RetryBudgets
from cowslipmill.forwarding.sender import Lost
from cowslipmill.forwarding.sender import NotSent
from cowslipmill.forwarding.sender import Sender
from cowslipmill.forwarding.sender import SendResult
from cowslipmill.forwarding.sender import Sent
from cowslipmill.host.requestlog import RequestLog
from cowslipmill.http1.callerconnection import CallerConnection
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.leasing.leasemanager import LeaseManager
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.requirements import Requirements
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.view.configuration import Route
from cowslipmill.view.routing import RouteTable
from cowslipmill.view.view import View

# Patience assumed of a caller that states none.
DEFAULT_TIMEOUT_S = 10.0
# A server's own answer at the deadline is let through within this.
DEADLINE_GRACE_S = 0.03
# Wait told while no configuration is known.
NO_CONFIGURATION_RETRY_AFTER_S = 0.3
# Wait told when a server refused or was out of reach though it had room; the
# caller is best served by coming back at once, to another server.
FAILED_RETRY_AFTER_S = 0.02
# Wait told by a host that stops; others serve at once.
STOPPING_RETRY_AFTER_S = 0.01
# A copy is sent early enough for this many times the expected finish.
HEDGE_DURATION_FACTOR = 1.3
# An answer is overdue after this many times the expected finish at least.
HEDGE_DELAY_FACTOR = 1.5
# Answer size assumed before a route has answered.
DEFAULT_RESPONSE_KILOBYTES = 2.0
RESPONSE_SIZE_WEIGHT = 0.1


class Forwarder:
    """Serves the requests of callers.

    Attributes:
        view: What is in force.
        lease_manager: Finds servers.
        sender: Sends requests to servers.
        budgets: Further sends allowed, by service.
        crash_tracker: Requests that crash servers.
        request_log: Records decisions and counts them.
        caller_timeouts: How long callers wait, by route.
        stop_at: When this host ends, once it is known. A request that may
            not have its answer by then is refused.
    """

    def __init__(
        self,
        view: View,
        lease_manager: LeaseManager,
        sender: Sender,
        crash_tracker: CrashTracker,
        header_codec: HeaderCodec,
        request_log: RequestLog,
        budgets: RetryBudgets,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Keeps the parts."""
        self.view = view
        self.lease_manager = lease_manager
        self.sender = sender
        self.crash_tracker = crash_tracker
        self.header_codec = header_codec
        self.request_log = request_log
        self.budgets = budgets
        self.clock = clock
        self.random = random
        self.response_kilobytes: dict[str, float] = {}
        self.caller_timeouts = CallerTimeouts(clock())
        self.route_table: RouteTable | None = None
        self.route_table_version = 0
        self.stop_at = float('inf')

    async def handle(
        self, request: Request, connection: CallerConnection
    ) -> Response:
        """Answers one request of a caller."""
        now = self.clock()
        demand = self.header_codec.parse_caller_headers(request)
        table = self.current_route_table()
        if table is None:
            return self.refuse_unrouted(
                demand.request_id, 'no configuration', 503
            )
        host = request.header(b'host').decode('latin-1').partition(':')[0]
        path = request.target.partition(b'?')[0].decode('latin-1')
        route = table.find(host, path)
        if route is None:
            return self.refuse_unrouted(demand.request_id, 'no route', 404)
        service = table.choose_service(route, self.random)
        flight = self.create_context(
            request, demand.request_id, route, service, now
        )
        patience_s = demand.timeout_s
        if patience_s is None:
            patience_s = route.timeout_s or DEFAULT_TIMEOUT_S
        else:
            flight.first_sent_at = now - self.caller_timeouts.waited_s(
                route.name, patience_s, now
            )
        flight.deadline_at = now + patience_s
        if route.timeout_s:
            flight.deadline_at = min(flight.deadline_at, now + route.timeout_s)
        task = connection.task
        assert task is not None

        def leave() -> None:
            """Ends what the caller no longer waits for."""
            flight.caller_left = True
            if route.idempotent or not flight.attempts.may_have_executed:
                task.cancel()

        connection.on_disconnect = leave
        return await self.respond(flight)

    def current_route_table(self) -> RouteTable | None:
        """Returns the routes in force."""
        configuration = self.view.configuration
        if configuration is None:
            return None
        if configuration.version != self.route_table_version:
            self.route_table = RouteTable(configuration)
            self.route_table_version = configuration.version
        return self.route_table

    def create_context(
        self,
        request: Request,
        request_id: str,
        route: Route,
        service: str,
        now: float,
    ) -> RequestContext:
        """Returns the state of a request that has just come."""
        hosts = len(self.lease_manager.member_list.states)
        budget = self.budgets.record_request(service, hosts)
        return RequestContext(
            request,
            request_id,
            route,
            service,
            fingerprint_of(request),
            Attempts(route, budget),
            now,
        )

    async def respond(self, flight: RequestContext) -> Response:
        """Returns the one answer that a request gets."""
        if flight.deadline_at > self.stop_at:
            return self.refuse(flight, 'stopping', STOPPING_RETRY_AFTER_S)
        verdict = self.crash_tracker.check(flight.fingerprint, self.clock())
        if isinstance(verdict, NotRun):
            return self.refuse(
                flight, 'suspect', verdict.retry_after_ms / 1000
            )
        try:
            async with timeout_at(flight.deadline_at + DEADLINE_GRACE_S):
                return await self.send_with_retries(flight)
        except TimeoutError:
            awaited = 'answer' if flight.attempts.may_have_executed else 'slot'
            reason = f'no {awaited} in time'
            return self.give_up(
                flight, reason, FAILED_RETRY_AFTER_S, status=504
            )
        except CancelledError:
            self.request_log.cancelled(flight, self.clock())
            raise

    async def send_with_retries(self, flight: RequestContext) -> Response:
        """Sends a request until an answer stands."""
        while True:
            grant = await self.acquire_lease(flight)
            if isinstance(grant, Refusal):
                return self.give_up(flight, grant.reason, grant.retry_after_s)
            exchanged = await self.send_with_hedge(flight, grant)
            following = self.choose_next_step(flight, exchanged)
            if following is NextStep.RETRY and not flight.caller_left:
                self.request_log.retried(flight, exchanged)
                continue
            if following is NextStep.DELIVER and isinstance(exchanged, Sent):
                return self.deliver(flight, exchanged.response)
            return self.give_up(flight, exchanged.reason, FAILED_RETRY_AFTER_S)

    def give_up(
        self,
        flight: RequestContext,
        reason: str,
        retry_after_s: float,
        *,
        status: int = 502,
    ) -> Response:
        """Returns the answer to a request that no server will answer now.

        Args:
            flight: The request.
            reason: Why it is given up.
            retry_after_s: When to come back, told if it has not run.
            status: Status told if it may have run.
        """
        if flight.attempts.failure_response is not None:
            return self.deliver(flight, flight.attempts.failure_response)
        if flight.attempts.may_have_executed:
            return self.fail(flight, reason, status)
        return self.refuse(flight, reason, retry_after_s)

    async def acquire_lease(
        self, flight: RequestContext, *, max_duration_s: float | None = None
    ) -> Grant | Refusal:
        """Returns a slot at a server that still takes work."""
        while True:
            grant = await self.lease_manager.acquire(
                self.requirements(flight, max_duration_s)
            )
            if isinstance(grant, Refusal):
                self.request_log.not_placed(flight, grant)
                return grant
            if self.sender.accepts_requests(grant):
                self.request_log.placed(flight, grant)
                return grant
            self.lease_manager.release(
                flight.service, grant, LeaseResult.UNUSED, 0.0
            )
            flight.attempts.excluded.append(grant.server)

    def requirements(
        self, flight: RequestContext, max_duration_s: float | None
    ) -> Requirements:
        """Returns what a request needs of its next server."""
        route = flight.route
        objective_at = flight.first_sent_at + route.objective_s
        size = self.response_kilobytes.get(
            route.name, DEFAULT_RESPONSE_KILOBYTES
        )
        return Requirements(
            flight.service,
            route.name,
            route.priority,
            objective_at,
            flight.deadline_at,
            kilobytes=size + len(flight.request.body) / 1024,
            excluded=tuple(flight.attempts.excluded),
            max_duration_s=max_duration_s,
        )

    def choose_next_step(
        self, flight: RequestContext, exchanged: SendResult
    ) -> NextStep:
        """Returns what follows an attempt."""
        if isinstance(exchanged, NotSent):
            return flight.attempts.after_unreachable(exchanged.server)
        if isinstance(exchanged, Lost):
            if exchanged.reset and not exchanged.idle:
                self.crash_tracker.report_crash(
                    flight.fingerprint, exchanged.server, self.clock()
                )
                verdict = self.crash_tracker.check(
                    flight.fingerprint, self.clock()
                )
                if isinstance(verdict, NotRun):
                    return NextStep.GIVE_UP
            return flight.attempts.after_loss()
        if exchanged.response_class is ResponseClass.SUCCESS:
            self.crash_tracker.clear(flight.fingerprint)
        return flight.attempts.after_response(
            exchanged.response_class, exchanged.response
        )

    async def send_with_hedge(
        self, flight: RequestContext, grant: Grant
    ) -> SendResult:
        """Sends a request, and a copy elsewhere if its answer is overdue."""
        if not flight.route.idempotent:
            return await self.sender.send(flight, grant)
        first = create_task(self.sender.send(flight, grant))
        tasks: set[Task[SendResult]] = {first}
        try:
            overdue_s = self.hedge_at(flight, grant) - self.clock()
            await wait(tasks, timeout=max(0.0, overdue_s))
            if not first.done() and flight.attempts.may_hedge():
                limit_s = flight.deadline_at - self.clock()
                copy = await self.acquire_lease(flight, max_duration_s=limit_s)
                if isinstance(copy, Grant):
                    tasks.add(create_task(self.sender.send(flight, copy)))
            return await best_result(tasks)
        finally:
            for task in tasks:
                task.cancel()

    def hedge_at(self, flight: RequestContext, grant: Grant) -> float:
        """Returns when an answer is overdue, so that a copy may help.

        A copy that is sent then can still be answered within the objective,
        unless the work itself takes most of that time.
        """
        objective_at = flight.first_sent_at + flight.route.objective_s
        latest_s = (
            objective_at
            - self.clock()
            - HEDGE_DURATION_FACTOR * grant.expected_duration_s
        )
        return self.clock() + max(
            latest_s, HEDGE_DELAY_FACTOR * grant.expected_duration_s
        )

    def deliver(self, flight: RequestContext, answer: Response) -> Response:
        """Returns a server's answer for the caller."""
        name = flight.route.name
        known = self.response_kilobytes.get(name, DEFAULT_RESPONSE_KILOBYTES)
        size = len(answer.body) / 1024
        self.response_kilobytes[name] = known + RESPONSE_SIZE_WEIGHT * (
            size - known
        )
        self.request_log.answered(flight, answer.status, self.clock())
        return self.header_codec.caller_response(answer)

    def refuse(
        self, flight: RequestContext, reason: str, retry_after_s: float
    ) -> Response:
        """Tells that the request has not run, and when to come back."""
        now = self.clock()
        self.caller_timeouts.record_refusal(now)
        self.request_log.refused(flight, reason, retry_after_s, now)
        return self.header_codec.error_response(
            503, flight.request_id, retry_after_s
        )

    def fail(
        self, flight: RequestContext, reason: str, status: int
    ) -> Response:
        """Tells that nothing is known of the request."""
        self.request_log.failed(flight, reason, status, self.clock())
        return self.header_codec.error_response(
            status, flight.request_id, None
        )

    def refuse_unrouted(
        self, request_id: str, reason: str, status: int
    ) -> Response:
        """Refuses a request that has no route here."""
        self.request_log.unrouted(request_id, reason, status)
        retry_after_s = None
        if status == 503:
            retry_after_s = NO_CONFIGURATION_RETRY_AFTER_S
        return self.header_codec.error_response(
            status, request_id, retry_after_s
        )


async def best_result(tasks: 'set[Task[SendResult]]') -> SendResult:
    """Returns the first success, else an answer, else any other result."""
    pending = set(tasks)
    fallback: SendResult | None = None
    while pending:
        done, pending = await wait(pending, return_when=FIRST_COMPLETED)
        for result in (task.result() for task in done):
            if not isinstance(result, Sent):
                fallback = fallback or result
            elif result.response_class is ResponseClass.SUCCESS:
                return result
            elif not isinstance(fallback, Sent) or (
                result.response_class is ResponseClass.FAILURE
            ):
                fallback = result
    assert fallback is not None
    return fallback
