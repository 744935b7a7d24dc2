"""Serves documents, servers and members to the entries of this host."""

from asyncio import create_task
from asyncio import Queue
from asyncio import QueueFull
from collections.abc import Callable
from logging import getLogger

from mode import Service
from websockets.asyncio.server import serve
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from cowslipmill.agent.messages import EntryLeaving
from cowslipmill.agent.messages import FEED_CODEC
from cowslipmill.agent.messages import FeedMessage
from cowslipmill.agent.messages import Hello
from cowslipmill.agent.messages import MAX_FEED_BYTES
from cowslipmill.agent.messages import Observed
from cowslipmill.runtime.address import split_address
from cowslipmill.runtime.program import ListenError

LOG = getLogger(__name__)

MAX_QUEUED_MESSAGES = 256


class Feed(Service):
    """Sends each entry the latest state on connect, then every update.

    Attributes:
        latest: Messages sent first to a new entry, by message type.
        entries: Outgoing message queue of each connected entry.
        leaving: Entries that no longer accept new requests.
        on_entries_changed: Called when an entry connects, disconnects or
            announces that it is leaving.
        on_observed: Called with each `Observed` message of an entry.
    """

    def __init__(
        self,
        address: str,
        on_entries_changed: Callable[[], None] = lambda: None,
        on_observed: Callable[[Observed], None] = lambda observed: None,
    ) -> None:
        """Keeps the listen address and the callbacks."""
        super().__init__()
        self.address = address
        self.on_entries_changed = on_entries_changed
        self.on_observed = on_observed
        self.leaving: set[Hello] = set()
        self.latest: dict[type, FeedMessage] = {}
        self.entries: dict[Hello, Queue[FeedMessage]] = {}

    async def on_start(self) -> None:
        """Starts listening.

        Raises:
            ListenError: If the address cannot be bound.
        """
        host, port = split_address(self.address)
        server = serve(
            self.serve_entry,
            host,
            port,
            compression=None,
            max_size=MAX_FEED_BYTES,
        )
        try:
            await self.add_async_context(server)
        except OSError as error:
            raise ListenError('feed_listen', self.address, error) from error

    def publish(self, snapshot: FeedMessage, update: FeedMessage) -> None:
        """Sends an update to all connected entries.

        Args:
            snapshot: Complete state that an entry gets when it connects.
            update: Changes for the entries that are connected already.
        """
        self.latest[type(snapshot)] = snapshot
        for entry, queue in list(self.entries.items()):
            try:
                queue.put_nowait(update)
            except QueueFull:
                # The entry is disconnected; on reconnect it gets the snapshot.
                del self.entries[entry]

    async def serve_entry(self, connection: ServerConnection) -> None:
        """Serves one entry until it disconnects."""
        hello = FEED_CODEC.decode(await connection.recv(decode=False))
        if not isinstance(hello, Hello):
            return
        queue: Queue[FeedMessage] = Queue(MAX_QUEUED_MESSAGES)
        for message in self.latest.values():
            queue.put_nowait(message)
        self.entries[hello] = queue
        LOG.info('entry connected', extra={'entry': hello.entry})
        self.on_entries_changed()
        sender = create_task(self.send_updates(connection, hello, queue))
        try:
            await self.receive(connection, hello)
        except ConnectionClosed:
            return
        finally:
            sender.cancel()
            LOG.info('entry disconnected', extra={'entry': hello.entry})
            if self.entries.get(hello) is queue:
                del self.entries[hello]
            self.on_entries_changed()

    async def receive(
        self, connection: ServerConnection, hello: Hello
    ) -> None:
        """Handles the messages of an entry until it disconnects."""
        async for raw in connection:
            message = (
                FEED_CODEC.decode(raw) if isinstance(raw, bytes) else None
            )
            if isinstance(message, Observed):
                self.on_observed(message)
            if isinstance(message, EntryLeaving):
                self.leaving.add(hello)
                self.on_entries_changed()

    async def send_updates(
        self,
        connection: ServerConnection,
        hello: Hello,
        queue: 'Queue[FeedMessage]',
    ) -> None:
        """Sends queued messages until the entry disconnects or lags."""
        try:
            while self.entries.get(hello) is queue:
                await connection.send(FEED_CODEC.encode(await queue.get()))
        except ConnectionClosed:
            return
        await connection.close()
