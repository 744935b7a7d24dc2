"""A client connection to one peer that reconnects by itself."""

from asyncio import create_task
from asyncio import Event
from asyncio import Future
from asyncio import get_running_loop
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

from mode import Service
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.client import connect
from websockets.exceptions import WebSocketException

from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.peers.codec import Malformed
from cowslipmill.peers.frame import Frame
from cowslipmill.peers.frame import FrameCodec
from cowslipmill.peers.frame import FrameKind
from cowslipmill.peers.frame import Unreadable
from cowslipmill.peers.framequeue import FrameQueue
from cowslipmill.peers.measuredconnection import MAX_RECEIVED_AHEAD
from cowslipmill.peers.measuredconnection import MeasuredClientConnection
from cowslipmill.peers.measuredconnection import received_on
from cowslipmill.peers.metrics import DROPPED_MESSAGES
from cowslipmill.peers.metrics import RECEIVED_BYTES
from cowslipmill.peers.metrics import SENT_BYTES
from cowslipmill.peers.session import authenticate_to_server
from cowslipmill.peers.session import HandshakeFailed
from cowslipmill.runtime.backgrounderrors import logged_errors
from cowslipmill.runtime.backoff import doubled

OPEN_TIMEOUT_S = 1.0
CLOSE_TIMEOUT_S = 0.2
MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 1.0


@dataclass(frozen=True, slots=True)
class Unreachable:
    """Result of a call that got no reply.

    Attributes:
        reason: Why there is no reply, in one sentence.
        sent: Whether the call may have reached the peer.
    """

    reason: str
    sent: bool = False


