"""Fixtures that run agents as processes."""

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
    """Three agents and a stand-in platform, without entries and servers.

    Attributes:
        deployment: Starts and stops the processes.
        layout: Settings of the processes.
        cut_off: Indexes of agents whose platform address has no listener.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Keeps the deployment without starting a process."""
        self.deployment = deployment
        self.layout = deployment.layout
        self.cut_off: set[int] = set()

    async def start_platform(self) -> None:
        """Starts the stand-in platform and waits until it is ready."""
        launcher = self.deployment.launcher
        launcher.start('standin', 'platform', self.layout.platform())
        place = f'{self.layout.network.platform()}/standin/calls'
        await self.deployment.wait_until_ready(place)

    def start(self, index: int) -> None:
        """Starts an agent."""
        settings = self.layout.agent(index)
        if index in self.cut_off:
            unused_address = self.layout.network.collector()
            settings = replace(settings, platform=f'http://{unused_address}')
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
        """Returns the status of an agent, or None if the call fails."""
        url = f'http://{self.layout.agent(index).admin_listen}/status'
        try:
            async with self.deployment.session.get(url) as response:
                return json.decode(await response.read(), type=AgentStatus)
        except (ClientError, OSError):
            return None

    async def wait_until(
        self, index: int, condition: Callable[[AgentStatus], bool]
    ) -> AgentStatus:
        """Polls the status of an agent until a condition holds.

        Raises:
            TimeoutError: If it does not hold within `BOUND_S` seconds.
        """
        async with timeout(BOUND_S):
            while True:
                status = await self.status(index)
                if status is not None and condition(status):
                    return status
                await sleep(POLL_S)


@pytest_asyncio.fixture
async def agents() -> AsyncIterator[Agents]:
    """Yields three agents that are not started yet."""
    layout = Layout.example('caroni', Network.for_this_process(), host_count=3)
    with Launcher() as launcher:
        async with ClientSession() as session:
            running = Agents(Deployment(layout, launcher, session))
            await running.start_platform()
            yield running
