"""Receives the messages of peers."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import Queue
from asyncio import Task
from collections.abc import Awaitable
from collections.abc import Callable
from logging import getLogger
from typing import Any

from mode import Service
from websockets.asyncio.server import serve
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from cowslipmill.peers.batch import take_batch
from cowslipmill.peers.codec import Malformed
from cowslipmill.peers.frame import Frame
from cowslipmill.peers.frame import FrameCodec
from cowslipmill.peers.frame import FrameKind
from cowslipmill.peers.metrics import DROPPED
from cowslipmill.peers.metrics import RECEIVED_BYTES
from cowslipmill.peers.metrics import REFUSED_PEERS
from cowslipmill.peers.metrics import SENT_BYTES
from cowslipmill.peers.rate import RateLimit
from cowslipmill.peers.session import accept_peer
from cowslipmill.peers.session import HandshakeFailed
from cowslipmill.runtime.address import split_address
from cowslipmill.runtime.program import ListenError

LOG = getLogger(__name__)

MAX_OPEN_CALLS = 1024
MAX_MESSAGES_PER_SECOND = 20_000.0
CLOSE_TIMEOUT_S = 0.5

Handler = Callable[[Any, str], Awaitable[Any]]


class PeerServer(Service):
    """Listens for peers and hands their messages to a handler.

    Attributes:
        address: Where to listen.
        field: Name of the address in the settings.
        keys: Accepted keys.
        codec: Codec of the frames.
        handler: Takes a message and the peer's name and returns the reply.
        max_messages_per_second: A peer that sends more is cut off.
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
    ) -> None:
        """Keeps the parts; nothing starts yet."""
        super().__init__()
        self.address = address
        self.field = field
        self.keys = keys
        self.codec = codec
        self.handler = handler
        self.max_messages_per_second = max_messages_per_second
        self.connections: set[ServerConnection] = set()

    async def on_start(self) -> None:
        """Listens.

        Raises:
            CannotListen: If the address is taken.
        """
        host, port = split_address(self.address)
        server = serve(
            self.serve_peer,
            host,
            port,
            compression=None,
            max_size=self.codec.max_bytes,
            close_timeout=CLOSE_TIMEOUT_S,
        )
        try:
            await self.add_async_context(server)
        except OSError as error:
            raise ListenError(self.field, self.address, error) from error

    async def serve_peer(self, connection: ServerConnection) -> None:
        """Takes in one peer's messages until it leaves or is cut off."""
        self.connections.add(connection)
        try:
            name = await accept_peer(connection, self.keys)
            await self.receive(connection, name)
        except HandshakeFailed as error:
            REFUSED_PEERS.labels('handshake').inc()
            LOG.warning('peer refused', extra={'reason': str(error)})
        except ConnectionClosed:
            return
        finally:
            self.connections.discard(connection)

    def abort(self) -> None:
        """Ends every connection without waiting for the peers."""
        for connection in self.connections:
            connection.transport.abort()

    async def receive(self, connection: ServerConnection, name: str) -> None:
        """Takes in messages after the handshake."""
        clock = get_running_loop().time
        limit = RateLimit(self.max_messages_per_second, clock())
        replies: Queue[bytes] = Queue()
        sender = create_task(self.send_replies(connection, replies))
        calls: set[Task[None]] = set()
        try:
            async for raw in connection:
                for frame in self.decode(raw):
                    if not limit.allow(clock()):
                        REFUSED_PEERS.labels('flood').inc()
                        LOG.warning('peer cut off', extra={'peer': name})
                        return
                    await self.on_frame(frame, name, replies, calls)
        finally:
            for task in (sender, *calls):
                task.cancel()

    async def send_replies(
        self, connection: ServerConnection, replies: 'Queue[bytes]'
    ) -> None:
        """Sends replies until the connection ends."""
        try:
            while True:
                raw = await take_batch(replies, self.codec.max_bytes)
                SENT_BYTES.inc(len(raw))
                await connection.send(raw)
        except ConnectionClosed:
            DROPPED.labels('peer-left').inc(replies.qsize() + 1)

    def decode(self, raw: str | bytes) -> list[Frame[Any]]:
        """Returns the frames of one message; none if it is malformed."""
        if isinstance(raw, str):
            DROPPED.labels('malformed').inc()
            return []
        RECEIVED_BYTES.inc(len(raw))
        frames = self.codec.decode(raw)
        if isinstance(frames, Malformed):
            DROPPED.labels('malformed').inc()
            return []
        return frames

    async def on_frame(
        self,
        frame: Frame[Any],
        name: str,
        replies: 'Queue[bytes]',
        calls: set[Task[None]],
    ) -> None:
        """Takes in one message."""
        if frame.kind is FrameKind.NOTIFICATION:
            await self.handle(frame.message, name)
            return
        if frame.kind is not FrameKind.CALL or len(calls) >= MAX_OPEN_CALLS:
            DROPPED.labels('unexpected').inc()
            return
        task = create_task(self.reply(frame, name, replies))
        calls.add(task)
        task.add_done_callback(calls.discard)

    async def handle(self, message: Any, name: str) -> Any:
        """Has a message handled; a failing handler costs only its reply."""
        try:
            return await self.handler(message, name)
        except Exception:
            DROPPED.labels('handler-failed').inc()
            LOG.exception('handler failed', extra={'peer': name})
            return None

    async def reply(
        self, frame: Frame[Any], name: str, replies: 'Queue[bytes]'
    ) -> None:
        """Answers one call."""
        message = await self.handle(frame.message, name)
        try:
            raw = self.codec.encode(
                Frame(FrameKind.REPLY, frame.call, message)
            )
        except ValueError:
            DROPPED.labels('reply-too-large').inc()
            raw = self.codec.encode(Frame(FrameKind.REPLY, frame.call, None))
        replies.put_nowait(raw)
