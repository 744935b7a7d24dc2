"""The entries of this host, as their connections show them."""

from collections.abc import Collection

from cowslipmill.agent.messages import Hello
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.membership.record import EntryRecord

DISCONNECTED_S = 5.0


class LocalEntries:
    """Connected entries, and lost ones until they had time to come back.

    Attributes:
        seen_at: When each entry was last connected.
        leaving: Entries that take no new work any more.
    """

    __slots__ = ('leaving', 'seen_at')

    def __init__(self) -> None:
        """Starts without entries."""
        self.seen_at: dict[Hello, float] = {}
        self.leaving: set[Hello] = set()

    def update(
        self,
        connected: Collection[Hello],
        leaving: Collection[Hello],
        now: float,
    ) -> None:
        """Takes in which entries are connected and which are leaving."""
        self.seen_at.update(dict.fromkeys(connected, now))
        self.leaving.update(leaving)
        names = {hello.entry for hello in connected}
        for hello, seen_at in list(self.seen_at.items()):
            if hello in connected:
                continue
            bound_s = 0.0 if hello in self.leaving else DISCONNECTED_S
            if hello.entry in names or now - seen_at > bound_s:
                del self.seen_at[hello]
                self.leaving.discard(hello)

    def records(self, now: float) -> tuple[EntryRecord, ...]:
        """Returns the records that peers hear of."""
        found = (
            EntryRecord(
                hello.entry,
                hello.incarnation,
                hello.peer_address,
                LifecycleState.LEAVING
                if hello in self.leaving
                else LifecycleState.LIVE,
            )
            for hello in self.seen_at
        )
        return tuple(sorted(found, key=lambda record: record.name))
