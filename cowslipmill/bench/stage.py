"""Entries and servers of one service, fed by the bench itself.

The bench stands in for the agents: it feeds every entry the document, the
servers and the members, so that what is measured is choice alone.
"""

from asyncio import gather
from asyncio import get_running_loop
from asyncio import to_thread
from collections import Counter
from os import getpid
from random import Random
import re

from msgspec import json
from msgspec import Struct
from msgspec.structs import replace

from cowslipmill.agent.feed import Feed
from cowslipmill.agent.messages import DocumentInForce
from cowslipmill.agent.messages import Facts
from cowslipmill.agent.messages import Members
from cowslipmill.bench.cpu import cpu_s
from cowslipmill.bench.experiment import Context
from cowslipmill.bench.load import LOST
from cowslipmill.choice.rule import Rule
from cowslipmill.hosts.member import Member
from cowslipmill.launch.deployment import Deployment
from cowslipmill.launch.layout import Layout
from cowslipmill.outcomes.rendering import OUTCOME_HEADER
from cowslipmill.standin.behaviour import Behaviour
from cowslipmill.standin.ledger import Execution

HOST_COUNT = 18
FEED_PORT = 7100
COUNTERS = {
    'measuring_calls': r'^cowslipmill_measuring_calls_total (\S+)$',
    'hedges': r'^cowslipmill_hedges_total\{.*\} (\S+)$',
    'alone': r'^cowslipmill_leases_total\{.*"alone".*\} (\S+)$',
    'unreachable': r'^cowslipmill_leases_total\{.*Unreach.*\} (\S+)$',
}


class Scene(Struct, frozen=True):
    """Which service is loaded, and how.

    Attributes:
        service: The service.
        method: Method of one of its routes.
        path: Path of that route.
        service_ms: Mean service time of its servers.
        deadline_ms: Deadline of the route.
    """

    service: str
    method: str
    path: str
    service_ms: float
    deadline_ms: int


# Service times are long enough that this machine carries 18 entries.
SCENES = {
    'caroni': Scene('credentials', 'GET', '/certificates/{}', 75.0, 2_000),
    'mtatsminda': Scene('casebook', 'GET', '/cases/{}', 75.0, 3_000),
}


class Sent(Struct, frozen=True):
    """One request that the bench has sent.

    Attributes:
        number: Its number.
        sent_at: Seconds since the start of the load.
        took_s: Until its end.
        outcome: How it ended; `failed` for a server's own error.
    """

    number: int
    sent_at: float
    took_s: float
    outcome: str


