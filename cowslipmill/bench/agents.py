"""Agents without entries, and what they say of themselves."""

from asyncio import gather
from asyncio import sleep
from asyncio import timeout
from collections.abc import Callable
from collections.abc import Iterable

from aiohttp import ClientError
from msgspec import json
from msgspec.structs import replace

from cowslipmill.agent.status import AgentStatus
from cowslipmill.bench.experiment import Context
from cowslipmill.launch.deployment import Deployment
from cowslipmill.launch.layout import Layout

POLL_S = 0.1
BOUND_S = 60.0


class AgentBench:
    """The agents of a deployment and its platform.

    Attributes:
        deployment: Starts the processes.
        layout: Their settings.
        highest: Highest version that each agent was seen to have in force.
        reverts: How often an agent was seen to have gone back.
        version: Version published last.
    """

    def __init__(self, context: Context, host_count: int) -> None:
        """Lays out the hosts; nothing starts yet."""
        self.layout = Layout.example(
            context.deployment,
            context.network,
            host_count=host_count,
            seed=context.seed,
        )
        self.context = context
        self.deployment = Deployment(
            self.layout, context.launcher, context.session
        )
        self.highest = [0] * host_count
        self.reverts = 0
        self.version = 0

    @property
    def hosts(self) -> range:
        """The index of every host."""
        return range(self.layout.host_count)

    async def start(self) -> None:
        """Starts platform and agents; returns when all see all."""
        launcher = self.context.launcher
        launcher.start('standin', 'platform', self.layout.platform())
        place = f'{self.layout.network.platform()}/standin/calls'
        await self.deployment.wait_until_ready(place)
        await self.deployment.publish_hosts(self.layout.host_list())
        await self.publish()
        for index in self.hosts:
            self.deployment.start_agent(index)
        await self.wait_until(self.hosts, self.is_whole)

    def is_whole(self, status: AgentStatus) -> bool:
        """Tells whether an agent sees all hosts, and the version."""
        live = [m for m in status.members if m.state == 'live']
        return len(live) == len(self.hosts) and self.is_current(status)

    def is_current(self, status: AgentStatus) -> bool:
        """Tells whether an agent has the version published last."""
        return status.version == self.version

    async def publish(self) -> None:
        """Publishes the next version with a small change."""
        self.version += 1
        document = replace(
            self.layout.document,
            version=self.version,
            base=self.version - 1,
            resend_memory_ms=600_000 + self.version,
        )
        await self.deployment.publish_document(document)

    async def read(self, index: int) -> AgentStatus | None:
        """Returns the status of an agent, or None if it gives none."""
        url = f'http://{self.layout.agent(index).admin_listen}/status'
        try:
            async with self.context.session.get(url) as answer:
                status = json.decode(await answer.read(), type=AgentStatus)
        except (ClientError, OSError):
            return None
        if 0 < status.version < self.highest[index]:
            self.reverts += 1
        self.highest[index] = max(self.highest[index], status.version)
        return status

    async def wait_until(
        self, hosts: Iterable[int], is_so: Callable[[AgentStatus], bool]
    ) -> list[AgentStatus]:
        """Returns the status of agents, each once something is so."""

        async def wait_for(index: int) -> AgentStatus:
            while True:
                status = await self.read(index)
                if status is not None and is_so(status):
                    return status
                await sleep(POLL_S)

        async with timeout(BOUND_S):
            return await gather(*(wait_for(index) for index in hosts))

    async def platform_calls(self) -> int:
        """Returns the calls that the platform has counted."""
        place = f'{self.layout.network.platform()}/standin/calls'
        async with self.context.session.get(f'http://{place}') as answer:
            counts = json.decode(await answer.read(), type=dict[str, int])
        return sum(counts.values())

    async def seconds_to_force(
        self, hosts: Iterable[int], since: float, clock: Callable[[], float]
    ) -> list[float]:
        """Returns how long after a time each host had the version in force.

        Args:
            hosts: Hosts to wait for.
            since: Time of the publication.
            clock: Returns the present time.
        """

        async def wait_for(index: int) -> float:
            (status,) = await self.wait_until([index], self.is_current)
            return max(0.0, clock() - status.in_force_ms / 1000 - since)

        return await gather(*(wait_for(index) for index in hosts))
