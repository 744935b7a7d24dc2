"""Tracks the changes that are still to be sent to peers."""

from collections.abc import Callable
from collections.abc import Iterable
from random import Random

from cowslipmill.membership.record import HostRecord
from cowslipmill.serverstate.record import ServerRecord

ROUNDS_PER_CHANGE = 3
FANOUT = 5
SAME_DOMAIN_TARGETS = 3
MAX_RECORDS_PER_ROUND = 200


class Outbox:
    """Counts the rounds in which each change is still to be sent.

    Each round goes to a few peers, the own failure domain first, and each
    peer that did not have a change yet adds it to its own outbox. Digests in
    heartbeats repair what this misses.

    Attributes:
        hosts: Rounds left for each changed host.
        servers: Rounds left for each changed server.
        document: Rounds left for the document in force.
        on_change: Called when a change is added.
    """

    __slots__ = ('document', 'hosts', 'on_change', 'servers')

    def __init__(self) -> None:
        """Starts empty."""
        self.hosts: dict[str, int] = {}
        self.servers: dict[str, int] = {}
        self.document = 0
        self.on_change: Callable[[], None] = lambda: None

    def add_hosts(self, records: Iterable[HostRecord]) -> None:
        """Adds changed hosts."""
        self.hosts.update(
            (record.name, ROUNDS_PER_CHANGE) for record in records
        )
        self.on_change()

    def add_servers(self, records: Iterable[ServerRecord]) -> None:
        """Adds changed servers."""
        self.servers.update(
            (record.name, ROUNDS_PER_CHANGE) for record in records
        )
        self.on_change()

    def add_document(self) -> None:
        """Adds the document in force."""
        self.document = ROUNDS_PER_CHANGE
        self.on_change()

    def is_empty(self) -> bool:
        """Returns whether nothing is left to send."""
        return not (self.hosts or self.servers or self.document)

    def next_round(self) -> tuple[list[str], list[str]]:
        """Counts one round and returns its host names and server names."""
        self.document = max(0, self.document - 1)
        return count_round(self.hosts), count_round(self.servers)


def count_round(rounds_left: dict[str, int]) -> list[str]:
    """Counts a round for the names that fit into one message.

    Args:
        rounds_left: Rounds left by name; names without any are removed.

    Returns:
        At most `MAX_RECORDS_PER_ROUND` names to send in this round.
    """
    names = list(rounds_left)[:MAX_RECORDS_PER_ROUND]
    for name in names:
        rounds_left[name] -= 1
        if rounds_left[name] == 0:
            del rounds_left[name]
    return names


def choose_targets(
    others: Iterable[HostRecord], failure_domain: str, random: Random
) -> list[str]:
    """Returns the peer addresses for one round.

    Up to `SAME_DOMAIN_TARGETS` of them are of the own failure domain.

    Args:
        others: Hosts that are not gone, without this one.
        failure_domain: This host's failure domain.
        random: Source of randomness.
    """
    shuffled = list(others)
    random.shuffle(shuffled)
    near = [
        host.address
        for host in shuffled
        if host.failure_domain == failure_domain
    ][:SAME_DOMAIN_TARGETS]
    rest = [host.address for host in shuffled if host.address not in near]
    return near + rest[: FANOUT - len(near)]
