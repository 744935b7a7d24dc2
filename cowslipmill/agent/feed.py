"""Serves the entries of this host over loopback."""

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
    """Sends each entry the latest document and facts, then what is news.

    Attributes:
        latest: Messages that a new entry gets first, by their tag.
        entries: Queue of each connected entry.
        leaving: Entries that take no new work any more.
        on_entries_changed: Called when an entry came, left or is leaving.
        on_observed: Called with what an entry noticed.
    """

    def __init__(
        self,
        address: str,
        on_entries: Callable[[], None] = lambda: None,
        on_observed: Callable[[Observed], None] = lambda observed: None,
    ) -> None:
        """Keeps the address to listen on and whom to tell."""
        super().__init__()
        self.address = address
        self.on_entries_changed = on_entries
        self.on_observed = on_observed
        self.leaving: set[Hello] = set()
        self.latest: dict[type, FeedMessage] = {}
        self.entries: dict[Hello, Queue[FeedMessage]] = {}

    async def on_start(self) -> None:
        """Listens.

        Raises:
            CannotListen: If the address is taken.
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
        """Sends news to all entries.

        Args:
            snapshot: What a new entry needs to hear first.
            update: What the connected entries have not heard yet.
        """
        self.latest[type(snapshot)] = snapshot
        for entry, queue in list(self.entries.items()):
            try:
                queue.put_nowait(update)
            except QueueFull:
                # The entry connects again and gets the whole state.
                del self.entries[entry]

    async def serve_entry(self, connection: ServerConnection) -> None:
        """Feeds one entry until it leaves."""
        hello = FEED_CODEC.decode(await connection.recv(decode=False))
        if not isinstance(hello, Hello):
            return
        queue: Queue[FeedMessage] = Queue(MAX_QUEUED_MESSAGES)
        for message in self.latest.values():
            queue.put_nowait(message)
        self.entries[hello] = queue
        LOG.info('entry connected', extra={'entry': hello.entry})
        self.on_entries_changed()
        sender = create_task(self.send_news(connection, hello, queue))
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
        """Takes in what an entry tells until it disconnects."""
        async for raw in connection:
            message = (
                FEED_CODEC.decode(raw) if isinstance(raw, bytes) else None
            )
            if isinstance(message, Observed):
                self.on_observed(message)
            if isinstance(message, EntryLeaving):
                self.leaving.add(hello)
                self.on_entries_changed()

    async def send_news(
        self,
        connection: ServerConnection,
        hello: Hello,
        queue: 'Queue[FeedMessage]',
    ) -> None:
        """Sends messages until the entry leaves or falls behind."""
        try:
            while self.entries.get(hello) is queue:
                await connection.send(FEED_CODEC.encode(await queue.get()))
        except ConnectionClosed:
            return
        await connection.close()
