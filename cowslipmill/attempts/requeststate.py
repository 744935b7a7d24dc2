"""The state of one request and the function that moves it on.

The functions here neither wait nor read a clock: a driver passes in what
happened, with the present time, and carries out the action returned.
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
MAX_BROKEN_SERVERS = 2
RETRY_AFTER_MS = 1_000


class Phase(Enum):
    """How far the present try has come."""

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
        phase: How far the present try has come.
        server: The server of the present try, or None.
        tried: Names of servers that were chosen, in order.
        tried_domains: Failure domains of those servers.
        lost_servers: Servers that lost the connection while they had the
            request.
        may_have_run: Whether a byte may have reached a server that did not
            prove that it left the request alone, in a try that has ended.
        failed_answer: A server's answer that may be replaced by a better one.
        outcome: The outcome, once there is one.
    """

    __slots__ = (
        'lost_servers',
        'budget',
        'deadline_at',
        'tried_domains',
        'failed_answer',
        'may_have_run',
        'outcome',
        'phase',
        'route',
        'server',
        'tried',
    )

    def __init__(
        self, route: Route, budget: RetryBudget, deadline_at: float
    ) -> None:
        """Starts before the first try."""
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
        """Returns the first action."""
        self.budget.earn()
        return Choose(())

    def remaining_ms(self, now: float) -> int:
        """Returns the whole milliseconds until the deadline."""
        return max(0, int((self.deadline_at - now) * 1000))

    def start_attempt(self, server: Server) -> None:
        """Notes the server of the present try."""
        self.server = server
        self.tried.append(server.name)
        if server.record.failure_domain not in self.tried_domains:
            self.tried_domains.append(server.record.failure_domain)

    def end_attempt(self, *, ran: bool) -> None:
        """Ends the present try.

        Args:
            ran: Whether the server may have run the request.
        """
        self.may_have_run = self.may_have_run or ran
        self.phase = Phase.CHOOSING

    def finish(self, outcome: Outcome) -> Finish:
        """Sets the outcome; only the first one counts."""
        if self.outcome is None:
            self.outcome = outcome
        self.phase = Phase.FINISHED
        return Finish(self.outcome)

    def give_up(self, reason: Reason, retry_after_ms: int) -> Finish:
        """Returns the honest outcome of a request that got no answer."""
        if self.phase is Phase.SENT:
            self.end_attempt(ran=True)
        if self.failed_answer is not None:
            return self.finish(self.failed_answer)
        if self.may_have_run:
            return self.finish(Unknown(reason, retry_after_ms))
        return self.finish(NotRun(reason, retry_after_ms))

    def may_retry(self, now: float) -> bool:
        """Tells whether another try is allowed, and takes its token."""
        if self.may_have_run and not self.route.idempotent:
            return False
        if len(self.tried) >= MAX_ATTEMPTS:
            return False
        if len(self.lost_servers) >= MAX_BROKEN_SERVERS:
            return False
        if self.remaining_ms(now) <= 0:
            return False
        return self.budget.spend()

    def retry_or_give_up(
        self, reason: Reason, retry_after_ms: int, now: float
    ) -> Action:
        """Returns another try if one is allowed, else the outcome."""
        if self.may_retry(now):
            return Choose(tuple(self.tried), tuple(self.tried_domains))
        return self.give_up(reason, retry_after_ms)
