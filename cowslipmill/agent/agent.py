"""The agent of one host: keeps its state and publishes it to entries."""

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
MEMBERS_INTERVAL_TICKS = 8
FIRST_SERVERS_TIMEOUT_S = 1.0
DEFAULT_RESEND_MEMORY_MS = 600_000


class Agent(Service):
    """Synchronizes with other agents and updates the entries of its host.

    Attributes:
        settings: Settings of this process.
        agent_state: Membership, servers and document as this agent has them.
        platform_up: Whether the last call to the platform succeeded; None
            before the first call.
    """

    def __init__(self, settings: AgentSettings, random: Random) -> None:
        """Creates the child services without starting them."""
        super().__init__()
        self.settings = settings
        self.clock = get_running_loop().time
        now = self.clock()
        self.started_at = now
        self.agent_state = AgentState(settings, time_ns() // 1_000_000, now)
        self.entry_table = EntryTable()
        self.entries = LocalEntries()
        self.platform_up: bool | None = None
        self.document_published = False
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
            self.publish_servers,
            self.on_document_in_force,
        )
        self.prober = Prober(self.agent_state, self.on_observed)
        self.admin = StatusAdmin(
            settings.admin_listen, self.is_ready, self.make_status
        )

    async def on_start(self) -> None:
        """Starts the child services."""
        await self.add_runtime_dependency(self.admin)
        await self.add_runtime_dependency(self.feed)
        await self.add_runtime_dependency(self.peer_sync)
        await self.add_runtime_dependency(self.watcher)
        await self.add_runtime_dependency(self.prober)

    async def stop(self) -> None:
        """Announces to peers that this host is leaving, then stops."""
        if self.peer_sync.joined.is_set():
            self.prober.leaving = True
            await self.peer_sync.announce_leaving()
        await super().stop()

    def is_ready(self) -> bool:
        """Returns whether a document is in force on this host."""
        return self.agent_state.configuration.document is not None

    @Service.task
    async def process_reports(self) -> None:
        """Processes the reports of the platform watcher in order."""
        while not self.should_stop:
            self.on_report(await self.reports.get())
            self.reports.task_done()

    @singledispatchmethod
    def on_report(self, report: PlatformReport) -> None:
        """Handles one report of the platform watcher.

        Raises:
            TypeError: If the report's type has no handler.
        """
        raise TypeError(f'no handler for platform report {report!r}')

    @on_report.register
    def on_document_read(self, report: DocumentRead) -> None:
        """Puts the document in force if it is valid and newer."""
        configuration = self.agent_state.configuration
        result = configuration.offer(report.raw, self.clock())
        if isinstance(result, Refused):
            LOG.warning('document refused', extra={'reason': result.reason})
        if isinstance(result, Accepted):
            self.agent_state.outbox.add_document()
            self.on_document_in_force()

    @on_report.register
    def on_host_list(self, report: HostList) -> None:
        """Merges the host list of the platform into the agent's state."""
        changed = self.agent_state.merge_host_list(report.hosts, self.clock())
        if changed:
            self.publish_servers(changed)

    @on_report.register
    def on_platform_up(self, report: PlatformUp) -> None:
        """Records a successful call to the platform."""
        if not self.platform_up:
            LOG.info('platform up')
        self.platform_up = True
        self.agent_state.watcher_selection.record_success(self.clock())

    @on_report.register
    def on_platform_down(self, report: PlatformDown) -> None:
        """Records a failed call; the document in force stays in use."""
        if self.platform_up is not False:
            LOG.warning('platform down', extra={'reason': report.reason})
        self.platform_up = False

    def on_observed(self, observed: Observed) -> None:
        """Applies what an entry of this host saw in its traffic."""
        now = self.clock()
        self.prober.record_responses(observed.answered, now)
        changed: list[ServerRecord] = []
        for signal in observed.leaving:
            changed += self.agent_state.servers.on_leaving_signal(
                signal.name, signal.incarnation, now
            )
        if changed:
            self.agent_state.outbox.add_servers(changed)
            self.publish_servers(changed)

    def update_entries(self) -> None:
        """Publishes to peers which entries run on this host."""
        now = self.clock()
        self.entries.update(set(self.feed.entries), self.feed.leaving, now)
        record = self.agent_state.detector.set_entries(
            self.entries.records(now), now
        )
        if record is not None:
            self.agent_state.outbox.add_hosts([record])

    def on_document_in_force(self) -> None:
        """Logs the new document and publishes it to the entries.

        The first document is held back until servers are known, for at most
        `FIRST_SERVERS_TIMEOUT_S`, so that no entry starts serving with
        routes but without servers.
        """
        configuration = self.agent_state.configuration
        stamp = configuration.stamp
        self.watcher.known_version = stamp.version
        LOG.info(
            'document in force',
            extra={'version': stamp.version, 'digest': stamp.digest.hex()},
        )
        if self.document_published or self.agent_state.servers.replica.records:
            self.publish_document()

    def publish_document(self) -> None:
        """Publishes the document in force to the entries."""
        self.document_published = True
        configuration = self.agent_state.configuration
        message = DocumentInForce(
            version=configuration.stamp.version,
            raw=configuration.raw,
            digest=configuration.stamp.digest,
        )
        self.feed.publish(message, message)

    def publish_servers(self, changed: list[ServerRecord]) -> None:
        """Publishes changed server records to the entries."""
        age_ms = self.view_age_ms()
        snapshot = Facts(
            facts=self.agent_state.servers.node_records(), age_ms=age_ms
        )
        facts = tuple(record.to_node_record() for record in changed)
        self.feed.publish(snapshot, Facts(facts=facts, age_ms=age_ms))
        if not self.document_published and self.is_ready():
            self.publish_document()

    def view_age_ms(self) -> int:
        """Returns the milliseconds since another host was last heard from."""
        return int(
            (self.clock() - self.agent_state.detector.last_heard_at) * 1000
        )

    @Service.task
    async def refresh_periodically(self) -> None:
        """Refreshes entries, the watcher selection and members every tick."""
        await self.peer_sync.joined.wait()
        ticks = 0
        while not self.should_stop:
            now = self.clock()
            self.update_entries()
            self.watcher.enabled = (
                self.agent_state.watcher_selection.should_watch(
                    self.agent_state.watch_candidates(), now
                )
            )
            self.sent_rate.update(now)
            self.publish_members(
                now, is_due=ticks % MEMBERS_INTERVAL_TICKS == 0
            )
            if not self.document_published and self.is_ready():
                if now - self.started_at > FIRST_SERVERS_TIMEOUT_S:
                    self.publish_document()
            ticks += 1
            await sleep(TICK_S)

    def publish_members(self, now: float, *, is_due: bool) -> None:
        """Publishes all entries of the deployment to this host's entries.

        Args:
            now: Monotonic seconds.
            is_due: Whether to publish even if nothing changed.
        """
        document = self.agent_state.configuration.document
        resend_memory_ms = DEFAULT_RESEND_MEMORY_MS
        if document is not None:
            resend_memory_ms = document.resend_memory_ms
        hosts = self.agent_state.detector.replica.records
        changed = self.entry_table.update(hosts, now, resend_memory_ms / 1000)
        if changed or is_due:
            message = Members(
                members=self.entry_table.members(now),
                age_ms=self.view_age_ms(),
            )
            self.feed.publish(message, message)

    def make_status(self) -> bytes:
        """Returns the status as JSON."""
        return make_status(self)
