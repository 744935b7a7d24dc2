"""True occupancy of the stand-in servers of one process."""

from collections import Counter
from collections.abc import Collection
from typing import Protocol


class Occupied(Protocol):
    """A stand-in server.

    Attributes:
        running: Requests that hold a slot.
        waiting: Requests that wait for a slot.
    """

    running: int
    waiting: int


class Occupancy:
    """Answers which server has the fewest requests now.

    Attributes:
        servers: Servers by service and name.
        on_the_way: Requests sent to a server by an answer given here and not
            yet received by it.
    """

    __slots__ = ('on_the_way', 'servers')

    def __init__(self) -> None:
        """Starts without servers."""
        self.servers: dict[str, dict[str, Occupied]] = {}
        self.on_the_way: Counter[str] = Counter()

    def add(self, service: str, name: str, server: Occupied) -> None:
        """Adds a server."""
        self.servers.setdefault(service, {})[name] = server

    def choose_least(self, service: str, excluded: Collection[str]) -> str:
        """Returns the name of the least occupied server, or ''."""
        names = [
            name
            for name in self.servers.get(service, {})
            if name not in excluded
        ]
        if not names:
            return ''
        name = min(names, key=lambda name: self.count(service, name))
        self.on_the_way[name] += 1
        return name

    def count(self, service: str, name: str) -> int:
        """Returns the requests at a server or on their way to it."""
        server = self.servers[service][name]
        return server.running + server.waiting + self.on_the_way[name]

    def arrive(self, name: str) -> None:
        """Notes that a server has received a request."""
        if self.on_the_way[name]:
            self.on_the_way[name] -= 1
