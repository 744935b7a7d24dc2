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
MAX_SERVERS_TRIED = 5
FIRST_FAILURE_STATUS = 500


class NextStep(Enum):
    """What follows an attempt."""

    RETRY = 'again'
    DELIVER = 'deliver'
    GIVE_UP = 'give-up'


class Attempts:
    """The attempts of one request.

    Attributes:
        route: Its route.
        budget: Further sends that its service's requests have earned.
        excluded: Servers that are not tried again.
        sends: Times that the request was sent to a server.
        servers_tried: Servers tried, also those out of reach.
        possible_executions: Sends after which it may have run.
        failure_response: A server's own failure, if there is nothing better.
    """

    __slots__ = (
        'budget',
        'excluded',
        'failure_response',
        'possible_executions',
        'route',
        'sends',
        'servers_tried',
    )

    def __init__(self, route: Route, budget: RetryBudget) -> None:
        """Starts before the first attempt."""
        self.route = route
        self.budget = budget
        self.excluded: list[str] = []
        self.sends = 0
        self.servers_tried = 0
        self.possible_executions = 0
        self.failure_response: Response | None = None

    @property
    def may_have_executed(self) -> bool:
        """Whether a server may have run the request."""
        return self.possible_executions > 0

    def record_send(self, server: str) -> None:
        """Counts an attempt that is about to be sent."""
        self.sends += 1
        self.servers_tried += 1
        self.possible_executions += 1
        self.excluded.append(server)

    def after_unreachable(self, server: str) -> NextStep:
        """Returns what follows a server to which nothing was sent."""
        self.servers_tried += 1
        self.excluded.append(server)
        return (
            NextStep.RETRY
            if self.servers_tried < MAX_SERVERS_TRIED
            else NextStep.GIVE_UP
        )

    def after_response(
        self, response_class: ResponseClass, response: Response
    ) -> NextStep:
        """Returns what follows an answer."""
        if response_class in (ResponseClass.SHED, ResponseClass.WRONG_SERVER):
            self.possible_executions -= 1
            return self.retry_or(NextStep.GIVE_UP)
        if response_class is ResponseClass.UNVERIFIED:
            return self.after_loss()
        if response_class is ResponseClass.NOT_ACCEPTED:
            self.possible_executions -= 1
        failed = response.status >= FIRST_FAILURE_STATUS
        if (
            response_class is ResponseClass.FAILURE
            and failed
            and self.route.idempotent
        ):
            self.failure_response = response
            return self.retry_or(NextStep.DELIVER)
        return NextStep.DELIVER

    def after_loss(self) -> NextStep:
        """Returns what follows an exchange without a whole answer."""
        if not self.route.idempotent:
            return NextStep.GIVE_UP
        return self.retry_or(NextStep.GIVE_UP)

    def retry_or(self, otherwise: NextStep) -> NextStep:
        """Returns another send if one is allowed, and draws on the budget."""
        if (
            self.servers_tried >= MAX_SERVERS_TRIED
            or self.possible_executions >= self.route.max_attempts
        ):
            return otherwise
        if self.possible_executions and not self.route.idempotent:
            return otherwise
        return NextStep.RETRY if self.budget.spend() else otherwise

    def may_hedge(self) -> bool:
        """Tells whether a second copy may be sent while the first runs."""
        return (
            self.route.idempotent
            and self.possible_executions < self.route.max_attempts
            and self.budget.spend()
        )
