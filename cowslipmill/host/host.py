"""One host: builds its components, listens, reads the store and drains."""

from asyncio import BaseProtocol
from asyncio import get_running_loop
from asyncio import Server
from asyncio import sleep
from collections.abc import Callable
from logging import getLogger
from random import Random
from time import time_ns

from mode import Service
from prometheus_client import generate_latest

from cowslipmill.fleet.gossip import Gossip
from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import Member
from cowslipmill.fleet.rpc import Rpc
from cowslipmill.forwarding.crashtracker import CrashTracker
from cowslipmill.forwarding.directsender import DirectSender
from cowslipmill.forwarding.forwarder import Forwarder
from cowslipmill.forwarding.headercodec import HeaderCodec
from cowslipmill.forwarding.idlelimits import IdleLimits
from cowslipmill.forwarding.retrybudgets import RetryBudgets
from cowslipmill.forwarding.sender import Sender
from cowslipmill.host.callergate import ACCEPTS_PER_TURN
from cowslipmill.host.callergate import CallerGate
from cowslipmill.host.callergate import max_caller_connections
from cowslipmill.host.callergate import set_backlog
from cowslipmill.host.evacuationlog import log_evacuation
from cowslipmill.host.requestlog import RequestLog
from cowslipmill.host.requestlog import to_milliseconds
from cowslipmill.host.settings import Address
from cowslipmill.host.settings import HostSettings
from cowslipmill.http1.callerserver import CallerServer
from cowslipmill.http1.exchange import Exchange
from cowslipmill.http1.listenerstate import CallerLimits
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.pool import ConnectionPool
from cowslipmill.http1.serverconnection import Dialer
from cowslipmill.leasing.leasemanager import LeaseManager
from cowslipmill.leasing.prober import Prober
from cowslipmill.leasing.serverpauses import ServerPauses
from cowslipmill.memory.budgets import MEBIBYTE
from cowslipmill.memory.budgets import MemoryBudgets
from cowslipmill.paths.pathchecker import PathChecker
from cowslipmill.paths.serverpaths import ServerPaths
from cowslipmill.relays.relayclient import RelayClient
from cowslipmill.relays.relayserver import RelayServer
from cowslipmill.relays.runningchecks import RunningChecks
from cowslipmill.runtime.backgrounderrors import logged_errors
from cowslipmill.runtime.program import ListenError
from cowslipmill.view.configuration import Configuration
from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.events import EvacuationChanged
from cowslipmill.view.events import ServerRemoved
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.events import StoreUnavailable
from cowslipmill.view.reader import ReadResult
from cowslipmill.view.reader import StoreApi
from cowslipmill.view.reader import StoreReader
from cowslipmill.view.readschedule import ReadSchedule
from cowslipmill.view.view import View

LOG = getLogger(__name__)

BACKLOG = 1_024
# Interval of timeout checks; also the longest sleep before the read schedule
# is evaluated again.
HOUSEKEEPING_INTERVAL_S = 0.25
# Limits of caller connections until a configuration is known. The readiness
# and metrics listeners keep them.
INITIAL_LIMITS = CallerLimits(16_384, 1_048_576, 3.0, 15.0)
# Time after which no caller is sent to a host that is not ready: the platform
# notices it within two readiness checks.
READINESS_NOTICE_S = 2.5
# Fractions of `stop_s` after which a stopping host answers the requests that
# are still open, takes no more, and waits no more for callers to take their
# answers. A server may be at work until five sixths. The rest is for the exit
# of the process, which takes 0.08 s of CPU time on hosts that have less than
# half a CPU.
ANSWER_FRACTION = 0.85
INPUT_END_FRACTION = 0.875
END_FRACTION = 0.95
# Turns of the event loop in which a host that stops reads on, 64 KiB each.
MAX_READ_TURNS = 32
DRAIN_POLL_INTERVAL_S = 0.05
ANSWER_POLL_INTERVAL_S = 0.01
# Time that a starting host waits for the view of another host before it reads
# the store itself: at least so long, longer for each host that precedes it in
# the order of readers, and at most until it would serve. If all start at once,
# few read.
MIN_PEER_VIEW_WAIT_S = 0.15
PEER_VIEW_WAIT_PER_RANK_S = 0.1
MAX_PEER_VIEW_WAIT_S = 0.45
# Range of that time when all hosts start for the first time. Callers arrive
# only seconds later then, and different times let most hosts learn the view
# from the few that read the store first.
FIRST_START_WAIT_RANGE_S = (0.2, 2.0)
PEER_VIEW_POLL_INTERVAL_S = 0.01


