"""Tests of ways in which an answer that is owed is lost, found in a review."""

from asyncio import sleep

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.entry.tests.conftest import Caller
from cowslipmill.entry.tests.conftest import END
from cowslipmill.entry.tests.conftest import GET
from cowslipmill.entry.tests.conftest import read_to_end
from cowslipmill.entry.tests.conftest import wait_for_requests


async def test_a_caller_that_has_ended_its_sending_gets_its_answer(
    caller: Caller,
) -> None:
    """Its request was read; only its sending side is closed."""
    caller.request_guard.may_respond.clear()
    reader, writer = await caller.open()
    writer.write(GET + b'Connection: close' + END)
    await wait_for_requests(caller, 1)
    writer.write_eof()
    await sleep(0.1)
    caller.request_guard.may_respond.set()
    received = await read_to_end(reader)
    writer.close()
    assert_that(received[:12], Equals(b'HTTP/1.1 200'))


async def test_an_upgrade_is_answered(caller: Caller) -> None:
    """A server may ignore that a request asks for another protocol."""
    received = await caller.send(
        GET + b'Connection: upgrade, close\r\nUpgrade: h2c' + END
    )
    assert_that(received[:12], Equals(b'HTTP/1.1 200'))


async def test_what_follows_a_request_ends_it_without_no_answer(
    caller: Caller,
) -> None:
    """An upgrade or a malformed request comes behind one in progress."""
    for behind in (
        GET + b'Connection: upgrade\r\nUpgrade: h2c' + END,
        b'bad' + END,
    ):
        caller.request_guard.requests.clear()
        caller.request_guard.may_respond.clear()
        reader, writer = await caller.open()
        writer.write(GET[:-2] + END)
        await wait_for_requests(caller, 1)
        writer.write(behind)
        await sleep(0.1)
        caller.request_guard.may_respond.set()
        received = await reader.readuntil(b'HTTP/1.1 200')
        writer.close()
        assert_that(received[-12:], Equals(b'HTTP/1.1 200'))


async def test_a_request_behind_another_is_answered_in_a_stop(
    caller: Caller,
) -> None:
    """The entry has read both, and the first is at work."""
    caller.request_guard.may_respond.clear()
    reader, writer = await caller.open()
    request = GET[:-2] + END
    writer.write(request + request)
    await wait_for_requests(caller, 1)
    caller.listener.stopping = True
    caller.request_guard.may_respond.set()
    await caller.listener.drain(1.0)
    await caller.listener.on_stop()
    received = await read_to_end(reader)
    writer.close()
    assert_that(received.count(b'HTTP/1.1 '), Equals(2))
