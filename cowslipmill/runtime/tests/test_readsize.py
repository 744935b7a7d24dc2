"""Tests of how much is read from a connection at a time.

Guard against reads so large that the allocator takes their buffers from the
system each time, which cost up to a third of the time of a short message.
"""

from asyncio import BaseTransport
from asyncio import Protocol
from collections.abc import Callable

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.http1.callerconnection import CallerConnection
from cowslipmill.http1.callerserver import CallerServer
from cowslipmill.http1.exchange import Exchange
from cowslipmill.http1.listenerstate import CallerLimits
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.serverconnection import ServerConnection
from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.runtime.readsize import READ_BYTES


async def refuse(request: Request, exchange: Exchange) -> Response:
    """Refuses a request."""
    return Response(503, [], b'')


def make_caller_connection() -> Protocol:
    """Returns a connection of a caller."""
    limits = CallerLimits(16_384, 65_536, 3.0, 15.0)
    return CallerConnection(CallerServer(refuse, limits, lambda: 0.0))


def make_server_connection() -> Protocol:
    """Returns a connection to a server."""
    return ServerConnection(b'x-request-id', MemoryBudget('servers', 100_000))


@pytest.mark.parametrize(
    'make', [make_caller_connection, make_server_connection]
)
async def test_a_connection_reads_little_at_a_time(
    make: Callable[[], Protocol],
) -> None:
    connection = make()

    class Socket(BaseTransport):
        """A transport with the size of asyncio's own."""

        max_size = 262_144

        def set_write_buffer_limits(self, high: int) -> None:
            """Ignores the limit."""

        def close(self) -> None:
            """Does nothing."""

    transport = Socket()
    connection.connection_made(transport)
    assert_that(transport.max_size, Equals(READ_BYTES))
