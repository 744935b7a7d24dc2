"""What one agent knows, and the messages that it makes of it."""

from collections.abc import Iterable

from cowslipmill.agent.outbox import Outbox
from cowslipmill.agent.peermessages import FetchDocument
from cowslipmill.agent.peermessages import Heartbeat
from cowslipmill.agent.peermessages import HeartbeatReply
from cowslipmill.agent.peermessages import RecordUpdate
from cowslipmill.agent.peermessages import WholeDocument
from cowslipmill.configuration.configuration import Configuration
from cowslipmill.configuration.delta import DocumentDelta
from cowslipmill.configuration.delta import make_delta
from cowslipmill.configuration.watcherselection import WatcherSelection
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role
from cowslipmill.membership.detector import FailureDetector
from cowslipmill.membership.record import HostRecord
from cowslipmill.membership.record import HostState
from cowslipmill.membership.replica import AgedRecord
from cowslipmill.serverstate.record import ServerRecord
from cowslipmill.serverstate.servertable import ServerTable
from cowslipmill.settings.settings import AgentSettings

MAX_REPAIRED_RECORDS = 100
MAX_JOINING_RECORDS = 5_000
TOLD_CONFLICTS = 2


class AgentState:
    """The state of an agent; every change is put in its outbox.

    Attributes:
        detector: Membership of hosts.
        servers: Facts about backend servers.
        configuration: The document in force.
        plan: Who watches the platform.
        outbox: What peers are still to be told.
        addresses: Peer addresses of the settings and the host list.
    """

    __slots__ = (
        'addresses',
        'configuration',
        'detector',
        'outbox',
        'plan',
        'servers',
    )

    def __init__(
        self, settings: AgentSettings, incarnation: int, now: float
    ) -> None:
        """Starts with what the settings tell."""
        own = HostRecord(
            settings.host,
            settings.peer_listen,
            settings.failure_domain,
            incarnation,
        )
        self.detector = FailureDetector(own, now)
        self.servers = ServerTable()
        self.configuration = Configuration(settings.deployment)
        self.plan = WatcherSelection(settings.host, now)
        self.outbox = Outbox()
        self.addresses = set(settings.peers)

    def merge_host_list(
        self, facts: Iterable[NodeRecord], now: float
    ) -> list[ServerRecord]:
        """Takes in the host list and returns the servers that are news."""
        known = tuple(facts)
        self.addresses.update(
            fact.address for fact in known if fact.role is Role.ENTRY_HOST
        )
        news = self.servers.merge_host_list(known, now)
        self.outbox.add_servers(news)
        return news

    def merge_update(
        self, news: RecordUpdate, now: float
    ) -> list[ServerRecord]:
        """Takes in a peer's records and returns the servers of it."""
        self.outbox.add_hosts(self.detector.merge(news.hosts, now))
        servers = self.servers.merge_from_peer(news.servers, now)
        self.outbox.add_servers(servers)
        return servers

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Takes in a peer's own record and what it sent along."""
        self.detector.on_heard_from(heartbeat.sender.name, now)
        records = [AgedRecord(heartbeat.sender, 0)]
        if heartbeat.receiver is not None:
            records.append(heartbeat.receiver)
        self.outbox.add_hosts(self.detector.merge(records, now))
        self.configuration.add_conflicts(heartbeat.conflicts)
        if heartbeat.contact is not None:
            self.plan.merge_contact(heartbeat.contact, now)

    def make_heartbeat(
        self, receiver: str, now: float, *, joining: bool = False
    ) -> Heartbeat:
        """Returns a heartbeat for a host; its name may be unknown."""
        known = self.detector.replica.records.get(receiver)
        about = None
        if known is not None and known.state is not HostState.LIVE:
            about = self.detector.replica.with_age(known, now)
        conflicts = sorted(self.configuration.conflicts)[-TOLD_CONFLICTS:]
        return Heartbeat(
            sender=self.detector.own,
            receiver=about,
            hosts=self.detector.replica.digests(),
            servers=self.servers.replica.digests(),
            stamp=self.configuration.stamp,
            conflicts=tuple(conflicts),
            contact=self.plan.preferred_contact(now),
            joining=joining,
        )

    def make_reply(self, heartbeat: Heartbeat, now: float) -> HeartbeatReply:
        """Returns the reply to a heartbeat."""
        if heartbeat.joining:
            news = RecordUpdate(
                hosts=self.detector.replica.all_with_age(now),
                servers=self.servers.replica.all_with_age(now)[
                    :MAX_JOINING_RECORDS
                ],
                stamp=self.configuration.stamp,
            )
        else:
            news = self.make_repair(heartbeat, now)
        own = self.make_heartbeat(heartbeat.sender.name, now)
        return HeartbeatReply(heartbeat=own, update=news)

    def make_repair(self, heartbeat: Heartbeat, now: float) -> RecordUpdate:
        """Returns records where the sender's digests differ."""
        limit = MAX_REPAIRED_RECORDS
        hosts = self.detector.replica.difference(heartbeat.hosts, limit, now)
        servers = self.servers.replica.difference(
            heartbeat.servers, limit, now
        )
        return RecordUpdate(
            hosts=tuple(hosts),
            servers=tuple(servers),
            stamp=self.configuration.stamp,
        )

    def make_update(self, now: float) -> RecordUpdate:
        """Returns the next round of the outbox."""
        hosts, servers = self.outbox.next_round()
        host_table = self.detector.replica
        server_table = self.servers.replica
        return RecordUpdate(
            hosts=tuple(
                host_table.with_age(host_table.records[name], now)
                for name in hosts
                if name in host_table.records
            ),
            servers=tuple(
                server_table.with_age(server_table.records[name], now)
                for name in servers
                if name in server_table.records
            ),
            stamp=self.configuration.stamp,
        )

    def make_document_reply(
        self, request: FetchDocument
    ) -> WholeDocument | DocumentDelta | None:
        """Returns the document in force, as a delta where that is less."""
        configuration = self.configuration
        if configuration.document is None:
            return None
        base = configuration.history.get(request.base)
        delta = base and make_delta(
            base, request.base, configuration.document, configuration.stamp
        )
        return delta or WholeDocument(configuration.raw)

    def addresses_without_host(self) -> list[str]:
        """Returns addresses where no host is known to be."""
        records = self.detector.replica.records.values()
        heard = {record.address for record in records if not record.is_gone}
        gone = {record.address for record in records if record.is_gone}
        return sorted((self.addresses | gone) - heard)

    def watch_candidates(self) -> list[str]:
        """Returns the hosts of the own failure domain that may watch."""
        own = self.detector.own
        return [
            record.name
            for record in (own, *self.detector.others())
            if record.failure_domain == own.failure_domain
            and record.state is not HostState.LEAVING
        ]
