"""A table of the known hosts and backend servers."""

from collections.abc import Iterable
from collections.abc import Iterator

from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role


class NodeTable:
    """The newest record known of each host and backend server.

    Merging is commutative, associative and idempotent, so that the tables
    on two sides of a partition agree after they have exchanged records.

    Attributes:
        records: Records by name.
    """

    __slots__ = ('records',)

    def __init__(self, records: Iterable[NodeRecord] = ()) -> None:
        """Starts with the given records."""
        self.records: dict[str, NodeRecord] = {}
        self.merge(records)

    def merge(self, records: Iterable[NodeRecord]) -> list[NodeRecord]:
        """Merges records and returns those that changed the table."""
        return [record for record in records if self.merge_one(record)]

    def merge_one(self, record: NodeRecord) -> bool:
        """Merges one record and returns whether it changed the table."""
        known = self.records.get(record.name)
        if known is not None and not record.supersedes(known):
            return False
        self.records[record.name] = record
        return True

    def servers(self, service: str) -> Iterator[NodeRecord]:
        """Yields the live backend servers of a service."""
        for record in self.records.values():
            if (
                record.service == service
                and record.state is LifecycleState.LIVE
            ):
                if record.role is Role.BACKEND_SERVER:
                    yield record
