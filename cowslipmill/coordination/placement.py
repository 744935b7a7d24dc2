"""Which entries are homes of a service, and of which servers."""

from collections.abc import Iterable
from collections.abc import Sequence
from math import ceil
from random import Random

from cowslipmill.coordination.rendezvous import rank
from cowslipmill.coordination.rendezvous import score
from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.hosts.noderecord import NodeRecord

SLOTS_PER_HOME = 240


def count_coordinators(slot_count: int, domain_count: int) -> int:
    """Returns how many homes a service gets.

    Args:
        slot_count: Slots of all its servers.
        domain_count: Failure domains that have an entry.
    """
    needed = ceil(slot_count / SLOTS_PER_HOME)
    return max(1, min(needed, domain_count))


def choose_first_coordinator(
    coordinators: Sequence[Member],
    weights: Sequence[int],
    failure_domain: str,
    random: Random,
) -> int:
    """Returns the index of the home that an entry asks first.

    Args:
        coordinators: Homes in reach.
        weights: Servers that each of them owns.
        failure_domain: Where the entry is; a home there is the nearest.
        random: Draws one by its servers if none is near.
    """
    for index, coordinator in enumerate(coordinators):
        if coordinator.failure_domain == failure_domain and weights[index]:
            return index
    if not any(weights):
        return 0
    (first,) = random.choices(range(len(coordinators)), weights)
    return first


def choose_coordinators(
    service: str, members: Iterable[Member], count: int
) -> tuple[Member, ...]:
    """Returns the homes of a service, each in another failure domain.

    Args:
        service: The service's name.
        members: Entries of the view; only live ones become homes.
        count: Most homes.
    """
    live = {
        member.name: member
        for member in members
        if member.state is LifecycleState.LIVE
    }
    coordinators: dict[str, Member] = {}
    for name in rank(service, live):
        member = live[name]
        coordinators.setdefault(member.failure_domain, member)
    return tuple(coordinators.values())[:count]


def find_coordinator(
    server: NodeRecord, coordinators: Sequence[Member]
) -> Member | None:
    """Returns the one home that grants leases at a server.

    A home in the server's failure domain goes first.
    """
    near = [
        coordinator
        for coordinator in coordinators
        if coordinator.failure_domain == server.failure_domain
    ]
    candidates = near or coordinators
    return max(
        candidates,
        key=lambda home: score(server.name, home.name),
        default=None,
    )


class Placement:
    """The homes of one service in one view.

    Attributes:
        coordinators: The homes in their rendezvous order.
        servers_by_coordinator: Servers by the name of the home that owns them.
    """

    __slots__ = ('coordinators', 'servers_by_coordinator')

    def __init__(
        self, coordinators: Sequence[Member], servers: Iterable[NodeRecord]
    ) -> None:
        """Gives each server its owner."""
        self.coordinators = tuple(coordinators)
        self.servers_by_coordinator: dict[str, list[NodeRecord]] = {
            coordinator.name: [] for coordinator in self.coordinators
        }
        for server in servers:
            owner = find_coordinator(server, self.coordinators)
            if owner is not None:
                self.servers_by_coordinator[owner.name].append(server)

    @classmethod
    def of_service(
        cls,
        service: str,
        members: Sequence[Member],
        servers: Sequence[NodeRecord],
        *,
        slots_per_server: int,
    ) -> 'Placement':
        """Places one service over the entries of a view."""
        domains = {
            member.failure_domain
            for member in members
            if member.state is LifecycleState.LIVE
        }
        slot_count = slots_per_server * len(servers)
        count = count_coordinators(slot_count, len(domains))
        return cls(choose_coordinators(service, members, count), servers)