class Stage:
    """The processes of one experiment.

    Attributes:
        context: The frame of the experiment.
        scene: The service under load.
        layout: Entries and servers.
        feed: Tells the entries what is in force.
        sent: Requests that have ended.
    """

    __slots__ = ('context', 'deployment', 'feed', 'layout', 'scene', 'sent')

    def __init__(
        self,
        context: Context,
        scene: Scene,
        *,
        hedge_share: float = 0.0,
        host_count: int = HOST_COUNT,
    ) -> None:
        """Lays out the processes; nothing starts yet."""
        self.context = context
        self.scene = scene
        whole = Layout.example(
            context.deployment, context.network, host_count=host_count
        )
        count = sum(s.service == self.scene.service for s in whole.servers)
        document = replace(
            whole.document,
            services=tuple(
                replace(service, hedge_share=hedge_share)
                for service in whole.document.services
            ),
        )
        self.layout = Layout(
            document,
            context.network,
            host_count=host_count,
            server_counts={self.scene.service: count},
            service_ms=self.scene.service_ms,
            seed=context.seed,
        )
        self.deployment = Deployment(
            self.layout, context.launcher, context.session
        )
        self.feed = Feed(
            context.network.host(240, FEED_PORT),
            lambda: None,
            lambda observed: None,
        )
        self.sent: list[Sent] = []

    @property
    def capacity_per_second(self) -> float:
        """Requests that the servers can answer at full speed."""
        slots = sum(server.slots for server in self.layout.servers)
        return slots * 1000 / self.scene.service_ms

    async def start_servers(self) -> None:
        """Starts the servers in one process, as the oracle needs."""
        for settings in self.layout.standins(1):
            self.context.launcher.start('standin', settings.name, settings)
        for server in self.layout.servers:
            place = f'{server.address}/healthz'
            await self.deployment.wait_until_ready(place)

    def publish(self) -> None:
        """Tells the entries the document, the servers and the members."""
        layout = self.layout
        names = {server.name for server in layout.servers}
        facts = [f for f in layout.host_list().hosts if f.name in names]
        document = layout.document
        entries = [layout.entry(index) for index in range(layout.host_count)]
        members = tuple(
            Member(
                name=entry.name,
                host=entry.host,
                failure_domain=entry.failure_domain,
                incarnation=1,
                peer_address=entry.peer_listen,
            )
            for entry in entries
        )
        for message in (
            DocumentInForce(
                version=document.version, raw=json.encode(document)
            ),
            Facts(facts=tuple(facts), age_ms=0),
            Members(members=members, age_ms=0),
        ):
            self.feed.publish(message, message)

    async def start_entries(self, rule: Rule) -> None:
        """Starts every entry with a way of choosing."""
        for index in range(self.layout.host_count):
            settings = replace(
                self.layout.entry(index),
                agent=self.feed.address,
                choice=rule,
                readiness_wait_ms=0,
            )
            self.context.launcher.start('entry', settings.name, settings)
        for index in range(self.layout.host_count):
            await self.deployment.wait_for_entry(index)

    async def stop_entries(self) -> None:
        """Stops every entry."""
        launcher = self.context.launcher
        names = [
            self.layout.entry(index).name
            for index in range(self.layout.host_count)
        ]
        for name in names:
            launcher.processes[name].terminate()
        for name in names:
            await to_thread(launcher.wait, name)

    async def send(self, number: int) -> str:
        """Sends one request to an entry and notes how it ended."""
        clock = get_running_loop().time
        sent_at = clock()
        outcome = LOST
        random = Random(f'{self.context.seed} {number}')
        entry = self.layout.entry(random.randrange(self.layout.host_count))
        url = f'http://{entry.listen}{self.scene.path.format(number)}'
        headers = {'Request-Id': str(number)}
        try:
            async with self.context.session.request(
                self.scene.method, url, headers=headers
            ) as answer:
                await answer.read()
                header = answer.headers.get(OUTCOME_HEADER, LOST)
                outcome = header.partition(';')[0]
                if outcome == 'answered' and answer.status >= 500:
                    outcome = 'failed'
        finally:
            took_s = clock() - sent_at
            self.sent.append(Sent(number, sent_at, took_s, outcome))
        return outcome

    async def set_behaviour(self, index: int, behaviour: Behaviour) -> None:
        """Puts faults in force at one server."""
        address = self.layout.servers[index].address
        url = f'http://{address}/standin/behaviour'
        body = json.encode(behaviour)
        async with self.context.session.put(url, data=body) as answer:
            answer.raise_for_status()

    async def read_ledger(self, index: int) -> list[Execution]:
        """Returns what one server has run."""
        address = self.layout.servers[index].address
        url = f'http://{address}/standin/ledger'
        async with self.context.session.get(url) as answer:
            return json.decode(await answer.read(), type=list[Execution])

    async def read_ledgers(self) -> list[list[Execution]]:
        """Returns what every server has run."""
        indexes = range(len(self.layout.servers))
        return await gather(*(self.read_ledger(index) for index in indexes))

    async def read_counters(self) -> Counter[str]:
        """Returns counters by name, summed over all entries."""
        total: Counter[str] = Counter()
        for index in range(self.layout.host_count):
            url = f'http://{self.layout.entry(index).admin_listen}/metrics'
            async with self.context.session.get(url) as answer:
                text = await answer.text()
            for name, pattern in COUNTERS.items():
                found = re.findall(pattern, text, re.MULTILINE)
                total[name] += int(sum(map(float, found)))
        return total

    def cpu_s(self) -> dict[str, float]:
        """Returns the processor seconds of entries, servers and bench."""
        processes = self.context.launcher.processes
        entries = [
            process.pid
            for name, process in processes.items()
            if name.startswith('entry-') and process.poll() is None
        ]
        servers = [processes['servers-0'].pid]
        return {
            'entries': cpu_s(entries),
            'servers': cpu_s(servers),
            'bench': cpu_s([getpid()]),
        }
