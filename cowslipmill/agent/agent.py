"""The agent of one host: what is in force, told to its entries."""

from asyncio import get_running_loop
from asyncio import Queue
from asyncio import sleep
from functools import singledispatchmethod
from logging import getLogger
from random import Random
from time import time_ns

from mode import Service

from cowslipmill.agent.entries import LocalEntries
from cowslipmill.agent.feed import Feed
from cowslipmill.agent.fleet import PeerSync
from cowslipmill.agent.messages import DocumentInForce
from cowslipmill.agent.messages import Facts
from cowslipmill.agent.messages import Members
from cowslipmill.agent.messages import Observed
from cowslipmill.agent.state import AgentState
from cowslipmill.agent.statuspage import make_status
from cowslipmill.agent.statuspage import SentRate
from cowslipmill.agent.statuspage import StatusAdmin
from cowslipmill.configuration.offerresult import Accepted
from cowslipmill.configuration.offerresult import Refused
from cowslipmill.measuring.prober import Prober
from cowslipmill.membership.entrytable import EntryTable
from cowslipmill.publication.hostlist import HostList
from cowslipmill.publication.watcher import DocumentRead
from cowslipmill.publication.watcher import PlatformDown
from cowslipmill.publication.watcher import PlatformReport
from cowslipmill.publication.watcher import PlatformUp
from cowslipmill.publication.watcher import PlatformWatcher
from cowslipmill.serverstate.record import ServerRecord
from cowslipmill.settings.settings import AgentSettings

LOG = getLogger(__name__)

TICK_S = 0.25
TICKS_PER_MEMBERS = 8
SERVERS_GRACE_S = 1.0
DEFAULT_MEMORY_MS = 600_000


