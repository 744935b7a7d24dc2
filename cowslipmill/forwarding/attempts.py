"""Decides whether a request is retried, answered or abandoned.

For the case that servers fail, lose responses or shed load: a request that
may have been executed is retried only if its route is idempotent, and every
further send (a retry or a hedge) spends a token of a budget, so that failures
do not multiply the load.
"""

from enum import Enum

from cowslipmill.attempts.budget import RetryBudget
from cowslipmill.forwarding.headercodec import ResponseClass
from cowslipmill.http1.message import Response
from cowslipmill.view.configuration import Route

# Limit for one request; servers that shed it or could not be reached count
# as well.
MAX_SERVERS_TRIED = 5
FIRST_FAILURE_STATUS = 500


class NextStep(Enum):
    """What to do with a request after an attempt.

    Attributes:
        RETRY: Send it to another server.
        DELIVER: Return the server's response to the caller.
        GIVE_UP: Return an earlier error response of a server, else an error
            of this host.
    """

    RETRY = 'again'
    DELIVER = 'deliver'
    GIVE_UP = 'give-up'


class Attempts:
    """The attempts of one request.

    Attributes:
        route: The request's route.
        budget: Budget for retries and hedges of the request's service.
        excluded: Names of the servers that are not chosen for a further
            attempt.
        sends: Number of times that the request was sent to a server.
        servers_tried: Number of servers tried, including unreachable ones.
        possible_executions: Number of sends that may have executed the
            request; a send that the server verifiably did not execute is
            not counted.
        failure_response: The last error response of a server, delivered if
            no retry succeeds.
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
        """Creates the state before the first attempt."""
        self.route = route
        self.budget = budget
        self.excluded: list[str] = []
        self.sends = 0
        self.servers_tried = 0
        self.possible_executions = 0
        self.failure_response: Response | None = None

    @property
    def may_have_executed(self) -> bool:
        """Whether a server may have executed the request."""
        return self.possible_executions > 0

    def record_send(self, server: str) -> None:
        """Counts an attempt that is about to be sent to a server."""
        self.sends += 1
        self.servers_tried += 1
        self.possible_executions += 1
        self.excluded.append(server)

    def withdraw_send(self, server: str) -> None:
        """Undoes `record_send` for a request that reached no server."""
        self.sends -= 1
        self.servers_tried -= 1
        self.possible_executions -= 1
        self.excluded.remove(server)

    def after_unreachable(self, server: str) -> NextStep:
        """Returns the next step after a server could not be reached.

        Nothing was sent, so the retry is safe and does not spend a token.
        """
        self.servers_tried += 1
        self.excluded.append(server)
        return (
            NextStep.RETRY
            if self.servers_tried < MAX_SERVERS_TRIED
            else NextStep.GIVE_UP
        )

    def after_evacuation(self, server: str) -> NextStep:
        """Returns the next step after a server's domain was evacuated.

        Nothing was sent and the server has not failed, so that it doesn't
        count as tried. It is excluded for the case that the coordinator
        doesn't know of the evacuation yet.
        """
        self.excluded.append(server)
        return NextStep.RETRY

    def after_response(
        self, response_class: ResponseClass, response: Response
    ) -> NextStep:
        """Returns the next step after a response."""
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
        """Returns the next step if no complete response arrived."""
        if not self.route.idempotent:
            return NextStep.GIVE_UP
        return self.retry_or(NextStep.GIVE_UP)

    def retry_or(self, otherwise: NextStep) -> NextStep:
        """Returns RETRY if a retry is allowed, and spends a token on it.

        Args:
            otherwise: The step to return if a retry is not allowed.
        """
        if (
            self.servers_tried >= MAX_SERVERS_TRIED
            or self.possible_executions >= self.route.max_attempts
        ):
            return otherwise
        if self.possible_executions and not self.route.idempotent:
            return otherwise
        return NextStep.RETRY if self.budget.spend() else otherwise

    def may_hedge(self) -> bool:
        """Returns whether to hedge the request, and spends a token if so."""
        return (
            self.route.idempotent
            and self.possible_executions < self.route.max_attempts
            and self.budget.spend()
        )
