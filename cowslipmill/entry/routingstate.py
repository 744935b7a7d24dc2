"""The rules that an entry has in force."""

from collections.abc import Callable
from collections.abc import Iterable

from cowslipmill.attempts.budget import RetryBudget
from cowslipmill.choice.pool import ServerPool
from cowslipmill.coordination.placement import Placement
from cowslipmill.document.document import Document
from cowslipmill.document.document import Service
from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.nodetable import NodeTable
from cowslipmill.limits.membership import LargestMembership
from cowslipmill.routing.table import RouteTable

# Placing one service takes about 0.3 ms.
REFRESH_BATCH_SIZE = 8


class RoutingState:
    """Routes, servers and budgets, replaced as the agent tells of news.

    Attributes:
        document: The document in force, or None.
        routes: Its route table.
        pools: Servers by service.
        budgets: Retry budgets by service.
        view: Facts about hosts and servers.
        services: Services of the document by name.
        members: Entries of the deployment, this one among them.
        placements: Homes by service.
        largest_membership: The largest membership recently known.
        synced_at: When the agent had last heard from another host, or None
            before it knew any.
        stale_services: Services whose servers or homes are still to be set
            anew.
        on_refresh: Called with each service whose servers or homes changed.
    """

    __slots__ = (
        'budgets',
        'document',
        'synced_at',
        'largest_membership',
        'members',
        'on_refresh',
        'placements',
        'pools',
        'routes',
        'services',
        'stale_services',
        'view',
    )

    def __init__(self, member: Member) -> None:
        """Starts with nothing in force.

        Args:
            member: This entry, alone until the agent names others.
        """
        self.members: tuple[Member, ...] = (member,)
        self.services: dict[str, Service] = {}
        self.placements: dict[str, Placement] = {}
        self.largest_membership = LargestMembership()
        self.on_refresh: list[Callable[[str], None]] = []
        self.document: Document | None = None
        self.routes = RouteTable()
        self.pools: dict[str, ServerPool] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.view = NodeTable()
        self.stale_services: set[str] = set()
        self.synced_at: float | None = None

    def apply_document(self, document: Document) -> bool:
        """Puts a document in force unless its version is an older one.

        The feed decides between two documents of one version.
        """
        if self.document and document.version < self.document.version:
            return False
        self.document = document
        self.routes.replace(document.routes)
        known, self.services = (
            self.services,
            {service.name: service for service in document.services},
        )
        changed = {
            name
            for name, service in self.services.items()
            if known.get(name) != service
        }
        for name in known.keys() - self.services.keys():
            del self.pools[name], self.budgets[name], self.placements[name]
        for name in changed:
            self.pools.setdefault(name, ServerPool())
            share = self.services[name].retry_share
            budget = self.budgets.setdefault(name, RetryBudget(share))
            budget.share = share
            self.placements.setdefault(name, Placement((), ()))
        self.mark_stale(changed)
        return True

    def merge_facts(self, records: Iterable[NodeRecord]) -> None:
        """Merges facts and refreshes the services that they change."""
        changed = self.view.merge(records)
        self.mark_stale({fact.service for fact in changed})

    def view_age_ms(self, now: float) -> int:
        """Returns how old the view of other hosts and servers is."""
        if self.synced_at is None:
            return 0
        return max(0, int((now - self.synced_at) * 1000))

    def record_sync(self, age_ms: int, now: float) -> None:
        """Takes in how long ago the agent had heard from another host."""
        if len({member.host for member in self.members}) > 1:
            self.synced_at = now - age_ms / 1000

    def update_members(self, members: Iterable[Member], now: float) -> None:
        """Takes in the entries of the deployment and places services anew.

        Args:
            members: Every entry that the agent knows.
            now: Monotonic seconds.
        """
        known = live_members(self.members)
        self.members = tuple(members) or self.members
        live = live_members(self.members)
        self.largest_membership.update(len(live), now)
        if live != known:
            self.mark_stale(self.services)

    def mark_stale(self, services: Iterable[str]) -> None:
        """Has services refreshed: a few at once, the others step by step.

        A change of members touches every service; to place hundreds of them
        at once would hold up requests.
        """
        self.stale_services.update(services)
        self.refresh_batch()

    def refresh_batch(self) -> bool:
        """Refreshes a few stale services and tells whether any are left."""
        for _ in range(min(len(self.stale_services), REFRESH_BATCH_SIZE)):
            self.refresh(self.stale_services.pop())
        return bool(self.stale_services)

    def refresh_if_stale(self, service: str) -> None:
        """Refreshes one service that is about to be used."""
        if service in self.stale_services:
            self.stale_services.discard(service)
            self.refresh(service)

    def refresh(self, service: str) -> None:
        """Sets the live servers of one service and its homes."""
        pool = self.pools.get(service)
        if pool is None:
            return
        pool.set_servers(self.view.servers(service))
        self.placements[service] = Placement.of_service(
            service,
            self.members,
            [server.record for server in pool.servers.values()],
            slots_per_server=self.services[service].slots_per_server,
        )
        for callback in self.on_refresh:
            callback(service)


def live_members(members: Iterable[Member]) -> set[tuple[str, int]]:
    """Returns name and incarnation of every live member."""
    return {
        (member.name, member.incarnation)
        for member in members
        if member.state is LifecycleState.LIVE
    }
