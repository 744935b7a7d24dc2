"""A loopback proxy that misbehaves on demand."""

from asyncio import create_task
from asyncio import open_connection
from asyncio import Server
from asyncio import sleep
from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from asyncio import Task

from cowslipmill.standin.backend import reset

CHUNK_BYTES = 65_536
PAUSE_S = 0.02


class Proxy:
    """Carries connections to one address.

    Attributes:
        target: Where it connects to.
        delay_s: Time for which each chunk is held.
        silent: Whether nothing is carried, either way, and nothing closes.
        deaf: Whether what the target says is held back: a cut one way.
        refusing: Whether new connections are reset.
        cut_sources: IP addresses from which nothing is carried, each with
            whether its new connections are reset.
        sources: The IP address that each open connection came from, by both
            of its ends.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        """Starts without faults."""
        self.target = target
        self.delay_s = 0.0
        self.silent = False
        self.deaf = False
        self.refusing = False
        self.cut_sources: dict[str, bool] = {}
        self.sources: dict[StreamWriter, str] = {}
        self.address = ('127.0.0.1', 0)
        self.server: Server | None = None
        self.writers: set[StreamWriter] = set()
        self.tasks: set[Task[None]] = set()

    async def start(self, address: tuple[str, int]) -> None:
        """Listens on an address; port 0 picks a free one."""
        self.server = await start_server(self.carry, *address)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = (host, port)

    def heal(self) -> None:
        """Ends every fault."""
        self.delay_s = 0.0
        self.silent = self.deaf = self.refusing = False

    def cut_source(self, source: str, *, resets: bool) -> None:
        """Carries nothing from an IP address any more.

        Args:
            source: The IP address.
            resets: Whether its connections are reset; else they hang.
        """
        self.cut_sources[source] = resets
        if resets:
            self.reset_source(source)

    def mend_source(self, source: str) -> None:
        """Carries new connections from an IP address again."""
        self.cut_sources.pop(source, None)
        self.reset_source(source)

    def reset_source(self, source: str) -> None:
        """Resets every open connection from an IP address."""
        for writer, found in list(self.sources.items()):
            if found == source:
                reset(writer)

    def reset_all(self) -> None:
        """Resets every open connection."""
        for writer in list(self.writers):
            reset(writer)

    def stop(self) -> None:
        """Stops listening and ends every connection."""
        if self.server is not None:
            self.server.close()
        self.reset_all()
        for task in self.tasks:
            task.cancel()

    async def carry(self, reader: StreamReader, writer: StreamWriter) -> None:
        """Carries one connection."""
        source = writer.get_extra_info('peername')[0]
        if self.refusing or self.cut_sources.get(source):
            reset(writer)
            return
        try:
            # The target sees the address that the connection came from.
            there = await open_connection(*self.target, local_addr=(source, 0))
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, there[1]}
        self.sources |= {writer: source, there[1]: source}
        for source, sink, back in (
            (reader, there[1], False),
            (there[0], writer, True),
        ):
            task = create_task(self.pump(source, sink, back=back))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def pump(
        self, source: StreamReader, sink: StreamWriter, *, back: bool
    ) -> None:
        """Carries one direction until it ends."""
        try:
            while data := await source.read(CHUNK_BYTES):
                await sleep(self.delay_s)
                while self.holds(sink, back=back):
                    await sleep(PAUSE_S)
                sink.write(data)
                await sink.drain()
            sink.close()
        except OSError:
            reset(sink)
        finally:
            self.writers.discard(sink)
            self.sources.pop(sink, None)

    def holds(self, sink: StreamWriter, *, back: bool) -> bool:
        """Returns whether nothing is written to one end of a connection."""
        cut = self.sources.get(sink) in self.cut_sources
        return self.silent or cut or (back and self.deaf)
