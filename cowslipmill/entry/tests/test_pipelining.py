"""Tests of requests that wait behind another when the listener stops."""

from asyncio import create_task
from asyncio import sleep
from asyncio import timeout

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.entry.tests.conftest import Caller
from cowslipmill.entry.tests.conftest import END
from cowslipmill.entry.tests.conftest import GET
from cowslipmill.entry.tests.conftest import read_to_end
from cowslipmill.entry.tests.conftest import TIMEOUT_S
from cowslipmill.entry.tests.conftest import wait_for_requests

REQUEST = GET[:-2] + END
OK = b'HTTP/1.1 200 OK\r\n'


@pytest.mark.parametrize('behind', [1, 7, 40])
async def test_each_request_that_was_read_is_answered_in_a_drain(
    caller: Caller, behind: int
) -> None:
    """The last response closes the connection, and none before it."""
    caller.request_guard.may_respond.clear()
    reader, writer = await caller.open()
    writer.write(REQUEST * (1 + behind))
    await wait_for_requests(caller, 1)
    drained = create_task(caller.listener.drain(TIMEOUT_S))
    while not caller.listener.stopping:
        await sleep(0)
    caller.request_guard.may_respond.set()
    await drained
    received = await read_to_end(reader)
    writer.close()
    assert_that(received.count(OK), Equals(1 + behind))
    assert_that(received.count(b'\r\nConnection: close\r\n'), Equals(1))


async def test_requests_behind_one_that_is_aborted_are_told_as_not_run(
    caller: Caller,
) -> None:
    """The stop takes longer than it may."""
    caller.request_guard.may_respond.clear()
    reader, writer = await caller.open()
    writer.write(REQUEST * 3)
    await wait_for_requests(caller, 1)
    await caller.listener.drain(0.0)
    await caller.listener.on_stop()
    received = await read_to_end(reader)
    writer.close()
    assert_that(received.count(b'unknown; reason=stopping'), Equals(1))
    assert_that(received.count(b'not-run; reason=stopping'), Equals(2))


async def test_what_is_malformed_behind_a_request_is_refused_in_a_drain(
    caller: Caller,
) -> None:
    """The request before it gets its response, and then comes the refusal."""
    caller.request_guard.may_respond.clear()
    reader, writer = await caller.open()
    writer.write(REQUEST)
    await wait_for_requests(caller, 1)
    writer.write(b'bad' + END)
    await sleep(0.1)
    drained = create_task(caller.listener.drain(TIMEOUT_S))
    while not caller.listener.stopping:
        await sleep(0)
    caller.request_guard.may_respond.set()
    await drained
    received = await read_to_end(reader)
    writer.close()
    statuses = (received.count(OK), received.count(b' 400 '))
    assert_that(statuses, Equals((1, 1)))


async def test_a_drain_waits_for_no_caller_that_has_left(
    caller: Caller,
) -> None:
    """Its requests that wait are owed to nobody."""
    caller.request_guard.may_respond.clear()
    _, writer = await caller.open()
    writer.write(REQUEST * 3)
    await wait_for_requests(caller, 1)
    drained = create_task(caller.listener.drain(TIMEOUT_S * 2))
    writer.close()
    async with timeout(TIMEOUT_S):
        await drained
    assert_that(caller.listener.aborting, Equals(False))