class Link(Service):
    """Keeps a connection to one peer open and sends messages on it.

    Messages are queued during the first connection attempt and while the
    link is connected. They are dropped while the link reconnects.

    Attributes:
        memory: The budget of what waits to be sent, and of what is received;
            None for no limit.
        address: The peer's address, `HOST:PORT`.
        name: Name of this process, sent in the handshake.
        keys: Shared keys; the first one signs.
        codec: Codec of the frames.
        random: Source of the jitter between connection attempts.
        queue: Encoded frames that wait to be sent.
        connected: Set while the connection is open.
        connection: The open connection, or None.
        failures: Failed attempts and lost connections since the last
            successful handshake.
        pending_calls: Calls that wait for their reply, by call ID.
        last_call_id: ID of the latest call.
    """

    def __init__(
        self,
        address: str,
        name: str,
        keys: tuple[str, ...],
        codec: FrameCodec,
        random: Random,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Initializes the link; it connects when the service starts."""
        super().__init__()
        self.memory = memory
        self.address = address
        self.name = name
        self.keys = keys
        self.codec = codec
        self.random = random
        self.queue = FrameQueue(memory, f'messages to {address}')
        self.queue.holding.allow_eviction(self.yield_memory)
        self.connected = Event()
        self.connection: ClientConnection | None = None
        self.failures = 0
        self.pending_calls: dict[int, Future[Any]] = {}
        self.last_call_id = 0

    @Service.task
    async def keep_connected(self) -> None:
        """Reconnects with exponential backoff until the link stops."""
        while not self.should_stop:
            with logged_errors('peer link'):
                await self.connect_once()
            self.fail_calls('not connected')
            self.failures += 1
            await self.sleep(self.choose_delay_s())

    async def connect_once(self) -> None:
        """Connects and sends messages until the connection ends."""
        create_connection: Any = partial(
            MeasuredClientConnection, memory=self.memory
        )
        try:
            async with connect(
                f'ws://{self.address}',
                compression=None,
                max_size=self.codec.max_bytes,
                open_timeout=OPEN_TIMEOUT_S,
                max_queue=MAX_RECEIVED_AHEAD,
                close_timeout=CLOSE_TIMEOUT_S,
                create_connection=create_connection,
            ) as connection:
                await authenticate_to_server(connection, self.name, self.keys)
                received_on(connection).authenticate(self.address)
                await self.run_connection(connection)
        except (
            OSError,
            TimeoutError,
            WebSocketException,
            HandshakeFailed,
        ) as error:
            self.fail_calls(f'{type(error).__name__}: {error}')

    def choose_delay_s(self) -> float:
        """Returns a random delay before the next attempt, in seconds."""
        max_delay_s = doubled(
            MIN_RECONNECT_DELAY_S, self.failures, MAX_RECONNECT_DELAY_S
        )
        return self.random.uniform(MIN_RECONNECT_DELAY_S, max_delay_s)

    async def run_connection(self, connection: ClientConnection) -> None:
        """Sends queued frames and handles replies until the connection ends.

        Afterwards drops the queued frames and fails the pending calls.
        """
        sender = create_task(self.send_queued(connection))
        received = received_on(connection)
        self.connection = connection
        self.connected.set()
        self.failures = 0
        try:
            async for raw in connection:
                self.on_replies(raw)
                if received.holding.size:
                    received.settle()
        finally:
            self.connected.clear()
            self.connection = None
            sender.cancel()
            self.drop_queued()
            self.fail_calls('connection closed')

    def abort(self) -> None:
        """Closes the connection without the WebSocket closing handshake."""
        if self.connection is not None:
            self.connection.transport.abort()

    def yield_memory(self) -> None:
        """Drops what is queued to make room, and connects anew."""
        self.drop_queued()
        self.abort()
        self.queue.holding.allow_eviction(self.yield_memory)

    async def send_queued(self, connection: ClientConnection) -> None:
        """Sends queued frames in batches until the connection ends."""
        try:
            while True:
                raw = await self.queue.take_batch(self.codec.max_bytes)
                SENT_BYTES.inc(len(raw))
                await connection.send(raw)
        except WebSocketException:
            return

    def on_replies(self, raw: str | bytes) -> None:
        """Resolves the pending calls that a batch of replies belongs to."""
        if isinstance(raw, str):
            DROPPED_MESSAGES.labels('malformed').inc()
            return
        RECEIVED_BYTES.inc(len(raw))
        frames = self.codec.decode(raw)
        if isinstance(frames, Malformed):
            DROPPED_MESSAGES.labels('malformed').inc()
            return
        for frame in frames:
            future = self.pending_calls.pop(frame.call_id, None)
            message = frame.message
            if isinstance(message, Unreadable):
                DROPPED_MESSAGES.labels('unreadable').inc()
                message = None
            if frame.kind is FrameKind.REPLY and future is not None:
                resolve_call(future, message)

    def drop_queued(self) -> None:
        """Drops the frames still queued when the connection ended."""
        DROPPED_MESSAGES.labels('peer-left').inc(self.queue.clear())

    def fail_calls(self, reason: str) -> None:
        """Resolves every pending call with `Unreachable`."""
        calls, self.pending_calls = self.pending_calls, {}
        for future in calls.values():
            resolve_call(future, Unreachable(reason, sent=True))

    def send(self, message: Any) -> bool:
        """Queues a notification.

        Returns:
            False if it was dropped: the peer is unreachable or the queue is
            full.

        Raises:
            ValueError: If the message is larger than the size limit.
        """
        return self.enqueue(encode_notification(self.codec, message))

    def enqueue(self, raw: bytes) -> bool:
        """Queues an encoded frame.

        Returns:
            False if it was dropped: the link is reconnecting or the queue is
            full.
        """
        if self.failures and not self.connected.is_set():
            DROPPED_MESSAGES.labels('unreachable').inc()
            return False
        if not self.queue.put(raw):
            DROPPED_MESSAGES.labels('queue-full').inc()
            return False
        return True

    async def call(self, message: Any, timeout_s: float) -> Any:
        """Sends a message and waits for its reply.

        Args:
            message: The message.
            timeout_s: How long to wait for the reply in seconds.

        Returns:
            The reply, or `Unreachable`.

        Raises:
            ValueError: If the message is larger than the size limit.
        """
        self.last_call_id += 1
        call_id = self.last_call_id
        raw = self.codec.encode(Frame(FrameKind.CALL, call_id, message))
        if not self.enqueue(raw):
            return Unreachable('not connected or queue full')
        loop = get_running_loop()
        future: Future[Any] = loop.create_future()
        self.pending_calls[call_id] = future
        timeout_reply = Unreachable('no reply in time', sent=True)
        timer = loop.call_later(timeout_s, resolve_call, future, timeout_reply)
        try:
            reply = await future
        finally:
            timer.cancel()
            self.pending_calls.pop(call_id, None)
        if reply is None:
            return Unreachable('the peer returned no result', sent=True)
        return reply


def encode_notification(codec: FrameCodec, message: Any) -> bytes:
    """Returns the encoded frame of a message that needs no reply.

    Raises:
        ValueError: If the frame is larger than the size limit.
    """
    return codec.encode(Frame(FrameKind.NOTIFICATION, 0, message))


def resolve_call(future: 'Future[Any]', reply: Any) -> None:
    """Sets the reply of a call unless it has one or was cancelled."""
    if not future.done():
        future.set_result(reply)
