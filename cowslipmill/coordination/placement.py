"""Assignment of coordinators to services and their servers."""

from collections.abc import Iterable
from collections.abc import Sequence
from math import ceil
from random import Random

from cowslipmill.coordination.rendezvous import rank
from cowslipmill.coordination.rendezvous import score
from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.hosts.noderecord import NodeRecord

SLOTS_PER_COORDINATOR = 240


def count_coordinators(slot_count: int, domain_count: int) -> int:
    """Returns how many coordinators a service gets.

    Args:
        slot_count: Slots of all its servers.
        domain_count: Failure domains that have an entry.
    """
    needed = ceil(slot_count / SLOTS_PER_COORDINATOR)
    return max(1, min(needed, domain_count))


def choose_first_coordinator(
    coordinators: Sequence[Member],
    weights: Sequence[int],
    failure_domain: str,
    random: Random,
) -> int:
    """Returns the index of the coordinator that an entry asks first.

    Args:
        coordinators: Reachable coordinators.
        weights: Number of servers that each of them has.
        failure_domain: Failure domain of the entry; a coordinator in it is
            preferred.
        random: Draws one by its number of servers if none is preferred.
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
    """Returns the coordinators of a service, one per failure domain.

    Args:
        service: The service's name.
        members: Entries of the view; only live ones become coordinators.
        count: Most coordinators to return.
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
    """Returns the coordinator that grants leases on a server.

    A coordinator in the server's failure domain is preferred.

    Returns:
        The coordinator, or None if there are none.
    """
    near = [
        coordinator
        for coordinator in coordinators
        if coordinator.failure_domain == server.failure_domain
    ]
    candidates = near or coordinators
    return max(
        candidates,
        key=lambda coordinator: score(server.name, coordinator.name),
        default=None,
    )


class Placement:
    """Coordinators of one service and the servers assigned to each.

    Attributes:
        coordinators: Coordinators in their rendezvous order.
        servers_by_coordinator: Servers by the name of their
            coordinator.
    """

    __slots__ = ('coordinators', 'servers_by_coordinator')

    def __init__(
        self, coordinators: Sequence[Member], servers: Iterable[NodeRecord]
    ) -> None:
        """Assigns each server to a coordinator."""
        self.coordinators = tuple(coordinators)
        self.servers_by_coordinator: dict[str, list[NodeRecord]] = {
            coordinator.name: [] for coordinator in self.coordinators
        }
        for server in servers:
            assigned = find_coordinator(server, self.coordinators)
            if assigned is not None:
                self.servers_by_coordinator[assigned.name].append(server)

    @classmethod
    def of_service(
        cls,
        service: str,
        members: Sequence[Member],
        servers: Sequence[NodeRecord],
        *,
        slots_per_server: int,
    ) -> 'Placement':
        """Assigns one service to the entries of a view."""
        domains = {
            member.failure_domain
            for member in members
            if member.state is LifecycleState.LIVE
        }
        slot_count = slots_per_server * len(servers)
        count = count_coordinators(slot_count, len(domains))
        return cls(choose_coordinators(service, members, count), servers)
