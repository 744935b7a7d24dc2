"""Probes the health endpoint of servers without recent traffic."""

from asyncio import get_running_loop
from asyncio import sleep
from asyncio import timeout
from collections.abc import Callable
from collections.abc import Iterable

from aiohttp import ClientError
from aiohttp import ClientSession
from aiohttp import DummyCookieJar
from aiohttp import TCPConnector
from mode import Service
from prometheus_client import Counter

from cowslipmill.agent.messages import Observed
from cowslipmill.agent.messages import ServerSignal
from cowslipmill.agent.state import AgentState
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.measuring.probeassignment import ProbeAssignment
from cowslipmill.membership.record import HostState
from cowslipmill.outcomes.headers import LEAVING_HEADER
from cowslipmill.serverstate.record import ServerRecord

HEALTH_PATH = '/healthz'
TICK_S = 0.25
TIMEOUT_S = 1.0
RESPONSE_FRESH_S = 1.5
MAX_OPEN_PROBES = 32

PROBES = Counter(
    'cowslipmill_measuring_probes_total',
    'Measuring calls to backend servers, by outcome.',
    ('outcome',),
)


class Prober(Service):
    """Probes servers within this host's share of the measuring budget.

    Attributes:
        agent_state: State of the agent.
        on_observed: Called when a probe response announces that the server
            is leaving.
        last_response_at: When each server last answered a request of this
            host's entries, in monotonic seconds, or when it was first seen.
        probes: Probes sent since the start.
        failures: Probes without a complete response.
        assigned_servers: Number of servers that this host probes.
        leaving: Whether this host is leaving and sends no more probes.
    """

    def __init__(
        self, state: AgentState, on_observed: Callable[[Observed], None]
    ) -> None:
        """Keeps the agent's state and the callback."""
        super().__init__()
        self.agent_state = state
        self.on_observed = on_observed
        self.last_response_at: dict[str, float] = {}
        self.probes = 0
        self.failures = 0
        self.open_probes = 0
        self.assigned_servers = 0
        self.leaving = False

    async def on_start(self) -> None:
        """Opens the HTTP session."""
        self.clock = get_running_loop().time
        own = self.agent_state.detector.own.address
        self.assignment = ProbeAssignment(
            own, self.agent_state.addresses, self.clock()
        )
        self.session = await self.add_async_context(
            ClientSession(
                connector=TCPConnector(limit=0, force_close=True),
                cookie_jar=DummyCookieJar(),
            )
        )

    def record_responses(
        self, answered: Iterable[ServerSignal], now: float
    ) -> None:
        """Records the servers that answered requests of the entries."""
        self.last_response_at.update((signal.name, now) for signal in answered)

    @Service.task
    async def probe_periodically(self) -> None:
        """Starts the probes that are due in each tick."""
        while not self.should_stop:
            await sleep(TICK_S)
            now = self.clock()
            self.update_membership(now)
            if not self.leaving:
                self.probe_due_servers(now)

    def update_membership(self, now: float) -> None:
        """Passes the current membership to the probe assignment."""
        records = self.agent_state.detector.replica.records.values()
        present = {
            record.address
            for record in records
            if record.state in (HostState.LIVE, HostState.SUSPECT)
        }
        departed = {
            record.address
            for record in records
            if record.state is HostState.LEAVING
        }
        self.assignment.update(present, departed - present, now)

    def probe_due_servers(self, now: float) -> None:
        """Starts the probes that are due and within the budget.

        A server with a response in the last `RESPONSE_FRESH_S` seconds needs
        no probe. At most `MAX_OPEN_PROBES` probes are open at once.
        """
        document = self.agent_state.configuration.document
        if document is None:
            return
        budgets = {
            service.name: service.measuring_per_second
            for service in document.services
        }
        records = self.agent_state.servers.replica.records
        for record in records.values():
            if record.state is not LifecycleState.LIVE:
                continue
            if (
                now - self.last_response_at.get(record.name, now)
                < RESPONSE_FRESH_S
            ):
                self.last_response_at.setdefault(record.name, now)
                continue
            per_second = budgets.get(record.service, 0.0)
            if self.open_probes >= MAX_OPEN_PROBES:
                return
            if self.assignment.try_acquire(record.name, per_second, now):
                self.open_probes += 1
                self.add_future(self.probe(record))

    async def probe(self, record: ServerRecord) -> None:
        """Sends one probe and counts its outcome."""
        self.probes += 1
        outcome = 'answered'
        url = f'http://{record.address}{HEALTH_PATH}'
        try:
            async with timeout(TIMEOUT_S):
                async with self.session.get(url) as response:
                    await response.read()
                    if LEAVING_HEADER in response.headers:
                        signal = ServerSignal(record.name, record.incarnation)
                        self.on_observed(Observed(leaving=(signal,)))
        except (ClientError, OSError, TimeoutError):
            self.failures += 1
            outcome = 'failed'
        finally:
            self.open_probes -= 1
        PROBES.labels(outcome).inc()
