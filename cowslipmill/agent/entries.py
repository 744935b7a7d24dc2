"""Tracks the entries of this host by their connections."""

from collections.abc import Collection

from cowslipmill.agent.messages import Hello
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.membership.record import EntryRecord

RECONNECT_GRACE_S = 5.0


class LocalEntries:
    """Connected entries, and disconnected ones during a grace period.

    The grace period lets an entry reconnect before peers see it removed.

    Attributes:
        seen_at: When each entry was last connected, in monotonic seconds.
        leaving: Entries that no longer accept new requests.
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
        """Updates the connected and leaving entries and drops expired ones.

        A disconnected entry is dropped at once if it was leaving or if
        another process with its name is connected.

        Args:
            connected: Entries that are connected now.
            leaving: Entries that announced that they are leaving.
            now: Monotonic seconds.
        """
        self.seen_at.update(dict.fromkeys(connected, now))
        self.leaving.update(leaving)
        connected_names = {hello.entry for hello in connected}
        for hello, seen_at in list(self.seen_at.items()):
            if hello in connected:
                continue
            grace_s = 0.0 if hello in self.leaving else RECONNECT_GRACE_S
            if hello.entry in connected_names or now - seen_at > grace_s:
                del self.seen_at[hello]
                self.leaving.discard(hello)

    def records(self, now: float) -> tuple[EntryRecord, ...]:
        """Returns the entry records to publish to peers, sorted by name."""
        records = (
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
        return tuple(sorted(records, key=lambda record: record.name))
