"""Keeps descriptors of the process free of callers' connections."""

from asyncio import BaseProtocol
from asyncio import BaseTransport
from asyncio import Protocol
from asyncio import Server
from asyncio import Transport
from logging import getLogger
from os import dup
from resource import getrlimit
from resource import RLIM_INFINITY
from resource import RLIMIT_NOFILE
from socket import socket
from typing import cast

from prometheus_client import Counter

from cowslipmill.http1.callerserver import CallerServer

LOG = getLogger(__name__)

# Callers get one in this many descriptors. Each of their requests may need a
# connection to a server; hosts, the store and the logs need some as well.
CALLER_DIVISOR = 2
# Connections that are accepted in one turn of the event loop, so that one
# burst doesn't take what is kept before any of it is turned away.
ACCEPTS_PER_TURN = 32

REFUSED = Counter(
    'cowslipmill_host_caller_connections_refused_total',
    'Connections of callers closed at once, to keep descriptors for the rest.',
)


class CallerGate:
    """The protocol factory of a listener, which bounds its connections.

    Attributes:
        server: Handles the connections that are let in.
        max_connections: How many are let in at the same time.
        full: Whether the last connection was turned away.
    """

    __slots__ = ('full', 'max_connections', 'server')

    def __init__(self, server: CallerServer, max_connections: float) -> None:
        """Starts open.

        Args:
            server: Handles the connections that are let in.
            max_connections: How many are let in at the same time; infinity
                for no bound.
        """
        self.server = server
        self.max_connections = max_connections
        self.full = False

    def __call__(self) -> BaseProtocol:
        """Returns the protocol object of a new connection."""
        is_open = len(self.server.connections)
        if is_open < self.max_connections:
            self.full = False
            return self.server()
        REFUSED.inc()
        if not self.full:
            self.full = True
            LOG.warning(
                'caller connections at limit',
                extra={'open': is_open, 'limit': self.max_connections},
            )
        return RefusedConnection()


class RefusedConnection(Protocol):
    """A connection that is closed at once; nothing of it is read."""

    def connection_made(self, transport: BaseTransport) -> None:
        """Closes the connection."""
        cast(Transport, transport).abort()


def max_caller_connections() -> float:
    """Returns how many connections of callers the process may hold.

    Returns:
        A share of its descriptors; infinity if these are not limited.
    """
    descriptors, _ = getrlimit(RLIMIT_NOFILE)
    if descriptors == RLIM_INFINITY:
        return float('inf')
    return max(1, descriptors // CALLER_DIVISOR)


def set_backlog(listener: Server, backlog: int) -> None:
    """Sets how many connections of a listener may wait to be accepted.

    The event loop takes the backlog that it is given also for the number of
    connections that it accepts in one turn.
    """
    for listening in listener.sockets:
        with socket(fileno=dup(listening.fileno())) as duplicate:
            duplicate.listen(backlog)
