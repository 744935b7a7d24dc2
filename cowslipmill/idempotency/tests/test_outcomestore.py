"""Any interleaving of requests with keys at their home."""

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
from cowslipmill.idempotency.outcomestore import RECORD_BYTES
from cowslipmill.idempotency.outcomestore import Respond
from cowslipmill.idempotency.outcomestore import Run
from cowslipmill.idempotency.outcomestore import Wait
from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Outcome
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.outcomes.outcome import Unknown

KEYS = ('a', 'b', 'c')
MAX_BYTES = 2 * RECORD_BYTES + 100
RETENTION_S = 60.0


class MemoryMachine(RuleBasedStateMachine):
    """A memory with room for two of three keys."""

    def __init__(self) -> None:
        """Starts with nothing remembered."""
        super().__init__()
        self.memory = OutcomeStore(max_records=2, max_bytes=MAX_BYTES)
        self.now = 0.0
        self.running: set[str] = set()
        self.ran: dict[str, tuple[float, Outcome]] = {}

    @rule(key=st.sampled_from(KEYS), same=st.booleans())
    def send(self, key: str, same: bool) -> None:
        """A caller sends a request, or another one with the same key."""
        body = b'first' if same else b'other'
        forget_at = self.now + RETENTION_S
        verdict = self.memory.admit(key, body, self.now, forget_at)
        match verdict:
            case Run():
                assert_that(key in self.running, Equals(False))
                assert_that(self.is_remembered(key), Equals(False))
                self.running.add(key)
            case Wait():
                assert_that(key in self.running, Equals(True))
            case Respond(outcome):
                self.check_told(key, outcome)

    def is_remembered(self, key: str) -> bool:
        """Tells whether a key ran within the retention."""
        return key in self.ran and self.now < self.ran[key][0]

    def check_told(self, key: str, outcome: Outcome) -> None:
        """A refusal runs nothing; else the first outcome is told again."""
        if isinstance(outcome, NotRun):
            known = key in self.memory.records
            reason = Reason.KEY_REUSED if known else Reason.KEY_MEMORY_FULL
            assert_that(outcome.reason, Equals(reason))
            return
        first = self.ran[key][1]
        if isinstance(first, Answered) and outcome != first:
            assert_that(outcome, IsInstance(Unknown))
        else:
            assert_that(outcome, Equals(first))

    @precondition(lambda self: self.running)
    @rule(kind=st.sampled_from(['answer', 'large', 'unknown', 'not-run']))
    def end(self, kind: str) -> None:
        """The oldest running request ends."""
        key = sorted(self.running)[0]
        self.running.remove(key)
        outcomes: dict[str, Outcome] = {
            'answer': Answered(200, (), key.encode()),
            'large': Answered(200, (), bytes(MAX_BYTES)),
            'unknown': Unknown(Reason.CONNECTION_LOST),
            'not-run': NotRun(Reason.SHED, 1_000),
        }
        forget_at = self.memory.records[key].forget_at
        self.memory.complete(key, outcomes[kind])
        if kind != 'not-run':
            self.ran[key] = (forget_at, outcomes[kind])

    @rule(seconds=st.sampled_from([1.0, 20.0, 70.0]))
    def pause(self, seconds: float) -> None:
        """Time passes and old records may go."""
        self.now += seconds
        self.memory.purge(self.now)

    @invariant()
    def check_bounds(self) -> None:
        """The memory stays within its bounds and counts its bytes."""
        assert_that(len(self.memory.records), LessThan(3))
        assert_that(self.memory.bytes, LessThan(MAX_BYTES + 1))


TestMemory = MemoryMachine.TestCase
TestMemory.settings = settings(max_examples=100, stateful_step_count=40)


def test_a_full_memory_says_when_to_come_back() -> None:
    """It looks through its records once a second, not for each refusal."""
    memory = OutcomeStore(max_records=1)
    memory.admit('a', b'', 0.0, 30.0)
    memory.complete('a', Answered(200, (), b''))
    for now, retry_after_ms in ((10.0, 20_000), (10.5, 19_500)):
        expected = NotRun(Reason.KEY_MEMORY_FULL, retry_after_ms)
        verdict = memory.admit('b', b'', now, 60.0)
        assert_that(verdict, Equals(Respond(expected)))
    assert_that(memory.purge_at, Equals(11.0))
    assert_that(memory.admit('b', b'', 30.0, 60.0), Equals(Run()))


def test_another_request_with_the_same_key_is_refused() -> None:
    """A key stands for one request, whether it runs or has ended."""
    memory = OutcomeStore()
    memory.admit('a', b'first', 0.0, RETENTION_S)
    for _ in range(2):
        verdict = memory.admit('a', b'other', 0.0, RETENTION_S)
        assert isinstance(verdict, Respond)
        assert isinstance(verdict.outcome, NotRun)
        assert_that(verdict.outcome.reason, Equals(Reason.KEY_REUSED))
        memory.complete('a', Answered(200, (), b''))
