"""Tests of input that takes much of the event loop.

Guard against callers that hold up all others, and against the loss of what
waits to be parsed meanwhile.
"""

from asyncio import sleep
from collections.abc import Callable

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan
from testtools.matchers import StartsWith

from cowslipmill.http1.callerconnection import CallerConnection
from cowslipmill.http1.callerserver import CallerServer
from cowslipmill.http1.exchangequeue import MAX_PIPELINED
from cowslipmill.http1.listenerstate import TURN_S
from cowslipmill.http1.tests.test_chunkpacer import HEAD
from cowslipmill.http1.tests.test_chunkpacer import PausedSink
from cowslipmill.http1.tests.test_chunkpacer import respond
from cowslipmill.http1.tests.test_memory import LIMITS
from cowslipmill.http1.tests.test_oddrequests import make_request
from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.runtime.workshare import BURST_S

CHUNKS = b'2\r\nxx\r\n' * 8_192
READ_BYTES = 65_536
TURNS = 1_000


class Bench:
    """A listener whose input takes as much time as a test says.

    Attributes:
        now: Monotonic seconds.
        worked_s: Processor time taken.
        slice_s: Processor time that each slice takes, in seconds.
    """

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        """Makes the protocol factory."""
        self.now = 0.0
        self.worked_s = 0.0
        self.slice_s = 0.0
        self.server = CallerServer(
            respond,
            LIMITS,
            lambda: self.now,
            budget,
            work_clock=self.work,
        )

    def work(self) -> float:
        """Returns the processor time taken; one slice more each time."""
        self.worked_s += self.slice_s
        return self.worked_s

    def open(self) -> PausedSink:
        """Returns the transport of a new connection."""
        return PausedSink(CallerConnection(self.server))


