"""What this host believes of its network paths to servers.

For the case that this host loses its links to some or all servers while other
hosts keep theirs: a server that can't be reached from here isn't down, and
requests to it go by way of another host.
"""

from collections.abc import Callable
from collections.abc import Collection
from logging import getLogger

LOG = getLogger(__name__)

# Time until a lost path is checked again; doubles with each failed check.
FIRST_CHECK_INTERVAL_S = 0.25
MAX_CHECK_INTERVAL_S = 1.0
# So many servers in a row without one that was reached mean that this host
# has lost its links, not that the servers are down.
ISOLATION_FAILURES = 3

Address = tuple[str, int]


class ServerPath:
    """The path to one server.

    All times are monotonic seconds.

    Attributes:
        lost_at: When the server could not be reached; None if it can be.
        reached_at: When the server last responded.
        running_since: Since when the server is known to have run without a
            restart, by connections that outlast each other.
        next_check_at: When the path may be checked again.
        check_interval_s: Time from the next check to the one after it.
    """

    __slots__ = (
        'check_interval_s',
        'lost_at',
        'next_check_at',
        'reached_at',
        'running_since',
    )

    def __init__(self) -> None:
        """Starts as a path that is not lost."""
        self.lost_at: float | None = None
        self.reached_at = float('-inf')
        self.running_since = float('inf')
        self.next_check_at = float('-inf')
        self.check_interval_s = FIRST_CHECK_INTERVAL_S


class ServerPaths:
    """The paths to all servers.

    Attributes:
        paths: Paths by the server's address.
        unreached: Addresses of the servers that could not be reached since
            any server was.
        unreached_at: When the last of them could not be reached, in monotonic
            seconds.
        on_lost: Called with the address of a server whose path is lost, or
            with None if this host has become isolated.
    """

    __slots__ = ('on_lost', 'paths', 'unreached', 'unreached_at')

    def __init__(self, on_lost: Callable[[Address | None], None]) -> None:
        """Starts without lost paths."""
        self.on_lost = on_lost
        self.paths: dict[Address, ServerPath] = {}
        self.unreached: set[Address] = set()
        self.unreached_at = float('-inf')

    @property
    def isolated(self) -> bool:
        """Whether this host seems to have lost its links to all servers."""
        return len(self.unreached) >= ISOLATION_FAILURES

    def path(self, address: Address) -> ServerPath:
        """Returns the path to a server, creating it if necessary."""
        return self.paths.setdefault(address, ServerPath())

    def is_lost(self, address: Address) -> bool:
        """Returns whether a server can't be reached over own links."""
        if self.isolated:
            return True
        path = self.paths.get(address)
        return path is not None and path.lost_at is not None

    def was_reached_since(self, address: Address, since: float) -> bool:
        """Returns whether a server has responded since a time.

        Args:
            address: The server's address.
            since: Monotonic seconds.
        """
        path = self.paths.get(address)
        return path is not None and path.reached_at >= since

    def has_run_through(
        self, address: Address, since: float, until: float
    ) -> bool:
        """Returns whether a server is known to have run without a restart.

        A restart ends all connections, so one that was opened before and
        responds afterwards shows that there was none.

        Args:
            address: The server's address.
            since: Monotonic seconds.
            until: Monotonic seconds.
        """
        path = self.paths.get(address)
        if path is None:
            return False
        return path.running_since <= since and path.reached_at >= until

    def record_reached(
        self, address: Address, opened_at: float, now: float
    ) -> None:
        """Records that a server responded.

        A response on a connection that was opened before a loss doesn't show
        that new connections can be opened again.

        Args:
            address: The server's address.
            opened_at: When the connection was opened, in monotonic seconds.
            now: Monotonic seconds.
        """
        path = self.path(address)
        if opened_at <= path.reached_at:
            path.running_since = min(path.running_since, opened_at)
        else:
            path.running_since = opened_at
        path.reached_at = now
        if opened_at > self.unreached_at:
            if self.isolated:
                LOG.info(
                    'servers in reach', extra={'lost': len(self.unreached)}
                )
            self.unreached.clear()
        if path.lost_at is not None and opened_at > path.lost_at:
            path.lost_at = None
            path.check_interval_s = FIRST_CHECK_INTERVAL_S
            LOG.info('server in reach', extra={'address': text_of(address)})

    def record_unreached(
        self, address: Address, reason: str, now: float
    ) -> None:
        """Records that a server could not be reached.

        Args:
            address: The server's address.
            reason: Why, as written into the log.
            now: Monotonic seconds.
        """
        path = self.path(address)
        was_isolated = self.isolated
        self.unreached.add(address)
        self.unreached_at = now
        path.next_check_at = now + path.check_interval_s
        path.check_interval_s = min(
            MAX_CHECK_INTERVAL_S, 2 * path.check_interval_s
        )
        was_lost = path.lost_at is not None
        path.lost_at = now
        if not was_lost:
            LOG.info(
                'server out of reach',
                extra={'address': text_of(address), 'reason': reason},
            )
            self.on_lost(address)
        if self.isolated and not was_isolated:
            LOG.info('servers out of reach', extra={'reason': reason})
            self.on_lost(None)

    def start_check(self, address: Address, now: float) -> bool:
        """Returns whether the path to a server is to be checked now.

        The next check is due only after an interval.
        """
        path = self.path(address)
        if now < path.next_check_at:
            return False
        path.next_check_at = now + path.check_interval_s
        return True

    def retain(self, addresses: Collection[Address]) -> None:
        """Forgets the paths to other addresses than the given ones."""
        for address in self.paths.keys() - set(addresses):
            del self.paths[address]
            self.unreached.discard(address)


def text_of(address: Address) -> str:
    """Returns an address as `IP:PORT`."""
    host, port = address
    return f'{host}:{port}'
