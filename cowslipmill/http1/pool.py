"""A pool of idle connections to backend servers."""

from collections import deque

from cowslipmill.http1.serverconnection import ServerConnection

Address = tuple[str, int]

# A host rarely has more concurrent requests at one server than this.
MAX_IDLE_PER_SERVER = 8


class ConnectionPool:
    """Keeps idle connections and reuses the most recently used one first.

    Attributes:
        idle: Idle connections by server address, least recently used first.
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
        """Removes and returns a usable connection, or returns None.

        Closes the connections that it finds unusable or idle for too long.

        Args:
            address: The server's address.
            now: Monotonic seconds.
            max_idle_s: How long the connection may have been idle.
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
        """Returns a connection to the pool, or closes it if it is unusable.

        Args:
            address: The server's address.
            connection: The connection, with no request open.
            max_idle: Idle connections to keep to that server; the least
                recently used ones beyond it are closed.
        """
        if not connection.usable:
            connection.close()
            return
        idle = self.idle.setdefault(address, deque())
        while len(idle) >= max_idle:
            idle.popleft().close()
        idle.append(connection)

    def close_idle(self, address: Address) -> None:
        """Closes all idle connections to a server."""
        for connection in self.idle.pop(address, ()):
            connection.close()

    def close_all(self) -> None:
        """Closes all idle connections."""
        for address in list(self.idle):
            self.close_idle(address)

    def close_expired(self, now: float) -> None:
        """Closes unusable connections and those past their idle deadline."""
        for address, idle in list(self.idle.items()):
            while idle and (
                not idle[0].usable or now >= idle[0].idle_deadline
            ):
                idle.popleft().close()
            if not idle:
                del self.idle[address]
