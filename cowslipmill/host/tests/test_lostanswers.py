"""Tests that connections of callers end only after what was read is answered.

A request that a host has read and then leaves without an answer may have run,
and its caller can't know.
"""

from asyncio import create_task
from asyncio import open_connection
from asyncio import sleep
from asyncio import timeout

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import HOST_HEADER

# Longer than a caller may be left without an answer after its last byte.
WORK_S = 0.6
# `Bounds.LossSlackMs` of the platform.
SLACK_S = 0.2


def encode_request(request_id: str) -> bytes:
    """Returns a request as a caller sends it."""
    return (
        f'POST /book/{request_id} HTTP/1.1\r\nhost: {HOST_HEADER}\r\n'
        f'x-request-id: {request_id}\r\nx-deadline-ms: 2000\r\n'
        'content-length: 4\r\n\r\nbody'
    ).encode()


def set_work_time(fleet: Fleet) -> None:
    """Has the servers work for `WORK_S` on each request."""
    for backend in fleet.backends.values():
        backend.work_s = WORK_S


async def test_a_caller_that_has_ended_its_sending_gets_its_answer(
    fleet: Fleet,
) -> None:
    """Its request ran; only the sending side of the connection is closed."""
    set_work_time(fleet)
    address = fleet.hosts[0].settings.callers_listen
    reader, writer = await open_connection(*address)
    writer.write(encode_request('half'))
    await sleep(WORK_S / 4)
    writer.write_eof()
    answer = await reader.read()
    writer.close()
    assert_that(fleet.execution_count(), Equals(1))
    assert_that(answer[:12], Equals(b'HTTP/1.1 200'))


async def test_a_read_of_a_caller_that_has_ended_its_sending_is_cancelled(
    fleet: Fleet,
) -> None:
    """It may have closed the connection, and the server would work on."""
    set_work_time(fleet)
    address = fleet.hosts[0].settings.callers_listen
    reader, writer = await open_connection(*address)
    request = encode_request('half').replace(b'POST /book', b'GET /read')
    writer.write(request)
    await sleep(WORK_S / 4)
    writer.write_eof()
    async with timeout(SLACK_S):
        assert_that(await reader.read(), Equals(b''))
    writer.close()
    assert_that(fleet.hosts[0].callers.connections, Equals(set()))


@pytest.mark.parametrize('requests', [2, 3])
async def test_requests_that_wait_behind_one_are_answered_by_a_stop(
    fleet: Fleet, requests: int
) -> None:
    """The host has read them, and ends the connection after the first."""
    set_work_time(fleet)
    host = fleet.hosts[0]
    reader, writer = await open_connection(*host.settings.callers_listen)
    for number in range(requests):
        writer.write(encode_request(f'pipelined{number}'))
    await sleep(WORK_S / 4)
    stopping = create_task(host.drain())
    answers = await reader.read()
    writer.close()
    await stopping
    assert_that(answers.count(b'HTTP/1.1 '), Equals(requests))


async def test_a_host_that_ends_leaves_no_request_in_part_open(
    fleet: Fleet,
) -> None:
    """Its rest would be read, and not answered while the process exits."""
    host = fleet.hosts[0]
    reader, writer = await open_connection(*host.settings.callers_listen)
    writer.write(encode_request('slow')[:-1])
    await sleep(0.1)
    await host.drain()
    async with timeout(SLACK_S):
        assert_that(await reader.read(), Equals(b''))
    writer.close()
