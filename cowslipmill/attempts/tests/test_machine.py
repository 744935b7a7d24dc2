"""Any interleaving of an exchange with servers that keep a ledger."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from testtools.assertions import assert_that
from testtools.matchers import Is

from cowslipmill.attempts.action import Choose
from cowslipmill.attempts.action import Confirm
from cowslipmill.attempts.action import Finish
from cowslipmill.attempts.action import Send
from cowslipmill.attempts.action import Write
from cowslipmill.attempts.advance import MAX_VIEW_AGE_MS
from cowslipmill.attempts.event import AnswerRead
from cowslipmill.attempts.event import CallerLeft
from cowslipmill.attempts.event import Connected
from cowslipmill.attempts.event import ConnectFailed
from cowslipmill.attempts.event import DeadlinePassed
from cowslipmill.attempts.event import Event
from cowslipmill.attempts.event import ServerConfirmed
from cowslipmill.attempts.event import ServerRefused
from cowslipmill.attempts.event import ServerUnconfirmed
from cowslipmill.attempts.event import Shed
from cowslipmill.attempts.tests.model import Model
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason

PAUSES_S = st.sampled_from([0.0, 0.001, 0.002, 0.003, 0.004, 0.1, 3.0])
RARELY = st.integers(0, 9).map(lambda number: number == 7)
TOKENS = st.sampled_from([0.0, 1.0, 5.0])
LOSSES = st.sampled_from([Reason.CONNECTION_LOST, Reason.ANSWER_TOO_LARGE])
LATE_EVENTS = st.sampled_from(
    [AnswerRead(200, (), b'late'), Connected(), Shed(1)]
)


class ExchangeMachine(RuleBasedStateMachine):
    """Drives exchanges, one after the other."""

    @initialize(idempotent=st.booleans(), tokens=TOKENS)
    def start(self, idempotent: bool, tokens: float) -> None:
        """Starts a request with or without retries to spend."""
        self.model = Model(idempotent=idempotent, tokens=tokens)

    @precondition(lambda self: self.is_at(Finish))
    @rule(idempotent=st.booleans(), tokens=TOKENS)
    def restart(self, idempotent: bool, tokens: float) -> None:
        """Goes on with another request."""
        self.start(idempotent, tokens)

    def is_at(self, kind: Any) -> bool:
        """Tells whether the core asked for an action of a kind."""
        return isinstance(self.model.action, kind)

    @rule(seconds=PAUSES_S)
    def pause(self, seconds: float) -> None:
        """Lets time pass, also beyond the deadline."""
        self.model.now += seconds

    @precondition(lambda self: self.is_at(Choose))
    @rule(age_ms=st.sampled_from([0, MAX_VIEW_AGE_MS + 1]))
    def choose(self, age_ms: int) -> None:
        """Finds a server in a fresh or an expired view."""
        self.model.choose(age_ms=age_ms)
        if age_ms and not self.model.exchange.route.idempotent:
            assert_that(self.is_at(Send), Is(False))

    @precondition(lambda self: self.is_at(Choose))
    @rule(happens=RARELY)
    def find_none(self, happens: bool) -> None:
        """Finds no server."""
        if happens:
            refusal = NotRun(Reason.NO_SERVER, 1_000)
            self.model.feed(ServerRefused(refusal))

    @precondition(lambda self: self.is_at(Confirm))
    @rule(takes_work=st.booleans())
    def confirm(self, takes_work: bool) -> None:
        """Hears from the server that was asked."""
        event = ServerConfirmed() if takes_work else ServerUnconfirmed()
        self.model.feed(event)

    @precondition(lambda self: self.is_at(Send))
    @rule(event=st.sampled_from([Connected(), Connected(), ConnectFailed()]))
    def connect(self, event: Event) -> None:
        """Gets a connection or none."""
        self.model.feed(event)

    @precondition(lambda self: self.is_at(Write))
    @rule(status=st.sampled_from([200, 404, 500]))
    def answer(self, status: int) -> None:
        """The server runs the request and its whole answer comes back."""
        self.model.run()
        self.model.feed(AnswerRead(status, (), b''))

    @precondition(lambda self: self.is_at(Write))
    @rule()
    def shed(self) -> None:
        """The server refuses before it starts."""
        self.model.feed(Shed(500))

    @precondition(lambda self: self.is_at(Write))
    @rule(runs=st.booleans(), reason=LOSSES)
    def lose(self, runs: bool, reason: Reason) -> None:
        """The exchange breaks before or after the server ran it."""
        if runs:
            self.model.run()
        self.model.lose(reason)

    @rule(runs=st.booleans(), left=st.booleans(), happens=RARELY)
    def end_early(self, runs: bool, left: bool, happens: bool) -> None:
        """The deadline passes or the caller leaves, at any step."""
        if not happens:
            return
        if self.is_at(Write) and runs:
            self.model.run()
        self.model.feed(CallerLeft() if left else DeadlinePassed())

    @precondition(lambda self: self.is_at(Finish))
    @rule(event=LATE_EVENTS)
    def come_late(self, event: Event) -> None:
        """An event after the outcome changes nothing."""
        self.model.feed(event)


TestExchange = ExchangeMachine.TestCase
TestExchange.settings = settings(max_examples=200, stateful_step_count=60)
