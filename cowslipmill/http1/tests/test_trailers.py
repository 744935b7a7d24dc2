"""Tests of the fields that a caller sends after a body.

Guard against callers that keep the event loop busy with input that is skipped
as it arrives.
"""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import LessThan
from testtools.matchers import StartsWith

from cowslipmill.http1.callerconnection import CallerConnection
from cowslipmill.http1.callerserver import CallerServer
from cowslipmill.http1.tests.test_chunkpacer import HEAD
from cowslipmill.http1.tests.test_chunkpacer import PausedSink
from cowslipmill.http1.tests.test_chunkpacer import respond
from cowslipmill.http1.tests.test_chunkpacer import wait_for_response
from cowslipmill.http1.tests.test_memory import LIMITS
from cowslipmill.memory.budget import MemoryBudget

BODY = b'1\r\nx\r\n0\r\n'
FIELD = b'ab:cd\r\n'
READ_BYTES = 4_096


def open_sink(budget: MemoryBudget | None = None) -> PausedSink:
    """Returns the transport of a connection of a caller."""
    server = CallerServer(respond, LIMITS, lambda: 0.0, budget)
    return PausedSink(CallerConnection(server))


@pytest.mark.parametrize(
    'block',
    [FIELD * (READ_BYTES // len(FIELD)), b'y' * READ_BYTES],
    ids=['many', 'one without end'],
)
async def test_fields_after_a_body_beyond_the_limit_are_rejected(
    block: bytes,
) -> None:
    """They were parsed and skipped without end."""
    budget = MemoryBudget('callers', 4_000_000)
    sink = open_sink(budget)
    sink.protocol.data_received(HEAD + BODY)
    if not block.startswith(FIELD):
        sink.protocol.data_received(b'x-long: ')
    sent_bytes = 0
    while not sink.sent and sent_bytes < 1_000_000:
        sink.protocol.data_received(block)
        sent_bytes += len(block)
    assert_that(bytes(sink.sent), StartsWith(b'HTTP/1.1 431'))
    assert_that(sink.protocol.input_ended, Equals(True))
    assert_that(sent_bytes, LessThan(3 * LIMITS.header_bytes))


async def test_fields_after_a_body_within_the_limit_are_skipped() -> None:
    """They don't count with those of the head, nor of the next request."""
    sink = open_sink()
    count = LIMITS.header_bytes // (2 * len(FIELD))
    head = HEAD.replace(b'\r\n\r\n', b'\r\n' + FIELD * count + b'\r\n')
    for _ in range(3):
        sink.protocol.data_received(head + BODY)
        sink.protocol.data_received(FIELD * count + b'\r\n')
        await wait_for_response(sink, b'1')
        sink.sent.clear()


async def test_a_slow_body_isnt_taken_for_fields_after_it() -> None:
    """Each part of a body may come with little beside it."""
    sink = open_sink()
    sink.protocol.data_received(HEAD)
    count = LIMITS.header_bytes // 2
    for _ in range(count):
        for byte in (b'1', b'\r', b'\n', b'x', b'\r', b'\n'):
            sink.protocol.data_received(byte)
    sink.protocol.data_received(b'0\r\n\r\n')
    await wait_for_response(sink, b'%d' % count)
