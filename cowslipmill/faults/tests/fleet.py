"""Real entries and stand-in servers, fed by the test itself."""

from asyncio import create_task
from asyncio import open_connection
from asyncio import sleep
from asyncio import start_server
from asyncio import StreamReader
from asyncio import StreamWriter
from asyncio import timeout
from asyncio import to_thread
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from contextlib import suppress
from signal import SIGCONT
from signal import SIGKILL

from aiohttp import ClientConnectionError
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from msgspec import json
from msgspec import Struct
from msgspec.structs import replace
from websockets.asyncio.server import serve
from websockets.asyncio.server import ServerConnection
from websockets.exceptions import ConnectionClosed

from cowslipmill.agent.messages import DocumentInForce
from cowslipmill.agent.messages import Facts
from cowslipmill.agent.messages import FEED_CODEC
from cowslipmill.agent.messages import Hello
from cowslipmill.agent.messages import Members
from cowslipmill.document.checker import decode_document
from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.launch.deployment import Deployment
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.layout import EXAMPLES
from cowslipmill.launch.layout import Layout
from cowslipmill.launch.network import Network
from cowslipmill.outcomes.headers import KEY_HEADER
from cowslipmill.outcomes.headers import NEXT_KEY_HEADER
from cowslipmill.outcomes.rendering import OUTCOME_HEADER
from cowslipmill.runtime.address import split_address
from cowslipmill.settings.settings import EntrySettings
from cowslipmill.standin.behaviour import Behaviour
from cowslipmill.standin.ledger import Execution

BOUND_S = 20.0
POLL_S = 0.02
TELL_INTERVAL_S = 0.5
SERVICE = 'scheduler'
CHUNK_BYTES = 65_536
RELAY_PORT = 9100


class Reply(Struct, frozen=True):
    """What a caller was told.

    Attributes:
        outcome: The outcome's header.
        status: Status code.
        body: The whole body.
        next_key: The fresh key.
        retry_after: When to come back, in seconds, or ''.
    """

    outcome: str
    status: int
    body: bytes
    next_key: str
    retry_after: str


