"""The server for messages and calls of peers."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import Task
from collections.abc import Awaitable
from collections.abc import Callable
from logging import getLogger
from typing import Any

from mode import Service
from websockets.asyncio.server import serve
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.peers.codec import Malformed
from cowslipmill.peers.frame import Frame
from cowslipmill.peers.frame import FrameCodec
from cowslipmill.peers.frame import FrameKind
from cowslipmill.peers.frame import Unreadable
from cowslipmill.peers.framequeue import FrameQueue
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
# Messages of a connection that are received before one has been handled.
MAX_RECEIVED_AHEAD = 4

Handler = Callable[[Any, str], Awaitable[Any]]


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
        memory: The budget of replies that wait to be sent; None for no limit.
        connections: Open connections.
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

    async def on_start(self) -> None:
        """Starts to listen.

        Raises:
            ListenError: If the address can't be bound.
        """
        host, port = split_address(self.address)
        server = serve(
            self.serve_peer,
            host,
            port,
            compression=None,
            max_size=MAX_HANDSHAKE_BYTES,
            max_queue=MAX_RECEIVED_AHEAD,
            close_timeout=CLOSE_TIMEOUT_S,
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
        try:
            if not replies.open():
                return
            async for raw in connection:
                for frame in self.decode(raw):
                    if not limit.allow(clock()):
                        REFUSED_CONNECTIONS.labels('flood').inc()
                        LOG.warning('peer cut off', extra={'peer': peer_name})
                        return
                    await self.on_frame(frame, peer_name, replies, calls)
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
    ) -> None:
        """Handles one frame.

        A notification is handled before the next frame is read. A call is
        handled in a task of its own; at most `MAX_OPEN_CALLS` per connection
        run at the same time, further calls are dropped. A call that can't be
        decoded is replied to without a result, so that the peer doesn't wait.
        """
        if isinstance(frame.message, Unreadable):
            DROPPED_MESSAGES.labels('unreadable').inc()
            if frame.kind is FrameKind.CALL:
                reply = Frame[Any](FrameKind.REPLY, frame.call_id, None)
                replies.put(self.codec.encode(reply))
            return
        if frame.kind is FrameKind.NOTIFICATION:
            await self.run_handler(frame.message, peer_name)
            return
        if frame.kind is not FrameKind.CALL or len(calls) >= MAX_OPEN_CALLS:
            DROPPED_MESSAGES.labels('unexpected').inc()
            return
        task = create_task(self.reply_to_call(frame, peer_name, replies))
        calls.add(task)
        task.add_done_callback(calls.discard)

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
