"""The server for messages and calls of peers."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import Task
from collections.abc import Awaitable
from collections.abc import Callable
from functools import partial
from logging import getLogger
from typing import Any

from mode import Service
from websockets.asyncio.server import serve
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.peers.codec import Malformed
from cowslipmill.peers.codec import MAX_DECODED_BYTES
from cowslipmill.peers.decodedsize import measure_decoded
from cowslipmill.peers.frame import Frame
from cowslipmill.peers.frame import FrameCodec
from cowslipmill.peers.frame import FrameKind
from cowslipmill.peers.frame import Unreadable
from cowslipmill.peers.framequeue import FrameQueue
from cowslipmill.peers.measuredconnection import MAX_RECEIVED_AHEAD
from cowslipmill.peers.measuredconnection import MeasuredServerConnection
from cowslipmill.peers.measuredconnection import received_on
from cowslipmill.peers.measuredconnection import ReceivedMemory
from cowslipmill.peers.metrics import DROPPED_MESSAGES
from cowslipmill.peers.metrics import RECEIVED_BYTES
from cowslipmill.peers.metrics import REFUSED_CONNECTIONS
from cowslipmill.peers.metrics import SENT_BYTES
from cowslipmill.peers.rate import RateLimit
from cowslipmill.peers.session import authenticate_client
from cowslipmill.peers.session import HandshakeFailed
from cowslipmill.peers.session import MAX_HANDSHAKE_BYTES
from cowslipmill.runtime.address import split_address
from cowslipmill.runtime.program import ListenError

LOG = getLogger(__name__)

MAX_OPEN_CALLS = 1024
MAX_MESSAGES_PER_SECOND = 20_000.0
CLOSE_TIMEOUT_S = 0.5
# Over all connections, beside which each call holds a task and its message.
MAX_ALL_OPEN_CALLS = 8192
# Messages of at most this size on average are bounded by the number of calls.
SMALL_MESSAGE_BYTES = 256

Handler = Callable[[Any, str], Awaitable[Any]]


class ReceivedBatch:
    """The memory of one batch of messages until all have been handled.

    Attributes:
        received: The memory of its connection.
        size: Memory of the batch in bytes.
        open_parts: Its calls that are open, and one while it is read.
    """

    __slots__ = ('open_parts', 'received', 'size')

    def __init__(self, received: ReceivedMemory, raw: Any) -> None:
        """Counts the batch.

        Args:
            received: The memory of its connection.
            raw: Its encoding.
        """
        self.received = received
        self.open_parts = 1
        self.size = len(raw) + measure_decoded(raw, MAX_DECODED_BYTES)
        received.hold(self.size)

    def add_call(self, call: 'Task[None]') -> None:
        """Keeps the memory until a call has ended as well."""
        self.open_parts += 1
        call.add_done_callback(self.end_part)

    def end_part(self, call: 'Task[None] | None' = None) -> None:
        """Gives the memory back once no part is open."""
        self.open_parts -= 1
        if not self.open_parts:
            self.received.let_go(self.size)


class PeerServer(Service):
    """Accepts connections of peers and passes their messages to a handler.

    Attributes:
        address: Address to listen on, `HOST:PORT`.
        field: Settings field that holds the address, for error messages.
        keys: Accepted keys.
        codec: Codec of the frames.
        handler: Called with each message and the peer's name; returns the
            reply to a call.
        max_messages_per_second: Rate limit per connection in frames per
            second; a connection that exceeds it is closed.
        memory: The budget of what is received and of replies that wait to be
            sent; None for no limit.
        connections: Open connections.
        open_calls: Calls of all connections that are being handled.
    """

    def __init__(
        self,
        address: str,
        field: str,
        keys: tuple[str, ...],
        codec: FrameCodec,
        handler: Handler,
        *,
        max_messages_per_second: float = MAX_MESSAGES_PER_SECOND,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Initializes the server; it listens when the service starts."""
        super().__init__()
        self.memory = memory
        self.address = address
        self.field = field
        self.keys = keys
        self.codec = codec
        self.handler = handler
        self.max_messages_per_second = max_messages_per_second
        self.connections: set[ServerConnection] = set()
        self.open_calls = 0

    async def on_start(self) -> None:
        """Starts to listen.

        Raises:
            ListenError: If the address can't be bound.
        """
        host, port = split_address(self.address)
        create_connection: Any = partial(
            MeasuredServerConnection, memory=self.memory
        )
        server = serve(
            self.serve_peer,
            host,
            port,
            compression=None,
            max_size=MAX_HANDSHAKE_BYTES,
            max_queue=MAX_RECEIVED_AHEAD,
            close_timeout=CLOSE_TIMEOUT_S,
            create_connection=create_connection,
        )
        try:
            await self.add_async_context(server)
        except OSError as error:
            raise ListenError(self.field, self.address, error) from error

    async def serve_peer(self, connection: ServerConnection) -> None:
        """Authenticates a peer and receives its messages.

        Returns when the connection ends, the handshake fails or the peer
        exceeds the rate limit.
        """
        self.connections.add(connection)
        try:
            peer_name = await authenticate_client(
                connection, self.keys, self.codec.max_bytes
            )
            await self.receive_messages(connection, peer_name)
        except HandshakeFailed as error:
            REFUSED_CONNECTIONS.labels('handshake').inc()
            LOG.warning('peer refused', extra={'reason': str(error)})
        except ConnectionClosed:
            return
        finally:
            self.connections.discard(connection)

    def abort(self) -> None:
        """Closes every connection without the WebSocket closing handshake."""
        for connection in self.connections:
            connection.transport.abort()

    async def receive_messages(
        self, connection: ServerConnection, peer_name: str
    ) -> None:
        """Receives messages after the handshake.

        Returns when the connection ends or the peer exceeds the rate limit,
        and cancels the calls that are still running then.
        """
        clock = get_running_loop().time
        limit = RateLimit(self.max_messages_per_second, clock())
        replies = FrameQueue(self.memory, f'replies to {peer_name}')
        replies.holding.allow_eviction(connection.transport.abort)
        sender = create_task(self.send_replies(connection, replies))
        calls: set[Task[None]] = set()
        received = received_on(connection)
        try:
            if not replies.open():
                return
            received.authenticate(peer_name)
            async for raw in connection:
                frames = self.decode(raw)
                batch = None
                if len(raw) > SMALL_MESSAGE_BYTES * len(frames) and frames:
                    batch = ReceivedBatch(received, raw)
                if received.closed:
                    return
                for frame in frames:
                    if not limit.allow(clock()):
                        REFUSED_CONNECTIONS.labels('flood').inc()
                        LOG.warning('peer cut off', extra={'peer': peer_name})
                        return
                    call = await self.on_frame(
                        frame, peer_name, replies, calls
                    )
                    if batch is not None and call is not None:
                        batch.add_call(call)
                if batch is not None:
                    batch.end_part()
                elif received.holding.size:
                    received.settle()
        finally:
            for task in (sender, *calls):
                task.cancel()
            replies.holding.release()

    async def send_replies(
        self, connection: ServerConnection, replies: FrameQueue
    ) -> None:
        """Sends queued replies in batches until the connection ends."""
        try:
            while True:
                raw = await replies.take_batch(self.codec.max_bytes)
                SENT_BYTES.inc(len(raw))
                await connection.send(raw)
        except ConnectionClosed:
            DROPPED_MESSAGES.labels('peer-left').inc(replies.clear() + 1)

    def decode(self, raw: str | bytes) -> list[Frame[Any]]:
        """Returns the frames of a WebSocket message, none if malformed."""
        if isinstance(raw, str):
            DROPPED_MESSAGES.labels('malformed').inc()
            return []
        RECEIVED_BYTES.inc(len(raw))
        frames = self.codec.decode(raw)
        if isinstance(frames, Malformed):
            DROPPED_MESSAGES.labels('malformed').inc()
            return []
        return frames

    async def on_frame(
        self,
        frame: Frame[Any],
        peer_name: str,
        replies: FrameQueue,
        calls: set[Task[None]],
    ) -> Task[None] | None:
        """Handles one frame.

        A notification is handled before the next frame is read. A call is
        handled in a task of its own; at most `MAX_OPEN_CALLS` per connection
        run at the same time, further calls are dropped. A call that can't be
        decoded, or beyond `MAX_ALL_OPEN_CALLS`, is replied to without a
        result, so that the peer doesn't wait.

        Returns:
            The task of a call; None if there is none.
        """
        if isinstance(frame.message, Unreadable):
            DROPPED_MESSAGES.labels('unreadable').inc()
            if frame.kind is FrameKind.CALL:
                self.reply_without_result(frame, replies)
            return None
        if frame.kind is FrameKind.NOTIFICATION:
            await self.run_handler(frame.message, peer_name)
            return None
        if frame.kind is not FrameKind.CALL or len(calls) >= MAX_OPEN_CALLS:
            DROPPED_MESSAGES.labels('unexpected').inc()
            return None
        if self.open_calls >= MAX_ALL_OPEN_CALLS:
            DROPPED_MESSAGES.labels('too-many-calls').inc()
            self.reply_without_result(frame, replies)
            return None
        self.open_calls += 1
        task = create_task(self.reply_to_call(frame, peer_name, replies))
        calls.add(task)
        task.add_done_callback(calls.discard)
        task.add_done_callback(self.on_call_ended)
        return task

    def on_call_ended(self, call: Task[None]) -> None:
        """Makes room for another call."""
        self.open_calls -= 1

    def reply_without_result(
        self, frame: Frame[Any], replies: FrameQueue
    ) -> None:
        """Tells the peer that its call isn't handled."""
        reply = Frame[Any](FrameKind.REPLY, frame.call_id, None)
        replies.put(self.codec.encode(reply))

    async def run_handler(self, message: Any, peer_name: str) -> Any:
        """Calls the handler and logs an exception that it raises.

        Returns:
            The handler's result, or None if it raised.
        """
        try:
            return await self.handler(message, peer_name)
        except Exception:
            DROPPED_MESSAGES.labels('handler-failed').inc()
            LOG.exception('handler failed', extra={'peer': peer_name})
            return None

    async def reply_to_call(
        self, frame: Frame[Any], peer_name: str, replies: FrameQueue
    ) -> None:
        """Runs the handler for one call and queues its reply.

        The reply carries None if the handler raised or its result is larger
        than the size limit or than the memory that is left.
        """
        message = await self.run_handler(frame.message, peer_name)
        try:
            raw = self.codec.encode(
                Frame(FrameKind.REPLY, frame.call_id, message)
            )
        except ValueError:
            DROPPED_MESSAGES.labels('reply-too-large').inc()
            raw = self.codec.encode(
                Frame(FrameKind.REPLY, frame.call_id, None)
            )
        if not replies.put(raw):
            DROPPED_MESSAGES.labels('queue-full').inc()
            raw = self.codec.encode(
                Frame(FrameKind.REPLY, frame.call_id, None)
            )
            replies.put(raw)
