"""One host: its listeners, its view, its homes, and how it stops."""

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
from cowslipmill.forwarding.forwarder import Forwarder
from cowslipmill.forwarding.headercodec import HeaderCodec
from cowslipmill.forwarding.idlelimits import IdleLimits
from cowslipmill.forwarding.retrybudgets import RetryBudgets
from cowslipmill.forwarding.sender import Sender
from cowslipmill.host.requestlog import RequestLog
from cowslipmill.host.settings import Address
from cowslipmill.host.settings import HostSettings
from cowslipmill.http1.callerconnection import CallerConnection
from cowslipmill.http1.callerconnection import CallerLimits
from cowslipmill.http1.callerconnection import CallerServer
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.leasing.leasemanager import LeaseManager
from cowslipmill.leasing.prober import Prober
from cowslipmill.runtime.program import ListenError
from cowslipmill.view.configuration import Configuration
from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.events import ServerRemoved
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.events import StoreUnavailable
from cowslipmill.view.reader import StoreApi
from cowslipmill.view.reader import StoreReader
from cowslipmill.view.readschedule import ReadSchedule
from cowslipmill.view.view import View

LOG = getLogger(__name__)

BACKLOG = 1_024
SWEEP_INTERVAL_S = 0.25
# Bounds in force until a configuration is known.
FIRST_LIMITS = CallerLimits(16_384, 1_048_576, 3.0, 15.0)
# The platform stops sending callers two readiness checks after a stop.
NOTICE_S = 2.5
# Part of the time to stop that is left for the exit, 0.08 s of processor on
# hosts that have less than half of one.
EXIT_SHARE = 0.125
DRAIN_CHECK_S = 0.05
# Time in which a host that starts learns from others before it reads the
# store itself: a call to a seed takes a few milliseconds. When every host
# starts for the first time there are seconds until callers come, so that few
# of them have to read.
OTHERS_FIRST_S = 0.05
FIRST_START_S = (0.2, 2.0)
OTHERS_CHECK_S = 0.01


