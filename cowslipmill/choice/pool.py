"""Live backend servers of one service, as this process knows them."""

from collections.abc import Collection
from collections.abc import Iterable
from random import Random

from cowslipmill.choice.server import Server
from cowslipmill.hosts.noderecord import NodeRecord


class ServerPool:
    """Servers that may get new requests.

    Attributes:
        servers: Servers by name.
    """

    __slots__ = ('servers',)

    def __init__(self) -> None:
        """Starts without servers."""
        self.servers: dict[str, Server] = {}

    def set_servers(self, records: Iterable[NodeRecord]) -> None:
        """Sets the live servers and keeps the state of known incarnations."""
        servers = {}
        for record in records:
            known = self.servers.get(record.name)
            if known is None or known.record.incarnation != record.incarnation:
                known = Server(record)
            known.record = record
            servers[record.name] = known
        self.servers = servers

    def choose(
        self, excluded: Collection[str], random: Random
    ) -> Server | None:
        """Returns the server with the fewest requests in flight, or None.

        Args:
            excluded: Names of the servers of earlier attempts.
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
