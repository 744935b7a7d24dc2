"""Turns the membership of hosts into the members that entries hear of."""

from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.membership.record import EntryRecord
from cowslipmill.membership.record import HostRecord
from cowslipmill.membership.record import HostState

ABSENT_GRACE_S = 3.0


class KnownEntry:
    """What this agent remembers of one incarnation of an entry.

    Attributes:
        record: The entry as its host last told of it.
        host: The record of its host.
        state: The state that entries hear of.
        changed_at: When it came into this state, in monotonic seconds.
        absent_since: When its host stopped telling of it, or None.
    """

    __slots__ = ('absent_since', 'changed_at', 'host', 'record', 'state')

    def __init__(
        self, record: EntryRecord, host: HostRecord, now: float
    ) -> None:
        """Starts in the state that the host tells of."""
        self.record = record
        self.host = host
        self.state = record.state
        self.changed_at = now
        self.absent_since: float | None = None


class EntryTable:
    """Every entry known, gone ones while they are remembered.

    The state of an entry follows its host's record, so that one whose agent
    was out of reach is live again when the agent is back.

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
        """Follows the records of the hosts.

        Args:
            hosts: Records by name.
            now: Monotonic seconds.
            retention_s: How long gone entries are remembered.

        Returns:
            Whether an entry is new or changed its state.
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
        """Notes what a host tells and returns whether the entry is new."""
        known = self.entries.get(key)
        if known is None:
            self.entries[key] = KnownEntry(record, host, now)
            return True
        known.record = record
        known.host = host
        return False

    def members(self, now: float) -> tuple[Member, ...]:
        """Returns the members as entries hear of them."""
        return tuple(
            Member(
                name=entry.record.name,
                host=entry.host.name,
                failure_domain=entry.host.failure_domain,
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
    """Returns the state of an entry as its host's record has it.

    An agent that leaves says nothing about its entries, which outlive it.
    """
    host = hosts.get(entry.host.name)
    if replaced or host is None or host.state is HostState.GONE:
        return LifecycleState.GONE
    absent = entry.absent_since
    if absent is not None and now - absent > ABSENT_GRACE_S:
        return LifecycleState.GONE
    return entry.record.state
