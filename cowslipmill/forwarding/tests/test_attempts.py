"""When a request is retried, hedged, answered or abandoned."""

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import LessThan

from cowslipmill.attempts.budget import RetryBudget
from cowslipmill.forwarding.attempts import Attempts
from cowslipmill.forwarding.attempts import NextStep
from cowslipmill.forwarding.headercodec import ResponseClass
from cowslipmill.http1.message import Response
from cowslipmill.view.tests.conftest import make_route

AMPLE_TOKENS = 99.0
STATUSES = {
    ResponseClass.SUCCESS: 200,
    ResponseClass.FAILURE: 500,
    ResponseClass.SHED: 503,
    ResponseClass.WRONG_SERVER: 421,
    ResponseClass.NOT_ACCEPTED: 400,
    ResponseClass.UNVERIFIED: 200,
}


def make_attempts(
    *, idempotent: bool, tokens: float = AMPLE_TOKENS, max_attempts: int = 2
) -> Attempts:
    route = make_route(idempotent=idempotent, max_attempts=max_attempts)
    return Attempts(route, RetryBudget(0.2, reserve=tokens))


def send_and_respond(
    attempts: Attempts, response_class: ResponseClass
) -> NextStep:
    attempts.record_send('server')
    response = Response(STATUSES[response_class], [], b'')
    return attempts.after_response(response_class, response)


@pytest.mark.parametrize('idempotent', [True, False])
@pytest.mark.parametrize(
    'response_class', [ResponseClass.SHED, ResponseClass.WRONG_SERVER]
)
def test_a_request_that_was_not_executed_is_retried(
    response_class: ResponseClass, idempotent: bool
) -> None:
    attempts = make_attempts(idempotent=idempotent)
    assert_that(
        send_and_respond(attempts, response_class), Equals(NextStep.RETRY)
    )
    assert_that(attempts.may_have_executed, Equals(False))


@pytest.mark.parametrize('idempotent', [True, False])
def test_a_lost_request_is_retried_only_if_idempotent(
    idempotent: bool,
) -> None:
    attempts = make_attempts(idempotent=idempotent)
    attempts.record_send('server')
    next_step = NextStep.RETRY if idempotent else NextStep.GIVE_UP
    assert_that(attempts.after_loss(), Equals(next_step))
    assert_that(attempts.may_have_executed, Equals(True))


@pytest.mark.parametrize('idempotent', [True, False])
def test_a_failed_request_is_retried_only_if_idempotent(
    idempotent: bool,
) -> None:
    attempts = make_attempts(idempotent=idempotent)
    next_step = NextStep.RETRY if idempotent else NextStep.DELIVER
    assert_that(
        send_and_respond(attempts, ResponseClass.FAILURE), Equals(next_step)
    )


def test_no_retry_without_a_token() -> None:
    attempts = make_attempts(idempotent=True, tokens=0.0)
    assert_that(
        send_and_respond(attempts, ResponseClass.SHED),
        Equals(NextStep.GIVE_UP),
    )


def test_a_hedge_spends_a_token_of_the_retry_budget() -> None:
    attempts = make_attempts(idempotent=True, tokens=1.0)
    attempts.record_send('server')
    assert_that(attempts.may_hedge(), Equals(True))
    assert_that(attempts.may_hedge(), Equals(False))


def test_a_request_that_is_not_idempotent_is_not_hedged() -> None:
    assert_that(make_attempts(idempotent=False).may_hedge(), Equals(False))


def test_the_route_limits_the_attempts() -> None:
    attempts = make_attempts(idempotent=True, max_attempts=2)
    assert_that(
        send_and_respond(attempts, ResponseClass.FAILURE),
        Equals(NextStep.RETRY),
    )
    assert_that(
        send_and_respond(attempts, ResponseClass.FAILURE),
        Equals(NextStep.DELIVER),
    )


@given(
    st.lists(st.sampled_from(sorted(STATUSES, key=str)), max_size=9),
    st.booleans(),
    st.integers(1, 3),
)
def test_no_sequence_of_responses_exceeds_a_limit(
    response_classes: list[ResponseClass], idempotent: bool, max_attempts: int
) -> None:
    attempts = make_attempts(
        idempotent=idempotent, tokens=3.0, max_attempts=max_attempts
    )
    possible_executions = 0
    for response_class in response_classes:
        if send_and_respond(attempts, response_class) is not NextStep.RETRY:
            break
    possible_executions = attempts.possible_executions
    assert_that(possible_executions, LessThan(max_attempts + 1))
    assert_that(attempts.sends, LessThan(5))
    if not idempotent:
        assert_that(possible_executions, LessThan(2))