class Fleet:
    """Entries of a deployment whose agent is the test.

    Attributes:
        layout: The deployment.
        launcher: Its processes.
        session: For calls to entries and servers.
        facts: What entries are told of servers.
        members: What entries are told of each other.
        age_ms: How old their agent says its view is.
    """

    def __init__(
        self, layout: Layout, launcher: Launcher, session: ClientSession
    ) -> None:
        """Keeps the parts; nothing starts yet."""
        self.layout = layout
        self.launcher = launcher
        self.session = session
        self.deployment = Deployment(layout, launcher, session)
        self.members: dict[str, Member] = {}
        self.age_ms = 0
        self.connections: set[ServerConnection] = set()
        self.facts: tuple[NodeRecord, ...] = tuple(
            fact
            for fact in layout.host_list().hosts
            if fact.service == SERVICE
        )

    async def feed(self, connection: ServerConnection) -> None:
        """Serves one entry as its agent does."""
        hello = FEED_CODEC.decode(await connection.recv(decode=False))
        assert isinstance(hello, Hello)
        self.members[hello.entry] = Member(
            name=hello.entry,
            host=hello.entry,
            failure_domain='domain-a',
            incarnation=hello.incarnation,
            peer_address=hello.peer_address,
        )
        self.connections.add(connection)
        document = self.layout.document
        raw = json.encode(document)
        first = DocumentInForce(version=document.version, raw=raw)
        await connection.send(FEED_CODEC.encode(first))
        facts = Facts(facts=self.facts, age_ms=0)
        await connection.send(FEED_CODEC.encode(facts))
        await self.tell_members()
        await connection.wait_closed()
        self.connections.discard(connection)

    async def keep_telling(self) -> None:
        """Tells all entries again and again, as an agent does."""
        while True:
            await self.tell_members()
            await sleep(TELL_INTERVAL_S)

    async def tell_members(self) -> None:
        """Tells all entries who they are, from a view of `age_ms`."""
        message = Members(
            members=tuple(self.members.values()), age_ms=self.age_ms
        )
        raw = FEED_CODEC.encode(message)
        for connection in list(self.connections):
            with suppress(ConnectionClosed):
                await connection.send(raw)

    def settings(self, index: int) -> EntrySettings:
        """Returns the settings of one entry."""
        agent = self.layout.agent(0).feed_listen
        return replace(self.layout.entry(index), agent=agent)

    async def start(self) -> None:
        """Starts servers and entries and returns when all are ready."""
        for standins in self.layout.standins(1):
            self.launcher.start('standin', standins.name, standins)
        for index in range(self.layout.host_count):
            settings = self.settings(index)
            self.launcher.start('entry', settings.name, settings)
        for server in self.layout.servers:
            place = f'{server.address}/healthz'
            await self.deployment.wait_until_ready(place)
        for index in range(self.layout.host_count):
            await self.deployment.wait_for_entry(index)
        await self.wait_for_members()

    async def wait_for_members(self) -> None:
        """Returns when every entry has said hello and been told of all."""
        await wait_until(lambda: len(self.members) == self.layout.host_count)
        await self.tell_members()
        await sleep(POLL_S)

    def signal(self, index: int, number: int) -> None:
        """Sends a signal to one entry."""
        self.launcher.send_signal(f'entry-{index}', number)

    def kill(self, index: int) -> None:
        """Kills one entry and waits for its end."""
        self.signal(index, SIGKILL)
        self.launcher.wait(f'entry-{index}')

    def resume_all(self) -> None:
        """Lets every paused entry go on, so that it can be stopped."""
        for index in range(self.layout.host_count):
            if self.launcher.processes[f'entry-{index}'].poll() is None:
                self.signal(index, SIGCONT)

    async def send(
        self,
        index: int,
        request_id: str,
        *,
        method: str = 'POST',
        body: bytes = b'',
        key: str = '',
        deadline_ms: int = 5_000,
    ) -> Reply:
        """Sends one request to an entry."""
        headers = {
            'Request-Id': request_id,
            'Cowslipmill-Deadline-Ms': str(deadline_ms),
        }
        if key:
            headers[KEY_HEADER] = key
        path = '/exams' if method == 'GET' else '/exams/1/bookings'
        address = self.layout.entry(index).listen
        async with self.session.request(
            method, f'http://{address}{path}', data=body, headers=headers
        ) as answer:
            return Reply(
                answer.headers[OUTCOME_HEADER],
                answer.status,
                await answer.read(),
                answer.headers[NEXT_KEY_HEADER],
                answer.headers.get('Retry-After', ''),
            )

    async def behave(self, behaviour: Behaviour) -> None:
        """Sets the behaviour of every server."""
        for server in self.layout.servers:
            url = f'http://{server.address}/standin/behaviour'
            raw = json.encode(behaviour)
            await self.switch('PUT', url, raw)

    async def switch(self, method: str, url: str, body: bytes = b'') -> bytes:
        """Calls a server's switch, again while the server is down."""
        async with timeout(BOUND_S):
            while True:
                try:
                    async with self.session.request(
                        method, url, data=body
                    ) as answer:
                        answer.raise_for_status()
                        return await answer.read()
                except ClientConnectionError:
                    await sleep(POLL_S)

    async def executions(self, request_id: str) -> list[Execution]:
        """Returns every execution of one request, from the ledgers."""
        found = []
        for server in self.layout.servers:
            url = f'http://{server.address}/standin/ledger'
            raw = await self.switch('GET', url)
            for execution in json.decode(raw, type=list[Execution]):
                if execution.request_id == request_id:
                    found.append(execution)
        return found

    async def wait_for_execution(self, request_id: str) -> None:
        """Returns when some server runs a request."""
        async with timeout(BOUND_S):
            while not await self.executions(request_id):
                await sleep(POLL_S)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Returns when a condition holds."""
    async with timeout(BOUND_S):
        while not condition():
            await sleep(POLL_S)


def make_layout(servers: int) -> Layout:
    """Returns a layout of two entries and a few servers."""
    raw = (EXAMPLES / 'caroni' / 'document.json').read_bytes()
    return Layout(
        decode_document(raw),
        Network.for_this_process(),
        host_count=2,
        server_counts={SERVICE: servers},
        service_ms=5.0,
    )


@asynccontextmanager
async def run_fleet(
    *, servers: int = 3, relay: bool = False
) -> AsyncIterator[Fleet]:
    """Runs a fleet.

    Args:
        servers: How many there are.
        relay: Whether entries reach servers only through a relay that
            passes requests on and cuts before the answer.
    """
    timeouts = ClientTimeout(total=BOUND_S)
    with Launcher() as launcher:
        async with ClientSession(timeout=timeouts) as session:
            fleet = Fleet(make_layout(servers), launcher, session)
            host, port = split_address(fleet.layout.agent(0).feed_listen)
            async with serve(fleet.feed, host, port), make_relay(fleet, relay):
                await fleet.start()
                telling = create_task(fleet.keep_telling())
                try:
                    yield fleet
                finally:
                    telling.cancel()
                    fleet.resume_all()
                    await to_thread(launcher.stop_all)


@asynccontextmanager
async def make_relay(fleet: Fleet, wanted: bool) -> AsyncIterator[None]:
    """Puts a relay that loses every answer before the first server."""
    if not wanted:
        yield
        return
    fact = fleet.facts[0]
    inner = split_address(fact.address)
    host = f'{fleet.layout.network.host_prefix}.240'

    async def relay(reader: StreamReader, writer: StreamWriter) -> None:
        """Passes one request on and cuts when the answer comes."""
        request = await reader.read(CHUNK_BYTES)
        inner_reader, inner_writer = await open_connection(*inner)
        inner_writer.write(request)
        await inner_reader.read(1)
        inner_writer.close()
        writer.transport.abort()

    async with await start_server(relay, host, RELAY_PORT):
        fleet.facts = (replace(fact, address=f'{host}:{RELAY_PORT}'),)
        yield
