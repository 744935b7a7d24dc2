"""Idle connections to servers."""

from collections import deque

from cowslipmill.http1.serverconnection import ServerConnection

Address = tuple[str, int]

# Idle connections kept to one server; a host rarely has more in flight.
MAX_IDLE_PER_SERVER = 8


class ConnectionPool:
    """Keeps connections between requests, the last used first.

    Attributes:
        idle: Connections by the server's address.
    """

    __slots__ = ('idle',)

    def __init__(self) -> None:
        """Starts empty."""
        self.idle: dict[Address, deque[ServerConnection]] = {}

    def acquire(
        self,
        address: Address,
        now: float,
        *,
        max_idle_s: float = float('inf'),
    ) -> ServerConnection | None:
        """Returns a usable connection, or None.

        Args:
            address: The server's address.
            now: Monotonic seconds.
            max_idle_s: How long the connection may have rested.
        """
        idle = self.idle.get(address)
        while idle:
            connection = idle.pop()
            if (
                connection.usable
                and now < connection.idle_deadline
                and connection.idle_s(now) <= max_idle_s
            ):
                return connection
            connection.close()
        return None

    def release(
        self,
        address: Address,
        connection: ServerConnection,
        *,
        max_idle: int = MAX_IDLE_PER_SERVER,
    ) -> None:
        """Keeps a connection whose exchange ended well.

        Args:
            address: The server's address.
            connection: The connection.
            max_idle: Idle connections to keep to that server.
        """
        if not connection.usable:
            connection.close()
            return
        idle = self.idle.setdefault(address, deque())
        while len(idle) >= max_idle:
            idle.popleft().close()
        idle.append(connection)

    def close_idle(self, address: Address) -> None:
        """Closes every idle connection to a server."""
        for connection in self.idle.pop(address, ()):
            connection.close()

    def close_expired(self, now: float) -> None:
        """Closes connections that were idle for too long."""
        for address, idle in list(self.idle.items()):
            while idle and (
                not idle[0].usable or now >= idle[0].idle_deadline
            ):
                idle.popleft().close()
            if not idle:
                del self.idle[address]
