"""The outgoing link to one peer."""

from asyncio import create_task
from asyncio import Event
from asyncio import Future
from asyncio import get_running_loop
from asyncio import Queue
from asyncio import QueueFull
from dataclasses import dataclass
from random import Random
from typing import Any

from mode import Service
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from cowslipmill.peers.batch import take_batch
from cowslipmill.peers.codec import Malformed
from cowslipmill.peers.frame import Frame
from cowslipmill.peers.frame import FrameCodec
from cowslipmill.peers.frame import FrameKind
from cowslipmill.peers.metrics import DROPPED
from cowslipmill.peers.metrics import RECEIVED_BYTES
from cowslipmill.peers.metrics import SENT_BYTES
from cowslipmill.peers.session import HandshakeFailed
from cowslipmill.peers.session import join_peer

OPEN_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 0.2
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
MAX_QUEUED_MESSAGES = 1024


@dataclass(frozen=True, slots=True)
class Unreachable:
    """A peer did not answer a call.

    Attributes:
        reason: One sentence.
        sent: Whether the call may have reached the peer.
    """

    reason: str
    sent: bool = False


class Link(Service):
    """Keeps one connection to a peer and sends through it.

    Attributes:
        address: The peer's address.
        connected: Set while the connection is open.
        connection: The open connection, or None.
        calls: Calls that wait for their reply, by number.
    """

    def __init__(
        self,
        address: str,
        name: str,
        keys: tuple[str, ...],
        codec: FrameCodec,
        random: Random,
    ) -> None:
        """Keeps the parts; the connection opens on start."""
        super().__init__()
        self.address = address
        self.name = name
        self.keys = keys
        self.codec = codec
        self.random = random
        self.queue: Queue[bytes] = Queue(MAX_QUEUED_MESSAGES)
        self.connected = Event()
        self.connection: ClientConnection | None = None
        self.failures = 0
        self.calls: dict[int, Future[Any]] = {}
        self.last_call = 0

    @Service.task
    async def keep_connected(self) -> None:
        """Connects again and again until the link stops."""
        while not self.should_stop:
            try:
                async with connect(
                    f'ws://{self.address}',
                    compression=None,
                    max_size=self.codec.max_bytes,
                    open_timeout=OPEN_TIMEOUT_S,
                    close_timeout=CLOSE_TIMEOUT_S,
                ) as connection:
                    await join_peer(connection, self.name, self.keys)
                    await self.exchange(connection)
            except (
                OSError,
                TimeoutError,
                WebSocketException,
                HandshakeFailed,
            ) as error:
                self.fail_calls(f'{type(error).__name__}: {error}')
            self.failures += 1
            bound = min(MAX_PAUSE_S, MIN_PAUSE_S * 2**self.failures)
            await self.sleep(self.random.uniform(MIN_PAUSE_S, bound))

    async def exchange(self, connection: ClientConnection) -> None:
        """Sends what is queued and takes in replies."""
        sender = create_task(self.send_queued(connection))
        self.connection = connection
        self.connected.set()
        self.failures = 0
        try:
            async for raw in connection:
                self.take_replies(raw)
        finally:
            self.connected.clear()
            self.connection = None
            sender.cancel()
            self.drop_queued()
            self.fail_calls('connection closed')

    def abort(self) -> None:
        """Ends the connection without waiting for the peer's consent."""
        if self.connection is not None:
            self.connection.transport.abort()

    async def send_queued(self, connection: ClientConnection) -> None:
        """Sends one queued message after the other."""
        try:
            while True:
                raw = await take_batch(self.queue, self.codec.max_bytes)
                SENT_BYTES.inc(len(raw))
                await connection.send(raw)
        except WebSocketException:
            return

    def take_replies(self, raw: str | bytes) -> None:
        """Ends the calls that a batch of replies belongs to."""
        if isinstance(raw, str):
            DROPPED.labels('malformed').inc()
            return
        RECEIVED_BYTES.inc(len(raw))
        frames = self.codec.decode(raw)
        if isinstance(frames, Malformed):
            DROPPED.labels('malformed').inc()
            return
        for frame in frames:
            future = self.calls.pop(frame.call, None)
            if frame.kind is FrameKind.REPLY and future is not None:
                end_call(future, frame.message)

    def drop_queued(self) -> None:
        """Drops what was queued for the connection that has ended."""
        while not self.queue.empty():
            self.queue.get_nowait()
            DROPPED.labels('peer-left').inc()

    def fail_calls(self, reason: str) -> None:
        """Ends every open call as unreachable."""
        calls, self.calls = self.calls, {}
        for future in calls.values():
            end_call(future, Unreachable(reason, sent=True))

    def send(self, message: Any) -> bool:
        """Queues one message and tells whether it was taken."""
        return self.enqueue(encode_news(self.codec, message))

    def enqueue(self, raw: bytes) -> bool:
        """Queues bytes; a link that keeps failing takes none."""
        if self.failures and not self.connected.is_set():
            DROPPED.labels('unreachable').inc()
            return False
        try:
            self.queue.put_nowait(raw)
        except QueueFull:
            DROPPED.labels('queue-full').inc()
            return False
        return True

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Sends a message and returns its reply, or `Unreachable`."""
        self.last_call += 1
        number = self.last_call
        raw = self.codec.encode(Frame(FrameKind.CALL, number, message))
        if not self.enqueue(raw):
            return Unreachable('no connection')
        loop = get_running_loop()
        future: Future[Any] = loop.create_future()
        self.calls[number] = future
        late = Unreachable('no reply in time', sent=True)
        timer = loop.call_later(timeout_s, end_call, future, late)
        try:
            reply = await future
        finally:
            timer.cancel()
            self.calls.pop(number, None)
        if reply is None:
            return Unreachable('the peer could not answer', sent=True)
        return reply


def encode_news(codec: FrameCodec, message: Any) -> bytes:
    """Returns a message that needs no reply as bytes."""
    return codec.encode(Frame(FrameKind.NOTIFICATION, 0, message))


def end_call(future: 'Future[Any]', reply: Any) -> None:
    """Ends a call that has not ended yet."""
    if not future.done():
        future.set_result(reply)
