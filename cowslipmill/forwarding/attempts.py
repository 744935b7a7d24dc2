"""Decides whether a request is sent again, answered or given up.

Answers the load pattern of servers that fail, lose answers or refuse: what
may have run is sent again only if the route allows it, and every further
send draws on a budget, so that failures do not multiply the load.
"""

from enum import Enum

from cowslipmill.forwarding.headercodec import ResponseClass
from cowslipmill.http1.message import Response
from cowslipmill.tries.budget import RetryBudget
from cowslipmill.view.configuration import Route

# Servers tried for one request, those that refused or were out of reach
# included.
MAX_TRIES = 5
FIRST_FAILURE_STATUS = 500


class Next(Enum):
    """What follows an attempt."""

    AGAIN = 'again'
    DELIVER = 'deliver'
    GIVE_UP = 'give-up'


class Attempts:
    """The attempts of one request.

    Attributes:
        route: Its route.
        budget: Further sends that its service's requests have earned.
        excluded: Servers that are not tried again.
        sends: Times that the request was sent to a server.
        tries: Servers tried, also those out of reach.
        possible_executions: Sends after which it may have run.
        failure: A server's own failure, if there is nothing better.
    """

    __slots__ = (
        'budget',
        'excluded',
        'failure',
        'possible_executions',
        'route',
        'sends',
        'tries',
    )

    def __init__(self, route: Route, budget: RetryBudget) -> None:
        """Starts before the first attempt."""
        self.route = route
        self.budget = budget
        self.excluded: list[str] = []
        self.sends = 0
        self.tries = 0
        self.possible_executions = 0
        self.failure: Response | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run the request."""
        return self.possible_executions > 0

    def note_send(self, server: str) -> None:
        """Counts an attempt that is about to be sent."""
        self.sends += 1
        self.tries += 1
        self.possible_executions += 1
        self.excluded.append(server)

    def after_unreachable(self, server: str) -> Next:
        """Returns what follows a server to which nothing was sent."""
        self.tries += 1
        self.excluded.append(server)
        return Next.AGAIN if self.tries < MAX_TRIES else Next.GIVE_UP

    def after_answer(self, verdict: ResponseClass, answer: Response) -> Next:
        """Returns what follows an answer."""
        if verdict in (ResponseClass.SHED, ResponseClass.WRONG_SERVER):
            self.possible_executions -= 1
            return self.again_or(Next.GIVE_UP)
        if verdict is ResponseClass.UNPROVEN:
            return self.after_loss()
        if verdict is ResponseClass.NOT_ACCEPTED:
            self.possible_executions -= 1
        failed = answer.status >= FIRST_FAILURE_STATUS
        if (
            verdict is ResponseClass.FAILURE
            and failed
            and self.route.idempotent
        ):
            self.failure = answer
            return self.again_or(Next.DELIVER)
        return Next.DELIVER

    def after_loss(self) -> Next:
        """Returns what follows an exchange without a whole answer."""
        if not self.route.idempotent:
            return Next.GIVE_UP
        return self.again_or(Next.GIVE_UP)

    def again_or(self, otherwise: Next) -> Next:
        """Returns another send if one is allowed, and draws on the budget."""
        if (
            self.tries >= MAX_TRIES
            or self.possible_executions >= self.route.max_attempts
        ):
            return otherwise
        if self.possible_executions and not self.route.idempotent:
            return otherwise
        return Next.AGAIN if self.budget.spend() else otherwise

    def may_hedge(self) -> bool:
        """Tells whether a second copy may be sent while the first runs."""
        return (
            self.route.idempotent
            and self.possible_executions < self.route.max_attempts
            and self.budget.spend()
        )
