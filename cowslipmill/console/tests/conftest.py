"""Fixtures: a platform, agents and consoles in one event loop."""

from collections.abc import AsyncIterator
from time import monotonic
from time import time

from aiohttp import ClientSession
from aiohttp.test_utils import TestClient
from aiohttp.test_utils import TestServer
from aiohttp.web import Application
from aiohttp.web import get
from aiohttp.web import Request
from aiohttp.web import Response
from msgspec import json
from msgspec.structs import replace
import pytest_asyncio

from cowslipmill.agent.status import AgentStatus
from cowslipmill.agent.status import MeasuringStatus
from cowslipmill.agent.status import PlatformStatus
from cowslipmill.agent.status import ServerStatus
from cowslipmill.console.application import make_application
from cowslipmill.console.signer import Signer
from cowslipmill.console.site import Site
from cowslipmill.console.source import Source
from cowslipmill.console.tests.browser import Browser
from cowslipmill.document.digest import document_digest
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role
from cowslipmill.launch.layout import EXAMPLES
from cowslipmill.launch.network import Network
from cowslipmill.publication.client import CONFIGURATION_PATH
from cowslipmill.publication.client import HOSTS_PATH
from cowslipmill.publication.hostlist import HostList
from cowslipmill.settings.settings import ConsoleSettings
from cowslipmill.settings.settings import TokenSettings
from cowslipmill.standin.platform import StandinPlatform

ALL_TEAMS_TOKEN = 'a-token-of-the-operators-of-all-teams'
TEAM_TOKEN = 'a-token-of-the-examinations-team-only'
SILENT_AGENT = '127.0.0.1:1'
METRICS = """\
# TYPE cowslipmill_requests counter
cowslipmill_requests_total{route="book-exam",outcome="answered"} 7
cowslipmill_requests_total{route="book-exam",outcome="unknown"} 2
# TYPE cowslipmill_retry_budget_tokens gauge
cowslipmill_retry_budget_tokens{service="registry"} 3.5
"""


class World:
    """Everything around the consoles.

    Attributes:
        platform: Stand-in of the platform.
        status: What the one agent that answers says.
        consoles: A running server of each console.
        clock: Wall clock of the consoles, in Unix seconds.
    """

    __slots__ = ('clients', 'clock', 'consoles', 'platform', 'status')

    def __init__(self, platform: StandinPlatform) -> None:
        """Starts with the example in force."""
        self.platform = platform
        self.status = AgentStatus(
            host='host-0',
            failure_domain='tt-south-a',
            incarnation=1,
            version=1,
            digest='',
            in_force_ms=61_500,
            refused=(),
            conflicts=(),
            members=(),
            servers=(
                ServerStatus(
                    name='registry-0',
                    service='registry',
                    address='10.20.1.1:9000',
                    incarnation=1,
                    state='leaving',
                    age_ms=2_500,
                    source='peer',
                ),
            ),
            platform=PlatformStatus(watching=True, up=True, calls=3),
            measuring=MeasuringStatus(servers=2, probes=9, failures=1),
            last_word_age_ms=400,
            bytes_sent_per_second=10.0,
        )
        self.consoles: list[TestServer] = []
        self.clients: list[TestClient[Request, Application]] = []
        self.clock = time()

    def publish(self, raw: bytes) -> None:
        """Publishes a document and puts it in force at the agent."""
        self.platform.values[CONFIGURATION_PATH].publish(raw)
        self.put_in_force(raw)

    def put_in_force(self, raw: bytes) -> None:
        """Puts a document in force at the agent alone."""
        version = json.decode(raw)['version']
        digest = document_digest(raw)
        self.status = replace(self.status, version=version, digest=digest)

    async def visit(self, number: int = 0) -> Browser:
        """Returns a new browser at one of the consoles."""
        client = TestClient(self.consoles[number])
        self.clients.append(client)
        return Browser(client)

    async def sign_in(
        self, number: int = 0, token: str = ALL_TEAMS_TOKEN
    ) -> Browser:
        """Returns a browser that has signed in."""
        browser = await self.visit(number)
        await browser.sign_in(token)
        return browser

    async def answer_status(self, request: Request) -> Response:
        """Answers as the agent does."""
        return Response(body=json.encode(self.status))

    async def answer_metrics(self, request: Request) -> Response:
        """Answers as an entry does."""
        return Response(text=METRICS)


@pytest_asyncio.fixture
async def world() -> AsyncIterator[World]:
    """Starts a platform, an agent and two consoles."""
    address = Network.for_this_process().platform()
    platform = StandinPlatform(address)
    await platform.start()
    world = World(platform)
    world.publish((EXAMPLES / 'caroni' / 'document.json').read_bytes())
    platform.values[HOSTS_PATH].publish(json.encode(make_host_list()))
    agent = Application()
    agent.add_routes(
        [
            get('/status', world.answer_status),
            get('/metrics', world.answer_metrics),
        ]
    )
    async with TestServer(agent) as server, ClientSession() as session:
        settings = make_settings(address, f'127.0.0.1:{server.port}')
        for _ in range(2):
            site = Site(
                settings=settings,
                signer=Signer(settings.signing_keys),
                source=Source(settings, session, monotonic),
                wall_clock=lambda: world.clock,
            )
            console = TestServer(make_application(site))
            await console.start_server()
            world.consoles.append(console)
        yield world
        for client in world.clients:
            await client.session.close()
        for console in world.consoles:
            await console.close()
    await platform.stop()


def make_settings(platform: str, agent: str) -> ConsoleSettings:
    """Returns settings with one agent that answers and one that does not."""
    return ConsoleSettings(
        name='console-0',
        deployment='caroni',
        listen='127.0.0.1:0',
        platform=f'http://{platform}',
        agents=(agent, SILENT_AGENT),
        entries=(agent,),
        tokens=(
            TokenSettings(name='operators', secret=ALL_TEAMS_TOKEN),
            TokenSettings(
                name='exams', team='examinations', secret=TEAM_TOKEN
            ),
        ),
        signing_keys=('a-signing-key-that-all-consoles-share',),
        secure_cookies=False,
    )


def make_host_list() -> HostList:
    """Returns a host list with one server of each service."""
    return HostList(
        revision=1,
        hosts=tuple(
            NodeRecord(
                name=f'{service}-0',
                role=Role.BACKEND_SERVER,
                address='10.20.1.1:9000',
                failure_domain='tt-south-a',
                incarnation=1,
                service=service,
            )
            for service in ('registry', 'scheduler', 'credentials')
        ),
    )
