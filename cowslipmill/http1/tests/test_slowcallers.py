"""Tests that callers that take long responses slowly get them whole."""

from asyncio import sleep
from typing import Any

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.http1.exchange import Exchange
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.outgoing import PIECE_BYTES
from cowslipmill.http1.tests.test_memory import feed
from cowslipmill.http1.tests.test_memory import HEAD
from cowslipmill.http1.tests.test_memory import open_caller
from cowslipmill.http1.tests.test_memory import open_exchange
from cowslipmill.http1.tests.test_memory import POST
from cowslipmill.http1.tests.test_memory import Sink
from cowslipmill.memory.budget import Holding
from cowslipmill.memory.budget import MemoryBudget

BODY_BYTES = 4_000_000


class SlowSink(Sink):
    """A transport whose other side takes one piece at a time.

    Attributes:
        untaken: What it has not taken yet.
    """

    def __init__(self, protocol: Any) -> None:
        """Connects the protocol."""
        self.untaken = 0
        super().__init__(protocol)

    def write(self, data: Any) -> None:
        """Keeps data until it is taken."""
        self.sent += data
        self.untaken += len(data)
        self.protocol.pause_writing()

    def get_write_buffer_size(self) -> int:
        """Returns what the other side has not taken."""
        return self.untaken

    def take(self) -> None:
        """Takes what was written."""
        self.untaken = 0
        self.protocol.resume_writing()


async def test_callers_that_take_their_responses_steadily_keep_them() -> None:
    """Responses to others come meanwhile, more than memory can hold.

    They can be answered by this host: their connections hold no response.
    """
    servers = MemoryBudget('servers', 10_000_000)

    async def answer(request: Request, exchange: Exchange) -> Response:
        """Answers at once with a response of a server."""
        holding = Holding(servers, 'response')
        assert holding.resize(BODY_BYTES)
        return Response(200, [], b'z' * BODY_BYTES, holding)

    sinks = []
    for _ in range(2):
        connection = open_caller(MemoryBudget('callers', 1_000_000), answer)
        sinks.append(SlowSink(connection))
        connection.data_received(POST + b'content-length: 1\r\n\r\nx')
        await sleep(0)
    exchanges = [open_exchange(servers, number) for number in range(4)]
    for exchange in exchanges:
        exchange.data_received(HEAD + b'\r\n')
    for _ in range(BODY_BYTES // PIECE_BYTES + 2):
        for exchange in exchanges:
            feed(exchange.data_received, b'', b'y' * 8_192, PIECE_BYTES)
        for sink in sinks:
            sink.take()
        await sleep(0)
    cut_off = sum(sink.aborted for sink in sinks)
    assert_that(cut_off, Equals(0))
    whole = sum(len(sink.sent) > BODY_BYTES for sink in sinks)
    assert_that(whole, Equals(2))
