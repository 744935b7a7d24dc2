"""Tests of the memory of pipelined requests and their responses."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.http1.listenerstate import CallerLimits
from cowslipmill.http1.message import Response
from cowslipmill.http1.outgoing import PIECE_BYTES
from cowslipmill.http1.requestreceiver import CONNECTION_BYTES
from cowslipmill.http1.requestreceiver import REQUEST_BYTES
from cowslipmill.http1.tests.pipeline import Pipeline
from cowslipmill.http1.tests.test_memory import LIMITS
from cowslipmill.http1.tests.test_oddrequests import make_request
from cowslipmill.memory.budget import Holding
from cowslipmill.memory.budget import MemoryBudget


async def test_requests_and_responses_that_wait_are_in_the_memory_account(
    pipeline: Pipeline,
) -> None:
    """Callers with a slow first request could hold more than a host may."""
    servers = MemoryBudget('servers', 1_000_000)
    await pipeline.send('r1', 'r2', 'r3')
    held_bytes = pipeline.budget.held_bytes
    assert_that(held_bytes, GreaterThan(CONNECTION_BYTES + 3 * REQUEST_BYTES))
    holding = Holding(servers, 'response')
    holding.resize(90_000)
    await pipeline.answer('r2', Response(200, [], b'x' * 90_000, holding))
    assert_that(servers.held_bytes, Equals(0))
    assert_that(
        pipeline.budget.held_bytes, GreaterThan(held_bytes + 90_000 - 1)
    )
    await pipeline.answer_briefly('r1', 'r3')
    assert_that([text[:3] for text in pipeline.answers], Equals(['200'] * 3))
    pipeline.results.clear()
    assert_that(pipeline.budget.held_bytes, Equals(CONNECTION_BYTES))


async def test_a_response_without_room_to_wait_is_told_as_unknown(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """It has run, so that neither a 503 nor more memory may be used."""
    pipeline = Pipeline(100_000)
    await pipeline.send('r1', 'r2', 'r3', fields=b'x-id: q1\r\n')
    await pipeline.answer('r2', Response(200, [], b'x' * 90_000))
    await pipeline.answer_briefly('r3', 'r1')
    assert_that(pipeline.answers, Equals(['200 r1', '502', '200 r3']))
    assert_that(pipeline.budget.peak_bytes, LessThan(100_001))
    (line,) = [r for r in caplog.records if r.message == 'response dropped']
    assert_that(vars(line)['request'], Equals('q1'))


async def test_a_response_that_waits_makes_room_for_smaller_ones(
    pipeline: Pipeline,
) -> None:
    """Callers that send little are served while another one waits."""
    await pipeline.send('r1', 'r2')
    await pipeline.answer('r2', Response(200, [], b'x' * 900_000))
    smaller = Holding(pipeline.budget, 'smaller')
    assert_that(smaller.resize(200_000), Equals(True))
    await pipeline.answer_briefly('r1')
    assert_that(pipeline.answers, Equals(['200 r1', '502']))
    assert_that(pipeline.budget.peak_bytes, LessThan(1_000_001))


async def test_a_response_is_not_dropped_once_it_is_being_sent(
    pipeline: Pipeline,
) -> None:
    """Its head is on the way."""
    await pipeline.send('r1', 'r2')
    await pipeline.answer('r2', Response(200, [], b'x' * 800_000))
    pipeline.sink.taking = False
    await pipeline.answer_briefly('r1')
    pipeline.sink.protocol.resume_writing()
    await pipeline.turn()
    assert_that(bytes(pipeline.sink.sent), Contains(b': 800000\r\n'))
    smaller = Holding(pipeline.budget, 'smaller')
    assert_that(smaller.resize(200_000), Equals(False))
    pipeline.sink.taking = True
    pipeline.sink.protocol.resume_writing()
    await pipeline.turn()
    assert_that([text[:3] for text in pipeline.answers], Equals(['200'] * 2))
    assert_that(len(pipeline.answers[1]), GreaterThan(800_000))


async def test_a_slow_caller_holds_back_the_responses_behind(
    pipeline: Pipeline,
) -> None:
    """All responses would be in memory at once, outside the budget."""
    await pipeline.send('r1', 'r2', 'r3')
    pipeline.sink.taking = False
    size = 3 * PIECE_BYTES
    await pipeline.answer('r1', Response(200, [], bytes(size)))
    await pipeline.answer_briefly('r2')
    assert_that(len(pipeline.sink.sent), LessThan(size))
    pipeline.now = LIMITS.idle_s + 1.0
    pipeline.server.enforce_timeouts(pipeline.now)
    assert_that(pipeline.sink.aborted, Equals(True))
    await pipeline.turn()
    assert_that(pipeline.cancelled, Equals(['r3']))
    pipeline.results.clear()
    assert_that(pipeline.budget.held_bytes, Equals(0))


async def test_the_next_response_needs_no_memory_of_callers(
    pipeline: Pipeline,
) -> None:
    """It is written at once; a full budget would turn it into a 502."""
    await pipeline.send('r1', 'r2')
    await pipeline.answer('r1', Response(200, [], b'x' * 2_000_000))
    await pipeline.answer_briefly('r2')
    assert_that(len(pipeline.answers[0]), GreaterThan(2_000_000))


async def test_an_answered_request_is_out_of_the_memory_account(
    pipeline: Pipeline,
) -> None:
    """It counted until those behind it, which its task sends, were taken."""
    pipeline.server.limits = CallerLimits(1_000, 100_000, 3.0, 15.0)
    body = make_request(b'r1', b'', b'x' * 90_000)
    pipeline.sink.protocol.data_received(body)
    await pipeline.send('r2')
    await pipeline.answer_briefly('r2')
    pipeline.sink.taking = False
    await pipeline.answer_briefly('r1')
    pipeline.sink.protocol.resume_writing()
    await pipeline.turn()
    assert_that(pipeline.server.owes_answers, Equals(True))
    pipeline.results.clear()
    assert_that(pipeline.budget.held_bytes, LessThan(90_000))
    pipeline.sink.abort()


def fill(budget: MemoryBudget) -> Holding:
    """Takes all memory that is left and returns what holds it."""
    holding = Holding(budget, 'filler')
    left_bytes = budget.limit_bytes - budget.held_bytes
    assert_that(holding.resize(left_bytes), Equals(True))
    return holding


@pytest.mark.parametrize('fields', [b'', b'connection: close\r\n'])
async def test_a_connection_makes_room_only_without_requests(
    fields: bytes,
) -> None:
    """One that was closed for room lost its responses, or was never closed.

    It may be idle or wait for its caller to close.
    """
    pipeline = Pipeline(30_000)
    await pipeline.send('r1', fields=fields)
    small = Holding(pipeline.budget, 'small')
    filler = fill(pipeline.budget)
    assert_that(small.resize(100), Equals(False))
    filler.release()
    await pipeline.answer_briefly('r1')
    pipeline.results.clear()
    assert_that(pipeline.answers, Equals(['200 r1']))
    filler = fill(pipeline.budget)
    assert_that(small.resize(100), Equals(True))
    assert_that(pipeline.sink.aborted, Equals(True))
    filler.release()
