"""Callers and servers that flood a host, in a process of their own."""

from asyncio import gather
from asyncio import open_connection as open_stream
from asyncio import sleep
from asyncio import StreamWriter
from contextlib import closing
from enum import Enum

from mode import Service

from cowslipmill.http1.message import Headers
from cowslipmill.runtime.address import split_address
from cowslipmill.standin.backend import Run
from cowslipmill.standin.backend import StandinBackend
from cowslipmill.standin.backend import Stream
from cowslipmill.standin.settings import FloodingCallersSettings
from cowslipmill.standin.settings import FloodingServerSettings

LARGE = 'LARGE'
LARGE_BODY = b'x' * 7_000_000
# Pause of a caller that couldn't connect.
RECONNECT_S = 0.05
# Each caller has an address of its own in this loopback network.
SOURCE_PREFIX = '127.250.7'


def caller_headers(host: str, number: int, deadline_s: float) -> Headers:
    """Returns the headers that a sound caller sends.

    Args:
        host: The Host header.
        number: Number of the request, which its id is made from.
        deadline_s: Seconds that it states as its deadline.
    """
    return [
        (b'host', host.encode()),
        (b'x-request-id', b'q%d' % number),
        (b'x-deadline-ms', b'%d' % (deadline_s * 1_000)),
    ]


class CallerStream(Enum):
    """Bytes without end that a caller sends.

    The value is what follows the first lines of a request, and what is
    repeated.
    """

    HEADER = (b'x-long: ', b'y' * 65_536)
    HEADERS = (b'', b'ab:cd\r\n' * 8_192)
    SMALL_CHUNKS = (
        b'transfer-encoding: chunked\r\n\r\n',
        b'2\r\nxx\r\n' * 8_192,
    )
    FIELDS_AFTER_BODY = (
        b'transfer-encoding: chunked\r\n\r\n0\r\n',
        b'ab:cd\r\n' * 8_192,
    )
    REQUESTS = (b'\r\n', b'')


class FloodingCallers(Service):
    """Callers that send without end and connect anew when closed.

    Attributes:
        settings: Whom they flood with what.
    """

    def __init__(self, settings: FloodingCallersSettings) -> None:
        """Keeps the settings; nothing is sent yet."""
        super().__init__()
        self.settings = settings

    @Service.task
    async def flood(self) -> None:
        """Sends on all connections."""
        numbers = range(self.settings.count)
        await gather(*(self.send_again(number) for number in numbers))

    async def send_again(self, number: int) -> None:
        """Sends on one connection after the other."""
        while not self.should_stop:
            try:
                await self.send(number)
            except OSError:
                await sleep(RECONNECT_S)

    async def send(self, number: int) -> None:
        """Sends until the host closes, and reads nothing."""
        _, writer = await open_stream(
            *split_address(self.settings.address),
            local_addr=(f'{SOURCE_PREFIX}.{number + 1}', 0),
        )
        first_lines = f'POST {self.settings.target} HTTP/1.1\r\n'
        first_lines += f'host: {self.settings.host}\r\n'
        head, block = CallerStream[self.settings.stream].value
        head = first_lines.encode() + head
        with closing(writer):
            writer.write(head)
            while not self.should_stop:
                writer.write(block or head)
                await writer.drain()
                await sleep(0)


class FloodingBackend(StandinBackend):
    """A server that floods hosts with its answers.

    Attributes:
        body: Body of its answers, if it answers.
    """

    def __init__(self, settings: FloodingServerSettings) -> None:
        """Starts with a flood unless none is named."""
        super().__init__(settings.name, slots=settings.slots)
        self.address = split_address(settings.address)
        self.work_s = settings.work_ms / 1_000
        self.body = b''
        if settings.flood == LARGE:
            self.body = LARGE_BODY
        elif settings.flood:
            self.stream = Stream[settings.flood]

    async def answer(self, writer: StreamWriter, run: Run) -> bool:
        """Answers with the body."""
        head = f'x-request-id: {run.request_id}\r\n'
        head += f'x-response-signature: {run.request_id}.ok\r\n'
        self.write(writer, 200, head, self.body)
        await writer.drain()
        return True


class FloodingServer(Service):
    """Runs a `FloodingBackend`.

    Attributes:
        backend: The server.
    """

    def __init__(self, settings: FloodingServerSettings) -> None:
        """Creates the server; it doesn't listen yet."""
        super().__init__()
        self.backend = FloodingBackend(settings)

    async def on_start(self) -> None:
        """Listens."""
        await self.backend.start()

    async def on_stop(self) -> None:
        """Ends with every connection."""
        self.backend.stop()
