"""Tests of hedging idempotent requests."""

from asyncio import CancelledError
from asyncio import get_running_loop
from asyncio import sleep

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Is

from cowslipmill.attempts.event import AnswerRead
from cowslipmill.attempts.event import Event
from cowslipmill.attempts.event import ExchangeBroken
from cowslipmill.document.document import Route
from cowslipmill.entry.hedging import Hedging
from cowslipmill.outcomes.outcome import Reason

FOREVER_S = 60.0
RESPONSE = AnswerRead(200, (), b'second')
BROKEN = ExchangeBroken(Reason.CONNECTION_LOST)


def make_route(*, idempotent: bool) -> Route:
    return Route(
        name='check-standing',
        team='standing',
        service='registry',
        methods=('GET',),
        path='/standing',
        idempotent=idempotent,
    )


class FakeAttempts:
    """A first attempt that hangs, and hedges that are counted."""

    def __init__(self) -> None:
        self.cancelled = False
        self.hedge_count = 0

    async def hang(self) -> Event:
        try:
            await sleep(FOREVER_S)
        except CancelledError:
            self.cancelled = True
            raise
        return BROKEN

    async def respond(self) -> Event:
        self.hedge_count += 1
        return RESPONSE


@pytest.fixture
async def hedging() -> Hedging:
    return Hedging(get_running_loop().time)


async def test_slower_attempt_is_cancelled(hedging: Hedging) -> None:
    route = make_route(idempotent=True)
    attempts = FakeAttempts()
    hedging.count_request(route, 1.0)
    event = await hedging.race(route, attempts.hang(), 0.0, attempts.respond)
    assert_that(event, Equals(RESPONSE))
    assert_that(attempts.cancelled, Is(True))


async def test_response_to_hedge_wins_over_broken_first_attempt(
    hedging: Hedging,
) -> None:
    route = make_route(idempotent=True)

    async def fail_later() -> Event:
        await sleep(0.02)
        return BROKEN

    async def respond_later() -> Event:
        await sleep(0.05)
        return RESPONSE

    hedging.count_request(route, 1.0)
    event = await hedging.race(route, fail_later(), 0.0, respond_later)
    assert_that(event, Equals(RESPONSE))


async def test_hedges_stay_within_their_share_of_requests(
    hedging: Hedging,
) -> None:
    route = make_route(idempotent=True)
    attempts = FakeAttempts()

    async def respond_slowly() -> Event:
        await sleep(0.01)
        return RESPONSE

    for _ in range(40):
        hedging.count_request(route, 0.1)
        await hedging.race(route, respond_slowly(), 0.0, attempts.respond)
    # The budget's reserve of three, and a tenth of forty requests.
    assert_that(attempts.hedge_count, Equals(7))


async def test_only_idempotent_requests_are_hedged(
    hedging: Hedging,
) -> None:
    for idempotent in (True, False):
        route = make_route(idempotent=idempotent)
        for _ in range(30):
            hedging.record_latency(route, get_running_loop().time() - 1.0)
        known = hedging.delay_s(route, 0.1) is not None
        assert_that(known, Equals(idempotent))
    assert_that(hedging.delay_s(make_route(idempotent=True), 0.0), Is(None))
