"""Drives schedulers: their timer and the tasks that wait for a lease."""

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
LOST_REQUEST_RETRY_AFTER_MS = 100


class EntryLeaseManager(Service):
    """Schedulers of one process and the tasks that wait for their leases.

    Attributes:
        schedulers: Schedulers by service.
        waiters: Futures of the decisions on queued requests, by key.
        timer: Timer of the next poll, or None.
    """

    def __init__(self, clock: Callable[[], float], random: Random) -> None:
        """Starts without schedulers."""
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
        """Polls the schedulers in `POLL_S`; an idle process has no timer."""
        if self.timer is None and not self.should_stop:
            loop = get_running_loop()
            self.timer = loop.call_later(POLL_S, self.poll)

    def poll(self) -> None:
        """Ends requests and leases that have expired."""
        self.timer = None
        for scheduler in self.schedulers.values():
            if scheduler.leases or scheduler.queue:
                self.resolve_waiters(scheduler.poll(self.clock(), self.random))
                self.start_timer()

    def resolve_waiters(self, decisions: Iterable[Decision]) -> None:
        """Wakes the tasks that wait for these decisions."""
        for decision in decisions:
            waiter = self.waiters.pop(decision.key, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(decision)

    def acquire(
        self, service: str, lease_request: EntryLeaseRequest
    ) -> Decision:
        """Returns the current decision on a lease request."""
        scheduler = self.schedulers.get(service)
        if scheduler is None:
            return Refused(lease_request.key, Reason.STALE_VIEW, 0)
        decision, *others = scheduler.acquire(
            lease_request, self.clock(), self.random
        )
        self.start_timer()
        self.resolve_waiters(others)
        return decision

    async def wait(
        self, service: str, key: EntryLeaseKey, wait_s: float
    ) -> Decision:
        """Waits for the decision on a queued request.

        Args:
            service: Name of the service.
            key: Key of the request.
            wait_s: Longest wait in seconds.

        Returns:
            The decision; `Queued` if there is none yet.
        """
        scheduler = self.schedulers.get(service)
        if scheduler is not None and key in scheduler.leases:
            return Granted(key, scheduler.leases[key].slots.record)
        if scheduler is None or key not in scheduler.queue.requests:
            return Refused(key, Reason.OVERLOADED, LOST_REQUEST_RETRY_AFTER_MS)
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
        """Releases a lease or withdraws a queued request."""
        scheduler = self.schedulers.get(service)
        if scheduler is not None:
            self.resolve_waiters(
                scheduler.release(key, report, self.clock(), self.random)
            )
