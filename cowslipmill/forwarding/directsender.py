"""Sends requests to servers over this host's own connections."""

from asyncio import CancelledError
from asyncio import get_running_loop
from collections.abc import Callable
from time import time

from prometheus_client import Counter
from prometheus_client import Histogram

from cowslipmill.forwarding.headercodec import HeaderCodec
from cowslipmill.forwarding.headercodec import ResponseClass
from cowslipmill.forwarding.idlelimits import IdleLimits
from cowslipmill.forwarding.idlelimits import is_idle_loss
from cowslipmill.forwarding.requestcontext import OutgoingRequest
from cowslipmill.forwarding.sendresult import Lost
from cowslipmill.forwarding.sendresult import Sent
from cowslipmill.http1.message import Response
from cowslipmill.http1.pool import ConnectionPool
from cowslipmill.http1.pool import MAX_IDLE_PER_SERVER
from cowslipmill.http1.serverconnection import ConnectFailed
from cowslipmill.http1.serverconnection import Dialer
from cowslipmill.http1.serverconnection import ExchangeFailed
from cowslipmill.http1.serverconnection import ServerConnection
from cowslipmill.leasing.leasemanager import LeaseManager
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.serverpauses import ServerPauses
from cowslipmill.paths.pathchecker import PathChecker
from cowslipmill.view.server import ServerRecord
from cowslipmill.view.view import View

# Opening a connection to another failure domain takes about 3 ms.
CONNECT_TIMEOUT_S = 0.2
# Idle connections of all hosts use at most one in this many of the
# connections that a server accepts.
IDLE_DIVISOR = 2
# The path to a server is checked if a response takes this many times its
# expected duration, and the minimum time at least.
OVERDUE_FACTOR = 1.5
MIN_OVERDUE_S = 0.25

CONNECTIONS = Counter(
    'cowslipmill_host_server_connections_total',
    'Connections to servers by how their set-up ended.',
    ('result',),
)
CONNECT_DURATION = Histogram(
    'cowslipmill_host_connect_duration_seconds',
    'Set-up of a connection to a server.',
    buckets=(0.001, 0.002, 0.004, 0.008, 0.02, 0.05, 0.1, 0.2),
)

# Responses that say that the server did not execute the request. A copy of
# one would answer the same request if that came again on the connection.
REFUSED_CLASSES = frozenset(
    (
        ResponseClass.SHED,
        ResponseClass.WRONG_SERVER,
        ResponseClass.NOT_ACCEPTED,
    )
)
# Responses that may not be from the server that the request was sent to.
OTHER_SENDER_CLASSES = frozenset(
    (ResponseClass.WRONG_SERVER, ResponseClass.UNVERIFIED)
)


