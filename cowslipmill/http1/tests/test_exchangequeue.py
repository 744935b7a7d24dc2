"""Tests of pipelined requests that are handled concurrently."""

from itertools import permutations

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan
from testtools.matchers import Not

from cowslipmill.http1.exchangequeue import MAX_PIPELINED
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.outgoing import PIECE_BYTES
from cowslipmill.http1.tests.pipeline import Pipeline
from cowslipmill.http1.tests.test_memory import LIMITS

# Interval of the batches of a steady caller, in seconds.
BATCH_S = 0.35


def names_of(count: int) -> list[str]:
    """Returns names of idempotent requests."""
    return [f'r{number}' for number in range(count)]


async def test_a_fast_request_behind_a_slow_one_runs_at_once(
    pipeline: Pipeline,
) -> None:
    """It waited until the slow one was answered."""
    await pipeline.send('r1', 'r2')
    assert_that(pipeline.begun, Equals(['r1', 'r2']))
    await pipeline.answer_briefly('r2')
    assert_that(pipeline.answers, Equals([]))
    await pipeline.answer_briefly('r1')
    assert_that(pipeline.answers, Equals(['200 r1', '200 r2']))


@pytest.mark.parametrize('order', list(permutations(names_of(4))))
async def test_responses_keep_the_order_of_requests(
    pipeline: Pipeline, order: tuple[str, ...]
) -> None:
    """A caller would take a response for that of another request."""
    await pipeline.send(*names_of(4))
    await pipeline.answer_briefly(*order)
    assert_that(
        pipeline.answers, Equals([f'200 {name}' for name in names_of(4)])
    )
    assert_that(pipeline.server.owes_answers, Equals(False))


async def test_an_unsafe_request_waits_and_holds_back_those_behind_it(
    pipeline: Pipeline,
) -> None:
    """It could run although an earlier response closes the connection."""
    await pipeline.send('r1', 'r2', 'w3', 'r4', 'r5')
    assert_that(pipeline.begun, Equals(['r1', 'r2']))
    await pipeline.answer_briefly('r2')
    assert_that(pipeline.begun, Equals(['r1', 'r2']))
    await pipeline.answer_briefly('r1')
    assert_that(pipeline.begun, Equals(['r1', 'r2', 'w3']))
    await pipeline.answer_briefly('w3')
    assert_that(pipeline.begun, Equals(['r1', 'r2', 'w3', 'r4', 'r5']))


async def test_requests_without_a_predicate_run_one_after_the_other(
    pipeline: Pipeline,
) -> None:
    """A listener that doesn't know its requests can't tell the safe ones."""
    pipeline.server.may_overlap = None
    await pipeline.send('r1', 'r2')
    assert_that(pipeline.begun, Equals(['r1']))
    await pipeline.answer_briefly('r1')
    assert_that(pipeline.begun, Equals(['r1', 'r2']))


async def test_a_failing_predicate_keeps_requests_in_turn(
    pipeline: Pipeline, caplog: pytest.LogCaptureFixture
) -> None:
    """The connection was closed, with requests in progress."""

    def fail(request: Request) -> bool:
        raise RuntimeError('unexpected')

    pipeline.server.may_overlap = fail
    await pipeline.send('r1', 'r2')
    assert_that(pipeline.begun, Equals(['r1']))
    await pipeline.answer_briefly('r1')
    await pipeline.answer_briefly('r2')
    assert_that(pipeline.answers, Equals(['200 r1', '200 r2']))
    messages = {record.message for record in caplog.records}
    assert_that(
        messages, Contains('request not classified by an internal error')
    )


async def test_a_connection_has_a_limited_number_of_requests_in_progress(
    pipeline: Pipeline,
) -> None:
    """One caller could take all slots; responses that wait count as well."""
    names = names_of(MAX_PIPELINED + 4)
    await pipeline.send(*names)
    assert_that(pipeline.begun, Equals(names[:MAX_PIPELINED]))
    assert_that(pipeline.sink.reading, Equals(False))
    await pipeline.answer_briefly(*names[1:MAX_PIPELINED])
    assert_that(len(pipeline.begun), Equals(MAX_PIPELINED))
    await pipeline.answer_briefly(names[0])
    assert_that(pipeline.begun, Equals(names))
    assert_that(pipeline.sink.reading, Equals(True))
    await pipeline.answer_briefly(*names[MAX_PIPELINED:])
    assert_that(len(pipeline.answers), Equals(len(names)))


