"""Host processes between stand-in servers and callers of one loop."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import Task
from collections import Counter

from cowslipmill.bench.experiment import Context
from cowslipmill.host.settings import HostSettings
from cowslipmill.http1.message import Request
from cowslipmill.http1.serverconnection import ConnectFailed
from cowslipmill.http1.serverconnection import ExchangeFailed
from cowslipmill.http1.serverconnection import open_connection
from cowslipmill.http1.serverconnection import ServerConnection
from cowslipmill.platform.headers import DEADLINE
from cowslipmill.platform.headers import REQUEST_ID
from cowslipmill.platform.storeapi import CONFIGURATION_KEY
from cowslipmill.runtime.address import split_address
from cowslipmill.standin.backend import StandinBackend
from cowslipmill.standin.published import make_configuration
from cowslipmill.standin.published import make_entry
from cowslipmill.standin.published import make_route
from cowslipmill.standin.store import StandinStore

CALLER_HOST = 'bench.example'
DOMAIN = 'domain-a'
DEADLINE_MS = 2_000
# Ports of a host for callers, readiness and other hosts.
PORTS = (7101, 7102, 7103)
# Pause of a caller whose host can't be reached or cuts its connection.
RETRY_PAUSE_S = 0.05
STOP_S = 2.0
SERVED_STATUS = 200
REFUSED_STATUS = 503


class HostStage:
    """A deployment of one failure domain, and its callers.

    Attributes:
        backends: The servers.
        addresses: Addresses of the hosts for callers.
        began_at: When the measurement began, in loop time.
        results: Number of requests by the second in which they were sent,
            from the beginning, whether they are safe, and HTTP status; 0 for
            no answer.
        callers: Tasks of the callers.
    """

    def __init__(self, context: Context) -> None:
        """Starts nothing yet."""
        self.context = context
        self.store = StandinStore()
        self.backends: list[StandinBackend] = []
        self.addresses: list[tuple[str, int]] = []
        self.began_at = float('inf')
        self.results: Counter[tuple[int, bool, int]] = Counter()
        self.callers: list[Task[None]] = []
        self.request_count = 0

    async def start(
        self, hosts: int, servers: int, *, slots: int, work_s: float
    ) -> None:
        """Starts the store, the servers and the host processes.

        Args:
            hosts: Number of hosts.
            servers: Number of servers.
            slots: Slots of each server.
            work_s: Time that a server takes for a request, in seconds.
        """
        await self.store.start()
        routes = [
            make_route(
                f'/{kind}/',
                kind,
                host=CALLER_HOST,
                timeout_ms=DEADLINE_MS,
                objective_ms=DEADLINE_MS // 2,
            )
            for kind in ('safe', 'unsafe')
        ]
        self.store.put(CONFIGURATION_KEY, make_configuration(1, *routes))
        for number in range(servers):
            backend = StandinBackend(f'server-{number}', slots=slots)
            backend.work_s = work_s
            await backend.start()
            self.backends.append(backend)
            entry = make_entry(backend, backend.address, DOMAIN)
            self.store.put(f'servers/{backend.name}', entry)
        for number in range(hosts):
            self.start_host(number)

    def start_host(self, number: int) -> None:
        """Starts the process of one host."""
        network = self.context.network
        callers, readiness, peers = (
            split_address(network.host(number, port)) for port in PORTS
        )
        seed = split_address(network.host(0, PORTS[2]))
        settings = HostSettings(
            name=f'host-{number}',
            failure_domain=DOMAIN,
            callers_listen=callers,
            readiness_listen=readiness,
            peer_listen=peers,
            seeds=(seed,) if number else (),
            store=self.store.address,
            stop_s=STOP_S,
            retry_share=0.2,
            retry_reserve=64.0,
            leaving_s=2.0,
            server_source_ip=callers[0],
        )
        self.addresses.append(callers)
        self.context.launcher.start('host', settings.name, settings)

    def start_callers(self, count: int) -> None:
        """Starts callers that each send one request after the other."""
        self.callers = [
            create_task(self.call(number)) for number in range(count)
        ]

    async def call(self, number: int) -> None:
        """Is one caller; those with an odd number send safe requests."""
        loop = get_running_loop()
        address = self.addresses[number % len(self.addresses)]
        safe = number // len(self.addresses) % 2 == 1
        connection: ServerConnection | None = None
        while True:
            self.request_count += 1
            request = make_request(self.request_count, safe=safe)
            sent_at = loop.time()
            status = 0
            try:
                if connection is None or not connection.usable:
                    connection = await open_connection(address, 1.0)
                until = sent_at + 2 * DEADLINE_MS / 1000
                answer = await connection.exchange(request, until=until)
                status = answer.status
            except (ConnectFailed, ExchangeFailed, TimeoutError):
                connection = None
            if sent_at >= self.began_at:
                second = int(sent_at - self.began_at)
                self.results[second, safe, status] += 1
            if status in (0, REFUSED_STATUS):
                await sleep(RETRY_PAUSE_S)

    def served_share(self, since: int, until: int) -> float:
        """Returns the share of requests that were served.

        Args:
            since: First second of the measurement that counts.
            until: First second that doesn't count any more.
        """
        served = total = 0
        for (second, _, status), count in self.results.items():
            if since <= second < until:
                total += count
                served += count if status == SERVED_STATUS else 0
        return served / total if total else 0.0

    async def stop(self) -> None:
        """Stops the callers, the hosts, the servers and the store."""
        for task in self.callers:
            task.cancel()
        await gather(*self.callers, return_exceptions=True)
        self.context.launcher.stop_all()
        for backend in self.backends:
            backend.stop()
        await self.store.stop()


def make_request(number: int, *, safe: bool) -> Request:
    """Returns a caller's request.

    Args:
        number: Its number, which is its id and its path.
        safe: Whether it may be sent again.
    """
    headers = [
        (b'host', CALLER_HOST.encode()),
        (REQUEST_ID, b'q%d' % number),
        (DEADLINE, b'%d' % DEADLINE_MS),
    ]
    method, kind = (b'GET', b'safe') if safe else (b'POST', b'unsafe')
    return Request(method, b'/%b/%d' % (kind, number), headers, b'')