class DirectSender:
    """Sends requests over pooled connections, and checks overdue paths.

    Attributes:
        view: The configuration and servers in force.
        lease_manager: Knows the hosts and the rate limits of servers.
        dialer: Opens connections to servers.
        checker: Checks the paths to servers.
        paths: What this host believes of the paths to servers.
        idle_limits: How long connections may be idle, by service.
        header_codec: Reads and writes HTTP headers of callers and servers.
        pool: Idle connections by server.
        pauses: Servers that want nothing from this host for a time.
        on_leaving: Called with the name and the start of a server that says
            that it leaves.
    """

    def __init__(
        self,
        view: View,
        lease_manager: LeaseManager,
        checker: PathChecker,
        idle_limits: IdleLimits,
        header_codec: HeaderCodec,
        clock: Callable[[], float],
        on_leaving: Callable[[str, int], None],
    ) -> None:
        """Creates the sender without connections.

        Args:
            view: The configuration and servers in force.
            lease_manager: Knows the hosts and the rate limits of servers.
            checker: Checks the paths to servers; its dialer and pool are
                used.
            idle_limits: How long connections may be idle, by service.
            header_codec: Reads and writes HTTP headers of callers and servers.
            clock: Returns monotonic seconds.
            on_leaving: Called with the name and the start of a server that
                says that it leaves.
        """
        self.on_leaving = on_leaving
        self.view = view
        self.lease_manager = lease_manager
        self.dialer: Dialer = checker.dialer
        self.checker = checker
        self.paths = checker.paths
        self.idle_limits = idle_limits
        self.header_codec = header_codec
        self.clock = clock
        self.pool: ConnectionPool = checker.pool
        self.pauses: ServerPauses = checker.pauses

    def max_idle_connections(self, service: str) -> int:
        """Returns how many idle connections to keep to each server.

        The idle connections of all hosts leave half of the connections that
        a server accepts to requests in progress.
        """
        configured = self.view.services.get(service)
        if configured is None:
            return MAX_IDLE_PER_SERVER
        hosts = len(self.lease_manager.member_list.states)
        share = configured.max_connections // (IDLE_DIVISOR * hosts)
        return max(1, min(MAX_IDLE_PER_SERVER, share))

    def find_server(self, grant: Grant) -> ServerRecord | None:
        """Returns the server of a grant if it still accepts requests.

        Returns:
            None if the server is gone, is leaving or has restarted since, or
            if its failure domain is evacuated.
        """
        if self.is_evacuated(grant):
            return None
        known = self.view.servers.get(grant.server)
        if known is None or known.record.leaving:
            return None
        if known.record.started_ms != grant.started_ms:
            return None
        return known.record

    def is_evacuated(self, grant: Grant) -> bool:
        """Returns whether the failure domain of a grant's server is."""
        known = self.view.servers.get(grant.server)
        domain = grant.failure_domain
        if known is not None:
            domain = known.record.failure_domain
        return self.view.evacuations.is_active(domain)

    def is_paused(self, server: ServerRecord) -> bool:
        """Returns whether a server wants nothing from this host now."""
        return self.pauses.is_paused(server, self.clock())

    async def connect(self, server: ServerRecord) -> ServerConnection:
        """Returns a pooled or new connection to a server.

        Raises:
            ConnectFailed: If the connection could not be opened within
                `CONNECT_TIMEOUT_S`.
        """
        now = self.clock()
        max_idle_s = self.idle_limits.max_idle_s(server.service, now)
        pooled = self.pool.acquire(server.address, now, max_idle_s=max_idle_s)
        if pooled is not None:
            return pooled
        try:
            connection = await self.dialer.open(
                server.address,
                CONNECT_TIMEOUT_S,
                self.header_codec.request_id_header,
            )
        except ConnectFailed as error:
            CONNECTIONS.labels('failed').inc()
            self.paths.record_unreached(
                server.address, str(error), self.clock()
            )
            raise
        CONNECTIONS.labels('opened').inc()
        CONNECT_DURATION.observe(self.clock() - now)
        return connection

    async def exchange(
        self,
        outgoing: OutgoingRequest,
        server: ServerRecord,
        connection: ServerConnection,
        expected_duration_s: float,
    ) -> Sent | Lost:
        """Sends the request with its remaining time and awaits the response.

        Args:
            outgoing: The request.
            server: The server.
            connection: A connection to it.
            expected_duration_s: Expected time to the response, in seconds.

        Returns:
            Sent, or Lost if no complete response arrived.

        Raises:
            ConnectFailed: If the connection is closed, before anything is
                sent.
        """
        try:
            return await self.exchange_on(
                outgoing, server, connection, expected_duration_s
            )
        except BaseException:
            connection.close()
            raise

    async def exchange_on(
        self,
        outgoing: OutgoingRequest,
        server: ServerRecord,
        connection: ServerConnection,
        expected_duration_s: float,
    ) -> Sent | Lost:
        """Sends the request; see `exchange`, which closes after an error."""
        sent_at = self.clock()
        request = self.header_codec.server_request(
            outgoing.request, server, outgoing.deadline_at - sent_at
        )
        idle_s = connection.idle_s(sent_at)
        overdue_s = max(MIN_OVERDUE_S, OVERDUE_FACTOR * expected_duration_s)
        timer = get_running_loop().call_later(
            overdue_s, self.check_overdue_path, server, sent_at
        )
        try:
            response = await connection.exchange(request)
        except ExchangeFailed as error:
            idle = error.reset and is_idle_loss(
                idle_s,
                self.clock() - sent_at,
                response_started=connection.response_started,
            )
            if idle:
                self.idle_limits.report_loss(server.service, idle_s)
            path_lost = self.paths.is_lost(server.address)
            return Lost(server.name, str(error), error.reset, idle, path_lost)
        except CancelledError:
            # The connection may no longer deliver data, and the same may
            # hold for pooled ones that were opened before it.
            if self.clock() >= outgoing.deadline_at:
                self.pool.close_idle(server.address)
            raise
        finally:
            timer.cancel()
        self.paths.record_reached(
            server.address, connection.opened_at, self.clock()
        )
        sent = self.classify(server, response)
        if sent.response_class in REFUSED_CLASSES:
            connection.close()
        max_idle = self.max_idle_connections(server.service)
        self.pool.release(server.address, connection, max_idle=max_idle)
        return sent

    def check_overdue_path(self, server: ServerRecord, sent_at: float) -> None:
        """Checks the path to a server that hasn't responded since a time."""
        if not self.paths.was_reached_since(server.address, sent_at):
            self.checker.request_check(server)

    def classify(self, server: ServerRecord, response: Response) -> Sent:
        """Returns a server's response and records what it says of itself."""
        response_class = self.header_codec.classify(response)
        pause_s = self.header_codec.pause_s(response, time())
        if pause_s is not None:
            self.pauses.record(server, pause_s, self.clock())
        if response_class not in OTHER_SENDER_CLASSES:
            if self.header_codec.announces_leaving(response):
                self.on_leaving(server.name, server.started_ms)
            limits = self.lease_manager.rate_limits
            known_per_s = limits.per_s(server.name, server.started_ms)
            per_s = self.header_codec.rate_limit(response, known_per_s)
            limits.record(server.name, server.started_ms, per_s, self.clock())
        return Sent(server.name, response_class, response)