class Host(Service):
    """The whole process of one host.

    Attributes:
        settings: What it was told at its start.
        view: The configuration and the servers.
        stopping: Whether it was asked to stop.
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
        """Makes the parts; nothing starts yet."""
        super().__init__()
        self.settings = settings
        self.metrics_port = metrics_port
        self.stopping = False
        clock: Callable[[], float] = get_running_loop().time
        self.clock = clock
        random = Random()
        self.random = random
        self.view = View(leaving_s=settings.leaving_s)
        self.reader = StoreReader(settings.store, store, self.view, clock)
        self.read_schedule = ReadSchedule()
        own = Member(
            settings.name,
            settings.failure_domain,
            settings.peer_address or settings.peer_listen,
            time_ns() // 1_000_000,
        )
        self.member_list = MemberList(own)
        self.rpc = Rpc(settings, deployment, random)
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
        self.prober = Prober(header_codec, clock)
        self.lease_manager = LeaseManager(
            self.view, self.member_list, self.rpc, self.prober, clock, random
        )
        idle_limits = IdleLimits(self.gossip, self.rpc, clock)
        self.sender = Sender(
            self.view, self.lease_manager, idle_limits, header_codec, clock
        )
        self.forwarder = Forwarder(
            self.view,
            self.lease_manager,
            self.sender,
            CrashTracker(self.gossip, self.rpc, clock),
            header_codec,
            RequestLog(clock),
            RetryBudgets(settings.retry_share, settings.retry_reserve),
            clock,
            random,
        )
        self.callers = CallerServer(self.forwarder.handle, FIRST_LIMITS, clock)
        self.listeners: list[Server] = []

    async def on_start(self) -> None:
        """Listens, reads the store and starts its part in the fleet."""
        settings = self.settings
        await self.add_runtime_dependency(self.rpc)
        await self.listen('callers_listen', settings.callers_listen)
        await self.listen('readiness_listen', settings.readiness_listen)
        if self.metrics_port:
            number = settings.callers_listen[0]
            await self.listen('metrics', (number, self.metrics_port))
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
        """Stops listening."""
        for listener in self.listeners:
            listener.close()

    async def listen(self, field: str, address: Address) -> None:
        """Listens on one address.

        Raises:
            CannotListen: If the address is taken.
        """
        servers = {
            'callers_listen': self.callers,
            'readiness_listen': self.side_server(self.tell_readiness),
            'metrics': self.side_server(self.tell_metrics),
        }
        loop = get_running_loop()
        try:
            listener = await loop.create_server(
                servers[field], *address, backlog=BACKLOG
            )
        except OSError as error:
            text = f'{address[0]}:{address[1]}'
            raise ListenError(field, text, error) from error
        self.listeners.append(listener)

    def side_server(
        self,
        handler: Callable[[Request, CallerConnection], Response],
    ) -> CallerServer:
        """Returns a server for the platform's and operators' questions."""

        async def handle(
            request: Request, connection: CallerConnection
        ) -> Response:
            """Answers at once."""
            return handler(request, connection)

        return CallerServer(handle, FIRST_LIMITS, self.clock)

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return self.view.usable and not self.stopping

    def tell_readiness(
        self, request: Request, connection: CallerConnection
    ) -> Response:
        """Answers the platform's question for readiness."""
        return Response(200 if self.ready else 503, [], b'')

    def tell_metrics(
        self, request: Request, connection: CallerConnection
    ) -> Response:
        """Answers with all counters."""
        kind = [(b'content-type', b'text/plain; version=0.0.4')]
        return Response(200, kind, generate_latest())

    @Service.task
    async def follow_store(self) -> None:
        """Reads the store whenever it is this host's turn."""
        await self.learn_from_others()
        while not self.should_stop:
            now = self.clock()
            due_at = self.read_schedule.next_read_at(
                self.view.synced_at, self.read_rank()
            )
            if now < due_at:
                await sleep(min(due_at - now, SWEEP_INTERVAL_S))
                continue
            self.read_schedule.start_read()
            reading = await self.reader.read()
            failed = isinstance(reading, StoreUnavailable)
            self.read_schedule.record_result(failed=failed, now=self.clock())
            if not isinstance(reading, StoreUnavailable):
                self.on_view_events(reading.applied, 'store')
                self.gossip.publish(reading)

    async def learn_from_others(self) -> None:
        """Waits a little for another host's view."""
        wait_s = OTHERS_FIRST_S
        if self.settings.first_start:
            wait_s = self.random.uniform(*FIRST_START_S)
        until = self.clock() + wait_s
        while not self.view.revision and self.clock() < until:
            await sleep(OTHERS_CHECK_S)
        if self.view.revision:
            self.read_schedule.stand_by()

    def read_rank(self, name: str = '') -> int:
        """Returns how many hosts read the store before one; else this."""
        name = name or self.settings.name
        order = self.member_list.ranked_members('store', '', self.clock())
        for index, member in enumerate(order):
            if member.name == name:
                return index
        return len(order)

    def on_store_reader(self, name: str) -> None:
        """Takes in that another host reads the store."""
        self.read_schedule.defer_to(self.read_rank(name), self.read_rank())

    @Service.task
    async def sweep(self) -> None:
        """Ends what was idle or has lapsed for too long."""
        while not self.should_stop:
            await sleep(SWEEP_INTERVAL_S)
            now = self.clock()
            self.callers.enforce_timeouts(now)
            self.sender.pool.close_expired(now)
            for name in self.view.drop_missing(now):
                LOG.info('server gone', extra={'server': name})

    def on_view_events(self, events: list[StoreEvent], source: str) -> None:
        """Logs what changed, and applies what concerns the listeners."""
        for event in events:
            if isinstance(event, ConfigurationUpdated):
                self.apply(event.configuration)
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
                    self.sender.pool.close_idle(record.address)
            elif isinstance(event, ServerRemoved):
                LOG.info(
                    'server entry removed',
                    extra={
                        'server': event.name,
                        'revision': event.revision,
                        'source': source,
                    },
                )

    def apply(self, configuration: Configuration) -> None:
        """Sets the bounds of what callers may send.

        Callers that know an earlier idle time keep to it, so it only grows.
        """
        limits = configuration.limits
        idle_s = max(limits.idle_s, self.callers.limits.idle_s)
        self.callers.limits = CallerLimits(
            limits.header_bytes, limits.body_bytes, limits.header_s, idle_s
        )

    async def drain(self) -> None:
        """Stops without cutting a request.

        Callers still come until the platform has noticed that this host is
        not ready, so it goes on serving for that long.
        """
        self.stopping = True
        self.callers.closing = True
        started_at = self.clock()
        LOG.info('stopping', extra={'open': len(self.callers.connections)})
        self.gossip.announce_leaving()
        end_at = started_at + (1.0 - EXIT_SHARE) * self.settings.stop_s
        self.forwarder.stop_at = end_at
        while self.clock() < end_at:
            await sleep(DRAIN_CHECK_S)
            noticed = self.clock() - started_at > NOTICE_S
            if noticed and not self.callers.busy:
                break
        for listener in self.listeners:
            listener.close()
        self.callers.close_idle()
        self.rpc.abort()
        LOG.info('stopped', extra={'busy': self.callers.busy})
