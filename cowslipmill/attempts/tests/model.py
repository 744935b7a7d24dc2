"""Test model: a request and a ledger of what its servers ran."""

from collections import Counter

from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Is
from testtools.matchers import LessThan
from testtools.matchers import Not

from cowslipmill.attempts.action import Action
from cowslipmill.attempts.action import Finish
from cowslipmill.attempts.action import Write
from cowslipmill.attempts.advance import advance
from cowslipmill.attempts.budget import RetryBudget
from cowslipmill.attempts.event import Event
from cowslipmill.attempts.event import ExchangeBroken
from cowslipmill.attempts.event import ServerChosen
from cowslipmill.attempts.requeststate import RequestState
from cowslipmill.attempts.tests.factories import make_route
from cowslipmill.attempts.tests.factories import make_server
from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason

DEADLINE_S = 2.0


class Model:
    """Feeds events to a request and checks each action against the ledger.

    Attributes:
        state: Request under test.
        action: Latest action.
        now: Current monotonic time in seconds.
        tokens: Retries that the budget allows.
        ran: Executions by server name.
        lost: Connections lost after the request was sent, by server name.
        outcomes: Outcomes of all `Finish` actions.
    """

    def __init__(self, *, idempotent: bool, tokens: float = 5.0) -> None:
        """Starts a request."""
        budget = RetryBudget(0.0)
        budget.tokens = tokens
        self.tokens = tokens
        self.now = 0.0
        self.ran: Counter[str] = Counter()
        self.lost: Counter[str] = Counter()
        self.outcomes: list[Outcome] = []
        route = make_route(idempotent=idempotent)
        self.state = RequestState(route, budget, DEADLINE_S)
        self.action: Action = self.state.start()

    def feed(self, event: Event) -> Action:
        """Feeds an event and checks the action that follows."""
        self.action = advance(event, self.state, self.now)
        if isinstance(self.action, Finish):
            self.outcomes.append(self.action.outcome)
            self.check_outcome(self.action.outcome)
        if isinstance(self.action, Write):
            self.check_write()
        return self.action

    def choose(self, *, age_ms: int = 0) -> Action:
        """Feeds a server that was not tried yet."""
        server = make_server(len(self.state.tried))
        return self.feed(ServerChosen(server, age_ms))

    def run(self) -> None:
        """Records that the current server ran the request."""
        self.ran[self.state.tried[-1]] += 1

    def lose(self, reason: Reason = Reason.CONNECTION_LOST) -> Action:
        """Breaks the exchange after the request was written."""
        if reason is Reason.CONNECTION_LOST:
            self.lost[self.state.tried[-1]] += 1
        return self.feed(ExchangeBroken(reason))

    def check_write(self) -> None:
        """Checks a write against the deadline, the budget and the ledger."""
        assert_that(self.now, LessThan(DEADLINE_S))
        assert_that(len(self.state.tried) - 1 <= self.tokens, Is(True))
        assert_that(len(self.lost), LessThan(2))
        if not self.state.route.idempotent:
            assert_that(self.ran.total(), Equals(0))
            assert_that(len(self.lost), Equals(0))

    def check_outcome(self, outcome: Outcome) -> None:
        """Checks that there is one outcome, which agrees with the ledger."""
        assert_that(outcome, Is(self.outcomes[0]))
        if isinstance(outcome, NotRun):
            assert_that(self.ran.total(), Equals(0))
        if isinstance(outcome, Answered):
            assert_that(self.ran[outcome.server], Not(Equals(0)))
