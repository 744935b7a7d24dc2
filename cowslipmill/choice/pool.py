"""The backend servers of one service, as one process sees them."""

from collections.abc import Collection
from collections.abc import Iterable
from random import Random

from cowslipmill.choice.server import Server
from cowslipmill.hosts.fact import Fact


class Pool:
    """Servers that may get new work.

    Attributes:
        servers: Servers by name.
    """

    __slots__ = ('servers',)

    def __init__(self) -> None:
        """Starts without servers."""
        self.servers: dict[str, Server] = {}

    def replace(self, facts: Iterable[Fact]) -> None:
        """Sets the live servers, keeping what is known of the same ones."""
        servers = {}
        for fact in facts:
            known = self.servers.get(fact.name)
            if known is None or known.fact.incarnation != fact.incarnation:
                known = Server(fact)
            known.fact = fact
            servers[fact.name] = known
        self.servers = servers

    def choose(
        self, excluded: Collection[str], random: Random
    ) -> Server | None:
        """Returns the server with the fewest requests in flight.

        Args:
            excluded: Names of servers that were tried already.
            random: Breaks ties.
        """
        candidates = [
            server
            for server in self.servers.values()
            if server.name not in excluded
        ]
        if not candidates:
            return None
        fewest = min(server.in_flight for server in candidates)
        return random.choice(
            [server for server in candidates if server.in_flight == fewest]
        )
