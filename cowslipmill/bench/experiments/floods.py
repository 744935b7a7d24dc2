"""Callers and servers that flood one host, beside sound callers.

Each arm starts a host process and five servers anew and offers sound requests
with deadlines of 1 s at a steady rate: without a flood, with 24 callers that
send without end, each kind in turn, and with one flooding server of five. The
floods come from a process of their own. Large answers come at twice the rate
as well, side by side with calm at that rate.
"""

from asyncio import get_running_loop
from asyncio import sleep
from contextlib import suppress
from itertools import count
from typing import Any

from cowslipmill.bench.cpu import cpu_s
from cowslipmill.bench.experiment import Context
from cowslipmill.bench.experiment import Result
from cowslipmill.bench.load import Load
from cowslipmill.bench.load import offer
from cowslipmill.bench.recorder import Recorder
from cowslipmill.host.settings import HostSettings
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.pool import ConnectionPool
from cowslipmill.http1.serverconnection import ConnectFailed
from cowslipmill.http1.serverconnection import ExchangeFailed
from cowslipmill.http1.serverconnection import open_connection
from cowslipmill.runtime.address import split_address
from cowslipmill.standin.backend import Stream
from cowslipmill.standin.floods import caller_headers
from cowslipmill.standin.floods import CallerStream
from cowslipmill.standin.floods import FloodingBackend
from cowslipmill.standin.floods import LARGE
from cowslipmill.standin.published import CONFIGURATION_KEY
from cowslipmill.standin.published import make_configuration
from cowslipmill.standin.published import make_entry
from cowslipmill.standin.published import make_route
from cowslipmill.standin.published import SERVICE
from cowslipmill.standin.settings import FloodingCallersSettings
from cowslipmill.standin.settings import FloodingServerSettings
from cowslipmill.standin.settings import StandinSettings
from cowslipmill.standin.store import StandinStore

SECONDS = 6.0
PER_SECOND = 200.0
# With large answers, the host's processor is full at this rate.
MANY_PER_SECOND = 400.0
DEADLINE_S = 1.0
SERVER_COUNT = 5
START_S = 20.0
# The flood has begun when the load begins.
WARM_UP_S = 1.0
PORTS = (7331, 7332, 7333)
# The least that the platform gives to a host process.
MEMORY_MB = 200.0
DOMAIN = 'domain-a'
HOST_HEADER = 'floods.example'
# Requests of flooding callers go to a server of their own.
FLOOD_SERVICE = 'flooded'
FLOOD_ROUTE = '/flood/'
SOUND_ROUTE = '/sound/'
# Responses from this size on don't count as short requests.
LARGE_BYTES = 1_000_000
CALM = 'calm'
CALLERS = 'callers '
SERVER = 'server '
SERVER_FLOODS = (
    Stream.HEAD,
    Stream.BODY,
    Stream.HEADERS,
    Stream.SMALL_CHUNKS,
    Stream.FIELDS_AFTER_BODY,
    Stream.INTERIM,
)
MANY = ', many'
CALM_BESIDE_SERVERS = 'calm, servers'
CALM_BESIDE_MANY = f'{CALM}{MANY}'
# An arm is compared with the calm one before it.
ARMS = (
    CALM,
    *(f'{CALLERS}{stream.name}' for stream in CallerStream),
    CALM_BESIDE_SERVERS,
    *(f'{SERVER}{stream.name}' for stream in SERVER_FLOODS),
    f'{SERVER}{LARGE}',
    CALM_BESIDE_MANY,
    f'{SERVER}{LARGE}{MANY}',
)


