"""The backend servers, with who leaves, from every source."""

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
    """Where the state of a server came from."""

    HOST_LIST = 'host list'
    SERVER = 'server'
    PEER = 'peer'


class ServerTable:
    """Facts about servers that only move forward within an incarnation.

    A server that the host list leaves out stays as it was: the list lags,
    so its absence proves nothing.

    Attributes:
        replica: Records of all servers.
        sources: Where each record came from.
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
        """Takes in the host list and returns what is news."""
        records = (
            AgedRecord(ServerRecord.from_node_record(record), 0)
            for record in nodes
            if record.role is Role.BACKEND_SERVER and record.service
        )
        return self.merge(records, Source.HOST_LIST, now)

    def merge_from_peer(
        self, records: Iterable[AgedRecord[ServerRecord]], now: float
    ) -> list[ServerRecord]:
        """Takes in what a peer tells and returns what is news."""
        return self.merge(records, Source.PEER, now)

    def on_leaving_signal(
        self, name: str, incarnation: int, now: float
    ) -> list[ServerRecord]:
        """Takes in that a server said with an answer that it is leaving.

        Args:
            name: Name of the server.
            incarnation: The incarnation that the request was sent to; the
                signal says nothing about a later one.
            now: Monotonic seconds.

        Returns:
            What is news.
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
        """Takes in records and notes where they came from."""
        changed = self.replica.merge(records, now)
        for record in changed:
            self.sources[record.name] = source
        return changed

    def node_records(self) -> tuple[NodeRecord, ...]:
        """Returns the facts that entries hear of."""
        return tuple(
            record.to_node_record() for record in self.replica.records.values()
        )
