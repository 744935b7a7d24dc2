"""Data that a connection sends no faster than the other side takes it."""

from asyncio import Future
from asyncio import get_running_loop
from asyncio import Handle
from asyncio import Transport
from collections import deque
from fcntl import ioctl
from struct import Struct
from termios import TIOCOUTQ

from cowslipmill.http1.message import Body

# A transport copies what the other side has not taken yet, so that long data
# is handed to it in pieces.
PIECE_BYTES = 65_536
# Most that a transport is handed before others have their turn, unless it
# asks for more: the system takes some megabytes at once.
TURN_BYTES = 4 * PIECE_BYTES
C_INT = Struct('i')


class OutgoingData:
    """Data on its way to a transport.

    Attributes:
        transport: The transport.
        waiting: Data that the transport has not got yet, each with the object
            that it belongs to, which is kept as long.
        paused: Whether the transport takes no more for now.
        drained: Completes when the transport has taken everything.
        turn: The next turn of sending; None if there is none.
    """

    __slots__ = ('drained', 'paused', 'transport', 'turn', 'waiting')

    def __init__(self, transport: Transport) -> None:
        """Starts without data."""
        self.transport = transport
        self.waiting: deque[tuple[memoryview, object]] = deque()
        self.paused = False
        self.drained: Future[None] | None = None
        self.turn: Handle | None = None

    @property
    def size(self) -> int:
        """Bytes that the other side has not taken yet."""
        waiting = sum(len(data) for data, _ in self.waiting)
        return waiting + self.transport.get_write_buffer_size()

    @property
    def unreceived(self) -> int:
        """Bytes that the other side has not received yet.

        Beside `size`, they are those that the system still holds, if it
        tells: it takes more from the transport only in large steps.
        """
        sock = self.transport.get_extra_info('socket')
        if sock is None:
            return self.size
        try:
            held = ioctl(sock.fileno(), TIOCOUTQ, bytes(C_INT.size))
        except OSError:
            return self.size
        return int(C_INT.unpack(held)[0]) + self.size

    def write(self, head: bytes, body: Body, owner: object) -> None:
        """Sends the head and the body of a message.

        Args:
            head: The head.
            body: The body.
            owner: What the body belongs to.
        """
        idle = not self.waiting and not self.paused
        if idle and len(body) <= PIECE_BYTES:
            self.transport.write(head + body)
            return
        self.waiting.append((memoryview(head), owner))
        if body:
            self.waiting.append((memoryview(body), owner))
        if self.turn is None:
            self.send_waiting()

    def send_waiting(self) -> None:
        """Hands data to the transport until it takes no more.

        Beyond `TURN_BYTES`, it goes on after the event loop has served
        others.
        """
        self.turn = None
        sent = 0
        while self.waiting and not self.paused:
            if sent >= TURN_BYTES:
                self.turn = get_running_loop().call_soon(self.send_on)
                return
            data, owner = self.waiting.popleft()
            if len(data) > PIECE_BYTES:
                self.waiting.appendleft((data[PIECE_BYTES:], owner))
            self.transport.write(data[:PIECE_BYTES])
            sent += min(len(data), PIECE_BYTES)

    def send_on(self) -> None:
        """Goes on sending in another turn of the event loop."""
        self.send_waiting()
        if self.empty:
            self.report_drained()

    def pause(self) -> None:
        """Stops until `resume`, as the transport's buffer is full."""
        self.paused = True

    def resume(self) -> None:
        """Goes on, as the transport's buffer has room."""
        self.paused = False
        if self.turn is None:
            self.send_on()

    def discard(self) -> None:
        """Drops all data, as the connection is lost."""
        self.waiting.clear()
        self.paused = False
        self.report_drained()

    def report_drained(self) -> None:
        """Ends `drain`."""
        if self.drained is not None and not self.drained.done():
            self.drained.set_result(None)

    @property
    def empty(self) -> bool:
        """Whether the transport has got everything and can take more."""
        return not self.waiting and not self.paused

    async def drain(self) -> None:
        """Waits until `empty`, or until the connection is lost."""
        while not self.empty:
            self.drained = get_running_loop().create_future()
            await self.drained
