"""Starts and controls a deployment on one machine."""

from asyncio import sleep

from aiohttp import ClientError
from aiohttp import ClientSession
from msgspec import json

from cowslipmill.document.document import Document
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.layout import Layout
from cowslipmill.publication.hostlist import HostList

READY_TIMEOUT_S = 30.0
POLL_S = 0.05


class NotReady(Exception):
    """A process did not become ready in time."""


class Deployment:
    """Starts the processes of a layout in order of dependency.

    Attributes:
        layout: Settings of the processes.
        launcher: Starts and stops the processes.
        session: HTTP client for readiness checks and for the control
            paths of the stand-in platform.
    """

    __slots__ = ('launcher', 'layout', 'session')

    def __init__(
        self, layout: Layout, launcher: Launcher, session: ClientSession
    ) -> None:
        """Stores the arguments without starting a process."""
        self.layout = layout
        self.launcher = launcher
        self.session = session

    async def start(self, *, server_processes: int = 2) -> None:
        """Starts all processes and waits until every entry is ready.

        Args:
            server_processes: Number of processes that share the stand-in
                servers.
        """
        self.launcher.start('standin', 'platform', self.layout.platform())
        for settings in self.layout.standins(server_processes):
            self.launcher.start('standin', settings.name, settings)
        platform = f'{self.layout.network.platform()}/standin/calls'
        await self.wait_until_ready(platform)
        for server in self.layout.servers:
            await self.wait_until_ready(f'{server.address}/healthz')
        await self.publish_hosts(self.layout.host_list())
        await self.publish_document(self.layout.document)
        for index in range(self.layout.host_count):
            self.start_agent(index)
            self.start_entry(index)
        for index in range(self.layout.host_count):
            await self.wait_for_entry(index)

    def start_agent(self, index: int) -> None:
        """Starts the agent of one host."""
        settings = self.layout.agent(index)
        self.launcher.start('agent', f'agent-{index}', settings)

    def start_entry(self, index: int) -> None:
        """Starts the entry of one host."""
        settings = self.layout.entry(index)
        self.launcher.start('entry', settings.name, settings)

    async def wait_for_entry(self, index: int) -> None:
        """Waits until the entry of one host is ready."""
        admin = self.layout.entry(index).admin_listen
        await self.wait_until_ready(f'{admin}/readyz')

    async def wait_until_ready(self, endpoint: str) -> None:
        """Waits until a GET request to an endpoint returns status 200.

        Args:
            endpoint: Address and path, without the scheme.

        Raises:
            NotReady: If it does not within the timeout.
        """
        for _ in range(int(READY_TIMEOUT_S / POLL_S)):
            try:
                async with self.session.get(f'http://{endpoint}') as response:
                    if response.status == 200:
                        return
            except (ClientError, OSError):
                pass
            await sleep(POLL_S)
        raise NotReady(endpoint)

    async def publish_document(self, document: Document) -> None:
        """Publishes a document on the stand-in platform."""
        await self.switch('publish/configuration', json.encode(document))

    async def publish_hosts(self, hosts: HostList) -> None:
        """Publishes a host list on the stand-in platform."""
        await self.switch('publish/hosts', json.encode(hosts))

    async def switch(self, action: str, body: bytes = b'') -> None:
        """Sends a control request to the stand-in platform.

        Args:
            action: Path below `/standin/`, with its query.
            body: Body of the request.
        """
        url = f'http://{self.layout.network.platform()}/standin/{action}'
        async with self.session.put(url, data=body) as response:
            response.raise_for_status()