class Scene:
    """One host process with servers and callers around it.

    Attributes:
        context: The frame of the experiment.
        flood: Who floods with what; that of `CALM` is none.
        per_second: Sound requests a second.
        name: Name of the host's process, used in this arm only.
        store: The store.
        backends: The sound servers.
        settings: The host's settings.
        pool: Idle connections of the sound callers.
        numbers: Numbers of sound requests.
    """

    def __init__(self, context: Context, number: int, arm: str) -> None:
        """Chooses addresses; nothing starts yet.

        Args:
            context: The frame of the experiment.
            number: Number of the arm.
            arm: Name of the arm.
        """
        self.context = context
        self.flood = arm.removesuffix(MANY)
        many = arm.endswith(MANY)
        self.per_second = MANY_PER_SECOND if many else PER_SECOND
        self.number = number
        self.name = f'host-{number}'
        self.store = StandinStore()
        self.backends: list[FloodingBackend] = []
        self.pool = ConnectionPool()
        self.numbers = count()
        self.settings: HostSettings | None = None

    async def start(self) -> None:
        """Starts everything and waits until sound requests are served."""
        await self.store.start()
        first = self.number * (SERVER_COUNT + 1)
        servers = [
            FloodingServerSettings(
                name=f'server-{index}',
                address=self.context.network.server(first + index),
            )
            for index in range(SERVER_COUNT + 1)
        ]
        *sound, flooding, flooded = servers
        if self.flood.startswith(SERVER):
            flooding = FloodingServerSettings(
                name=flooding.name,
                address=flooding.address,
                flood=self.flood.removeprefix(SERVER),
            )
        for server in sound:
            backend = FloodingBackend(server)
            await backend.start()
            self.backends.append(backend)
        for server in servers:
            service = FLOOD_SERVICE if server is servers[-1] else SERVICE
            entry = make_entry(
                FloodingBackend(server),
                split_address(server.address),
                DOMAIN,
                Service=service,
            )
            self.store.put(f'servers/{server.name}', entry)
        self.store.put(CONFIGURATION_KEY, make_floods_configuration())
        callers, readiness, peers = (
            split_address(self.context.network.host(self.number, port))
            for port in PORTS
        )
        self.settings = HostSettings(
            name=self.name,
            failure_domain=DOMAIN,
            callers_listen=callers,
            readiness_listen=readiness,
            peer_listen=peers,
            seeds=(),
            store=self.store.address,
            stop_s=4.0,
            retry_share=0.2,
            retry_reserve=64.0,
            leaving_s=2.0,
            memory_mb=MEMORY_MB,
        )
        self.context.launcher.start('host', self.name, self.settings)
        await self.wait_until_served()
        self.start_floods(flooding, flooded)
        await sleep(WARM_UP_S)

    def start_floods(
        self,
        flooding: FloodingServerSettings,
        flooded: FloodingServerSettings,
    ) -> None:
        """Starts the process of the flood."""
        assert self.settings is not None
        callers = None
        if self.flood.startswith(CALLERS):
            host, port = self.settings.callers_listen
            callers = FloodingCallersSettings(
                address=f'{host}:{port}',
                stream=self.flood.removeprefix(CALLERS),
                target=f'{FLOOD_ROUTE}1',
                host=HOST_HEADER,
            )
        settings = StandinSettings(
            name=f'floods-{self.number}',
            flooding_callers=callers,
            flooding_servers=(flooding, flooded),
        )
        self.context.launcher.start('standin', settings.name, settings)

    async def wait_until_served(self) -> None:
        """Waits until a sound request is served.

        Raises:
            TimeoutError: If none is in time.
        """
        deadline = get_running_loop().time() + START_S
        while get_running_loop().time() < deadline:
            with suppress(ConnectFailed, ExchangeFailed, TimeoutError):
                if (await self.ask(deadline)).status == 200:
                    return
            await sleep(0.1)
        raise TimeoutError('no sound request was served')

    async def ask(self, until: float) -> Response:
        """Sends a sound request and returns its response.

        Args:
            until: Loop time of its deadline.
        """
        assert self.settings is not None
        address = self.settings.callers_listen
        number = next(self.numbers)
        headers = caller_headers(HOST_HEADER, number, DEADLINE_S)
        request = Request(b'GET', SOUND_ROUTE.encode() + b'1', headers, b'')
        now = get_running_loop().time()
        connection = self.pool.acquire(address, now)
        if connection is None:
            connection = await open_connection(address, until - now)
        response = await connection.exchange(request, until=until)
        self.pool.release(address, connection)
        return response

    async def send(self, number: int) -> str:
        """Sends a sound request and returns its outcome."""
        until = get_running_loop().time() + DEADLINE_S
        try:
            response = await self.ask(until)
        except (ConnectFailed, ExchangeFailed, TimeoutError):
            return 'lost'
        if response.status != 200:
            return str(response.status)
        large = len(response.body) >= LARGE_BYTES
        return 'large' if large else 'answered'

    async def measure(self) -> Recorder:
        """Offers sound requests."""
        seconds = self.context.seconds or SECONDS
        load = Load(self.per_second, seconds, self.context.seed)
        return await offer(load, self.send)

    def cpu_s(self) -> float:
        """Returns the processor seconds that the host has used."""
        return cpu_s([self.context.launcher.processes[self.name].pid])

    async def stop(self) -> None:
        """Ends everything."""
        processes = self.context.launcher.processes
        for name in (self.name, f'floods-{self.number}'):
            processes[name].kill()
            processes[name].wait()
        self.pool.close_all()
        for backend in self.backends:
            backend.stop()
        await self.store.stop()


