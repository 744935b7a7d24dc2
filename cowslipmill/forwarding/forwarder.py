"""Forwards requests of callers to servers and returns the responses."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import current_task
from asyncio import Event
from asyncio import FIRST_COMPLETED
from asyncio import sleep
from asyncio import Task
from asyncio import Timeout
from asyncio import timeout_at
from asyncio import wait
from collections.abc import Callable
from contextlib import suppress
from random import Random

from cowslipmill.forwarding.attempts import Attempts
from cowslipmill.forwarding.attempts import FIRST_FAILURE_STATUS
from cowslipmill.forwarding.attempts import NextStep
from cowslipmill.forwarding.callertimeouts import CallerTimeouts
from cowslipmill.forwarding.crashtracker import CrashTracker
from cowslipmill.forwarding.fingerprints import fingerprints_of
from cowslipmill.forwarding.headercodec import HeaderCodec
from cowslipmill.forwarding.headercodec import ResponseClass
from cowslipmill.forwarding.requestcontext import RequestContext
from cowslipmill.forwarding.retrybudgets import RetryBudgets
from cowslipmill.forwarding.sender import Sender
from cowslipmill.forwarding.sendresult import Lost
from cowslipmill.forwarding.sendresult import NotSent
from cowslipmill.forwarding.sendresult import SendResult
from cowslipmill.forwarding.sendresult import Sent
from cowslipmill.host.requestlog import RequestLog
from cowslipmill.http1.exchange import Exchange
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.leasing.leasemanager import LeaseManager
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.requirements import Requirements
from cowslipmill.runtime.names import BoundedDict
from cowslipmill.view.configuration import Route
from cowslipmill.view.routing import RouteTable
from cowslipmill.view.view import View

# Timeout assumed if neither the caller nor the route has one.
DEFAULT_TIMEOUT_S = 10.0
# A server's response that arrives this long after the deadline is still
# delivered.
DEADLINE_GRACE_S = 0.03
# Retry-After while this host has no configuration.
NO_CONFIGURATION_RETRY_AFTER_S = 0.3
# Retry-After if a server shed the request or was unreachable although it had
# a free slot. It is short because another server can take the request.
FAILED_RETRY_AFTER_S = 0.02
# Retry-After while this host stops; other hosts can take the request at once.
STOPPING_RETRY_AFTER_S = 0.01
# Retry-After of a host that starts and doesn't know the suspect requests yet;
# most hosts that start know them within this time.
STARTING_RETRY_AFTER_S = 0.1
# Shortest Retry-After while no host can grant a trial of a suspect request.
NO_TRIAL_RETRY_AFTER_S = 1.0
# A hedge is sent early enough to take this many times the expected duration
# and still meet the objective.
HEDGE_DURATION_FACTOR = 1.3
# A hedge is sent after this many times the expected duration at the earliest.
HEDGE_DELAY_FACTOR = 1.5
# Number of leases of a request that are given back since their coordinator
# doesn't know a rate limit, before it does without that server.
MAX_LIMITS_IGNORED = 2
# Size of a response assumed before a route has had one.
DEFAULT_RESPONSE_KILOBYTES = 2.0
# Weight of the latest response in the moving average of the sizes.
RESPONSE_SIZE_WEIGHT = 0.1


class Forwarder:
    """Handles the requests of callers.

    Attributes:
        view: The configuration and servers in force.
        lease_manager: Grants slots at servers.
        sender: Sends requests to servers.
        crash_tracker: Tracks requests that crash servers.
        header_codec: Reads and writes HTTP headers of callers and servers.
        request_log: Logs and counts decisions about requests.
        budgets: Retry budgets by service.
        response_kilobytes: Average size of responses by route.
        caller_timeouts: Statistics of the timeouts of callers, by route.
        answer_at: When the last requests are answered, in monotonic seconds;
            infinity unless this host is stopping. A request whose response
            might come later is refused.
        stopping: Set when this host begins to stop.
        timers: The timeouts of the requests in progress.
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
        """Creates the forwarder.

        Args:
            view: The configuration and servers in force.
            lease_manager: Grants slots at servers.
            sender: Sends requests to servers.
            crash_tracker: Tracks requests that crash servers.
            header_codec: Reads and writes HTTP headers of callers and servers.
            request_log: Logs and counts decisions about requests.
            budgets: Retry budgets by service.
            clock: Returns monotonic seconds.
            random: Chooses among the services of a route.
        """
        self.view = view
        self.lease_manager = lease_manager
        self.sender = sender
        self.crash_tracker = crash_tracker
        self.header_codec = header_codec
        self.request_log = request_log
        self.budgets = budgets
        self.clock = clock
        self.random = random
        self.response_kilobytes: dict[str, float] = BoundedDict()
        self.caller_timeouts = CallerTimeouts(clock())
        self.route_table: RouteTable | None = None
        self.route_table_version = 0
        self.answer_at = float('inf')
        self.stopping = Event()
        self.timers: set[Timeout] = set()

    def stop(self, answer_at: float) -> None:
        """Has the requests in progress end before this host does.

        Those that wait for a server learn now whether they still get one;
        all others are answered as unknown when the time has come.

        Args:
            answer_at: When the last ones are answered, in monotonic seconds.
        """
        self.answer_at = answer_at
        self.stopping.set()
        for timer in self.timers:
            when = timer.when()
            if when is not None and when > answer_at and not timer.expired():
                timer.reschedule(answer_at)

    @property
    def in_progress(self) -> int:
        """Number of requests that wait for a server or for its response."""
        return len(self.timers)

    async def handle(self, request: Request, exchange: Exchange) -> Response:
        """Returns the response to a caller's request.

        Args:
            request: The caller's request.
            exchange: The request's place among those of its connection.
        """
        now = self.clock()
        caller_headers = self.header_codec.parse_caller_headers(request)
        route_table = self.current_route_table()
        if route_table is None:
            return self.refuse_unrouted(
                caller_headers.request_id, 'no configuration', 503
            )
        route = find_route(route_table, request)
        if route is None:
            return self.refuse_unrouted(
                caller_headers.request_id, 'no route', 404
            )
        service = route_table.choose_service(route, self.random)
        context = self.create_context(
            request, caller_headers.request_id, route, service, now
        )
        timeout_s = caller_headers.timeout_s
        if timeout_s is None:
            timeout_s = route.timeout_s or DEFAULT_TIMEOUT_S
        else:
            context.first_sent_at = now - self.caller_timeouts.waited_s(
                route.name, timeout_s, now
            )
        context.deadline_at = now + timeout_s
        if route.timeout_s:
            context.deadline_at = min(
                context.deadline_at, now + route.timeout_s
            )
        if exchange.behind and not route.idempotent:
            # A newer configuration says so since the request was started.
            return self.refuse(context, 'route changed', FAILED_RETRY_AFTER_S)
        task = exchange.task
        assert task is not None

        def on_disconnect() -> None:
            """Cancels the request if idempotent or not executed yet."""
            context.caller_left = True
            if route.idempotent or not context.attempts.may_have_executed:
                task.cancel()

        exchange.on_disconnect = on_disconnect
        return await self.respond(context)

    def may_overlap(self, request: Request) -> bool:
        """Returns whether a request may be handled beside others.

        That is if its route is idempotent: where the connection closes
        before its response, the caller sends it again.
        """
        route_table = self.current_route_table()
        if route_table is None:
            return False
        route = find_route(route_table, request)
        return route is not None and route.idempotent

    def current_route_table(self) -> RouteTable | None:
        """Returns the routes in force; None without a configuration."""
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
        """Returns the context of a new request and counts it in the budget."""
        hosts = len(self.lease_manager.member_list.states)
        budget = self.budgets.record_request(service, hosts)
        return RequestContext(
            request,
            request_id,
            route,
            service,
            fingerprints_of(request),
            Attempts(route, budget),
            now,
        )

    async def respond(self, context: RequestContext) -> Response:
        """Returns the response to a request; gives up after its deadline."""
        if context.deadline_at + DEADLINE_GRACE_S > self.answer_at:
            return self.refuse(context, 'stopping', STOPPING_RETRY_AFTER_S)
        if not self.crash_tracker.gossip.caught_up:
            return self.refuse(context, 'starting', STARTING_RETRY_AFTER_S)
        if self.crash_tracker.hold_s(context.fingerprints) > 0.0:
            retry_after_s = self.crash_tracker.retry_after_s(
                context.fingerprints
            )
            return self.refuse(context, 'suspect', retry_after_s)
        timer = timeout_at(context.deadline_at + DEADLINE_GRACE_S)
        self.timers.add(timer)
        try:
            async with timer:
                return await self.send_with_retries(context)
        except TimeoutError:
            awaited = (
                'answer' if context.attempts.may_have_executed else 'slot'
            )
            reason = f'no {awaited} in time'
            if self.clock() < context.deadline_at:
                reason = f'no {awaited} before the host stops'
            return self.give_up(
                context, reason, FAILED_RETRY_AFTER_S, status=504
            )
        except CancelledError:
            task = current_task()
            if context.caller_left or (task and task.cancelling()):
                self.request_log.cancelled(context, self.clock())
                raise
            # Something that the request waited for was cancelled.
            return self.give_up(
                context, 'cancelled within', FAILED_RETRY_AFTER_S
            )
        finally:
            self.timers.discard(timer)

    async def send_with_retries(self, context: RequestContext) -> Response:
        """Sends a request until no further attempt is useful or allowed."""
        while True:
            grant = await self.acquire_lease(context)
            if isinstance(grant, Refusal):
                return self.give_up(context, grant.reason, grant.retry_after_s)
            result = await self.send_with_hedge(context, grant)
            next_step = self.choose_next_step(context, result)
            if next_step is NextStep.RETRY and not context.caller_left:
                self.request_log.retried(context, result)
                continue
            if next_step is NextStep.DELIVER and isinstance(result, Sent):
                return self.deliver(context, result.response)
            return self.give_up(context, result.reason, FAILED_RETRY_AFTER_S)

    def give_up(
        self,
        context: RequestContext,
        reason: str,
        retry_after_s: float,
        *,
        status: int = 502,
    ) -> Response:
        """Returns the response to a request that is not sent any more.

        It is the last error response of a server if there is one, else an
        error response of this host.

        Args:
            context: The request.
            reason: Why the request is abandoned, as written into the log.
            retry_after_s: Value for Retry-After in seconds, used if the
                request was not executed.
            status: HTTP status, used if the request may have been executed.
        """
        if context.attempts.failure_response is not None:
            return self.deliver(context, context.attempts.failure_response)
        if context.attempts.may_have_executed:
            return self.fail(context, reason, status)
        return self.refuse(context, reason, retry_after_s)

    async def acquire_lease(
        self, context: RequestContext, *, max_duration_s: float | None = None
    ) -> Grant | Refusal:
        """Returns a lease at a server that still accepts requests.

        Args:
            context: The request.
            max_duration_s: Only a server that is expected to respond within
                this time is wanted, in seconds; None for any server.
        """
        limits_ignored = 0
        while True:
            refusal = await self.outwait_pauses(
                context, may_wait=max_duration_s is None
            )
            if refusal is not None:
                self.request_log.not_placed(context, refusal)
                return refusal
            grant = await self.lease_manager.acquire(
                self.requirements(context, max_duration_s)
            )
            if isinstance(grant, Refusal):
                self.request_log.not_placed(context, grant)
                context.refusal = grant
                return grant
            used = False
            try:
                if self.lease_manager.ignores_limit(grant):
                    limits_ignored += 1
                    if limits_ignored > MAX_LIMITS_IGNORED:
                        context.attempts.excluded.append(grant.server)
                elif not self.sender.accepts_requests(grant):
                    context.attempts.excluded.append(grant.server)
                elif await self.may_send(context):
                    self.request_log.placed(context, grant)
                    used = True
                    return grant
                else:
                    retry_after_s = max(
                        self.crash_tracker.retry_after_s(context.fingerprints),
                        NO_TRIAL_RETRY_AFTER_S,
                    )
                    return Refusal(grant.key, 'suspect', retry_after_s, 0)
            finally:
                if not used:
                    self.lease_manager.release(
                        context.service, grant, LeaseResult.UNUSED, 0.0
                    )

    async def outwait_pauses(
        self, context: RequestContext, *, may_wait: bool
    ) -> Refusal | None:
        """Waits until a server takes requests, if all of them pause.

        Args:
            context: The request.
            may_wait: Whether it may wait at all.

        Returns:
            A refusal if the request may not wait so long, else None.
        """
        while True:
            now = self.clock()
            until = self.lease_manager.paused_until(
                context.service, context.attempts.excluded, now
            )
            if until <= now:
                return None
            if not may_wait or until >= context.deadline_at:
                return Refusal(('', 0), 'servers pause', until - now, 0)
            if until >= self.answer_at:
                return Refusal(('', 0), 'stopping', STOPPING_RETRY_AFTER_S, 0)
            await self.wait_until(until)

    async def wait_until(self, until: float) -> None:
        """Waits until a time, or until this host begins to stop.

        Args:
            until: Monotonic seconds.
        """
        if self.stopping.is_set():
            await sleep(until - self.clock())
            return
        with suppress(TimeoutError):
            async with timeout_at(until):
                await self.stopping.wait()

    async def may_send(self, context: RequestContext) -> bool:
        """Returns whether a request may be sent now.

        A suspect one is sent once, if a trial is granted. It is decided only
        when there is a server, since a request may wait long for one.
        """
        if not self.crash_tracker.is_suspect(context.fingerprints):
            return True
        if context.trial_sends is None:
            if not await self.crash_tracker.request_trial(
                context.fingerprints, context.request_id
            ):
                return False
            context.trial_sends = context.attempts.sends
        return context.attempts.sends == context.trial_sends

    def requirements(
        self, context: RequestContext, max_duration_s: float | None
    ) -> Requirements:
        """Returns what a request requires of its next server.

        Args:
            context: The request.
            max_duration_s: Longest expected duration in seconds; None for
                any.
        """
        route = context.route
        objective_at = context.first_sent_at + route.objective_s
        response_kilobytes = self.response_kilobytes.get(
            route.name, DEFAULT_RESPONSE_KILOBYTES
        )
        return Requirements(
            context.service,
            route.name,
            route.priority,
            objective_at,
            context.deadline_at,
            kilobytes=response_kilobytes + len(context.request.body) / 1024,
            excluded=(
                *context.attempts.excluded,
                *self.lease_manager.paused_servers(
                    context.service, self.clock()
                ),
            ),
            max_duration_s=max_duration_s,
            asked_before_s=context.arrived_at - context.first_sent_at,
        )

    def choose_next_step(
        self, context: RequestContext, result: SendResult
    ) -> NextStep:
        """Returns the next step after an attempt.

        Clears a suspect request after a response which shows that the server
        has executed it: an error of status 500 or higher may come instead.
        """
        if isinstance(result, NotSent):
            if result.evacuated:
                return context.attempts.after_evacuation(result.server)
            return context.attempts.after_unreachable(result.server)
        if isinstance(result, Lost):
            if self.crash_tracker.hold_s(context.fingerprints) > 0.0:
                return NextStep.GIVE_UP
            return context.attempts.after_loss()
        executed = result.response_class is ResponseClass.SUCCESS or (
            result.response_class is ResponseClass.FAILURE
            and result.response.status < FIRST_FAILURE_STATUS
        )
        if executed:
            self.crash_tracker.clear(context.fingerprints)
        return context.attempts.after_response(
            result.response_class, result.response
        )

    async def send_with_hedge(
        self, context: RequestContext, grant: Grant
    ) -> SendResult:
        """Sends a request, and hedges it if the response is overdue.

        Returns:
            The best result; the attempt that is still running is cancelled.
        """
        if not context.route.idempotent:
            return await self.sender.send(context, grant)
        try:
            hedge_delay_s = self.hedge_at(context, grant) - self.clock()
        except BaseException:
            self.lease_manager.release(
                context.service, grant, LeaseResult.UNUSED, 0.0
            )
            raise
        # Until the first await nothing may fail: a task that is cancelled
        # before it begins releases no lease.
        first: Task[SendResult | None]
        first = create_task(self.sender.send(context, grant))
        tasks: set[Task[SendResult | None]] = {first}
        try:
            await wait(tasks, timeout=max(0.0, hedge_delay_s))
            if not first.done() and context.attempts.may_hedge():
                tasks.add(create_task(self.send_hedge(context)))
            return await best_result(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def send_hedge(self, context: RequestContext) -> SendResult | None:
        """Sends a request once more, to a server that may still be in time.

        Returns:
            The result; None if there is no such server.
        """
        remaining_s = context.deadline_at - self.clock()
        grant = await self.acquire_lease(context, max_duration_s=remaining_s)
        if isinstance(grant, Refusal):
            return None
        return await self.sender.send(context, grant)

    def hedge_at(self, context: RequestContext, grant: Grant) -> float:
        """Returns when to hedge a request, in monotonic seconds.

        A hedge that is sent then can still meet the latency objective,
        unless the execution itself takes most of that time.
        """
        objective_at = context.first_sent_at + context.route.objective_s
        latest_delay_s = (
            objective_at
            - self.clock()
            - HEDGE_DURATION_FACTOR * grant.expected_duration_s
        )
        return self.clock() + max(
            latest_delay_s, HEDGE_DELAY_FACTOR * grant.expected_duration_s
        )

    def deliver(self, context: RequestContext, response: Response) -> Response:
        """Returns a server's response as the caller gets it."""
        name = context.route.name
        average = self.response_kilobytes.get(name, DEFAULT_RESPONSE_KILOBYTES)
        kilobytes = len(response.body) / 1024
        self.response_kilobytes[name] = average + RESPONSE_SIZE_WEIGHT * (
            kilobytes - average
        )
        self.request_log.answered(context, response.status, self.clock())
        return self.header_codec.caller_response(response)

    def refuse(
        self, context: RequestContext, reason: str, retry_after_s: float
    ) -> Response:
        """Returns status 503 for a request that was not executed.

        Args:
            context: The request.
            reason: Why, as written into the log.
            retry_after_s: Value for Retry-After in seconds.
        """
        now = self.clock()
        self.caller_timeouts.record_refusal(now)
        self.request_log.refused(context, reason, retry_after_s, now)
        return self.header_codec.error_response(
            503, context.request_id, retry_after_s
        )

    def fail(
        self, context: RequestContext, reason: str, status: int
    ) -> Response:
        """Returns an error for a request that may have been executed.

        Args:
            context: The request.
            reason: Why, as written into the log.
            status: The HTTP status, 502 or 504.
        """
        self.request_log.failed(context, reason, status, self.clock())
        return self.header_codec.error_response(
            status, context.request_id, None
        )

    def refuse_unrouted(
        self, request_id: str, reason: str, status: int
    ) -> Response:
        """Returns an error for a request that has no route on this host.

        Args:
            request_id: The request's id, or empty.
            reason: Why, as written into the log.
            status: 404 for no matching route, 503 for no configuration.
        """
        self.request_log.unrouted(request_id, reason, status)
        retry_after_s = None
        if status == 503:
            retry_after_s = NO_CONFIGURATION_RETRY_AFTER_S
        return self.header_codec.error_response(
            status, request_id, retry_after_s
        )


def find_route(route_table: RouteTable, request: Request) -> Route | None:
    """Returns the route of a request; None if none matches."""
    host = request.header(b'host').decode('latin-1').partition(':')[0]
    path = request.target.partition(b'?')[0].decode('latin-1')
    return route_table.find(host, path)


async def best_result(
    tasks: 'set[Task[SendResult | None]]',
) -> SendResult:
    """Returns the first success, else a response, else any other result.

    At least one of the tasks has a result other than None.

    Among the responses, those of class FAILURE are preferred, since the
    server handled the request.
    """
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
