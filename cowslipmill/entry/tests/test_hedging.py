"""Second tries of idempotent requests."""

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
ANSWER = AnswerRead(200, (), b'second')
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
    """A first try that hangs, and a second one that is counted."""

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

    async def answer(self) -> Event:
        self.hedge_count += 1
        return ANSWER


@pytest.fixture
async def hedging() -> Hedging:
    return Hedging(get_running_loop().time)


async def test_the_loser_is_cancelled(hedging: Hedging) -> None:
    route = make_route(idempotent=True)
    tries = FakeAttempts()
    hedging.count_request(route, 1.0)
    event = await hedging.race(route, tries.hang(), 0.0, tries.answer)
    assert_that(event, Equals(ANSWER))
    assert_that(tries.cancelled, Is(True))


async def test_a_broken_first_try_does_not_beat_the_second(
    hedging: Hedging,
) -> None:
    route = make_route(idempotent=True)

    async def break_off() -> Event:
        await sleep(0.02)
        return BROKEN

    async def answer_later() -> Event:
        await sleep(0.05)
        return ANSWER

    hedging.count_request(route, 1.0)
    event = await hedging.race(route, break_off(), 0.0, answer_later)
    assert_that(event, Equals(ANSWER))


async def test_second_tries_stay_within_the_share(hedging: Hedging) -> None:
    route = make_route(idempotent=True)
    tries = FakeAttempts()

    async def answer_late() -> Event:
        await sleep(0.01)
        return ANSWER

    for _ in range(40):
        hedging.count_request(route, 0.1)
        await hedging.race(route, answer_late(), 0.0, tries.answer)
    # A reserve of three, and a tenth of forty.
    assert_that(tries.hedge_count, Equals(7))


async def test_only_idempotent_requests_have_a_delay(
    hedging: Hedging,
) -> None:
    for idempotent in (True, False):
        route = make_route(idempotent=idempotent)
        for _ in range(30):
            hedging.record_latency(route, get_running_loop().time() - 1.0)
        known = hedging.delay_s(route, 0.1) is not None
        assert_that(known, Equals(idempotent))
    assert_that(hedging.delay_s(make_route(idempotent=True), 0.0), Is(None))
