"""Runs the keyed requests that this process owns, each at most once."""

from asyncio import create_task
from asyncio import Event
from asyncio import shield
from asyncio import Task
from asyncio import timeout
from collections.abc import Awaitable
from collections.abc import Callable

from cowslipmill.idempotency.outcomestore import OutcomeStore
from cowslipmill.idempotency.outcomestore import Respond
from cowslipmill.idempotency.outcomestore import Run
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.outcome import Unknown

RETRY_AFTER_MS = 1_000

Runner = Callable[[], Awaitable[Outcome]]


class KeyedRequests:
    """Outcomes of keyed requests, and those that still run.

    A keyed request runs to its outcome or its deadline even if its caller
    disconnects, so that a retry of the caller gets the response.

    Attributes:
        outcomes: Outcomes by key.
        clock: Returns monotonic seconds.
        running: Running requests by key.
        idle: Set while no request runs.
    """

    __slots__ = ('clock', 'idle', 'outcomes', 'running')

    def __init__(self, clock: Callable[[], float]) -> None:
        """Starts without outcomes."""
        self.outcomes = OutcomeStore()
        self.clock = clock
        self.running: dict[str, Task[Outcome]] = {}
        self.idle = Event()
        self.idle.set()

    async def serve(
        self, key: str, fingerprint: bytes, forget_at: float, runner: Runner
    ) -> Outcome:
        """Returns the outcome of a key, running its request if it is new.

        Args:
            key: The idempotency key.
            fingerprint: Hash of the request.
            forget_at: Until when the outcome is kept, monotonic seconds.
            runner: Serves the request; called only for a new key.
        """
        now = self.clock()
        decision = self.outcomes.admit(key, fingerprint, now, forget_at)
        if isinstance(decision, Respond):
            return decision.outcome
        if isinstance(decision, Run):
            self.running[key] = create_task(self.run(key, runner))
            self.idle.clear()
        return await shield(self.running[key])

    async def run(self, key: str, runner: Runner) -> Outcome:
        """Serves one request and stores its outcome.

        A runner that raises leaves an `Unknown` outcome.
        """
        outcome: Outcome = Unknown(Reason.INTERNAL_ERROR, RETRY_AFTER_MS)
        try:
            outcome = await runner()
            return outcome
        finally:
            self.outcomes.complete(key, outcome)
            del self.running[key]
            if not self.running:
                self.idle.set()

    async def drain(self, timeout_s: float) -> None:
        """Waits up to `timeout_s` until no request runs."""
        try:
            async with timeout(timeout_s):
                await self.idle.wait()
        except TimeoutError:
            return
