"""Runs a slot scheduler: probes servers and delivers its decisions."""

from asyncio import create_task
from asyncio import Event
from asyncio import FIRST_COMPLETED
from asyncio import Future
from asyncio import get_running_loop
from asyncio import Task
from asyncio import wait
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from cowslipmill.leasing.blocks import log_block
from cowslipmill.leasing.blocks import log_ejection
from cowslipmill.leasing.leaserequest import AskOtherDomains
from cowslipmill.leasing.leaserequest import Decision
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.leaserequest import NO_PATH
from cowslipmill.leasing.leaserequest import OUT_OF_SERVICE
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.prober import Prober
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.leasing.slots import ServerSlots

# Longest wait of a decision for load reports; a server in the same failure
# domain responds in about 1.5 ms.
MAX_PROBE_WAIT_S = 0.005
# Interval after which queued requests are decided on again.
RECHECK_INTERVAL_S = 0.02

Reply = Grant | Refusal
ReleaseUnused = Callable[[LeaseRequest, Grant], None]
AcquireFromOthers = Callable[[LeaseRequest, float], Awaitable[Reply | None]]


class Coordinator:
    """Coordinates the leases of one service in one failure domain.

    Attributes:
        scheduler: Makes the decisions.
        prober: Probes servers for their load.
        reaches_servers: Tells whether this host reaches any of the servers.
        acquire_from_others: Requests a lease from other failure domains, for
            a server with at most an expected duration in seconds.
        release_unused: Releases a lease whose request no longer waits for it,
            also one of another failure domain.
        health_path: Path at which its servers report their load.
        waiters: Decisions that queued requests wait for, by lease key.
        wake: Set when there is something new to decide on.
        task: The decision loop; None before the first request.
        remote_attempts: Requests to other failure domains in progress.
    """

    def __init__(
        self,
        scheduler: SlotScheduler,
        prober: Prober,
        reaches_servers: Callable[[], bool],
        acquire_from_others: AcquireFromOthers,
        release_unused: ReleaseUnused,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Starts without requests."""
        self.scheduler = scheduler
        self.prober = prober
        self.reaches_servers = reaches_servers
        self.acquire_from_others = acquire_from_others
        self.release_unused = release_unused
        self.clock = clock
        self.random = random
        self.health_path = '/'
        self.waiters: dict[LeaseKey, Future[Reply]] = {}
        self.wake = Event()
        self.task: Task[None] | None = None
        self.remote_attempts: set[Task[None]] = set()

    async def acquire(self, request: LeaseRequest) -> Reply:
        """Queues a request and returns the decision once there is one."""
        waiter: Future[Reply] = get_running_loop().create_future()
        self.waiters[request.key] = waiter
        self.scheduler.enqueue(request)
        self.start()
        try:
            return await waiter
        except BaseException:
            # The decision may have come before the cancellation took effect.
            if waiter.done() and not waiter.cancelled():
                decision = waiter.result()
                if isinstance(decision, Grant):
                    self.release_unused(request, decision)
            raise
        finally:
            if self.waiters.get(request.key) is waiter:
                del self.waiters[request.key]
                self.scheduler.cancel(request.key)

    def start(self) -> None:
        """Wakes the decision loop, or starts it if it has ended."""
        self.wake.set()
        if self.task is None or self.task.done():
            self.task = create_task(self.run())

    def record_result(self, report: Report, reporter: str) -> None:
        """Records how a lease ended and decides on queued requests again.

        Args:
            report: How the lease ended.
            reporter: Name of the host that reports it.
        """
        now = self.clock()
        if self.scheduler.record_result(report, now):
            log_block(
                report.server,
                report.service,
                report.result.name.lower(),
                reporter,
            )
        change = self.scheduler.ejection_change
        if change is not None:
            log_ejection(
                change,
                report.server,
                report.service,
                self.scheduler.servers[report.server].ejection,
                reporter,
                now,
            )
        if self.scheduler.queue:
            self.start()

    async def run(self) -> None:
        """Decides until no request is queued."""
        while self.scheduler.queue:
            self.wake.clear()
            probed_at = self.clock()
            await self.probe_servers()
            if not self.reaches_servers():
                self.give_away_queue()
            elif self.scheduler.is_out_of_service():
                self.refuse_queue(OUT_OF_SERVICE)
            decisions = self.scheduler.decide(
                self.clock(), self.random, probed_at=probed_at
            )
            for decision in decisions:
                self.deliver(decision)
            if self.scheduler.queue and not self.wake.is_set():
                loop = get_running_loop()
                timer = loop.call_later(RECHECK_INTERVAL_S, self.wake.set)
                await self.wake.wait()
                timer.cancel()

    def give_away_queue(self) -> None:
        """Refuses the requests that another host may coordinate."""
        for request in list(self.scheduler.queue):
            if request.may_move and not request.remote_attempt_pending:
                self.scheduler.cancel(request.key)
                waiting = len(self.scheduler.queue)
                self.deliver(Refusal(request.key, NO_PATH, 0.0, waiting))

    def refuse_queue(self, reason: str) -> None:
        """Refuses all queued requests, which may be decided on elsewhere.

        Args:
            reason: Why, as in the refusals.
        """
        waiting = len(self.scheduler.queue)
        for request in list(self.scheduler.queue):
            self.scheduler.cancel(request.key)
            self.deliver(Refusal(request.key, reason, 0.0, waiting))

    async def probe_servers(self) -> None:
        """Probes servers until enough free slots at fast ones are known.

        Returns after `MAX_PROBE_WAIT_S` at the latest; probes that are still
        in progress go on.
        """
        servers = self.scheduler.servers_to_probe(self.clock(), self.random)
        if not servers:
            return
        end_at = self.clock() + MAX_PROBE_WAIT_S
        pending = {create_task(self.probe_server(s)) for s in servers}
        while pending:
            remaining_s = end_at - self.clock()
            if remaining_s <= 0.0:
                return
            _, pending = await wait(
                pending, timeout=remaining_s, return_when=FIRST_COMPLETED
            )
            if self.scheduler.has_enough_fast_slots(self.clock()):
                return

    async def probe_server(self, server: ServerSlots) -> None:
        """Probes one server for its load."""
        await self.prober.probe(server, self.health_path)

    def deliver(self, decision: Decision) -> None:
        """Passes a decision to the request that waits for it.

        A lease is released if its request no longer waits.
        """
        if isinstance(decision, AskOtherDomains):
            task = create_task(self.ask_other_domains(decision))
            self.remote_attempts.add(task)
            task.add_done_callback(self.remote_attempts.discard)
            return
        waiter = self.waiters.get(decision.key)
        if waiter is not None and not waiter.done():
            waiter.set_result(decision)
        elif isinstance(decision, Grant):
            self.scheduler.release(decision)

    async def ask_other_domains(self, decision: AskOtherDomains) -> None:
        """Requests a lease from other failure domains.

        The lease is released if the request no longer waits for it.
        """
        request = decision.request
        reply = await self.acquire_from_others(
            request, decision.max_duration_s
        )
        waiter = self.waiters.get(request.key)
        if isinstance(reply, Grant) and waiter and not waiter.done():
            self.scheduler.cancel(request.key)
            self.scheduler.remote_pace.record_result(
                granted=True, now=self.clock()
            )
            waiter.set_result(reply)
            return
        if isinstance(reply, Grant):
            self.release_unused(request, reply)
        self.scheduler.end_remote_attempt(request, self.clock())
        self.start()
