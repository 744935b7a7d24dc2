"""State of one request over all its attempts.

The code here neither waits nor reads a clock: a driver passes in each event
with the current time, and carries out the action that is returned.
"""

from enum import Enum

from cowslipmill.attempts.action import Action
from cowslipmill.attempts.action import Choose
from cowslipmill.attempts.action import Finish
from cowslipmill.attempts.budget import RetryBudget
from cowslipmill.choice.server import Server
from cowslipmill.document.document import Route
from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.outcome import Unknown

MAX_ATTEMPTS = 3
MAX_LOST_SERVERS = 2
RETRY_AFTER_MS = 1_000


class Phase(Enum):
    """Progress of the current attempt."""

    CHOOSING = 'choosing'
    CONFIRMING = 'confirming'
    CONNECTING = 'connecting'
    SENT = 'sent'
    FINISHED = 'finished'


class RequestState:
    """One request from its arrival to its outcome.

    Attributes:
        route: The route that was matched.
        budget: Retry budget of the route's service.
        deadline_at: When the caller stops waiting, monotonic seconds.
        phase: Progress of the current attempt.
        server: Server of the current attempt, or None.
        tried: Names of the servers chosen so far, in order.
        tried_domains: Failure domains of those servers.
        lost_servers: Servers whose connection was lost after the request was
            sent.
        may_have_run: Whether an attempt that has ended may have run the
            request: a byte may have reached a server that did not prove
            that it did not start.
        failed_answer: Latest failed response to an idempotent request; it is
            delivered unless a retry gets a response.
        outcome: Final outcome, or None until there is one.
    """

    __slots__ = (
        'budget',
        'deadline_at',
        'failed_answer',
        'lost_servers',
        'may_have_run',
        'outcome',
        'phase',
        'route',
        'server',
        'tried',
        'tried_domains',
    )

    def __init__(
        self, route: Route, budget: RetryBudget, deadline_at: float
    ) -> None:
        """Starts before the first attempt."""
        self.route = route
        self.budget = budget
        self.deadline_at = deadline_at
        self.phase = Phase.CHOOSING
        self.server: Server | None = None
        self.tried: list[str] = []
        self.tried_domains: list[str] = []
        self.lost_servers: list[Server] = []
        self.may_have_run = False
        self.failed_answer: Answered | None = None
        self.outcome: Outcome | None = None

    def start(self) -> Action:
        """Adds to the retry budget and returns the first action."""
        self.budget.earn()
        return Choose(())

    def remaining_ms(self, now: float) -> int:
        """Returns the whole milliseconds until the deadline."""
        return max(0, int((self.deadline_at - now) * 1000))

    def start_attempt(self, server: Server) -> None:
        """Records the server of a new attempt."""
        self.server = server
        self.tried.append(server.name)
        if server.record.failure_domain not in self.tried_domains:
            self.tried_domains.append(server.record.failure_domain)

    def end_attempt(self, *, ran: bool) -> None:
        """Ends the current attempt.

        Args:
            ran: Whether the server may have run the request.
        """
        self.may_have_run = self.may_have_run or ran
        self.phase = Phase.CHOOSING

    def finish(self, outcome: Outcome) -> Finish:
        """Sets the outcome unless it is set, and returns the last action."""
        if self.outcome is None:
            self.outcome = outcome
        self.phase = Phase.FINISHED
        return Finish(self.outcome)

    def give_up(self, reason: Reason, retry_after_ms: int) -> Finish:
        """Ends a request that got no successful response.

        The outcome is the failed response of an earlier attempt if there was
        one, `Unknown` if a server may have run the request, else `NotRun`.

        Args:
            reason: Why the request ends.
            retry_after_ms: Retry delay for the caller.
        """
        if self.phase is Phase.SENT:
            self.end_attempt(ran=True)
        if self.failed_answer is not None:
            return self.finish(self.failed_answer)
        if self.may_have_run:
            return self.finish(Unknown(reason, retry_after_ms))
        return self.finish(NotRun(reason, retry_after_ms))

    def spend_retry(self, now: float) -> bool:
        """Returns whether a retry is allowed, and spends a token if so."""
        if self.may_have_run and not self.route.idempotent:
            return False
        if len(self.tried) >= MAX_ATTEMPTS:
            return False
        if len(self.lost_servers) >= MAX_LOST_SERVERS:
            return False
        if self.remaining_ms(now) <= 0:
            return False
        return self.budget.spend()

    def retry_or_give_up(
        self, reason: Reason, retry_after_ms: int, now: float
    ) -> Action:
        """Returns a retry if one is allowed, else ends the request."""
        if self.spend_retry(now):
            return Choose(tuple(self.tried), tuple(self.tried_domains))
        return self.give_up(reason, retry_after_ms)
