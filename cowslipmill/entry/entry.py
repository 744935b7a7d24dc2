"""The service of one entry process: wiring, start and graceful stop."""

from asyncio import get_running_loop
from asyncio import sleep
from asyncio import to_thread
from random import Random
from time import time_ns

from mode import Service

from cowslipmill.agent.messages import Hello
from cowslipmill.coordination.messages import LEASE_MESSAGES
from cowslipmill.entry.choosers import build_chooser
from cowslipmill.entry.crashreporter import CrashReporter
from cowslipmill.entry.dispatcher import Dispatcher
from cowslipmill.entry.feedclient import FeedClient
from cowslipmill.entry.leavenotifier import LEAVE_MESSAGES
from cowslipmill.entry.leavenotifier import LeaveNotifier
from cowslipmill.entry.listener import Listener
from cowslipmill.entry.peering import Peering
from cowslipmill.entry.requestguard import RequestGuard
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.entry.upstream import open_session
from cowslipmill.entry.upstream import Upstream
from cowslipmill.hosts.member import Member
from cowslipmill.idempotency.messages import OWNER_MESSAGES
from cowslipmill.settings.settings import EntrySettings
from cowslipmill.suspects.messages import SUSPECT_MESSAGES
from cowslipmill.telemetry.admin import AdminServer
from cowslipmill.telemetry.traces import Traces

PEER_MESSAGES = (
    *LEASE_MESSAGES,
    *LEAVE_MESSAGES,
    *OWNER_MESSAGES,
    *SUSPECT_MESSAGES,
)
REFRESH_INTERVAL_S = 0.02
# Longest pause between two comparisons of suspect requests with another entry.
COMPARE_INTERVAL_S = 1.0


class Entry(Service):
    """Accepts requests of callers and forwards each to a backend server.

    Attributes:
        settings: Settings of this process.
        routing_state: Routes, servers and budgets in use.
        stopping: Whether the readiness check fails because of a stop.
    """

    def __init__(self, settings: EntrySettings, random: Random) -> None:
        """Creates the entry; `on_start` starts its services."""
        super().__init__()
        self.settings = settings
        self.random = random
        self.incarnation = time_ns() // 1_000_000
        self.routing_state = RoutingState(
            Member(
                name=settings.name,
                host=settings.host,
                failure_domain=settings.failure_domain,
                incarnation=self.incarnation,
                peer_address=settings.peer_listen,
            )
        )
        self.traces = Traces.from_settings(
            'cowslipmill-entry', settings.name, settings.traces
        )
        self.stopping = False
        self.listener: Listener | None = None
        self.crash_reporter: CrashReporter | None = None

    async def on_start(self) -> None:
        """Starts the services; the listener for callers comes last."""
        settings = self.settings
        clock = get_running_loop().time
        session = await self.add_async_context(open_session())
        peering = Peering(settings, PEER_MESSAGES, self.random)
        chooser = build_chooser(
            settings, self.routing_state, peering, session, clock, self.random
        )
        self.routing_state.on_refresh.append(chooser.refresh)
        dispatcher = Dispatcher(
            self.routing_state,
            Upstream(session),
            chooser,
            clock,
            traces=self.traces,
        )
        request_guard = RequestGuard(
            settings,
            self.incarnation,
            self.routing_state,
            dispatcher,
            peering,
            clock,
        )
        hello = Hello(
            entry=settings.name,
            address=settings.listen,
            peer_address=settings.peer_listen,
            incarnation=self.incarnation,
        )
        self.crash_reporter = request_guard.crash_reporter
        await self.add_runtime_dependency(peering)
        if isinstance(chooser, Service):
            await self.add_runtime_dependency(chooser)
        await self.add_runtime_dependency(
            AdminServer(settings.admin_listen, self.is_ready)
        )
        self.feed_client = await self.add_runtime_dependency(
            FeedClient(settings.agent, hello, self.routing_state, self.random)
        )
        observations = self.feed_client.observations
        leave_notifier = LeaveNotifier(
            settings.name, self.routing_state, observations, peering
        )
        dispatcher.on_attempt = leave_notifier.on_attempt
        self.listener = await self.add_runtime_dependency(
            Listener(
                settings.listen,
                self.routing_state,
                request_guard,
                clock,
                traces=self.traces,
            )
        )

    async def stop(self) -> None:
        """Fails the readiness check, drains and stops.

        Waits `readiness_wait_ms` first, so that the load balancer in front
        of this entry sees the failed check and sends no more requests.
        """
        if self.listener is not None and not self.stopping:
            self.stopping = True
            self.listener.stopping = True
            self.feed_client.leaving = True
            await sleep(self.settings.readiness_wait_ms / 1000)
            timeout_s = self.settings.stop_bound_ms / 1000
            await self.listener.drain(timeout_s)
            await self.listener.request_guard.drain(timeout_s)
        await super().stop()
        await to_thread(self.traces.close)

    @Service.task
    async def refresh_services(self) -> None:
        """Refreshes stale services in batches and yields to requests."""
        while not self.should_stop:
            is_stale = self.routing_state.refresh_batch()
            await sleep(0 if is_stale else REFRESH_INTERVAL_S)

    @Service.task
    async def compare_suspects(self) -> None:
        """Learns what other entries know of requests that crash servers.

        An update that was sent once doesn't reach an entry that starts later
        or was cut off.
        """
        if self.crash_reporter is not None:
            await self.crash_reporter.catch_up(self.random)
        while not self.should_stop:
            await self.sleep(COMPARE_INTERVAL_S * self.random.uniform(0.8, 1))
            if self.crash_reporter is not None:
                await self.crash_reporter.compare(self.random)

    def is_ready(self) -> bool:
        """Tells whether the entry accepts new requests."""
        if self.routing_state.document is None or self.stopping:
            return False
        reporter = self.crash_reporter
        return reporter is not None and reporter.caught_up.is_set()