async def test_a_caller_that_leaves_cancels_all_its_requests(
    pipeline: Pipeline,
) -> None:
    """Servers would work on for nobody, and memory would be held."""
    await pipeline.send('r1', 'r2', 'r3', 'w4')
    await pipeline.answer_briefly('r2')
    pipeline.sink.abort()
    await pipeline.turn()
    assert_that(pipeline.cancelled, Equals(['r1', 'r3']))
    assert_that(pipeline.results['r1'].cancelled(), Equals(True))
    assert_that(pipeline.results['r3'].cancelled(), Equals(True))
    assert_that(pipeline.begun, Not(Contains('w4')))
    pipeline.results.clear()
    assert_that(pipeline.budget.held_bytes, Equals(0))


async def test_a_caller_that_ends_its_sending_cancels_all_its_requests(
    pipeline: Pipeline,
) -> None:
    """It may have closed the connection; both look the same."""
    await pipeline.send('r1', 'r2')
    assert_that(pipeline.sink.protocol.eof_received(), Equals(True))
    await pipeline.turn()
    assert_that(pipeline.cancelled, Equals(['r1', 'r2']))
    assert_that(pipeline.sink.aborted, Equals(True))


async def test_requests_that_arrive_with_the_end_of_input_do_not_run(
    pipeline: Pipeline,
) -> None:
    """Those behind the first one have not begun then."""
    protocol = pipeline.sink.protocol
    protocol.data_received(b'GET /r1 HTTP/1.1\r\n\r\n' * 3)
    assert_that(protocol.eof_received(), Equals(True))
    await pipeline.turn()
    assert_that(pipeline.begun, Equals([]))
    assert_that(pipeline.sink.aborted, Equals(True))


async def test_a_ready_response_is_whole_although_input_has_ended(
    pipeline: Pipeline,
) -> None:
    """The cancellation of the requests behind it closed the connection."""
    await pipeline.send('r1', 'r2')
    pipeline.sink.taking = False
    size = 3 * PIECE_BYTES
    await pipeline.answer('r1', Response(200, [], bytes(size)))
    assert_that(len(pipeline.sink.sent), LessThan(size))
    pipeline.sink.protocol.eof_received()
    await pipeline.turn()
    assert_that(pipeline.cancelled, Equals(['r2']))
    assert_that(pipeline.sink.aborted, Equals(False))
    pipeline.sink.taking = True
    pipeline.sink.protocol.resume_writing()
    await pipeline.turn()
    assert_that(len(pipeline.sink.sent), GreaterThan(size))
    assert_that(pipeline.sink.aborted, Equals(True))


async def test_all_that_was_read_is_answered_when_the_host_stops(
    pipeline: Pipeline,
) -> None:
    """Only the last response may say that the connection closes."""
    await pipeline.send('r1', 'r2', 'w3', 'r4')
    pipeline.server.closing = True
    await pipeline.answer_briefly('r2', 'r1', 'w3', 'r4')
    names = ('r1', 'r2', 'w3', 'r4')
    assert_that(pipeline.answers, Equals([f'200 {name}' for name in names]))
    data = bytes(pipeline.sink.sent)
    assert_that(data.count(b'connection: close'), Equals(1))
    assert_that(data.rpartition(b'HTTP/1.1')[2], Contains(b'close'))


async def test_requests_in_progress_are_answered_at_the_end(
    pipeline: Pipeline,
) -> None:
    """Those that wait are told as not run, in their turn."""
    names = names_of(MAX_PIPELINED + 1)
    await pipeline.send(*names)
    pipeline.server.end()
    await pipeline.answer_briefly(*reversed(names[:MAX_PIPELINED]))
    expected = [f'200 {name}' for name in names[:MAX_PIPELINED]]
    assert_that(pipeline.answers, Equals([*expected, '503']))
    assert_that(pipeline.begun, Equals(names[:MAX_PIPELINED]))
    assert_that(bytes(pipeline.sink.sent), Contains(b'connection: close'))


async def test_an_error_in_one_handler_leaves_the_others_alone(
    pipeline: Pipeline, caplog: pytest.LogCaptureFixture
) -> None:
    """All requests of the connection would be lost."""
    await pipeline.send('r1', 'r2', 'r3')
    pipeline.results['r2'].set_exception(RuntimeError('unexpected'))
    await pipeline.turn()
    assert_that(pipeline.cancelled, Equals([]))
    await pipeline.answer_briefly('r3', 'r1')
    assert_that(pipeline.answers, Equals(['200 r1', '502', '200 r3']))
    messages = [record.message for record in caplog.records]
    assert_that(messages, Equals(['request failed by an internal error']))


