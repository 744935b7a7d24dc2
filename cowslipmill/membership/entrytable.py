"""Derives the list of entry members from the records of their hosts."""

from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.membership.record import EntryRecord
from cowslipmill.membership.record import HostRecord
from cowslipmill.membership.record import HostState

ABSENT_GRACE_S = 3.0


class KnownEntry:
    """One incarnation of an entry, as known to this agent.

    Attributes:
        record: The entry as its host last reported it.
        host_record: The host record that last listed the entry.
        state: The state that is reported to entries.
        changed_at: When it entered this state, in monotonic seconds.
        absent_since: When its host's record was first seen without it, in
            monotonic seconds, or None while the record lists it.
    """

    __slots__ = (
        'absent_since',
        'changed_at',
        'host_record',
        'record',
        'state',
    )

    def __init__(
        self, record: EntryRecord, host_record: HostRecord, now: float
    ) -> None:
        """Starts in the state that the host reports."""
        self.record = record
        self.host_record = host_record
        self.state = record.state
        self.changed_at = now
        self.absent_since: float | None = None


class EntryTable:
    """All known entries, including gone ones until they expire.

    The state of an entry is derived from its host's record each time, so an
    entry whose agent was unreachable becomes live again when the agent is
    back.

    Attributes:
        entries: Entries by name and incarnation.
    """

    __slots__ = ('entries',)

    def __init__(self) -> None:
        """Starts empty."""
        self.entries: dict[tuple[str, int], KnownEntry] = {}

    def update(
        self, hosts: dict[str, HostRecord], now: float, retention_s: float
    ) -> bool:
        """Updates the entries from the records of all hosts.

        Args:
            hosts: Host records by host name.
            now: Monotonic seconds.
            retention_s: How long gone entries are kept, in seconds.

        Returns:
            Whether any entry is new or changed its state.
        """
        changed = False
        reported = set()
        for host in hosts.values():
            for record in host.entries:
                key = record.name, record.incarnation
                reported.add(key)
                changed |= self.merge_entry(key, record, host, now)
        newest: dict[str, int] = {}
        for name, incarnation in self.entries:
            newest[name] = max(incarnation, newest.get(name, 0))
        for key, entry in list(self.entries.items()):
            if key not in reported and entry.absent_since is None:
                entry.absent_since = now
            if key in reported:
                entry.absent_since = None
            replaced = key[1] < newest[key[0]]
            state = derive_state(entry, hosts, now, replaced=replaced)
            if state is not entry.state:
                entry.state, entry.changed_at, changed = state, now, True
            if (
                state is LifecycleState.GONE
                and now - entry.changed_at > retention_s
            ):
                del self.entries[key]
        return changed

    def merge_entry(
        self,
        key: tuple[str, int],
        record: EntryRecord,
        host: HostRecord,
        now: float,
    ) -> bool:
        """Stores a reported entry and returns whether it was unknown."""
        known = self.entries.get(key)
        if known is None:
            self.entries[key] = KnownEntry(record, host, now)
            return True
        known.record = record
        known.host_record = host
        return False

    def members(self, now: float) -> tuple[Member, ...]:
        """Returns the members as they are reported to entries."""
        return tuple(
            Member(
                name=entry.record.name,
                host=entry.host_record.name,
                failure_domain=entry.host_record.failure_domain,
                incarnation=entry.record.incarnation,
                peer_address=entry.record.peer_address,
                state=entry.state,
                changed_ms_ago=int((now - entry.changed_at) * 1000),
            )
            for entry in self.entries.values()
        )


def derive_state(
    entry: KnownEntry,
    hosts: dict[str, HostRecord],
    now: float,
    *,
    replaced: bool,
) -> LifecycleState:
    """Derives the state of an entry from its host's record.

    A host in state LEAVING does not change the state of its entries: only
    the agent leaves, and the entries outlive it.

    Args:
        entry: The entry.
        hosts: Host records by host name.
        now: Monotonic seconds.
        replaced: Whether a newer incarnation of the entry is known.
    """
    host = hosts.get(entry.host_record.name)
    if replaced or host is None or host.state is HostState.GONE:
        return LifecycleState.GONE
    absent = entry.absent_since
    if absent is not None and now - absent > ABSENT_GRACE_S:
        return LifecycleState.GONE
    return entry.record.state
