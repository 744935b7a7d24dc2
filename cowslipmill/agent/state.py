"""The state of one agent and the peer messages built from it."""

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
MAX_CONFLICTS_SENT = 2


class AgentState:
    """The state of an agent; every change is added to its outbox.

    Attributes:
        detector: Membership of the hosts.
        servers: Records of the backend servers.
        configuration: The document in force.
        watcher_selection: Decides which hosts watch the platform.
        outbox: Changes that are still to be sent to peers.
        addresses: Peer addresses from the settings and the host list.
    """

    __slots__ = (
        'addresses',
        'configuration',
        'detector',
        'outbox',
        'servers',
        'watcher_selection',
    )

    def __init__(
        self, settings: AgentSettings, incarnation: int, now: float
    ) -> None:
        """Starts with this host and the peers of the settings.

        Args:
            settings: Settings of the agent.
            incarnation: Unix milliseconds of the start.
            now: Monotonic seconds.
        """
        own = HostRecord(
            settings.host,
            settings.peer_listen,
            settings.failure_domain,
            incarnation,
        )
        self.detector = FailureDetector(own, now)
        self.servers = ServerTable()
        self.configuration = Configuration(settings.deployment)
        self.watcher_selection = WatcherSelection(settings.host, now)
        self.outbox = Outbox()
        self.addresses = set(settings.peers)

    def merge_host_list(
        self, nodes: Iterable[NodeRecord], now: float
    ) -> list[ServerRecord]:
        """Merges the host list and returns the changed server records."""
        all_nodes = tuple(nodes)
        self.addresses.update(
            node.address for node in all_nodes if node.role is Role.ENTRY_HOST
        )
        changed = self.servers.merge_host_list(all_nodes, now)
        self.outbox.add_servers(changed)
        return changed

    def merge_update(
        self, update: RecordUpdate, now: float
    ) -> list[ServerRecord]:
        """Merges the records of a peer and returns the changed servers."""
        self.outbox.add_hosts(self.detector.merge(update.hosts, now))
        servers = self.servers.merge_from_peer(update.servers, now)
        self.outbox.add_servers(servers)
        return servers

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Merges the sender's record, conflicts and platform contact."""
        self.detector.on_heard_from(heartbeat.sender.name, now)
        records = [AgedRecord(heartbeat.sender, 0)]
        if heartbeat.receiver is not None:
            records.append(heartbeat.receiver)
        self.outbox.add_hosts(self.detector.merge(records, now))
        self.configuration.add_conflicts(heartbeat.conflicts)
        if heartbeat.contact is not None:
            self.watcher_selection.merge_contact(heartbeat.contact, now)

    def make_heartbeat(
        self, receiver: str, now: float, *, joining: bool = False
    ) -> Heartbeat:
        """Returns a heartbeat for a host.

        Args:
            receiver: Name of the host, or empty if it is unknown.
            now: Monotonic seconds.
            joining: Whether to ask the receiver for all records.
        """
        record = self.detector.replica.records.get(receiver)
        receiver_record = None
        if record is not None and record.state is not HostState.LIVE:
            receiver_record = self.detector.replica.with_age(record, now)
        conflicts = sorted(self.configuration.conflicts)[-MAX_CONFLICTS_SENT:]
        return Heartbeat(
            sender=self.detector.own,
            receiver=receiver_record,
            hosts=self.detector.replica.digests(),
            servers=self.servers.replica.digests(),
            stamp=self.configuration.stamp,
            conflicts=tuple(conflicts),
            contact=self.watcher_selection.preferred_contact(now),
            joining=joining,
        )

    def make_reply(self, heartbeat: Heartbeat, now: float) -> HeartbeatReply:
        """Returns the reply to a heartbeat.

        A joining sender gets all host records and at most
        `MAX_JOINING_RECORDS` server records, any other one those that differ.
        """
        if heartbeat.joining:
            update = RecordUpdate(
                hosts=self.detector.replica.all_with_age(now),
                servers=self.servers.replica.all_with_age(now)[
                    :MAX_JOINING_RECORDS
                ],
                stamp=self.configuration.stamp,
            )
        else:
            update = self.make_repair(heartbeat, now)
        own_heartbeat = self.make_heartbeat(heartbeat.sender.name, now)
        return HeartbeatReply(heartbeat=own_heartbeat, update=update)

    def make_repair(self, heartbeat: Heartbeat, now: float) -> RecordUpdate:
        """Returns the records in which the sender's digests differ."""
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
        """Returns the update for the next round of the outbox."""
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
        """Returns the document in force, as a delta if that is smaller.

        Returns:
            A delta if the requested base is in the history and few sections
            changed, else the whole document; None if no document is in
            force.
        """
        configuration = self.configuration
        if configuration.document is None:
            return None
        base = configuration.history.get(request.base)
        delta = base and make_delta(
            base, request.base, configuration.document, configuration.stamp
        )
        return delta or WholeDocument(configuration.raw)

    def addresses_without_host(self) -> list[str]:
        """Returns the peer addresses at which no live host is known.

        They are of the settings, the host list and gone hosts; probing them
        finds hosts that start or come back.
        """
        records = self.detector.replica.records.values()
        occupied = {record.address for record in records if not record.is_gone}
        gone = {record.address for record in records if record.is_gone}
        return sorted((self.addresses | gone) - occupied)

    def watch_candidates(self) -> list[str]:
        """Returns the hosts of the own failure domain that may be watchers."""
        own = self.detector.own
        return [
            record.name
            for record in (own, *self.detector.others())
            if record.failure_domain == own.failure_domain
            and record.state is not HostState.LEAVING
        ]
