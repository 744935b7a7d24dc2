"""Tests of servers that send bytes without end in place of an answer.

Guard against a host that such a server fills, holds up or makes tell that a
request which has run was not executed.
"""

from asyncio import gather
from asyncio import sleep

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.http1.message import Response
from cowslipmill.http1.serverconnection import MAX_RESPONSE_BYTES
from cowslipmill.standin.backend import Stream

# What one response may take, and what lies in buffers of the system.
MAX_STREAM_BYTES = 2 * MAX_RESPONSE_BYTES
TOLD_AS_UNKNOWN = frozenset((502, 504))


async def send_requests(fleet: Fleet, count: int) -> list[Response]:
    """Sends requests that aren't idempotent, a few at a time."""
    responses: list[Response] = []
    for number in range(count):
        responses += await gather(
            fleet.send_request(f'/book/{number}-a'),
            fleet.send_request(f'/book/{number}-b'),
        )
    return responses


@pytest.mark.parametrize('health', [False, True])
@pytest.mark.parametrize('stream', list(Stream))
async def test_a_server_that_sends_without_end_harms_no_other_request(
    fleet: Fleet, stream: Stream, health: bool
) -> None:
    """What it has run is told as unknown, and it gets little after that."""
    backend = fleet.backends['one']
    backend.stream = stream
    backend.streams_health = health
    responses = await send_requests(fleet, 15)
    ran = {run.request_id for run in backend.runs}
    for response in responses:
        if response.header(b'x-request-id').decode() in ran:
            assert_that(TOLD_AS_UNKNOWN, Contains(response.status))
    others = [r for r in responses if r.status not in TOLD_AS_UNKNOWN]
    assert_that({r.status for r in others}, Equals({200}))
    assert_that(len(others), GreaterThan(15))
    assert_that(backend.longest_stream, LessThan(MAX_STREAM_BYTES))


@pytest.mark.parametrize('stream', list(Stream))
async def test_a_server_is_used_again_after_bytes_without_end(
    fleet: Fleet, stream: Stream
) -> None:
    """With connections that carry none of them."""
    backend = fleet.backends['one']
    backend.stream = stream
    backend.streams_health = True
    await send_requests(fleet, 5)
    backend.stream = None
    await sleep(3.0)
    before = len(backend.runs)
    responses = await send_requests(fleet, 20)
    assert_that({r.status for r in responses}, Equals({200}))
    assert_that(len(backend.runs) - before, GreaterThan(5))
