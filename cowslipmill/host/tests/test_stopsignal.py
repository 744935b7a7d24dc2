"""Tests that a host knows since when it is to stop."""

from asyncio import get_running_loop
from collections.abc import Iterator
from os import getpid
from os import kill
from signal import getsignal
from signal import SIGINT
from signal import signal
from signal import SIGTERM

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.host.stopsignal import StopSignal
from cowslipmill.host.tests.virtualtime import delay_event_loop

DELAY_S = 1.0


@pytest.fixture
def kept_handlers() -> Iterator[None]:
    """Puts back the signal handlers of the test run."""
    handlers = {number: getsignal(number) for number in (SIGTERM, SIGINT)}
    yield
    for number, handler in handlers.items():
        signal(number, handler)


@pytest.mark.parametrize('number', [SIGTERM, SIGINT])
async def test_a_late_event_loop_makes_no_signal_late(
    kept_handlers: None, number: int
) -> None:
    """A host that counted from its loop's turn was killed in its stop."""
    loop = get_running_loop()
    stop_signal = StopSignal(loop)
    kill(getpid(), number)
    delay_event_loop(DELAY_S)
    await stop_signal.arrived.wait()
    arrived_at = stop_signal.arrived_at
    assert arrived_at is not None
    assert_that(loop.time() - arrived_at, GreaterThan(DELAY_S))
    kill(getpid(), number)
    assert_that(stop_signal.arrived_at, Equals(arrived_at))
