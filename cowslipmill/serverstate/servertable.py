"""States of the backend servers, merged from all sources."""

from collections.abc import Iterable
from enum import Enum

from msgspec.structs import replace

from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role
from cowslipmill.membership.replica import AgedRecord
from cowslipmill.membership.replica import Replica
from cowslipmill.serverstate.record import ServerRecord

GONE_RETENTION_S = 7200.0


class Source(Enum):
    """Source of a server's current record."""

    HOST_LIST = 'host list'
    SERVER = 'server'
    PEER = 'peer'


class ServerTable:
    """Records of the backend servers.

    The state of a server never decreases within one incarnation. A server
    that is absent from the host list keeps its state: the list lags, so
    absence proves nothing.

    Attributes:
        replica: Records of all servers.
        sources: Source of each record, by name of the server.
    """

    __slots__ = ('replica', 'sources')

    def __init__(self) -> None:
        """Starts without servers."""
        self.replica: Replica[ServerRecord] = Replica(
            retention_s=GONE_RETENTION_S
        )
        self.sources: dict[str, Source] = {}

    def merge_host_list(
        self, nodes: Iterable[NodeRecord], now: float
    ) -> list[ServerRecord]:
        """Merges the backend servers of the host list.

        Returns:
            The records that changed.
        """
        records = (
            AgedRecord(ServerRecord.from_node_record(record), 0)
            for record in nodes
            if record.role is Role.BACKEND_SERVER and record.service
        )
        return self.merge(records, Source.HOST_LIST, now)

    def merge_from_peer(
        self, records: Iterable[AgedRecord[ServerRecord]], now: float
    ) -> list[ServerRecord]:
        """Merges the records of a peer and returns those that changed."""
        return self.merge(records, Source.PEER, now)

    def on_leaving_signal(
        self, name: str, incarnation: int, now: float
    ) -> list[ServerRecord]:
        """Marks a server as leaving whose response announced it.

        Args:
            name: Name of the server.
            incarnation: The incarnation that the request was sent to; the
                signal says nothing about a later one.
            now: Monotonic seconds.

        Returns:
            The changed record; nothing if the server or this incarnation of
            it is unknown, or if it was leaving already.
        """
        known = self.replica.records.get(name)
        if known is None or known.incarnation != incarnation:
            return []
        leaving = replace(
            known, state=max(LifecycleState.LEAVING, known.state)
        )
        return self.merge([AgedRecord(leaving, 0)], Source.SERVER, now)

    def merge(
        self,
        records: Iterable[AgedRecord[ServerRecord]],
        source: Source,
        now: float,
    ) -> list[ServerRecord]:
        """Merges records and stores the source of those that changed."""
        changed = self.replica.merge(records, now)
        for record in changed:
            self.sources[record.name] = source
        return changed

    def node_records(self) -> tuple[NodeRecord, ...]:
        """Returns the records that are sent to entries."""
        return tuple(
            record.to_node_record() for record in self.replica.records.values()
        )
