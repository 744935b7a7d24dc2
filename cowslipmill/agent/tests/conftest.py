"""Agents as real processes."""

from asyncio import sleep
from asyncio import timeout
from collections.abc import AsyncIterator
from collections.abc import Callable

from aiohttp import ClientError
from aiohttp import ClientSession
from msgspec import json
from msgspec.structs import replace
import pytest_asyncio

from cowslipmill.agent.status import AgentStatus
from cowslipmill.launch.deployment import Deployment
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.layout import Layout
from cowslipmill.launch.network import Network

BOUND_S = 30.0
POLL_S = 0.05


class Agents:
    """Three agents and a platform, without entries and servers.

    Attributes:
        deployment: Starts the agents.
        layout: Their settings.
        cut_off: Agents that get an address where no platform is.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Starts nothing yet."""
        self.deployment = deployment
        self.layout = deployment.layout
        self.cut_off: set[int] = set()

    async def start_platform(self) -> None:
        """Starts the platform."""
        launcher = self.deployment.launcher
        launcher.start('standin', 'platform', self.layout.platform())
        place = f'{self.layout.network.platform()}/standin/calls'
        await self.deployment.wait_until_ready(place)

    def start(self, index: int) -> None:
        """Starts an agent."""
        settings = self.layout.agent(index)
        if index in self.cut_off:
            nowhere = self.layout.network.collector()
            settings = replace(settings, platform=f'http://{nowhere}')
        launcher = self.deployment.launcher
        launcher.start('agent', f'agent-{index}', settings)

    async def publish(self, version: int, memory_ms: int) -> None:
        """Publishes a version of the document."""
        document = replace(
            self.layout.document,
            version=version,
            base=version - 1,
            resend_memory_ms=memory_ms,
        )
        await self.deployment.publish_document(document)

    async def status(self, index: int) -> AgentStatus | None:
        """Returns the status of an agent, or None if it gives none."""
        url = f'http://{self.layout.agent(index).admin_listen}/status'
        try:
            async with self.deployment.session.get(url) as answer:
                return json.decode(await answer.read(), type=AgentStatus)
        except (ClientError, OSError):
            return None

    async def wait_until(
        self, index: int, is_so: Callable[[AgentStatus], bool]
    ) -> AgentStatus:
        """Returns the status of an agent once something is so."""
        async with timeout(BOUND_S):
            while True:
                status = await self.status(index)
                if status is not None and is_so(status):
                    return status
                await sleep(POLL_S)


@pytest_asyncio.fixture
async def agents() -> AsyncIterator[Agents]:
    """Returns three agents that are not started yet."""
    layout = Layout.example('caroni', Network.for_this_process(), host_count=3)
    with Launcher() as launcher:
        async with ClientSession() as session:
            running = Agents(Deployment(layout, launcher, session))
            await running.start_platform()
            yield running
