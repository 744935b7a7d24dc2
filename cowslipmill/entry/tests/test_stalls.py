"""Tests of the listener: slow callers, limits and graceful stops."""

import asyncio

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import StartsWith

from cowslipmill.entry import connection as connection_module
from cowslipmill.entry import requestbody
from cowslipmill.entry.connection import CallerConnection
from cowslipmill.entry.connection import Stall
from cowslipmill.entry.tests.conftest import Caller
from cowslipmill.entry.tests.conftest import END
from cowslipmill.entry.tests.conftest import GET
from cowslipmill.entry.tests.conftest import POST
from cowslipmill.entry.tests.conftest import read_to_end
from cowslipmill.entry.tests.conftest import TIMEOUT_S
from cowslipmill.entry.tests.conftest import wait_for_requests


async def test_stalled_body_is_refused(
    caller: Caller, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A caller has `BODY_TIMEOUT_S` to send its body."""
    monkeypatch.setattr(requestbody, 'BODY_TIMEOUT_S', 0.05)
    received = await caller.send(POST + b'Content-Length: 3' + END + b'a')
    assert_that(received, StartsWith(b'HTTP/1.1 408 '))
    assert_that(received, Contains(b'not-run; reason=slow-caller'))


@pytest.mark.parametrize('start', [b'', b'GET /desks/7 HT', GET])
async def test_connection_with_stalled_head_is_aborted(
    caller: Caller, start: bytes
) -> None:
    """A connection without a whole head is closed after the timeout."""
    reader, writer = await caller.open()
    writer.write(start)
    while not caller.listener.server.connections:
        await asyncio.sleep(0.01)
    timeout_s = connection_module.HEAD_TIMEOUT_S
    now = asyncio.get_running_loop().time()
    caller.listener.server.enforce_timeouts(now + timeout_s - 1)
    assert_that(reader.at_eof(), Equals(False))
    caller.listener.server.enforce_timeouts(now + timeout_s + 1)
    assert_that(await read_to_end(reader), Equals(b''))
    writer.close()


async def test_idle_connection_has_no_head_timeout(caller: Caller) -> None:
    """After the first request only a head that has begun is timed."""
    reader, writer = await caller.open()
    writer.write(GET + b'\r\n')
    async with asyncio.timeout(TIMEOUT_S):
        await reader.readuntil(b'whole')
    now = asyncio.get_running_loop().time()
    timeout_s = connection_module.HEAD_TIMEOUT_S
    caller.listener.server.enforce_timeouts(now + timeout_s + 1)
    writer.write(GET + b'\r\n')
    async with asyncio.timeout(TIMEOUT_S):
        await reader.readuntil(b'whole')
    writer.close()


async def test_connection_of_caller_that_does_not_read_is_aborted(
    caller: Caller,
) -> None:
    """Unsent response bytes are kept for `SEND_TIMEOUT_S`."""
    connection = CallerConnection(caller.listener.server)
    timeout_s = connection_module.SEND_TIMEOUT_S
    stalls = [
        connection.find_stall(10, 1.0),
        connection.find_stall(0, 2.0),
        connection.find_stall(10, 3.0),
        connection.find_stall(10, 3.0 + timeout_s),
        connection.find_stall(10, 3.1 + timeout_s),
    ]
    expected = [None, None, None, None, Stall.SLOW_READER]
    assert_that(stalls, Equals(expected))


async def test_requests_over_the_connection_limit_are_refused(
    caller: Caller, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The refusal has a Retry-After header."""
    monkeypatch.setattr(connection_module, 'MAX_CONNECTIONS', 0)
    received = await caller.send(GET + b'Connection: close' + END)
    assert_that(received, Contains(b'not-run; reason=overloaded'))
    assert_that(received, Contains(b'Retry-After: 1\r\n'))


async def test_stop_waits_for_requests_in_flight(caller: Caller) -> None:
    """A request that finishes within the timeout gets its response."""
    caller.request_guard.may_respond.clear()
    sent = asyncio.create_task(caller.send(GET + b'\r\n'))
    await wait_for_requests(caller, 1)
    drained = asyncio.create_task(caller.listener.drain(TIMEOUT_S))
    while not caller.listener.stopping:
        await asyncio.sleep(0)
    caller.request_guard.may_respond.set()
    await drained
    received = await sent
    assert_that(received, StartsWith(b'HTTP/1.1 200 OK\r\n'))
    assert_that(received, Contains(b'Connection: close\r\n'))


async def test_stop_reports_unfinished_requests(caller: Caller) -> None:
    """At the timeout a request at a server is unknown, others not run."""
    caller.request_guard.may_respond.clear()
    sent = asyncio.create_task(caller.send(GET + b'\r\n'))
    slow = POST + b'Content-Length: 3' + END
    unsent = asyncio.create_task(caller.send(slow))
    await wait_for_requests(caller, 1)
    while len(caller.listener.in_flight) < 2:
        await asyncio.sleep(0.01)
    await caller.listener.drain(0.0)
    assert_that(await sent, Contains(b'unknown; reason=stopping'))
    assert_that(await unsent, Contains(b'not-run; reason=stopping'))
    assert_that(caller.request_guard.cancelled.is_set(), Equals(True))
