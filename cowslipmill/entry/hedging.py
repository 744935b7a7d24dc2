"""Hedging of slow idempotent requests."""

from asyncio import create_task
from asyncio import FIRST_COMPLETED
from asyncio import Task
from asyncio import wait
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from cowslipmill.attempts.budget import RetryBudget
from cowslipmill.attempts.event import AnswerRead
from cowslipmill.attempts.event import Event
from cowslipmill.document.document import Route
from cowslipmill.entry.metrics import HEDGES
from cowslipmill.limits.latency import RecentLatency

MIN_FAILURE_STATUS = 500

Hedge = Callable[[], Coroutine[Any, Any, Event | None]]


class Hedging:
    """Decides when to hedge, and bounds hedges by a budget per route.

    Attributes:
        clock: Returns monotonic seconds.
        latencies: Recent latencies by route name.
        budgets: Hedging budgets by route name.
    """

    __slots__ = ('budgets', 'clock', 'latencies')

    def __init__(self, clock: Callable[[], float]) -> None:
        """Starts without latencies and budgets."""
        self.clock = clock
        self.latencies: dict[str, RecentLatency] = {}
        self.budgets: dict[str, RetryBudget] = {}

    def count_request(self, route: Route, share: float) -> None:
        """Counts one request towards the hedging budget of its route.

        Args:
            route: The route; only idempotent ones are counted.
            share: Hedges allowed for each request, 0 to 1.
        """
        if not route.idempotent or not share:
            return
        budget = self.budgets.get(route.name)
        if budget is None or budget.share != share:
            budget = self.budgets[route.name] = RetryBudget(share)
        budget.earn()

    def record_latency(self, route: Route, started_at: float) -> None:
        """Records the latency of one answered attempt."""
        latency = self.latencies.setdefault(route.name, RecentLatency())
        latency.record(self.clock() - started_at)

    def delay_s(self, route: Route, share: float) -> float | None:
        """Returns the seconds before a hedge is due, or None for never.

        The delay is the 95th percentile of the route's recent latencies.
        """
        if not route.idempotent or not share:
            return None
        latency = self.latencies.get(route.name)
        return latency.p95_s if latency else None

    async def race(
        self,
        route: Route,
        first: Coroutine[Any, Any, Event],
        delay_s: float,
        hedge: Hedge,
    ) -> Event:
        """Runs an attempt, hedges it after a delay and returns one event.

        Args:
            route: The route, which is idempotent.
            first: The first attempt.
            delay_s: Seconds after which the hedge starts.
            hedge: Makes the hedge; returns None if no slot is free.
        """
        tasks: list[Task[Any]] = [create_task(first)]
        try:
            done, _ = await wait(tasks, timeout=delay_s)
            if done:
                return tasks[0].result()  # type: ignore[no-any-return]
            if self.budgets[route.name].spend():
                HEDGES.labels(route.name).inc()
                tasks.append(create_task(hedge()))
            return await first_success(tasks)
        finally:
            await cancel_pending(tasks)


async def first_success(tasks: list[Task[Any]]) -> Event:
    """Returns the first success, else the event of the first attempt."""
    pending = set(tasks)
    while pending:
        done, pending = await wait(pending, return_when=FIRST_COMPLETED)
        for task in done:
            if is_success(task.result()):
                return task.result()  # type: ignore[no-any-return]
    return tasks[0].result()  # type: ignore[no-any-return]


def is_success(event: Event | None) -> bool:
    """Tells whether an attempt got a response below status 500."""
    return isinstance(event, AnswerRead) and event.status < MIN_FAILURE_STATUS


async def cancel_pending(tasks: list[Task[Any]]) -> None:
    """Cancels the unfinished attempts and waits until they have ended."""
    pending: list[Awaitable[Any]] = [task for task in tasks if not task.done()]
    for task in tasks:
        task.cancel()
    if pending:
        await wait([task for task in tasks if not task.done()])
