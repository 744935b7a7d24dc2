"""Real host processes between stand-ins, and the faults done to them."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import Task
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from signal import SIGCONT
from signal import SIGHUP
from signal import SIGKILL
from signal import SIGSTOP
from signal import SIGTERM
from typing import Any

from msgspec.structs import replace

from cowslipmill.host.settings import HostSettings
from cowslipmill.http1.message import Request
from cowslipmill.http1.serverconnection import ConnectFailed
from cowslipmill.http1.serverconnection import ExchangeFailed
from cowslipmill.http1.serverconnection import open_connection
from cowslipmill.http1.serverconnection import ServerConnection
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.network import Network
from cowslipmill.platform.headers import DEADLINE
from cowslipmill.platform.headers import REQUEST_ID
from cowslipmill.platform.headers import SIGNATURE
from cowslipmill.platform.storeapi import CONFIGURATION_KEY
from cowslipmill.runtime.address import split_address
from cowslipmill.soak.ledger import Ask
from cowslipmill.soak.ledger import CALLERS
from cowslipmill.soak.ledger import CONTACT_OF
from cowslipmill.soak.ledger import CRASHER
from cowslipmill.soak.ledger import CROSSING_S
from cowslipmill.soak.ledger import Evacuated
from cowslipmill.soak.ledger import Ledger
from cowslipmill.soak.ledger import process_of
from cowslipmill.soak.ledger import WARM_UP_PER_S
from cowslipmill.soak.plan import Fault
from cowslipmill.soak.plan import LinkCut
from cowslipmill.soak.plan import Restore
from cowslipmill.soak.plan import ServerNotice
from cowslipmill.soak.plan import Step
from cowslipmill.soak.proxy import Proxy
from cowslipmill.standin import backend as standin
from cowslipmill.standin.backend import StandinBackend
from cowslipmill.standin.published import make_configuration
from cowslipmill.standin.published import make_entry
from cowslipmill.standin.published import make_route
from cowslipmill.standin.store import StandinStore

DOMAINS = ('domain-a', 'domain-b')
CALLER_HOST = 'soak.example'
PATIENCE_MS = 1_500
TIMEOUT_MS = 1_000
RESTART_PAUSE_S = 0.3
# Time in which what was disturbed is as before.
SETTLE_S = 0.5
# Time from a server's word that it leaves to its entry that says so.
ENTRY_DELAY_S = 2.5
# Time in which servers and operators write again what a store has lost.
REWRITE_S = 1.0
STOP_S = 4.0
# Ports of a host: its listeners, then the proxies before it.
PORTS = (7101, 7102, 7103, 7104, 7105)
SERVER_PORT = 7200
LIMITS_PER_S = (1.0, 3.0, 8.0)
SERVER_FAULTS = (
    standin.Fault.EXTRA_LATE,
    standin.Fault.CUT,
    standin.Fault.NOISE,
    standin.Fault.RESET,
    standin.Fault.LOST,
    standin.Fault.ERROR,
    standin.Fault.SHED,
    standin.Fault.EARLY,
    standin.Fault.UNFRAMED,
)


class HostProcess:
    """One host's process and the proxies before it.

    Attributes:
        name: The host's name.
        settings: What it is told.
        peer: Proxy through which other hosts reach it.
        store: Proxy through which it reaches the store.
        stopping: Whether it was asked to stop.
        sources: Sources of the build that its next process runs; None for
            this one.
    """

    def __init__(
        self, settings: HostSettings, peer: Proxy, store: Proxy
    ) -> None:
        """Keeps the parts."""
        self.name = settings.name
        self.settings = settings
        self.peer = peer
        self.store = store
        self.stopping = False
        self.sources: Path | None = None


class World:
    """A deployment on this machine.

    Attributes:
        hosts: The hosts.
        backends: The servers, with those that left.
        network: Loopback addresses that no other run uses.
        links: Proxies before the servers, by server name.
        ledger: What callers saw.
        version: The last configuration published.
        evacuated_domain: The evacuated failure domain; empty for none.
        production: Sources of the build that hosts run at first; None for
            this one.
    """

    def __init__(
        self, launcher: Launcher, seed: int, production: Path | None = None
    ) -> None:
        """Starts nothing yet."""
        self.launcher = launcher
        self.production = production
        self.random = Random(seed)
        self.network = Network.for_this_process()
        self.store = StandinStore()
        self.hosts: list[HostProcess] = []
        self.backends: dict[str, StandinBackend] = {}
        self.links: dict[str, Proxy] = {}
        self.left: set[str] = set()
        self.ledger = Ledger()
        self.version = 0
        self.numbers = 0
        self.evacuated_domain = ''
        self.tasks: set[Task[None]] = set()
        self.ended = False

    async def start(self, host_count: int, server_count: int) -> None:
        """Starts the store, the servers and the hosts."""
        await self.store.start()
        self.configure()
        for _ in range(server_count):
            await self.add_server()
        for number in range(host_count):
            await self.add_host(number)

    def configure(self) -> None:
        """Publishes the next configuration."""
        self.version += 1
        self.publish_configuration()

    def publish_configuration(self) -> None:
        """Writes the configuration."""
        routes = [
            make_route(
                f'/{kind}/',
                kind,
                host=CALLER_HOST,
                timeout_ms=TIMEOUT_MS,
                Priority=priority,
            )
            for priority, kind in enumerate(('unsafe', 'safe'))
        ]
        configuration = make_configuration(
            self.version, *routes, warm_up_per_s=WARM_UP_PER_S
        )
        self.store.put(CONFIGURATION_KEY, configuration)

    async def add_server(self) -> None:
        """Starts a server behind a proxy and publishes its entry."""
        number = len(self.backends)
        backend = StandinBackend(f'server-{number}', slots=4)
        backend.crash_marker = CRASHER.decode()
        address = f'{self.network.server_prefix}.{number % 250 + 1}'
        backend.address = (address, SERVER_PORT)
        await backend.start()
        proxy = Proxy(backend.address)
        await proxy.start((address, SERVER_PORT + 1))
        self.backends[backend.name] = backend
        self.links[backend.name] = proxy
        self.publish(backend.name)

    def publish(self, name: str, state: str = 'ready') -> None:
        """Writes a server's entry."""
        number = list(self.backends).index(name)
        entry = make_entry(
            self.backends[name],
            self.links[name].address,
            DOMAINS[number % len(DOMAINS)],
            State=state,
        )
        self.store.put(f'servers/{name}', entry)

    async def add_host(self, number: int) -> None:
        """Starts a host behind its proxies."""
        at = [split_address(self.network.host(number, port)) for port in PORTS]
        listen, callers, readiness, peer_address, store_address = at
        peer = Proxy(listen)
        await peer.start(peer_address)
        store = Proxy(self.store.address)
        await store.start(store_address)
        seeds = tuple(host.peer.address for host in self.hosts[:3])
        settings = HostSettings(
            name=f'host-{number}',
            failure_domain=DOMAINS[number % len(DOMAINS)],
            callers_listen=callers,
            readiness_listen=readiness,
            peer_listen=listen,
            seeds=seeds,
            store=store.address,
            stop_s=STOP_S,
            retry_share=0.2,
            retry_reserve=64.0,
            leaving_s=2.0,
            peer_address=peer.address,
            server_source_ip=callers[0],
        )
        host = HostProcess(settings, peer, store)
        host.sources = self.production
        self.hosts.append(host)
        self.start_process(host)

    def start_process(self, host: HostProcess) -> None:
        """Starts a host's process, on the build that it is to run."""
        self.launcher.start(
            'host', host.name, host.settings, sources=host.sources
        )

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Does something beside the rest."""
        task = create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def keep_running(self) -> None:
        """Starts each host again that has ended, as the platform does."""
        while not self.ended:
            await sleep(RESTART_PAUSE_S)
            for host in self.hosts:
                if self.launcher.is_running(host.name):
                    continue
                status = self.launcher.wait(host.name)
                # A signal to stop may come before the program has begun.
                allowed = {0, -SIGKILL}
                if host.stopping:
                    allowed.add(-SIGTERM)
                if status not in allowed:
                    self.ledger.broken.append(
                        f'{host.name}: ended by itself with {status}'
                    )
                host.stopping = False
                # Any other host may be a seed of one that starts again.
                others = [h for h in self.hosts if h is not host]
                picked = self.random.sample(others, min(3, len(others)))
                seeds = tuple(other.peer.address for other in picked)
                host.settings = replace(host.settings, seeds=seeds)
                self.start_process(host)

    async def replace_builds(self, seconds: float) -> None:
        """Replaces all hosts by this build, and by the other one again.

        Args:
            seconds: Time that both take together.
        """
        pause_s = seconds / (2 * len(self.hosts))
        for sources in (None, self.production):
            for host in self.hosts:
                host.sources = sources
                step = Step(0.0, Fault.STOP_HOST, 0.0, 0)
                await self.do_to_host(step, host)
                await sleep(pause_s)

    async def do(self, step: Step) -> None:
        """Does one fault and ends it after its time."""
        host = self.hosts[step.target % len(self.hosts)]
        names = [name for name in self.backends if name not in self.left]
        name = names[step.target % len(names)]
        family = step.fault.value.partition('-')[2]
        if family in ('peer', 'store'):
            source = host.settings.server_source_ip
            self.excuse(CONTACT_OF + source, step.for_s)
        if family == 'host':
            await self.do_to_host(step, host)
        elif family == 'peer':
            await self.do_to_link(step, host.peer)
        elif step.fault in (
            Fault.CUT_STORE,
            Fault.SILENCE_STORE,
            Fault.DELAY_STORE,
        ):
            await self.do_to_link(step, host.store)
        elif family == 'server':
            await self.do_to_server(step, name)
        else:
            await self.do_to_store(step)

    async def cut_links(self, cut: LinkCut) -> None:
        """Cuts hosts off from all servers and ends that after its time."""
        sources = [
            self.hosts[number].settings.server_source_ip
            for number in cut.hosts
        ]
        for source in sources:
            self.excuse(source, cut.for_s)
        proxies = list(self.links.values())
        for proxy in proxies:
            for source in sources:
                proxy.cut_source(source, resets=cut.resets)
        await sleep(cut.for_s)
        for proxy in proxies:
            for source in sources:
                proxy.mend_source(source)

    def excuse(self, name: str, for_s: float) -> None:
        """Notes that a host or server is disturbed for some seconds."""
        now = get_running_loop().time()
        self.ledger.excuse(name, now, for_s + SETTLE_S)

    async def give_notice(self, notice: ServerNotice) -> None:
        """Has servers turn requests away for a time, or one say it leaves."""
        names = [name for name in self.backends if name not in self.left]
        if notice.servers:
            names = [names[n % len(names)] for n in notice.servers]
        if not notice.for_s:
            await self.drain_server(names[0], by_word=True)
            return
        ends_at = get_running_loop().time() + notice.for_s
        while (remaining_s := ends_at - get_running_loop().time()) > 0.0:
            for name in names:
                self.backends[name].pause = f'{remaining_s:.2f}'
            await sleep(min(0.1, remaining_s))
        for name in names:
            self.backends[name].pause = ''

    async def do_to_host(self, step: Step, host: HostProcess) -> None:
        """Signals a host's process."""
        if not self.launcher.is_running(host.name):
            return
        source = host.settings.server_source_ip
        if step.fault is Fault.PAUSE_HOST:
            self.excuse(source, step.for_s)
            self.excuse(process_of(source), step.for_s)
            self.launcher.send_signal(host.name, SIGSTOP)
            await sleep(step.for_s)
            if self.launcher.is_running(host.name):
                self.launcher.send_signal(host.name, SIGCONT)
            return
        numbers = {
            Fault.KILL_HOST: SIGKILL,
            Fault.STOP_HOST: SIGTERM,
            Fault.RELOAD_HOST: SIGHUP,
        }
        if step.fault is not Fault.RELOAD_HOST:
            self.excuse(source, STOP_S)
        if step.fault is Fault.KILL_HOST:
            self.excuse(process_of(source), 0.0)
        host.stopping = host.stopping or step.fault is Fault.STOP_HOST
        self.launcher.send_signal(host.name, numbers[step.fault])

    async def do_to_link(self, step: Step, proxy: Proxy) -> None:
        """Disturbs what a proxy carries."""
        kind = step.fault.value.partition('-')[0]
        if kind == 'reset':
            proxy.reset_all()
            return
        if kind == 'cut':
            proxy.deaf = True
        elif kind == 'silence':
            proxy.silent = True
        else:
            proxy.delay_s = 0.1
        await sleep(step.for_s)
        proxy.heal()
        if kind == 'silence':
            # Connections that were silent stay so for good.
            proxy.reset_all()

    async def do_to_server(self, step: Step, name: str) -> None:
        """Disturbs a server."""
        backend = self.backends[name]
        if step.fault not in (Fault.SLOW_SERVER, Fault.DRAIN_SERVER):
            self.excuse(name, step.for_s)
        if step.fault is Fault.SLOW_SERVER:
            backend.slowdown = 5.0
            await sleep(step.for_s)
            backend.slowdown = 1.0
        elif step.fault is Fault.FAULTY_SERVER:
            backend.fault = self.random.choice(SERVER_FAULTS)
            await sleep(step.for_s)
            backend.fault = standin.Fault.NONE
        elif step.fault is Fault.CRASH_SERVER:
            if not backend.serving:
                return
            backend.stop()
            await sleep(step.for_s)
            await backend.start_again()
        elif step.fault is Fault.DRAIN_SERVER:
            await self.drain_server(name)
        else:
            await self.do_to_link(step, self.links[name])

    async def drain_server(self, name: str, *, by_word: bool = False) -> None:
        """Has a server leave and another one come.

        Args:
            name: The server's name.
            by_word: Whether its answers say so long before its entry does.
        """
        if len(self.backends) - len(self.left) <= len(DOMAINS):
            return
        self.left.add(name)
        await self.add_server()
        if by_word:
            self.backends[name].says_leaving = True
            await sleep(ENTRY_DELAY_S)
        self.publish(name, 'draining')

    async def do_to_store(self, step: Step) -> None:
        """Disturbs the store or changes what it holds."""
        if step.fault is Fault.CONFIGURE:
            self.configure()
        elif step.fault is Fault.COMPACT_STORE:
            self.store.compact()
        elif step.fault is Fault.STORE_BUSY:
            self.store.busy = True
            await sleep(step.for_s)
            self.store.busy = False
        elif step.fault is Fault.LAPSE_ENTRIES:
            names = [n for n in self.backends if n not in self.left]
            self.store.busy = True
            for name in names:
                self.store.remove(f'servers/{name}')
            await sleep(step.for_s)
            self.store.busy = False
            await sleep(1.0)
            for name in names:
                if name not in self.left:
                    self.publish(name)

    async def evacuate(self, seed: int) -> None:
        """Evacuates a failure domain for a time, with every second seed."""
        random = Random(f'evacuations {seed}')
        if random.random() < 0.5:
            return
        await sleep(random.uniform(0.0, 1.0))
        self.evacuated_domain = random.choice(DOMAINS)
        self.publish_evacuation()
        await sleep(random.uniform(6.0, 9.0))
        self.evacuated_domain = ''
        self.publish_evacuation()

    def publish_evacuation(self) -> None:
        """Writes or removes the keys of evacuations."""
        now = get_running_loop().time()
        for span in self.ledger.evacuated:
            span.ended_at = min(span.ended_at, now)
        for number, domain in enumerate(DOMAINS):
            if domain != self.evacuated_domain:
                self.store.end_evacuation(domain)
                continue
            self.store.evacuate(domain)
            names = list(self.backends)[number :: len(DOMAINS)]
            self.ledger.evacuated.append(Evacuated(names, now))

    async def restore_store(self, restore: Restore) -> None:
        """Has the store come back from a copy; what it lost comes again."""
        await sleep(max(0.0, restore.at_s - restore.age_s))
        copy = self.store.copy()
        await sleep(min(restore.at_s, restore.age_s))
        for span in self.ledger.evacuated:
            span.ended_at = min(span.ended_at, get_running_loop().time())
        self.store.restore(copy)
        await sleep(self.random.uniform(0.1, REWRITE_S))
        self.publish_configuration()
        for name in self.backends:
            self.publish(name, 'draining' if name in self.left else 'ready')
        if self.ledger.evacuated:
            self.publish_evacuation()

    async def call(self, number: int) -> None:
        """Is one caller who keeps its connection while it lasts."""
        loop = get_running_loop()
        random = Random(number)
        connection: ServerConnection | None = None
        while not self.ended:
            await sleep(random.uniform(0.01, 0.06))
            idempotent = random.random() < 0.5
            self.numbers += 1
            ask = Ask(f'q{self.numbers}', idempotent, loop.time())
            self.ledger.asks[ask.request_id] = ask
            try:
                if connection is None or not connection.usable:
                    host = random.choice(self.hosts)
                    connection = await open_connection(
                        host.settings.callers_listen, 0.5
                    )
                ask.host = host.settings.server_source_ip
                ask.sent_at = loop.time()
                until = ask.sent_at + PATIENCE_MS / 1000
                answer = await connection.exchange(
                    request_of(ask), until=until
                )
            except (ConnectFailed, ExchangeFailed, TimeoutError) as error:
                if isinstance(error, ExchangeFailed):
                    ask.cut_at = loop.time()
                connection = None
                continue
            ask.status = answer.status
            ask.body = bytes(answer.body)
            ask.server = answer.header(SIGNATURE)

    async def note_lateness(self) -> None:
        """Excuses what callers see late as this process itself is late."""
        loop = get_running_loop()
        while not self.ended:
            began_at = loop.time()
            await sleep(CROSSING_S / 4)
            if loop.time() > began_at + CROSSING_S / 2:
                self.ledger.excuse(CALLERS, began_at, loop.time() - began_at)

    def limit_server(self, seed: int) -> None:
        """Has a server name a rate limit from now on."""
        names = list(self.backends)
        name = names[seed % len(names)]
        per_s = LIMITS_PER_S[seed % len(LIMITS_PER_S)]
        self.backends[name].limit_per_s = per_s
        since = get_running_loop().time()
        self.ledger.limits[name] = (per_s, since)

    async def crash_servers(self, seed: int) -> None:
        """Sends a request that crashes servers again and again."""
        loop = get_running_loop()
        random = Random(seed)
        while not self.ended:
            await sleep(random.uniform(0.1, 0.6))
            self.numbers += 1
            ask = Ask(f'q{self.numbers}', False, loop.time())
            self.ledger.asks[ask.request_id] = ask
            host = random.choice(self.hosts)
            try:
                connection = await open_connection(
                    host.settings.callers_listen, 0.5
                )
                answer = await connection.exchange(
                    request_of(ask, CRASHER),
                    until=loop.time() + PATIENCE_MS / 1000,
                )
            except (ConnectFailed, ExchangeFailed, TimeoutError):
                continue
            connection.close()
            ask.status = answer.status
            ask.body = bytes(answer.body)
            ask.server = answer.header(SIGNATURE)

    async def stop(self) -> None:
        """Stops everything that was started here."""
        self.ended = True
        for task in list(self.tasks):
            task.cancel()
            try:
                await task
            except CancelledError:
                continue
        self.launcher.stop_all()
        for host in self.hosts:
            host.peer.stop()
            host.store.stop()
        for name, backend in self.backends.items():
            self.links[name].stop()
            backend.stop()
        await self.store.stop()


def request_of(ask: Ask, content: bytes = b'') -> Request:
    """Returns the request of an attempt.

    Args:
        ask: The attempt.
        content: Path and body; empty for ones of its own.
    """
    kind = 'safe' if ask.idempotent else 'unsafe'
    method = b'GET' if ask.idempotent else b'POST'
    headers = [
        (b'host', CALLER_HOST.encode()),
        (REQUEST_ID, ask.request_id.encode()),
        (DEADLINE, b'%d' % PATIENCE_MS),
    ]
    content = content or ask.request_id.encode()
    body = b'' if ask.idempotent else content
    target = f'/{kind}/'.encode() + content
    return Request(method, target, headers, body)
