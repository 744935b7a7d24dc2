"""Tests of the outcome store with random sequences of keyed requests.

Guards against running a request twice while its outcome is stored, and
against a store that grows beyond its limits.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from cowslipmill.idempotency.outcomestore import OutcomeStore
from cowslipmill.idempotency.outcomestore import RECORD_OVERHEAD_BYTES
from cowslipmill.idempotency.outcomestore import Respond
from cowslipmill.idempotency.outcomestore import Run
from cowslipmill.idempotency.outcomestore import Wait
from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.outcome import Unknown

KEYS = ('a', 'b', 'c')
MAX_BYTES = 2 * RECORD_OVERHEAD_BYTES + 100
RETENTION_S = 60.0


class OutcomeStoreMachine(RuleBasedStateMachine):
    """A store with room for two of three keys."""

    def __init__(self) -> None:
        """Starts with an empty store."""
        super().__init__()
        self.store = OutcomeStore(max_records=2, max_bytes=MAX_BYTES)
        self.now = 0.0
        self.running: set[str] = set()
        self.completed: dict[str, tuple[float, Outcome]] = {}

    @rule(key=st.sampled_from(KEYS), same=st.booleans())
    def send(self, key: str, same: bool) -> None:
        """A caller sends the first or a different request with a key."""
        body = b'first' if same else b'other'
        expires_at = self.now + RETENTION_S
        decision = self.store.admit(key, body, self.now, expires_at)
        match decision:
            case Run():
                assert_that(key in self.running, Equals(False))
                assert_that(self.is_retained(key), Equals(False))
                self.running.add(key)
            case Wait():
                assert_that(key in self.running, Equals(True))
            case Respond(outcome):
                self.check_response(key, outcome)

    def is_retained(self, key: str) -> bool:
        """Returns whether the outcome of a key must still be stored."""
        return key in self.completed and self.now < self.completed[key][0]

    def check_response(self, key: str, outcome: Outcome) -> None:
        """Checks the reason of a refusal, or that the outcome is the first.

        A response that was too large to store is replaced by `Unknown`.
        """
        if isinstance(outcome, NotRun):
            known = key in self.store.records
            reason = Reason.KEY_REUSED if known else Reason.KEY_MEMORY_FULL
            assert_that(outcome.reason, Equals(reason))
            return
        first = self.completed[key][1]
        if isinstance(first, Answered) and outcome != first:
            assert_that(outcome, IsInstance(Unknown))
        else:
            assert_that(outcome, Equals(first))

    @precondition(lambda self: self.running)
    @rule(kind=st.sampled_from(['answer', 'large', 'unknown', 'not-run']))
    def complete_first(self, kind: str) -> None:
        """The request of the first running key completes."""
        key = sorted(self.running)[0]
        self.running.remove(key)
        outcomes: dict[str, Outcome] = {
            'answer': Answered(200, (), key.encode()),
            'large': Answered(200, (), bytes(MAX_BYTES)),
            'unknown': Unknown(Reason.CONNECTION_LOST),
            'not-run': NotRun(Reason.SHED, 1_000),
        }
        expires_at = self.store.records[key].expires_at
        self.store.complete(key, outcomes[kind])
        if kind != 'not-run':
            self.completed[key] = (expires_at, outcomes[kind])

    @rule(seconds=st.sampled_from([1.0, 20.0, 70.0]))
    def advance_time(self, seconds: float) -> None:
        """Time passes and expired records are purged."""
        self.now += seconds
        self.store.purge(self.now)

    @invariant()
    def check_bounds(self) -> None:
        """The store stays within its limits of records and bytes."""
        assert_that(len(self.store.records), LessThan(3))
        assert_that(self.store.total_bytes, LessThan(MAX_BYTES + 1))


TestOutcomeStore = OutcomeStoreMachine.TestCase
TestOutcomeStore.settings = settings(max_examples=100, stateful_step_count=40)


def test_full_store_refuses_with_retry_delay() -> None:
    """The retry delay lasts until the first expiry; purges are 1 s apart."""
    store = OutcomeStore(max_records=1)
    store.admit('a', b'', 0.0, 30.0)
    store.complete('a', Answered(200, (), b''))
    for now, retry_after_ms in ((10.0, 20_000), (10.5, 19_500)):
        expected = NotRun(Reason.KEY_MEMORY_FULL, retry_after_ms)
        decision = store.admit('b', b'', now, 60.0)
        assert_that(decision, Equals(Respond(expected)))
    assert_that(store.next_purge_at, Equals(11.0))
    assert_that(store.admit('b', b'', 30.0, 60.0), Equals(Run()))


def test_different_request_with_the_same_key_is_refused() -> None:
    """It is refused while the first request runs and after its outcome."""
    store = OutcomeStore()
    store.admit('a', b'first', 0.0, RETENTION_S)
    for _ in range(2):
        decision = store.admit('a', b'other', 0.0, RETENTION_S)
        assert isinstance(decision, Respond)
        assert isinstance(decision.outcome, NotRun)
        assert_that(decision.outcome.reason, Equals(Reason.KEY_REUSED))
        store.complete('a', Answered(200, (), b''))