def make_floods_configuration() -> dict[str, Any]:
    """Returns a configuration with a route for sound callers and floods."""
    configuration = make_configuration(
        1,
        make_route(SOUND_ROUTE, 'safe', host=HOST_HEADER, timeout_ms=1_000),
        make_route(
            FLOOD_ROUTE, 'unsafe', host=HOST_HEADER, Service=FLOOD_SERVICE
        ),
    )
    services = configuration['Services']
    services.append({**services[0], 'Name': FLOOD_SERVICE})
    return configuration


async def run_arm(
    context: Context, number: int, arm: str
) -> tuple[dict[str, float], Recorder]:
    """Returns the figures of one arm and its latencies."""
    scene = Scene(context, number, arm)
    try:
        await scene.start()
        before_s = scene.cpu_s()
        started_at = get_running_loop().time()
        recorder = await scene.measure()
        used_s = scene.cpu_s() - before_s
        cores = used_s / (get_running_loop().time() - started_at)
    finally:
        await scene.stop()
    served = recorder.share('answered') + recorder.share('large')
    figures = {
        'served_share': round(served, 4),
        'p50_ms': recorder.percentile_ms(50),
        'p99_ms': recorder.percentile_ms(99),
        'large_share': recorder.share('large'),
        'lost_share': recorder.share('lost'),
        'host_cores': round(cores, 2),
    }
    return figures, recorder


async def run(context: Context) -> Result:
    """Measures every arm in turn, each with the same arrivals."""
    arms = {}
    recorders = {}
    for number, arm in enumerate(ARMS):
        context.progress(number / len(ARMS), arm)
        arms[arm], recorders[arm] = await run_arm(context, number, arm)
    calm = arms[CALM]
    for arm, figures in arms.items():
        calm = figures if arm.startswith(CALM) else calm
        relative = figures['served_share'] / max(calm['served_share'], 0.001)
        figures['served_to_calm'] = round(relative, 4)
        p99 = figures['p99_ms'] / max(calm['p99_ms'], 0.001)
        figures['p99_to_calm'] = round(p99, 2)
    floods = [f for arm, f in arms.items() if not arm.startswith(CALM)]
    calm = arms[CALM]
    figures = {
        'calm_served_share': calm['served_share'],
        'calm_p99_ms': calm['p99_ms'],
        'least_served_to_calm': min(f['served_to_calm'] for f in floods),
        'most_p99_to_calm': max(f['p99_to_calm'] for f in floods),
        'deadline_s': DEADLINE_S,
        'per_second': PER_SECOND,
    }
    return Result(hosts=1, figures=figures, arms=arms, recorders=recorders)
