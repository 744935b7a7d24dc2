"""What follows an attempt."""

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import LessThan

from cowslipmill.forwarding.attempts import Attempts
from cowslipmill.forwarding.attempts import NextStep
from cowslipmill.forwarding.headercodec import ResponseClass
from cowslipmill.http1.message import Response
from cowslipmill.tries.budget import RetryBudget
from cowslipmill.view.tests.conftest import make_route

RICH = 99.0
ANSWERS = {
    ResponseClass.SUCCESS: 200,
    ResponseClass.FAILURE: 500,
    ResponseClass.SHED: 503,
    ResponseClass.WRONG_SERVER: 421,
    ResponseClass.NOT_ACCEPTED: 400,
    ResponseClass.UNVERIFIED: 200,
}


def make_attempts(
    *, idempotent: bool, tokens: float = RICH, max_attempts: int = 2
) -> Attempts:
    route = make_route(idempotent=idempotent, max_attempts=max_attempts)
    return Attempts(route, RetryBudget(0.2, reserve=tokens))


def after(attempts: Attempts, verdict: ResponseClass) -> NextStep:
    attempts.record_send('server')
    answer = Response(ANSWERS[verdict], [], b'')
    return attempts.after_response(verdict, answer)


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize(
    'verdict', [ResponseClass.SHED, ResponseClass.WRONG_SERVER]
)
def test_what_did_not_run_is_sent_again(
    verdict: ResponseClass, idempotent: bool
) -> None:
    attempts = make_attempts(idempotent=idempotent)
    assert_that(after(attempts, verdict), Equals(NextStep.RETRY))
    assert_that(attempts.may_have_executed, Equals(False))


@pytest.mark.parametrize('idempotent', [True, False])
def test_a_lost_request_is_sent_again_only_if_it_may_run_twice(
    idempotent: bool,
) -> None:
    attempts = make_attempts(idempotent=idempotent)
    attempts.record_send('server')
    following = NextStep.RETRY if idempotent else NextStep.GIVE_UP
    assert_that(attempts.after_loss(), Equals(following))
    assert_that(attempts.may_have_executed, Equals(True))


@pytest.mark.parametrize('idempotent', [True, False])
def test_a_failure_of_the_server_is_final_unless_it_may_run_twice(
    idempotent: bool,
) -> None:
    attempts = make_attempts(idempotent=idempotent)
    following = NextStep.RETRY if idempotent else NextStep.DELIVER
    assert_that(after(attempts, ResponseClass.FAILURE), Equals(following))


def test_no_budget_means_no_further_send() -> None:
    attempts = make_attempts(idempotent=True, tokens=0.0)
    assert_that(after(attempts, ResponseClass.SHED), Equals(NextStep.GIVE_UP))


def test_a_copy_draws_on_the_same_budget() -> None:
    attempts = make_attempts(idempotent=True, tokens=1.0)
    attempts.record_send('server')
    assert_that(attempts.may_hedge(), Equals(True))
    assert_that(attempts.may_hedge(), Equals(False))


def test_a_request_that_may_not_run_twice_has_no_copy() -> None:
    assert_that(make_attempts(idempotent=False).may_hedge(), Equals(False))


def test_the_route_bounds_the_servers_that_may_run_it() -> None:
    attempts = make_attempts(idempotent=True, max_attempts=2)
    assert_that(after(attempts, ResponseClass.FAILURE), Equals(NextStep.RETRY))
    assert_that(
        after(attempts, ResponseClass.FAILURE), Equals(NextStep.DELIVER)
    )


@given(
    st.lists(st.sampled_from(sorted(ANSWERS, key=str)), max_size=9),
    st.booleans(),
    st.integers(1, 3),
)
def test_no_sequence_of_answers_breaks_a_bound(
    verdicts: list[ResponseClass], idempotent: bool, max_attempts: int
) -> None:
    attempts = make_attempts(
        idempotent=idempotent, tokens=3.0, max_attempts=max_attempts
    )
    runs = 0
    for verdict in verdicts:
        if after(attempts, verdict) is not NextStep.RETRY:
            break
    runs = attempts.possible_executions
    assert_that(runs, LessThan(max_attempts + 1))
    assert_that(attempts.sends, LessThan(5))
    if not idempotent:
        assert_that(runs, LessThan(2))