class Agent(Service):
    """Acts with the other agents and feeds the entries of its host.

    Attributes:
        settings: Settings of this process.
        agent_state: What this agent knows.
        platform_up: Whether the platform answered last; None before.
    """

    def __init__(self, settings: AgentSettings, random: Random) -> None:
        """Makes the parts; nothing starts yet."""
        super().__init__()
        self.settings = settings
        self.clock = get_running_loop().time
        now = self.clock()
        self.started_at = now
        self.agent_state = AgentState(settings, time_ns() // 1_000_000, now)
        self.book = EntryTable()
        self.entries = LocalEntries()
        self.platform_up: bool | None = None
        self.told_entries = False
        self.reports: Queue[PlatformReport] = Queue()
        self.sent_rate = SentRate(now)
        self.watcher = PlatformWatcher(settings.platform, self.reports, random)
        self.feed = Feed(
            settings.feed_listen, self.update_entries, self.on_observed
        )
        self.peer_sync = PeerSync(
            settings,
            self.agent_state,
            random,
            self.tell_servers,
            self.tell_document,
        )
        self.prober = Prober(self.agent_state, self.on_observed)
        self.admin = StatusAdmin(
            settings.admin_listen, self.is_ready, self.make_status
        )

    async def on_start(self) -> None:
        """Starts the parts."""
        await self.add_runtime_dependency(self.admin)
        await self.add_runtime_dependency(self.feed)
        await self.add_runtime_dependency(self.peer_sync)
        await self.add_runtime_dependency(self.watcher)
        await self.add_runtime_dependency(self.prober)

    async def stop(self) -> None:
        """Tells the peers, then stops."""
        if self.peer_sync.joined.is_set():
            self.prober.leaving = True
            await self.peer_sync.leave()
        await super().stop()

    def is_ready(self) -> bool:
        """Tells whether a document is in force here."""
        return self.agent_state.configuration.document is not None

    @Service.task
    async def take_reports(self) -> None:
        """Takes in one report after the other."""
        while not self.should_stop:
            self.take(await self.reports.get())
            self.reports.task_done()

    @singledispatchmethod
    def take(self, report: PlatformReport) -> None:
        """Takes in one report of the watcher."""
        raise TypeError(f'not a report: {report!r}')

    @take.register
    def take_published(self, report: DocumentRead) -> None:
        """Puts a newer document in force."""
        configuration = self.agent_state.configuration
        verdict = configuration.offer(report.raw, self.clock())
        if isinstance(verdict, Refused):
            LOG.warning('document refused', extra={'reason': verdict.reason})
        if isinstance(verdict, Accepted):
            self.agent_state.outbox.add_document()
            self.tell_document()

    @take.register
    def take_host_list(self, report: HostList) -> None:
        """Merges the host list into the view."""
        news = self.agent_state.merge_host_list(report.hosts, self.clock())
        if news:
            self.tell_servers(news)

    @take.register
    def take_reached(self, report: PlatformUp) -> None:
        """Notes that the platform answers."""
        if not self.platform_up:
            LOG.info('platform up')
        self.platform_up = True
        self.agent_state.plan.record_success(self.clock())

    @take.register
    def take_platform_down(self, report: PlatformDown) -> None:
        """Goes on with what is in force."""
        if self.platform_up is not False:
            LOG.warning('platform down', extra={'reason': report.reason})
        self.platform_up = False

    def on_observed(self, observed: Observed) -> None:
        """Takes in what an entry of this host noticed."""
        now = self.clock()
        self.prober.record_responses(observed.answered, now)
        news: list[ServerRecord] = []
        for signal in observed.leaving:
            news += self.agent_state.servers.on_leaving_signal(
                signal.name, signal.incarnation, now
            )
        if news:
            self.agent_state.outbox.add_servers(news)
            self.tell_servers(news)

    def update_entries(self) -> None:
        """Tells the peers which entries this host has."""
        now = self.clock()
        self.entries.update(set(self.feed.entries), self.feed.leaving, now)
        record = self.agent_state.detector.set_entries(
            self.entries.records(now), now
        )
        if record is not None:
            self.agent_state.outbox.add_hosts([record])

    def tell_document(self) -> None:
        """Tells the entries of the document in force.

        The first document waits a little for servers, so that no entry
        serves with routes alone.
        """
        configuration = self.agent_state.configuration
        stamp = configuration.stamp
        self.watcher.known_version = stamp.version
        LOG.info(
            'document in force',
            extra={'version': stamp.version, 'digest': stamp.digest.hex()},
        )
        if self.told_entries or self.agent_state.servers.replica.records:
            self.feed_document()

    def feed_document(self) -> None:
        """Sends the document in force to the entries."""
        self.told_entries = True
        configuration = self.agent_state.configuration
        message = DocumentInForce(
            version=configuration.stamp.version,
            raw=configuration.raw,
            digest=configuration.stamp.digest,
        )
        self.feed.publish(message, message)

    def tell_servers(self, news: list[ServerRecord]) -> None:
        """Tells the entries of servers that are news."""
        age_ms = self.view_age_ms()
        whole = Facts(
            facts=self.agent_state.servers.node_records(), age_ms=age_ms
        )
        facts = tuple(record.to_node_record() for record in news)
        self.feed.publish(whole, Facts(facts=facts, age_ms=age_ms))
        if not self.told_entries and self.is_ready():
            self.feed_document()

    def view_age_ms(self) -> int:
        """Returns how long ago another host was last heard."""
        return int(
            (self.clock() - self.agent_state.detector.last_heard_at) * 1000
        )

    @Service.task
    async def keep_up(self) -> None:
        """Chooses watchers and tells the entries of members."""
        await self.peer_sync.joined.wait()
        ticks = 0
        while not self.should_stop:
            now = self.clock()
            self.update_entries()
            self.watcher.enabled = self.agent_state.plan.should_watch(
                self.agent_state.watch_candidates(), now
            )
            self.sent_rate.update(now)
            self.tell_members(now, is_due=ticks % TICKS_PER_MEMBERS == 0)
            if not self.told_entries and self.is_ready():
                if now - self.started_at > SERVERS_GRACE_S:
                    self.feed_document()
            ticks += 1
            await sleep(TICK_S)

    def tell_members(self, now: float, *, is_due: bool) -> None:
        """Tells the entries of all entries, on change and regularly."""
        document = self.agent_state.configuration.document
        memory_ms = DEFAULT_MEMORY_MS
        if document is not None:
            memory_ms = document.resend_memory_ms
        hosts = self.agent_state.detector.replica.records
        changed = self.book.update(hosts, now, memory_ms / 1000)
        if changed or is_due:
            message = Members(
                members=self.book.members(now), age_ms=self.view_age_ms()
            )
            self.feed.publish(message, message)

    def make_status(self) -> bytes:
        """Returns the status as JSON."""
        return make_status(self)
