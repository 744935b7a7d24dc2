"""Drives homes: their timer and the tasks that wait for a lease."""

from asyncio import Future
from asyncio import get_running_loop
from asyncio import timeout
from asyncio import TimerHandle
from collections.abc import Callable
from collections.abc import Iterable
from random import Random

from mode import Service

from cowslipmill.coordination.lease import Decision
from cowslipmill.coordination.lease import EntryLeaseKey
from cowslipmill.coordination.lease import EntryLeaseRequest
from cowslipmill.coordination.lease import Granted
from cowslipmill.coordination.lease import Queued
from cowslipmill.coordination.lease import Refused
from cowslipmill.coordination.lease import Report
from cowslipmill.coordination.scheduler import EntryScheduler
from cowslipmill.outcomes.outcome import Reason

POLL_S = 0.02
LOST_TICKET_RETRY_AFTER_MS = 100


class EntryLeaseManager(Service):
    """The homes of one process.

    Attributes:
        schedulers: Homes by service.
        waiters: Who waits for the decision on a queued ticket.
    """

    def __init__(self, clock: Callable[[], float], random: Random) -> None:
        """Starts without homes."""
        super().__init__()
        self.clock = clock
        self.random = random
        self.schedulers: dict[str, EntryScheduler] = {}
        self.waiters: dict[EntryLeaseKey, Future[Decision]] = {}
        self.timer: TimerHandle | None = None

    async def on_stop(self) -> None:
        """Stops the timer."""
        if self.timer is not None:
            self.timer.cancel()

    def start_timer(self) -> None:
        """Has the homes polled soon; an idle process keeps no timer."""
        if self.timer is None and not self.should_stop:
            loop = get_running_loop()
            self.timer = loop.call_later(POLL_S, self.poll)

    def poll(self) -> None:
        """Ends tickets and leases whose time is over."""
        self.timer = None
        for home in self.schedulers.values():
            if home.leases or home.queue:
                self.resolve_waiters(home.poll(self.clock(), self.random))
                self.start_timer()

    def resolve_waiters(self, decisions: Iterable[Decision]) -> None:
        """Wakes those that wait for one of the decisions."""
        for decision in decisions:
            waiter = self.waiters.pop(decision.key, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision)

    def acquire(
        self, service: str, lease_request: EntryLeaseRequest
    ) -> Decision:
        """Returns the present decision on a ticket."""
        home = self.schedulers.get(service)
        if home is None:
            return Refused(lease_request.key, Reason.STALE_VIEW, 0)
        decision, *others = home.acquire(
            lease_request, self.clock(), self.random
        )
        self.start_timer()
        self.resolve_waiters(others)
        return decision

    async def wait(
        self, service: str, key: EntryLeaseKey, wait_s: float
    ) -> Decision:
        """Returns the decision on a queued ticket, or that it still waits."""
        home = self.schedulers.get(service)
        if home is not None and key in home.leases:
            return Granted(key, home.leases[key].slots.record)
        if home is None or key not in home.queue.requests:
            return Refused(key, Reason.OVERLOADED, LOST_TICKET_RETRY_AFTER_MS)
        waiter = get_running_loop().create_future()
        self.waiters[key] = waiter
        try:
            async with timeout(wait_s):
                decision: Decision = await waiter
                return decision
        except TimeoutError:
            return Queued(key)
        finally:
            if self.waiters.get(key) is waiter:
                del self.waiters[key]

    def release(
        self, service: str, key: EntryLeaseKey, report: Report
    ) -> None:
        """Takes back a lease or a ticket."""
        home = self.schedulers.get(service)
        if home is not None:
            self.resolve_waiters(
                home.release(key, report, self.clock(), self.random)
            )
