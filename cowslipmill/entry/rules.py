"""The rules that an entry has in force."""

from collections.abc import Callable
from collections.abc import Iterable

from cowslipmill.choice.pool import Pool
from cowslipmill.document.document import Document
from cowslipmill.document.document import Service
from cowslipmill.homes.placement import Placement
from cowslipmill.hosts.fact import Fact
from cowslipmill.hosts.fact import State
from cowslipmill.hosts.member import Member
from cowslipmill.hosts.view import View
from cowslipmill.limits.membership import LargestMembership
from cowslipmill.routing.table import RouteTable
from cowslipmill.tries.budget import RetryBudget


class Rules:
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
        largest: The largest membership recently known.
        on_refresh: Called with each service whose servers or homes changed.
    """

    __slots__ = (
        'budgets',
        'document',
        'largest',
        'members',
        'on_refresh',
        'placements',
        'pools',
        'routes',
        'services',
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
        self.largest = LargestMembership()
        self.on_refresh: list[Callable[[str], None]] = []
        self.document: Document | None = None
        self.routes = RouteTable()
        self.pools: dict[str, Pool] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.view = View()

    def put_in_force(self, document: Document) -> bool:
        """Puts a document in force unless its version is an older one.

        The feed decides between two documents of one version.
        """
        if self.document and document.version < self.document.version:
            return False
        self.document = document
        self.routes = RouteTable(document.routes)
        self.services = {
            service.name: service for service in document.services
        }
        names = list(self.services)
        self.pools = {name: self.pools.get(name, Pool()) for name in names}
        self.budgets = {
            service.name: RetryBudget(service.retry_share)
            for service in document.services
        }
        for name in names:
            self.refresh(name)
        return True

    def take_facts(self, facts: Iterable[Fact]) -> None:
        """Merges facts and refreshes the services that they change."""
        news = self.view.merge(facts)
        for name in {fact.service for fact in news}:
            self.refresh(name)

    def take_members(self, members: Iterable[Member], now: float) -> None:
        """Takes in the entries of the deployment and places services anew.

        Args:
            members: Every entry that the agent knows.
            now: Monotonic seconds.
        """
        self.members = tuple(members) or self.members
        live = [m for m in self.members if m.state is State.LIVE]
        self.largest.update(len(live), now)
        for name in self.services:
            self.refresh(name)

    def refresh(self, service: str) -> None:
        """Sets the live servers of one service and its homes."""
        pool = self.pools.get(service)
        if pool is None:
            return
        pool.replace(self.view.servers(service))
        self.placements[service] = Placement.of_service(
            service,
            self.members,
            [server.fact for server in pool.servers.values()],
            slots_per_server=self.services[service].slots_per_server,
        )
        for tell in self.on_refresh:
            tell(service)
