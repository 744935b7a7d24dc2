"""Which entry is the home of a key that a caller made up."""

from collections.abc import Iterable

from cowslipmill.homes.rendezvous import rank
from cowslipmill.hosts.fact import State
from cowslipmill.hosts.member import Member

# Entries whose starts lie closer together came up as a whole fleet.
FLEET_START_MS = 60_000


def find_owner(
    key: str, members: Iterable[Member], memory_ms: int, now_ms: int
) -> Member | None:
    """Returns the entry that alone may run the request of an opaque key.

    An entry that was lost or replaced recently is still the home of its
    keys, as what it remembered can't be asked any more.

    Args:
        key: The key.
        members: Every entry known, gone ones while they are remembered.
        memory_ms: How long outcomes are remembered.
        now_ms: Unix milliseconds.

    Returns:
        The home, or None if what it knew may be lost.
    """
    by_name = {
        member.name: member
        for member in members
        if member.state is not State.GONE or member.changed_ms_ago < memory_ms
    }
    if not by_name:
        return None
    home = by_name[rank(key, by_name)[0]]
    if home.state is State.GONE:
        return None
    is_young = now_ms - home.incarnation < memory_ms
    if is_young and not started_together(by_name.values()):
        return None
    return home


def started_together(members: Iterable[Member]) -> bool:
    """Tells whether no member can have replaced one that remembered."""
    starts = [member.incarnation for member in members]
    return max(starts) - min(starts) < FLEET_START_MS
