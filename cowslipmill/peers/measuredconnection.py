"""Connections of peers that count the memory of what they receive.

A peer decides how much it sends, how it splits it, and whether it reads what
is sent back.
"""

from asyncio import BaseTransport
from logging import getLogger
from sys import maxsize
from typing import Any

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.protocol import State

from cowslipmill.memory.budget import Holding
from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.peers.framequeue import CONNECTION_BYTES
from cowslipmill.peers.metrics import REFUSED_CONNECTIONS
from cowslipmill.runtime.readsize import limit_read_size

LOG = getLogger(__name__)

# Most bytes that open a connection; a client of this program sends some 300.
MAX_OPENING_BYTES = 4_096
# Memory of what was received while the connection opens: each field becomes
# a tuple of two texts.
OPENING_FACTOR = 16
# Memory of a received frame beside its data.
FRAME_BYTES = 256
# Bytes that are parsed before they are counted; small frames take many times
# their bytes.
MAX_PARSED_BYTES = 16_384
# Changes of the memory of a connection that aren't counted. Most messages are
# smaller, and counting takes processor time.
STEP_BYTES = 4_096
# Messages of a connection that are received before one has been handled.
MAX_RECEIVED_AHEAD = 4


class ReceivedMemory:
    """The memory of what one connection received and has not handled.

    Attributes:
        connection: The connection.
        holding: Its memory.
        opening_bytes: Bytes received until the connection was open.
        base_bytes: Memory of the connection itself; 0 once its queue of
            replies or messages counts it.
        message_bytes: Memory of the messages that are being handled.
        closed: Whether nothing more is counted.
    """

    __slots__ = (
        'base_bytes',
        'closed',
        'connection',
        'holding',
        'message_bytes',
        'opening_bytes',
    )

    def __init__(self, connection: Connection, memory: MemoryBudget) -> None:
        """Starts with nothing received."""
        self.connection = connection
        self.holding = Holding(memory, 'connection of a peer')
        self.opening_bytes = 0
        self.base_bytes = CONNECTION_BYTES
        self.message_bytes = 0
        self.closed = False

    def start(self) -> None:
        """Counts the connection, which is closed if there is no room."""
        peer = self.connection.transport.get_extra_info('peername')
        self.holding.owner = f'connection with {peer}'
        self.holding.allow_eviction(self.abort)
        self.settle()

    def close(self) -> None:
        """Gives the memory back, and counts nothing more."""
        self.closed = True
        self.holding.release()

    def abort(self) -> None:
        """Closes the connection at once."""
        self.close()
        self.connection.transport.abort()

    def receive(self, size: int) -> None:
        """Counts received bytes; closes the connection beyond a bound.

        Args:
            size: How many bytes were received.
        """
        if self.base_bytes and not self.count_opening(size):
            return
        for frame in self.connection.recv_messages.frames.queue:
            # A sender of this program never splits a message. Parts would be
            # held outside of the queue until the last one has come.
            if not frame.fin:
                self.refuse('message in parts')
                return
        self.settle()

    def count_opening(self, size: int) -> bool:
        """Counts bytes until the connection is open.

        Args:
            size: How many bytes were received.

        Returns:
            Whether there are no more than may open one.
        """
        if self.connection.protocol.state is State.CONNECTING:
            self.opening_bytes += size
        if self.opening_bytes <= MAX_OPENING_BYTES:
            return True
        self.refuse('long opening')
        return False

    def refuse(self, reason: str) -> None:
        """Closes the connection at once."""
        REFUSED_CONNECTIONS.labels('bounds').inc()
        extra = {'peer': str(self.holding.owner), 'reason': reason}
        LOG.warning('peer cut off', extra=extra)
        self.abort()

    def settle(self) -> None:
        """Counts what is held now; closes the connection without room."""
        if self.closed:
            return
        connection = self.connection
        size = (
            self.message_bytes
            + len(connection.protocol.reader.buffer)
            + connection.transport.get_write_buffer_size()
        )
        for frame in connection.recv_messages.frames.queue:
            size += FRAME_BYTES + len(frame.data)
        if self.base_bytes:
            size += self.base_bytes + OPENING_FACTOR * self.opening_bytes
        change = size - self.holding.size
        if -STEP_BYTES < change < STEP_BYTES:
            return
        if not self.holding.resize(size):
            self.abort()

    def authenticate(self, peer_name: str) -> None:
        """Counts messages only, once the peer is known."""
        self.holding.owner = f'messages of {peer_name}'
        self.base_bytes = 0
        self.settle()

    def hold(self, size: int) -> None:
        """Adds the memory of a message that is being handled."""
        self.message_bytes += size
        self.settle()

    def let_go(self, size: int) -> None:
        """Takes away the memory of a message that was handled."""
        self.message_bytes -= size
        self.settle()


class MeasuredConnection(Connection):
    """A connection that counts what it receives.

    Attributes:
        received: The memory of what was received.
    """

    def __init__(
        self, *args: Any, memory: MemoryBudget | None, **kwargs: Any
    ) -> None:
        """Starts with nothing received.

        Args:
            args: Passed on.
            memory: The budget of what is received; None for no limit.
            kwargs: Passed on.
        """
        super().__init__(*args, **kwargs)
        budget = memory or MemoryBudget('unlimited', maxsize)
        self.received = ReceivedMemory(self, budget)

    def connection_made(self, transport: BaseTransport) -> None:
        """Counts the connection."""
        limit_read_size(transport)
        super().connection_made(transport)
        self.received.start()

    def data_received(self, data: bytes) -> None:
        """Counts what was received, a part at a time."""
        if len(data) <= MAX_PARSED_BYTES:
            super().data_received(data)
            self.received.receive(len(data))
            return
        for start in range(0, len(data), MAX_PARSED_BYTES):
            part = data[start : start + MAX_PARSED_BYTES]
            super().data_received(part)
            self.received.receive(len(part))
            if self.received.closed:
                return

    def connection_lost(self, exc: Exception | None) -> None:
        """Gives the memory back."""
        super().connection_lost(exc)
        self.received.close()


class MeasuredServerConnection(MeasuredConnection, ServerConnection):
    """The server's side of a connection that counts what it receives."""


class MeasuredClientConnection(MeasuredConnection, ClientConnection):
    """The client's side of a connection that counts what it receives."""


def received_on(connection: Connection) -> ReceivedMemory:
    """Returns the memory of what a measured connection received."""
    assert isinstance(connection, MeasuredConnection)
    return connection.received
