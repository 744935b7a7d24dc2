"""Which entry is the home of a key that a caller made up."""

from collections.abc import Iterable

from cowslipmill.homes.rendezvous import rank
from cowslipmill.hosts.fact import State
from cowslipmill.hosts.member import Member


def find_home(
    key: str, members: Iterable[Member], memory_ms: int
) -> Member | None:
    """Returns the entry that alone may run the request of an opaque key.

    An entry that was lost recently is still the home of its keys, as what
    it remembered can't be asked any more.

    Args:
        key: The key.
        members: Every entry known, gone ones while they are remembered.
        memory_ms: How long outcomes are remembered.

    Returns:
        The home, or None if it was lost.
    """
    by_name = {
        member.name: member
        for member in members
        if member.state is not State.GONE or member.changed_ms_ago < memory_ms
    }
    for name in rank(key, by_name)[:1]:
        member = by_name[name]
        return None if member.state is State.GONE else member
    return None
