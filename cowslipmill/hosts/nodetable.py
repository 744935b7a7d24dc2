"""A view of the fleet that merges facts by a join."""

from collections.abc import Iterable
from collections.abc import Iterator

from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role


class NodeTable:
    """The furthest fact known of each name.

    Merging is commutative, associative and idempotent, so that views of two
    sides of a partition agree once they have met.

    Attributes:
        records: Facts by name.
    """

    __slots__ = ('records',)

    def __init__(self, records: Iterable[NodeRecord] = ()) -> None:
        """Merges the first facts."""
        self.records: dict[str, NodeRecord] = {}
        self.merge(records)

    def merge(self, records: Iterable[NodeRecord]) -> list[NodeRecord]:
        """Takes in facts and returns those that were news."""
        return [record for record in records if self.merge_one(record)]

    def merge_one(self, record: NodeRecord) -> bool:
        """Takes in one fact and tells whether it was news."""
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
