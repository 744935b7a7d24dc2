"""Stateful test of a request: its events in any order."""

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


class RequestStateMachine(RuleBasedStateMachine):
    """Drives requests, one after the other."""

    @initialize(idempotent=st.booleans(), tokens=TOKENS)
    def start(self, idempotent: bool, tokens: float) -> None:
        """Starts a request with or without tokens for retries."""
        self.model = Model(idempotent=idempotent, tokens=tokens)

    @precondition(lambda self: self.last_action_is(Finish))
    @rule(idempotent=st.booleans(), tokens=TOKENS)
    def restart(self, idempotent: bool, tokens: float) -> None:
        """Starts another request after an outcome."""
        self.start(idempotent, tokens)

    def last_action_is(self, action_type: Any) -> bool:
        """Returns whether the latest action is of a type."""
        return isinstance(self.model.action, action_type)

    @rule(seconds=PAUSES_S)
    def pause(self, seconds: float) -> None:
        """Lets time pass, also beyond the deadline."""
        self.model.now += seconds

    @precondition(lambda self: self.last_action_is(Choose))
    @rule(age_ms=st.sampled_from([0, MAX_VIEW_AGE_MS + 1]))
    def choose(self, age_ms: int) -> None:
        """Chooses a server from a fresh or a stale view."""
        self.model.choose(age_ms=age_ms)
        if age_ms and not self.model.state.route.idempotent:
            assert_that(self.last_action_is(Send), Is(False))

    @precondition(lambda self: self.last_action_is(Choose))
    @rule(happens=RARELY)
    def refuse_server(self, happens: bool) -> None:
        """Reports that no server is available, in a tenth of the cases."""
        if happens:
            refusal = NotRun(Reason.NO_SERVER, 1_000)
            self.model.feed(ServerRefused(refusal))

    @precondition(lambda self: self.last_action_is(Confirm))
    @rule(confirmed=st.booleans())
    def confirm(self, confirmed: bool) -> None:
        """Feeds the reply of the server that was asked."""
        event = ServerConfirmed() if confirmed else ServerUnconfirmed()
        self.model.feed(event)

    @precondition(lambda self: self.last_action_is(Send))
    @rule(event=st.sampled_from([Connected(), Connected(), ConnectFailed()]))
    def connect(self, event: Event) -> None:
        """Establishes the connection, or fails to."""
        self.model.feed(event)

    @precondition(lambda self: self.last_action_is(Write))
    @rule(status=st.sampled_from([200, 404, 500]))
    def answer(self, status: int) -> None:
        """Has the server run the request and return a complete response."""
        self.model.run()
        self.model.feed(AnswerRead(status, (), b''))

    @precondition(lambda self: self.last_action_is(Write))
    @rule()
    def shed(self) -> None:
        """Has the server shed the request before it starts."""
        self.model.feed(Shed(500))

    @precondition(lambda self: self.last_action_is(Write))
    @rule(runs=st.booleans(), reason=LOSSES)
    def lose(self, runs: bool, reason: Reason) -> None:
        """Breaks the exchange before or after the server ran the request."""
        if runs:
            self.model.run()
        self.model.lose(reason)

    @rule(runs=st.booleans(), disconnected=st.booleans(), happens=RARELY)
    def end_request(
        self, runs: bool, disconnected: bool, happens: bool
    ) -> None:
        """Passes the deadline or disconnects the caller, at any step."""
        if not happens:
            return
        if self.last_action_is(Write) and runs:
            self.model.run()
        self.model.feed(CallerLeft() if disconnected else DeadlinePassed())

    @precondition(lambda self: self.last_action_is(Finish))
    @rule(event=LATE_EVENTS)
    def feed_late_event(self, event: Event) -> None:
        """Feeds an event after the outcome, which must change nothing."""
        self.model.feed(event)


TestRequestState = RequestStateMachine.TestCase
TestRequestState.settings = settings(max_examples=200, stateful_step_count=60)