class Host(Service):
    """A host process with all its components.

    Attributes:
        settings: The settings of this process.
        metrics_port: Port of the metrics endpoint; 0 for none.
        stopping: Whether the host has begun to stop and is not ready any more.
        clock: Returns the event loop's monotonic seconds.
        memory: What the work of each kind may hold.
        view: The configuration and the servers in force.
        store_reader: Reads changes from the store into the view.
        read_schedule: Decides when this host reads the store.
        member_list: The hosts known, this one among them.
        rpc: Calls between hosts.
        gossip: Exchanges hosts and views with other hosts.
        paths: What this host believes of its paths to servers.
        pool: Idle connections to servers.
        path_checker: Checks the paths to servers.
        prober: Probes servers for their load.
        lease_manager: Grants leases for the services that this host
            coordinates and requests those for others.
        relay_server: Sends requests of other hosts to servers.
        sender: Sends requests to servers.
        forwarder: Handles the requests of callers.
        callers: The connections from callers.
        listeners: The open listeners.
        internal_servers: Connections for readiness checks and metrics.
    """

    def __init__(
        self,
        settings: HostSettings,
        store: StoreApi,
        header_codec: HeaderCodec,
        *,
        deployment: str,
        metrics_port: int,
    ) -> None:
        """Builds the components; `on_start` starts them.

        Args:
            settings: The settings of this process.
            store: Builds and parses the calls to the platform's store.
            header_codec: Reads and writes the platform's headers.
            deployment: Name of the deployment; hosts of others are refused.
            metrics_port: Port of the metrics endpoint; 0 for none.
        """
        super().__init__()
        self.settings = settings
        self.metrics_port = metrics_port
        self.stopping = False
        clock: Callable[[], float] = get_running_loop().time
        self.clock = clock
        random = Random()
        self.random = random
        self.memory = MemoryBudgets(int(settings.memory_mb * MEBIBYTE))
        self.view = View(leaving_s=settings.leaving_s)
        self.store_reader = StoreReader(
            settings.store, store, self.view, clock, self.memory.servers
        )
        self.read_schedule = ReadSchedule()
        own_member = Member(
            settings.name,
            settings.failure_domain,
            settings.peer_address or settings.peer_listen,
            time_ns() // 1_000_000,
            settings.processor,
        )
        self.member_list = MemberList(own_member)
        self.rpc = Rpc(settings, deployment, random, self.memory.hosts)
        self.gossip = Gossip(
            self.member_list,
            self.view,
            self.rpc,
            settings.seeds,
            self.on_view_events,
            self.on_store_reader,
            clock,
            random,
        )
        self.paths = ServerPaths(self.on_path_lost)
        self.pool = ConnectionPool()
        self.path_checker = PathChecker(
            self.paths,
            self.view,
            Dialer(settings.server_source_ip, self.memory.servers),
            self.pool,
            header_codec,
            clock,
            random,
            ServerPauses(),
            self.gossip.report_server_leaving,
        )
        self.prober = Prober(
            self.path_checker.dialer,
            self.paths,
            header_codec,
            clock,
            self.gossip.report_server_leaving,
            self.path_checker.pauses,
        )
        self.lease_manager = LeaseManager(
            self.view,
            self.member_list,
            self.rpc,
            self.prober,
            self.path_checker,
            clock,
            random,
        )
        idle_limits = IdleLimits(self.gossip, self.rpc, clock)
        running_checks = RunningChecks(
            self.prober,
            self.view,
            self.member_list,
            self.rpc,
            clock,
            random,
        )
        crash_tracker = CrashTracker(
            self.gossip, self.rpc, running_checks, clock
        )
        direct_sender = DirectSender(
            self.view,
            self.lease_manager,
            self.path_checker,
            idle_limits,
            header_codec,
            clock,
            self.gossip.report_server_leaving,
        )
        self.relay_server = RelayServer(
            direct_sender, self.rpc, clock, self.memory.callers
        )
        self.sender = Sender(
            self.lease_manager,
            direct_sender,
            RelayClient(
                self.member_list,
                self.rpc,
                self.lease_manager.rate_limits,
                direct_sender.is_evacuated,
                clock,
                random,
                self.memory.servers,
            ),
            crash_tracker,
            clock,
        )
        self.forwarder = Forwarder(
            self.view,
            self.lease_manager,
            self.sender,
            crash_tracker,
            header_codec,
            RequestLog(clock),
            RetryBudgets(settings.retry_share, settings.retry_reserve),
            clock,
            random,
        )
        self.callers = CallerServer(
            self.forwarder.handle,
            INITIAL_LIMITS,
            clock,
            self.memory.callers,
            may_overlap=self.forwarder.may_overlap,
            request_id_header=header_codec.request_id_header,
        )
        self.listeners: list[Server] = []
        self.internal_servers: list[CallerServer] = []

    async def on_start(self) -> None:
        """Starts the listeners, the calls between hosts and the gossip.

        Raises:
            ListenError: If an address of the settings cannot be listened on.
        """
        settings = self.settings
        await self.add_runtime_dependency(self.rpc)
        await self.listen('callers_listen', settings.callers_listen)
        await self.listen('readiness_listen', settings.readiness_listen)
        if self.metrics_port:
            ip_address = settings.callers_listen[0]
            await self.listen('metrics', (ip_address, self.metrics_port))
        await self.add_runtime_dependency(self.gossip)
        LOG.info(
            'started',
            extra={
                'failure_domain': settings.failure_domain,
                'seeds': [f'{host}:{port}' for host, port in settings.seeds],
                'first_start': settings.first_start,
            },
        )

    async def on_stop(self) -> None:
        """Closes the listeners."""
        for listener in self.listeners:
            listener.close()

    async def listen(self, field: str, address: Address) -> None:
        """Listens on one address.

        Args:
            field: What listens: `callers_listen`, `readiness_listen` or
                `metrics`.
            address: IP address and port.

        Raises:
            ListenError: If the address cannot be listened on.
        """
        servers: dict[str, Callable[[], BaseProtocol]] = {
            'callers_listen': CallerGate(
                self.callers, max_caller_connections()
            ),
            'readiness_listen': self.make_internal_server(
                self.handle_readiness
            ),
            'metrics': self.make_internal_server(self.handle_metrics),
        }
        loop = get_running_loop()
        try:
            listener = await loop.create_server(
                servers[field], *address, backlog=ACCEPTS_PER_TURN
            )
            set_backlog(listener, BACKLOG)
        except OSError as error:
            text = f'{address[0]}:{address[1]}'
            raise ListenError(field, text, error) from error
        self.listeners.append(listener)

    def make_internal_server(
        self,
        handler: Callable[[Request, Exchange], Response],
    ) -> CallerServer:
        """Returns a protocol factory for readiness checks or metrics.

        Args:
            handler: Returns the response to a request.
        """

        async def handle(request: Request, exchange: Exchange) -> Response:
            """Calls the handler, which does not wait for anything."""
            return handler(request, exchange)

        server = CallerServer(
            handle, INITIAL_LIMITS, self.clock, self.memory.callers
        )
        self.internal_servers.append(server)
        return server

    @property
    def ready(self) -> bool:
        """Whether this host accepts callers, as its readiness check says."""
        caught_up = self.gossip.caught_up
        return self.view.usable and caught_up and not self.stopping

    def handle_readiness(
        self, request: Request, exchange: Exchange
    ) -> Response:
        """Handles a readiness check: status 200 if ready, else 503."""
        return Response(200 if self.ready else 503, [], b'')

    def handle_metrics(self, request: Request, exchange: Exchange) -> Response:
        """Handles a scrape: returns all metrics in Prometheus' text format."""
        self.memory.update_metrics()
        self.lease_manager.update_metrics()
        headers = [(b'content-type', b'text/plain; version=0.0.4')]
        return Response(200, headers, generate_latest())

    @Service.task
    async def poll_store(self) -> None:
        """Reads the store whenever the read schedule says so.

        What was read is applied to this host's view and broadcast.
        """
        await self.await_peer_view()
        while not self.should_stop:
            now = self.clock()
            next_read_at = self.read_schedule.next_read_at(
                self.view.complete_at, self.reader_rank()
            )
            if now < next_read_at:
                await sleep(min(next_read_at - now, HOUSEKEEPING_INTERVAL_S))
                continue
            self.read_schedule.start_read()
            read_result: ReadResult | StoreUnavailable
            read_result = StoreUnavailable('internal error')
            with logged_errors('store read'):
                read_result = await self.store_reader.read()
            failed = isinstance(read_result, StoreUnavailable)
            self.read_schedule.record_result(failed=failed, now=self.clock())
            if not isinstance(read_result, StoreUnavailable):
                with logged_errors('store update'):
                    self.on_view_events(read_result.applied, 'store')
                    self.gossip.publish(read_result)

    async def await_peer_view(self) -> None:
        """Waits a limited time for the view of another host.

        If one arrives, this host leaves reading the store to others.
        """
        started_at = self.clock()
        first_start_wait_s = 0.0
        if self.settings.first_start:
            first_start_wait_s = self.random.uniform(*FIRST_START_WAIT_RANGE_S)
        while not self.view.revision:
            wait_s = first_start_wait_s or self.peer_view_wait_s()
            if self.clock() - started_at >= wait_s:
                return
            if not self.settings.first_start and self.reads_early:
                return
            await sleep(PEER_VIEW_POLL_INTERVAL_S)
        self.read_schedule.stand_by()

    @property
    def reads_early(self) -> bool:
        """Whether this host reads the store at once, as no host has a view.

        The first in the order of readers does, as after a loss of power; its
        update has the others ask for its view.
        """
        if not self.gossip.is_view_unknown:
            return False
        return self.reader_rank() == 0

    def peer_view_wait_s(self) -> float:
        """Returns how long to wait for the view of another host, in seconds.

        It depends on the hosts known so far.
        """
        wait_s = self.reader_rank() * PEER_VIEW_WAIT_PER_RANK_S
        return min(MAX_PEER_VIEW_WAIT_S, MIN_PEER_VIEW_WAIT_S + wait_s)

    def reader_rank(self, name: str = '') -> int:
        """Returns how many hosts precede one in the order of store readers.

        Args:
            name: The host's name; this host if empty.

        Returns:
            The number of hosts before it; the length of the order if the host
            is not part of it.
        """
        name = name or self.settings.name
        ranked = self.member_list.ranked_members(
            'store', '', self.clock(), by_capacity=True
        )
        for index, member in enumerate(ranked):
            if member.name == name:
                return index
        return len(ranked)

    def on_store_reader(self, name: str) -> None:
        """Stands by if a host that ranks before this one has read the store.

        Args:
            name: Name of the host that has read the store.
        """
        self.read_schedule.defer_to(self.reader_rank(name), self.reader_rank())

    @Service.task
    async def run_housekeeping(self) -> None:
        """Enforces timeouts of connections and drops missing servers."""
        while not self.should_stop:
            await sleep(HOUSEKEEPING_INTERVAL_S)
            with logged_errors('housekeeping'):
                self.clean_up(self.clock())

    def clean_up(self, now: float) -> None:
        """Enforces timeouts and drops missing servers.

        Args:
            now: Monotonic seconds.
        """
        for server in (self.callers, *self.internal_servers):
            server.enforce_timeouts(now)
        self.pool.close_expired(now)
        self.paths.retain(
            {known.record.address for known in self.view.servers.values()}
        )
        self.lease_manager.pauses.drop_ended(now)
        for name in self.view.drop_missing(now):
            LOG.info('server gone', extra={'server': name})

    def on_view_events(self, events: list[StoreEvent], source: str) -> None:
        """Logs changes of the view and applies them to open connections.

        Args:
            events: The changes that were applied to the view.
            source: Where they came from: `store`, `host` for a snapshot of
                another host, or the name of the host that broadcast them.
        """
        for event in events:
            if isinstance(event, ConfigurationUpdated):
                self.apply_caller_limits(event.configuration)
                LOG.info(
                    'configuration',
                    extra={
                        'version': event.configuration.version,
                        'source': source,
                        'revision': self.view.revision,
                    },
                )
            elif isinstance(event, ServerUpdated):
                record = event.record
                LOG.info(
                    'server',
                    extra={
                        'server': record.name,
                        'service': record.service,
                        'leaving': record.leaving,
                        'started_ms': record.started_ms,
                        'revision': event.revision,
                        'source': source,
                    },
                )
                if record.leaving:
                    self.pool.close_idle(record.address)
            elif isinstance(event, EvacuationChanged):
                self.apply_evacuation(event, source)
            elif isinstance(event, ServerRemoved):
                LOG.info(
                    'server entry removed',
                    extra={
                        'server': event.name,
                        'revision': event.revision,
                        'source': source,
                    },
                )

    def apply_evacuation(self, event: EvacuationChanged, source: str) -> None:
        """Logs an evacuation; has queued requests leave the failure domain.

        Closes idle connections to its servers, which may be switched off.

        Args:
            event: The change.
            source: Where it came from.
        """
        log_evacuation(event, source, len(self.view.evacuations.active))
        if not event.active:
            return
        self.lease_manager.refuse_queued(event.failure_domain)
        for known in self.view.servers.values():
            if known.record.failure_domain == event.failure_domain:
                self.pool.close_idle(known.record.address)

    def on_path_lost(self, address: Address | None) -> None:
        """Closes idle connections that may not deliver data any more.

        Checks whether other servers can't be reached either.

        Args:
            address: Address of a server; None for all servers.
        """
        if address is None:
            self.pool.close_all()
        else:
            self.pool.close_idle(address)
            self.path_checker.request_further_checks()

    def apply_caller_limits(self, configuration: Configuration) -> None:
        """Sets the limits of caller connections.

        The idle timeout never decreases, since callers may rely on an earlier,
        longer one.
        """
        limits = configuration.limits
        idle_s = max(limits.idle_s, self.callers.limits.idle_s)
        self.callers.limits = CallerLimits(
            limits.header_bytes, limits.body_bytes, limits.header_s, idle_s
        )

    async def read_arrived(self) -> None:
        """Reads the rest of requests that are whole in the system's buffers.

        They are refused then; a late event loop has not come to read them.
        """
        for _ in range(MAX_READ_TURNS):
            if not self.callers.busy:
                return
            await sleep(0)

    async def drain(self, signalled_at: float | None = None) -> None:
        """Drains the host: stops without interrupting a request.

        Callers still connect until the platform has noticed that this host is
        not ready, so it goes on serving for at least that long. A request that
        is still being handled when the time to stop runs out is answered:
        refused if it has reached no server, else as unknown. Only then does
        the host end, or shortly before the platform would kill it.

        Args:
            signalled_at: When the platform asked for the stop, in monotonic
                seconds; None for now.
        """
        self.stopping = True
        self.relay_server.stopping = True
        self.callers.closing = True
        handled_at = self.clock()
        started_at = handled_at if signalled_at is None else signalled_at
        LOG.info(
            'stopping',
            extra={
                'open': len(self.callers.connections),
                'late_ms': to_milliseconds(handled_at - started_at),
            },
        )
        self.gossip.announce_leaving()
        stop_s = self.settings.stop_s
        self.forwarder.stop(started_at + ANSWER_FRACTION * stop_s)
        while self.clock() < started_at + INPUT_END_FRACTION * stop_s:
            await sleep(DRAIN_POLL_INTERVAL_S)
            now = self.clock()
            readiness_noticed = now - handled_at > READINESS_NOTICE_S
            busy = self.callers.busy or self.relay_server.is_busy(now)
            if readiness_noticed and not busy:
                break
        await self.read_arrived()
        for listener in self.listeners:
            listener.close()
        self.callers.end()
        while self.callers.owes_answers:
            # What still has no answer has been given up and gets one now,
            # however late; a caller may take an answer for longer.
            time_is_up = self.clock() >= started_at + END_FRACTION * stop_s
            if time_is_up and not self.forwarder.in_progress:
                break
            await sleep(ANSWER_POLL_INTERVAL_S)
        self.rpc.abort()
        LOG.info(
            'stopped',
            extra={
                'busy': self.callers.owes_answers,
                'requests': self.forwarder.in_progress,
                'took_ms': to_milliseconds(self.clock() - started_at),
            },
        )
