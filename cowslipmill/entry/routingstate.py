"""The configuration, servers and members that an entry uses."""

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

# Computing the placement of one service takes about 0.3 ms.
REFRESH_BATCH_SIZE = 8


class RoutingState:
    """Routes, servers and budgets, updated from the agent's feed.

    Attributes:
        document: The document in force, or None.
        routes: Its route table.
        pools: Servers by service.
        budgets: Retry budgets by service.
        view: Records of hosts and servers.
        services: Services of the document by name.
        members: Entries of the deployment, including this one.
        members_told: Whether the agent has told them.
        placements: Coordinators by service.
        largest_membership: The largest membership recently known.
        synced_at: When the agent had last heard from another host (monotonic
            seconds), or None before it knew any.
        stale_services: Services whose servers and coordinators must still be
            recomputed.
        on_refresh: Called with each service that was refreshed.
    """

    __slots__ = (
        'budgets',
        'document',
        'largest_membership',
        'members',
        'members_told',
        'on_refresh',
        'placements',
        'pools',
        'routes',
        'services',
        'stale_services',
        'synced_at',
        'view',
    )

    def __init__(self, member: Member) -> None:
        """Starts without a document.

        Args:
            member: This entry, the only member until the agent sends more.
        """
        self.members: tuple[Member, ...] = (member,)
        self.members_told = False
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
        """Applies a document unless its version is older.

        The feed client decides between two documents of one version.

        Returns:
            Whether the document was applied.
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
        """Merges records and refreshes the services that they change."""
        changed = self.view.merge(records)
        self.mark_stale({record.service for record in changed})

    def view_age_ms(self, now: float) -> int:
        """Returns the age of the view of other hosts and servers.

        Args:
            now: Monotonic seconds.

        Returns:
            Milliseconds; 0 if no other host was ever known.
        """
        if self.synced_at is None:
            return 0
        return max(0, int((now - self.synced_at) * 1000))

    def record_sync(self, age_ms: int, now: float) -> None:
        """Records when the agent last heard from another host.

        Ignored while all members are on one host.

        Args:
            age_ms: How long ago that was, milliseconds.
            now: Monotonic seconds.
        """
        if len({member.host for member in self.members}) > 1:
            self.synced_at = now - age_ms / 1000

    def update_members(self, members: Iterable[Member], now: float) -> None:
        """Sets the entries of the deployment.

        If the live ones changed, all services become stale.

        Args:
            members: Every entry that the agent knows.
            now: Monotonic seconds.
        """
        known = live_members(self.members)
        self.members = tuple(members) or self.members
        self.members_told = True
        live = live_members(self.members)
        self.largest_membership.update(len(live), now)
        if live != known:
            self.mark_stale(self.services)

    def mark_stale(self, services: Iterable[str]) -> None:
        """Refreshes one batch of services at once and leaves the others stale.

        A change of members affects every service; refreshing hundreds of
        them at once would delay requests.
        """
        self.stale_services.update(services)
        self.refresh_batch()

    def refresh_batch(self) -> bool:
        """Refreshes up to `REFRESH_BATCH_SIZE` stale services.

        Returns:
            Whether any stale service is left.
        """
        for _ in range(min(len(self.stale_services), REFRESH_BATCH_SIZE)):
            self.refresh(self.stale_services.pop())
        return bool(self.stale_services)

    def refresh_if_stale(self, service: str) -> None:
        """Refreshes one service that is about to be used."""
        if service in self.stale_services:
            self.stale_services.discard(service)
            self.refresh(service)

    def refresh(self, service: str) -> None:
        """Recomputes the live servers and the coordinators of one service."""
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
