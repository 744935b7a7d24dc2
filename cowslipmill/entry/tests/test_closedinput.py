"""Tests of callers that close their sending side before the response."""

from asyncio import sleep
from asyncio import timeout

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength

from cowslipmill.entry.tests.conftest import Caller
from cowslipmill.entry.tests.conftest import END
from cowslipmill.entry.tests.conftest import GET
from cowslipmill.entry.tests.conftest import POST
from cowslipmill.entry.tests.conftest import read_to_end
from cowslipmill.entry.tests.conftest import TIMEOUT_S
from cowslipmill.entry.tests.conftest import UNREPEATABLE
from cowslipmill.entry.tests.conftest import wait_for_requests

LAST = b'Connection: close' + END
BODY = b'Content-Length: 3' + END


@pytest.mark.parametrize(
    ('requests', 'count'),
    [
        (GET + LAST, 1),
        (GET.replace(b'1.1', b'1.0') + b'\r\n', 1),
        (POST + b'Connection: close\r\n' + BODY + b'abc', 1),
        (GET + b'\r\n' + GET + LAST, 2),
    ],
)
async def test_an_end_of_input_right_behind_the_last_request_loses_nothing(
    caller: Caller, requests: bytes, count: int
) -> None:
    """The end comes before the request is begun."""
    reader, writer = await caller.open()
    writer.write(requests)
    writer.write_eof()
    received = await read_to_end(reader)
    writer.close()
    assert_that(received.count(b' 200 OK\r\n'), Equals(count))


async def test_a_request_that_must_not_be_repeated_is_answered(
    caller: Caller,
) -> None:
    """It goes on at its server whether its caller has left or not."""
    caller.request_guard.may_respond.clear()
    reader, writer = await caller.open()
    writer.write(UNREPEATABLE + BODY + b'abc')
    await wait_for_requests(caller, 1)
    writer.write_eof()
    await sleep(0.1)
    caller.request_guard.may_respond.set()
    received = await read_to_end(reader)
    writer.close()
    assert_that(received[:12], Equals(b'HTTP/1.1 200'))


@pytest.mark.parametrize('head', [GET + LAST, UNREPEATABLE + BODY + b'abc'])
async def test_no_connection_is_kept_for_a_caller_that_is_gone(
    caller: Caller, head: bytes
) -> None:
    """It is closed once the response has been sent."""
    caller.request_guard.may_respond.clear()
    _, writer = await caller.open()
    writer.write(head)
    await wait_for_requests(caller, 1)
    writer.close()
    await sleep(0.1)
    caller.request_guard.may_respond.set()
    async with timeout(TIMEOUT_S):
        while caller.listener.server.connections:
            await sleep(0.01)


async def test_a_request_in_part_ends_with_the_input(caller: Caller) -> None:
    """The rest of its body never comes."""
    reader, writer = await caller.open()
    writer.write(POST + b'Connection: close\r\n' + BODY + b'a')
    writer.write_eof()
    async with timeout(TIMEOUT_S / 2):
        assert_that(await reader.read(), Equals(b''))
    writer.close()
    assert_that(caller.request_guard.requests, HasLength(0))