async def test_a_malformed_response_behind_others_is_replaced(
    pipeline: Pipeline,
) -> None:
    """Its size can't be told; the connection waited for it without end."""
    await pipeline.send('r1', 'r2')
    bad = Response(200, [b'no pair'], b'')  # type: ignore[list-item]
    await pipeline.answer('r2', bad)
    await pipeline.answer_briefly('r1')
    assert_that(pipeline.answers, Equals(['200 r1', '502']))


async def test_a_connection_that_closes_without_a_response_cancels_the_rest(
    pipeline: Pipeline,
) -> None:
    """Requests behind the last response count as not read."""
    await pipeline.send('r1', 'r2', 'r3', 'w4')
    await pipeline.answer('r2', None)
    assert_that(pipeline.sink.aborted, Equals(False))
    await pipeline.answer_briefly('r1')
    assert_that(pipeline.answers, Equals(['200 r1']))
    assert_that(bytes(pipeline.sink.sent), Contains(b'connection: close'))
    assert_that(pipeline.cancelled, Equals(['r3']))
    assert_that(pipeline.results['r3'].cancelled(), Equals(True))
    assert_that(pipeline.begun, Not(Contains('w4')))


async def test_no_request_is_handled_behind_one_that_closes(
    pipeline: Pipeline,
) -> None:
    """Its caller sends those on another connection."""
    await pipeline.send('r1')
    await pipeline.send('r2', 'r3', fields=b'connection: close\r\n')
    await pipeline.answer_briefly('r2', 'r1')
    assert_that(pipeline.answers, Equals(['200 r1', '200 r2']))
    assert_that(pipeline.begun, Equals(['r1', 'r2']))


async def test_a_rejection_comes_after_all_responses(
    pipeline: Pipeline,
) -> None:
    """The requests before the malformed one keep theirs."""
    await pipeline.send('r1', 'r2')
    pipeline.sink.protocol.data_received(b'\x00 nonsense\r\n\r\n')
    await pipeline.answer_briefly('r2', 'r1')
    assert_that(pipeline.answers, Equals(['200 r1', '200 r2', '400']))


async def test_a_handler_that_takes_long_keeps_its_connection(
    pipeline: Pipeline,
) -> None:
    """Its own timeout ends it; the idle one of the connection doesn't."""
    await pipeline.send('r1', 'r2')
    await pipeline.answer_briefly('r2')
    pipeline.now = LIMITS.idle_s + 1.0
    pipeline.server.enforce_timeouts(pipeline.now)
    assert_that(pipeline.sink.aborted, Equals(False))
    await pipeline.answer_briefly('r1')
    pipeline.server.enforce_timeouts(pipeline.now + LIMITS.idle_s - 1.0)
    assert_that(pipeline.sink.aborted, Equals(False))
    assert_that(len(pipeline.answers), Equals(2))


async def test_100_continue_waits_for_all_responses(
    pipeline: Pipeline,
) -> None:
    """A caller takes it as one to its first unanswered request."""
    await pipeline.send('r1', 'r2')
    head = b'POST /w3 HTTP/1.1\r\nexpect: 100-continue\r\n'
    pipeline.sink.protocol.data_received(head + b'content-length: 1\r\n\r\n')
    await pipeline.answer_briefly('r1')
    assert_that(pipeline.answers, Equals(['200 r1']))
    await pipeline.answer_briefly('r2')
    assert_that(pipeline.answers, Equals(['200 r1', '200 r2', '100']))


async def test_a_steady_caller_with_a_full_pipeline_is_not_slowed_down(
    pipeline: Pipeline,
) -> None:
    """Each pipelined request is charged processor time."""
    for number in range(200):
        names = [f'r{number}-{name}' for name in names_of(MAX_PIPELINED)]
        await pipeline.send(*names)
        assert_that(pipeline.sink.reading, Equals(True))
        await pipeline.answer_briefly(*reversed(names))
        assert_that(len(pipeline.answers), Equals(MAX_PIPELINED))
        pipeline.sink.sent.clear()
        pipeline.now += BATCH_S
    assert_that(pipeline.server.shares.heavy, Equals({}))
