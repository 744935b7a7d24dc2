"""The rules that an entry has in force."""

from collections.abc import Iterable

from cowslipmill.choice.pool import Pool
from cowslipmill.document.document import Document
from cowslipmill.hosts.fact import Fact
from cowslipmill.hosts.view import View
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
    """

    __slots__ = ('budgets', 'document', 'pools', 'routes', 'view')

    def __init__(self) -> None:
        """Starts with nothing in force."""
        self.document: Document | None = None
        self.routes = RouteTable()
        self.pools: dict[str, Pool] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.view = View()

    def put_in_force(self, document: Document) -> bool:
        """Puts a document in force if it is newer than the present one."""
        if self.document and document.version <= self.document.version:
            return False
        self.document = document
        self.routes = RouteTable(document.routes)
        names = [service.name for service in document.services]
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

    def refresh(self, service: str) -> None:
        """Sets the live servers of one service."""
        pool = self.pools.get(service)
        if pool is not None:
            pool.replace(self.view.servers(service))
