"""Tests of suspect requests."""

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.suspects.suspects import Allow
from cowslipmill.suspects.suspects import CRASH_LIMIT
from cowslipmill.suspects.suspects import MAX_PENALTY_MS
from cowslipmill.suspects.suspects import SuspectRequests
from cowslipmill.suspects.suspects import Trial

CRASHER = b'crasher'
ENTRIES = 3

STEPS = st.lists(
    st.tuples(st.integers(0, ENTRIES - 1), st.sampled_from([0.0, 0.3, 5.0])),
    max_size=60,
)


@given(STEPS)
def test_a_crashing_request_stops_at_the_limit(
    steps: list[tuple[int, float]],
) -> None:
    """Whichever entries get it, only trials crash further servers."""
    fleet = [SuspectRequests() for _ in range(ENTRIES)]
    now = 0.0
    crashes = 0
    trials = 0
    for index, pause in steps:
        now += pause
        verdict = fleet[index].check(CRASHER, now)
        if isinstance(verdict, NotRun):
            assert_that(verdict.retry_after_ms, LessThan(MAX_PENALTY_MS + 1))
            continue
        trials += isinstance(verdict, Trial)
        crashes += 1
        for suspects in fleet:
            suspects.report_crash(CRASHER, f'server-{crashes}', now)
    assert_that(crashes - trials, LessThan(CRASH_LIMIT + 1))


def make_suspect() -> SuspectRequests:
    """Returns suspects in which one request is refused until 1 s."""
    suspects = SuspectRequests()
    for server in ('server-1', 'server-2'):
        suspects.report_crash(CRASHER, server, 0.0)
    return suspects


def test_the_same_server_counts_once() -> None:
    """One server's crash that two entries report makes no suspect."""
    suspects = SuspectRequests()
    for _ in range(5):
        suspects.report_crash(CRASHER, 'server-1', 0.0)
    assert_that(suspects.check(CRASHER, 0.0), Equals(Allow()))


def test_one_trial_at_a_time() -> None:
    """While a trial runs, the request is refused."""
    suspects = make_suspect()
    assert_that(suspects.check(CRASHER, 0.5), IsInstance(NotRun))
    assert_that(suspects.check(CRASHER, 2.0), Equals(Trial()))
    assert_that(suspects.check(CRASHER, 2.0), IsInstance(NotRun))
    suspects.end_trial(CRASHER)
    assert_that(suspects.check(CRASHER, 2.0), Equals(Trial()))


def test_the_penalty_grows_with_each_crash() -> None:
    """A trial that crashes a third server doubles the wait."""
    suspects = make_suspect()
    suspects.check(CRASHER, 2.0)
    suspects.report_crash(CRASHER, 'server-3', 2.0)
    verdict = suspects.check(CRASHER, 2.0)
    assert isinstance(verdict, NotRun)
    assert_that(verdict.retry_after_ms, Equals(2_000))


def test_an_innocent_request_recovers_by_itself() -> None:
    """A clean answer to the trial ends the suspicion."""
    suspects = make_suspect()
    suspects.check(CRASHER, 2.0)
    suspects.clear(CRASHER)
    assert_that(suspects.check(CRASHER, 2.0), Equals(Allow()))


def test_memory_is_bounded() -> None:
    """The oldest suspicion goes first."""
    suspects = SuspectRequests(max_records=2)
    for name in (b'a', b'b', b'c'):
        suspects.report_crash(name, 'server-1', 0.0)
    assert_that(list(suspects.records), Equals([b'b', b'c']))


def test_the_same_server_counts_again_after_its_restart() -> None:
    """A request that crashes one server over and over is stopped too."""
    suspects = SuspectRequests()
    for now in (0.0, 1.0):
        suspects.report_crash(CRASHER, 'server-1', now)
    assert_that(suspects.check(CRASHER, 1.0), IsInstance(NotRun))
