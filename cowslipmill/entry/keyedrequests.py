"""Runs the requests whose key names this process, each at most once."""

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
    """The memory of this process and the keyed requests that it runs.

    A keyed request runs to its outcome or its deadline even when its caller
    leaves, so that the caller finds the answer when it sends it again.

    Attributes:
        outcomes: Outcomes by key.
        clock: Returns monotonic seconds.
        running: Requests that run now, by key.
        idle: Set whenever none runs.
    """

    __slots__ = ('clock', 'idle', 'outcomes', 'running')

    def __init__(self, clock: Callable[[], float]) -> None:
        """Starts with nothing remembered."""
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
            key: The key.
            fingerprint: Hash of the request.
            forget_at: Until when the outcome is remembered.
            runner: Serves the request.
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
        """Serves one request and remembers its outcome."""
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
        """Waits for the requests that run, for a bounded time."""
        try:
            async with timeout(timeout_s):
                await self.idle.wait()
        except TimeoutError:
            return
