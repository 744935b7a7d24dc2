"""Guards against verdicts of tests that depend on the machine's speed."""

from asyncio import get_running_loop
from asyncio import sleep
from asyncio import timeout
from threading import Thread
from time import sleep as block

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan


async def test_a_slow_callback_makes_nobody_late() -> None:
    """A timer isn't due because the thread was busy."""
    async with timeout(0.1):
        block(0.3)
        await sleep(0.01)


async def test_timers_end_after_their_time() -> None:
    """In their order and by the loop's clock."""
    started_at = get_running_loop().time()
    await sleep(0.05)
    took_s = get_running_loop().time() - started_at
    assert_that(took_s, GreaterThan(0.05 - 1e-6))
    assert_that(took_s, LessThan(0.06))


async def test_polling_code_sees_time_pass() -> None:
    """It would never end otherwise."""
    loop = get_running_loop()
    until = loop.time() + 0.001
    while loop.time() < until:
        await sleep(0)
    with pytest.raises(TimeoutError):
        async with timeout(0.01):
            await loop.create_future()


async def test_other_threads_wake_the_loop() -> None:
    """A loop without timers waits for them."""
    loop = get_running_loop()
    future = loop.create_future()
    thread = Thread(
        target=loop.call_soon_threadsafe, args=(future.set_result, 7)
    )
    thread.start()
    assert_that(await future, Equals(7))
    thread.join()
