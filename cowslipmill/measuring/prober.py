"""Measures servers about which traffic says too little."""

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
TRAFFIC_FRESH_S = 1.5
MAX_OPEN_PROBES = 32

PROBES = Counter(
    'cowslipmill_measuring_probes_total',
    'Measuring calls to backend servers, by outcome.',
    ('outcome',),
)


class Prober(Service):
    """Calls health endpoints within this host's share of the budget.

    Attributes:
        agent_state: What the agent knows.
        on_observed: Called with a server that says it is leaving.
        answered_at: When a server last answered anything of this host's.
        probes: Calls made.
        failures: Calls without a whole answer.
        assigned_servers: Servers that this host is the one to measure.
        leaving: Whether this host measures no more.
    """

    def __init__(
        self, state: AgentState, on_observed: Callable[[Observed], None]
    ) -> None:
        """Keeps what is known and whom to tell."""
        super().__init__()
        self.agent_state = state
        self.on_observed = on_observed
        self.answered_at: dict[str, float] = {}
        self.probes = 0
        self.failures = 0
        self.open = 0
        self.assigned_servers = 0
        self.leaving = False

    async def on_start(self) -> None:
        """Opens the session."""
        self.clock = get_running_loop().time
        own = self.agent_state.detector.own.address
        self.share = ProbeAssignment(
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
        """Notes that traffic tells of servers."""
        self.answered_at.update((signal.name, now) for signal in answered)

    @Service.task
    async def measure(self) -> None:
        """Measures what is due, again and again."""
        while not self.should_stop:
            await sleep(TICK_S)
            now = self.clock()
            self.update_share(now)
            if not self.leaving:
                self.measure_due(now)

    def update_share(self, now: float) -> None:
        """Takes in the membership."""
        records = self.agent_state.detector.replica.records.values()
        heard = {
            record.address
            for record in records
            if record.state in (HostState.LIVE, HostState.SUSPECT)
        }
        left = {
            record.address
            for record in records
            if record.state is HostState.LEAVING
        }
        self.share.update(heard, left - heard, now)

    def measure_due(self, now: float) -> None:
        """Starts the calls that are due and within the budget."""
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
            if now - self.answered_at.get(record.name, now) < TRAFFIC_FRESH_S:
                self.answered_at.setdefault(record.name, now)
                continue
            per_second = budgets.get(record.service, 0.0)
            if self.open >= MAX_OPEN_PROBES:
                return
            if self.share.try_acquire(record.name, per_second, now):
                self.open += 1
                self.add_future(self.probe(record))

    async def probe(self, record: ServerRecord) -> None:
        """Makes one call."""
        self.probes += 1
        outcome = 'answered'
        url = f'http://{record.address}{HEALTH_PATH}'
        try:
            async with timeout(TIMEOUT_S):
                async with self.session.get(url) as answer:
                    await answer.read()
                    if LEAVING_HEADER in answer.headers:
                        signal = ServerSignal(record.name, record.incarnation)
                        self.on_observed(Observed(leaving=(signal,)))
        except (ClientError, OSError, TimeoutError):
            self.failures += 1
            outcome = 'failed'
        finally:
            self.open -= 1
        PROBES.labels(outcome).inc()
