"""Records that are still to be told to peers."""

from collections.abc import Callable
from collections.abc import Iterable
from random import Random

from cowslipmill.membership.record import HostRecord
from cowslipmill.serverstate.record import ServerRecord

ROUNDS = 3
FANOUT = 5
NEAR_COUNT = 3
MAX_RECORDS = 200


class Outbox:
    """Counts how often each change is still to be told.

    Each round tells a few other peers, the nearest first, and each peer to
    whom it is news tells on; digests repair what this misses.

    Attributes:
        hosts: Rounds left for each host that changed.
        servers: Rounds left for each server that changed.
        document: Rounds left for the document in force.
        on_change: Called when there is something to tell.
    """

    __slots__ = ('document', 'hosts', 'on_change', 'servers')

    def __init__(self) -> None:
        """Starts with nothing to tell."""
        self.hosts: dict[str, int] = {}
        self.servers: dict[str, int] = {}
        self.document = 0
        self.on_change: Callable[[], None] = lambda: None

    def add_hosts(self, records: Iterable[HostRecord]) -> None:
        """Adds hosts that changed."""
        self.hosts.update((record.name, ROUNDS) for record in records)
        self.on_change()

    def add_servers(self, records: Iterable[ServerRecord]) -> None:
        """Adds servers that changed."""
        self.servers.update((record.name, ROUNDS) for record in records)
        self.on_change()

    def add_document(self) -> None:
        """Adds the document in force."""
        self.document = ROUNDS
        self.on_change()

    def is_empty(self) -> bool:
        """Tells whether there is nothing to tell."""
        return not (self.hosts or self.servers or self.document)

    def next_round(self) -> tuple[list[str], list[str]]:
        """Counts one round and returns the hosts and servers of it."""
        self.document = max(0, self.document - 1)
        return take_round(self.hosts), take_round(self.servers)


def take_round(rounds: dict[str, int]) -> list[str]:
    """Counts a round for as many names as fit and returns them."""
    names = list(rounds)[:MAX_RECORDS]
    for name in names:
        rounds[name] -= 1
        if rounds[name] == 0:
            del rounds[name]
    return names


def choose_targets(
    others: Iterable[HostRecord], failure_domain: str, random: Random
) -> list[str]:
    """Returns the addresses for one round.

    Args:
        others: Hosts that are not gone, without this one.
        failure_domain: The own one, from which some are taken first.
        random: Chooses.
    """
    shuffled = list(others)
    random.shuffle(shuffled)
    near = [
        host.address
        for host in shuffled
        if host.failure_domain == failure_domain
    ][:NEAR_COUNT]
    rest = [host.address for host in shuffled if host.address not in near]
    return near + rest[: FANOUT - len(near)]