@pytest.fixture
def bench() -> Bench:
    """Returns a listener."""
    return Bench()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Lets the event loop turn until a condition holds."""
    for _ in range(TURNS):
        if condition():
            return
        await sleep(0)
    raise AssertionError('never')


async def test_a_large_read_takes_a_part_of_a_turn(bench: Bench) -> None:
    """A read of small chunks took several milliseconds in one go."""
    bench.slice_s = TURN_S
    sink = bench.open()
    sink.protocol.data_received(HEAD + CHUNKS)
    assert_that(bench.worked_s, LessThan(3 * TURN_S))
    assert_that(len(sink.protocol.rest), GreaterThan(READ_BYTES // 2))


async def test_one_that_takes_much_is_paused_and_others_are_not(
    bench: Bench,
) -> None:
    """All may come from one address."""
    bench.slice_s = BURST_S
    flood, sound = bench.open(), bench.open()
    flood.protocol.data_received(HEAD + CHUNKS)
    await wait_until(lambda: not flood.reading)
    bench.slice_s = 0.0
    sound.protocol.data_received(make_request(b'a'))
    assert_that(sound.reading, Equals(True))
    await wait_until(lambda: bool(sound.sent))
    assert_that(bytes(sound.sent), StartsWith(b'HTTP/1.1 200'))
    flood.abort()


async def test_a_new_connection_pays_for_those_before_it(
    bench: Bench,
) -> None:
    """A flood may connect anew after each rejection."""
    bench.slice_s = 2 * BURST_S
    first, second = bench.open(), bench.open()
    first.protocol.data_received(HEAD.replace(b'\r\n\r\n', b'\r\n') + CHUNKS)
    await wait_until(lambda: first.protocol.input_ended)
    assert_that(bytes(first.sent), StartsWith(b'HTTP/1.1 4'))
    worked_s = bench.worked_s
    second.protocol.data_received(HEAD + CHUNKS)
    assert_that(bench.worked_s, Equals(worked_s))
    assert_that(second.reading, Equals(False))
    first.abort()
    second.abort()


async def test_a_pause_is_no_timeout(bench: Bench) -> None:
    """A caller isn't late for what isn't read from it."""
    bench.slice_s = 10 * BURST_S
    sink = bench.open()
    sink.protocol.data_received(HEAD[:-2] + b'x: ' + b'y' * 5_000)
    assert_that(sink.reading, Equals(False))
    pause_s = sink.protocol.phase_started_at
    assert_that(pause_s, GreaterThan(0.0))
    bench.now = pause_s + LIMITS.header_s - 0.1
    bench.server.enforce_timeouts(bench.now)
    assert_that(bytes(sink.sent), Equals(b''))
    bench.now = pause_s + LIMITS.header_s + 0.1
    bench.server.enforce_timeouts(bench.now)
    assert_that(bytes(sink.sent), StartsWith(b'HTTP/1.1 408'))
    sink.abort()


async def test_a_connection_with_input_to_parse_is_not_idle(
    bench: Bench,
) -> None:
    """A request that has arrived late could be closed upon unread."""
    bench.slice_s = 2 * BURST_S
    flood, sink = bench.open(), bench.open()
    flood.protocol.data_received(HEAD + CHUNKS)
    bench.now = LIMITS.idle_s + 1.0
    flood.protocol.work.charge(1.0, bench.now)
    head = HEAD[:-2] + b'x: ' + b'y' * 5_000 + b'\r\n\r\n'
    sink.protocol.data_received(head)
    sink.protocol.phase_started_at = 0.0
    bench.server.enforce_timeouts(bench.now)
    assert_that(len(sink.protocol.rest), Equals(len(head)))
    assert_that(sink.aborted, Equals(False))
    flood.abort()
    sink.abort()


async def test_a_request_before_the_end_of_input_is_answered(
    bench: Bench,
) -> None:
    """Its caller may only have closed its sending side."""
    bench.slice_s = TURN_S
    sink = bench.open()
    body = CHUNKS[: len(CHUNKS) // 2] + b'0\r\n\r\n'
    sink.protocol.data_received(HEAD + body)
    assert_that(len(sink.protocol.rest), GreaterThan(0))
    assert_that(bench.server.busy, Equals(True))
    assert_that(sink.protocol.eof_received(), Equals(True))
    await wait_until(lambda: bool(sink.sent))
    assert_that(sink.sent.endswith(b'\r\n\r\n8192'), Equals(True))


async def test_a_plain_body_is_not_cut(bench: Bench) -> None:
    """Its bytes take little, and parts of it would be copied."""
    bench.slice_s = TURN_S / 10
    sink = bench.open()
    body = b'y' * (READ_BYTES - 1_000)
    sink.protocol.data_received(make_request(b'a', b'', body))
    assert_that(sink.protocol.rest, Equals(b''))
    (exchange,) = sink.protocol.started
    assert_that(type(exchange.request.body), Equals(bytes))


async def test_many_requests_in_one_read_are_all_answered(
    bench: Bench,
) -> None:
    """Parsing waits while enough of them are handled, and goes on."""
    bench.slice_s = TURN_S / 10
    sink = bench.open()
    count = 6 * MAX_PIPELINED
    requests = [make_request(b'a', b'x: ' + b'y' * 400 + b'\r\n')] * count
    sink.protocol.data_received(b''.join(requests))
    most = 0
    for _ in range(TURNS):
        protocol = sink.protocol
        most = max(most, len(protocol.started) + len(protocol.waiting))
        await sleep(0)
    assert_that(sink.sent.count(b'HTTP/1.1 200'), Equals(count))
    assert_that(most, LessThan(5 * MAX_PIPELINED))
    assert_that(sink.reading, Equals(True))


async def test_requests_that_arrived_before_a_stop_are_answered(
    bench: Bench,
) -> None:
    """A connection that is to close may have more to parse."""
    bench.slice_s = TURN_S
    bench.server.closing = True
    sink = bench.open()
    count = 2 * MAX_PIPELINED
    requests = [make_request(b'a', b'x: ' + b'y' * 4_000 + b'\r\n')] * count
    sink.protocol.data_received(b''.join(requests))
    await wait_until(lambda: sink.protocol.linger_timer is not None)
    assert_that(sink.sent.count(b'HTTP/1.1 200'), Equals(count))
    sink.abort()


async def test_input_that_waits_is_in_the_memory_account() -> None:
    """Many paused callers could hold more than a host may."""
    budget = MemoryBudget('callers', 1_000_000)
    bench = Bench(budget)
    bench.slice_s = TURN_S
    sinks = [bench.open() for _ in range(30)]
    for sink in sinks:
        sink.protocol.data_received(HEAD + CHUNKS)
    held_bytes = sum(len(sink.protocol.rest) for sink in sinks)
    assert_that(held_bytes, LessThan(budget.held_bytes))
    assert_that(budget.peak_bytes, LessThan(budget.limit_bytes + 1))
    for sink in sinks:
        sink.abort()
    await sleep(0)
    await sleep(0)
    assert_that(budget.held_bytes, Equals(0))


@pytest.mark.parametrize('limit_bytes', range(75_000, 140_000, 2_000))
async def test_a_request_is_not_rejected_for_what_waits_behind_it(
    limit_bytes: int,
) -> None:
    """Making room for it could reject the rest of its own connection."""
    bench = Bench(MemoryBudget('callers', limit_bytes))
    bench.slice_s = TURN_S
    sink = bench.open()
    first = make_request(b'a', b'x: a\r\n' * 250)
    second = b'POST /b HTTP/1.1\r\ncontent-length: 200000\r\n\r\n'
    data = (first + second).ljust(READ_BYTES, b'y')
    sink.protocol.data_received(data)
    for _ in range(TURNS // 10):
        await sleep(0)
    answers = bytes(sink.sent).split(b'HTTP/1.1 ')[1:]
    statuses = [answer[:3] for answer in answers]
    assert_that(statuses in ([b'503'], [b'200', b'503']), Equals(True))
    sink.abort()
