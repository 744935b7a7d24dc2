"""Choosers that probe the stand-in servers, for comparison."""

from asyncio import create_task
from asyncio import Task
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from functools import partial
from random import Random

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import ClientTimeout

from cowslipmill.choice.chooser import ChoiceRequest
from cowslipmill.choice.metrics import MEASURING_CALLS
from cowslipmill.choice.policies import NO_SERVER
from cowslipmill.choice.policies import PolicyChoice
from cowslipmill.choice.prequal import Prequal
from cowslipmill.choice.server import Server
from cowslipmill.coordination.lease import Report
from cowslipmill.outcomes.outcome import NotRun

PROBES_PER_REQUEST = 1
PROBE_TIMEOUT = ClientTimeout(total=0.5)
ORACLE_PATH = '/standin/least'

ReadLoad = Callable[[Mapping[str, str]], int | None]
ListServers = Callable[[str], Sequence[Server]]


class PrequalChooser:
    """Probes servers with each request and chooses by the Prequal policy.

    Attributes:
        pools: Probe pools by service.
        tasks: Probes in progress.
    """

    __slots__ = (
        'clock',
        'pools',
        'random',
        'read_load',
        'servers',
        'session',
        'tasks',
    )

    def __init__(
        self,
        session: ClientSession,
        servers: ListServers,
        read_load: ReadLoad,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Starts without probes.

        Args:
            session: HTTP client for the probes.
            servers: Returns the live servers of a service.
            read_load: Returns the requests in flight from the headers of a
                response, or None.
            clock: Returns monotonic seconds.
            random: Source of random choices.
        """
        self.session = session
        self.servers = servers
        self.read_load = read_load
        self.clock = clock
        self.random = random
        self.pools: dict[str, Prequal] = {}
        self.tasks: set[Task[None]] = set()

    async def acquire(
        self, choice_request: ChoiceRequest
    ) -> PolicyChoice | NotRun:
        """Returns the best server by earlier probes, and starts new ones."""
        service = choice_request.route.service
        servers = self.servers(service)
        allowed = [s for s in servers if s.name not in choice_request.excluded]
        if not allowed:
            return NO_SERVER
        pool = self.pools.setdefault(service, Prequal())
        for _ in range(PROBES_PER_REQUEST):
            probed = self.random.choice(servers)
            task = create_task(self.probe(pool, probed))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        now = self.clock()
        server = pool.pick(allowed, now, self.random)
        return PolicyChoice(server, partial(self.observe, pool, server, now))

    async def probe(self, pool: Prequal, server: Server) -> None:
        """Probes one server for its load; a failed probe adds nothing."""
        MEASURING_CALLS.inc()
        url = f'http://{server.record.address}/healthz'
        try:
            async with self.session.get(
                url, timeout=PROBE_TIMEOUT
            ) as response:
                await response.read()
                load = self.read_load(response.headers)
        except (ClientError, OSError, TimeoutError):
            return
        if load is not None:
            pool.add(server.name, load, self.clock())

    def observe(
        self, pool: Prequal, server: Server, started_at: float, report: Report
    ) -> None:
        """Records the latency of an attempt."""
        latency_s = self.clock() - started_at
        pool.observe_latency(server.name, report, latency_s)

    def refresh(self, service: str) -> None:
        """Does nothing; the servers are read at each choice."""


class OracleChooser:
    """Asks a stand-in which server has the fewest requests right now."""

    __slots__ = ('servers', 'session')

    def __init__(self, session: ClientSession, servers: ListServers) -> None:
        """Keeps the client and the list of servers.

        Args:
            session: HTTP client.
            servers: Returns the live servers of a service.
        """
        self.session = session
        self.servers = servers

    async def acquire(
        self, choice_request: ChoiceRequest
    ) -> PolicyChoice | NotRun:
        """Returns the server with the lowest actual occupancy."""
        by_name = {
            s.name: s for s in self.servers(choice_request.route.service)
        }
        if not by_name:
            return NO_SERVER
        address = next(iter(by_name.values())).record.address
        MEASURING_CALLS.inc()
        query = {
            'service': choice_request.route.service,
            'excluded': ','.join(choice_request.excluded),
        }
        url = f'http://{address}{ORACLE_PATH}'
        try:
            async with self.session.get(url, params=query) as response:
                server = by_name.get(await response.text())
        except (ClientError, OSError, TimeoutError):
            return NO_SERVER
        if server is None:
            return NO_SERVER
        return PolicyChoice(server, ignore)

    def refresh(self, service: str) -> None:
        """Does nothing; the servers are read at each choice."""


def ignore(report: Report) -> None:
    """Discards a report."""
