"""Sends requests to servers over pooled connections."""

from asyncio import CancelledError
from collections.abc import Callable
from dataclasses import dataclass

from prometheus_client import Counter
from prometheus_client import Histogram

from cowslipmill.forwarding.crashtracker import CrashTracker
from cowslipmill.forwarding.headercodec import HeaderCodec
from cowslipmill.forwarding.headercodec import ResponseClass
from cowslipmill.forwarding.idlelimits import IdleLimits
from cowslipmill.forwarding.idlelimits import is_idle_loss
from cowslipmill.forwarding.requestcontext import RequestContext
from cowslipmill.http1.message import Response
from cowslipmill.http1.pool import ConnectionPool
from cowslipmill.http1.pool import MAX_IDLE_PER_SERVER
from cowslipmill.http1.serverconnection import ConnectFailed
from cowslipmill.http1.serverconnection import Dialer
from cowslipmill.http1.serverconnection import ExchangeFailed
from cowslipmill.http1.serverconnection import ServerConnection
from cowslipmill.leasing.leasemanager import LeaseManager
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.view.server import ServerRecord
from cowslipmill.view.view import View

# Opening a connection to another failure domain takes about 3 ms.
CONNECT_TIMEOUT_S = 0.2
# Idle connections of all hosts use at most one in this many of the
# connections that a server accepts.
IDLE_DIVISOR = 2

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
EXCHANGE_DURATION = Histogram(
    'cowslipmill_host_exchange_duration_seconds',
    'Time from sending a request to a server to how that ended.',
    ('result',),
    buckets=(0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0),
)

# Responses that may not be from the server that the request was sent to.
OTHER_SENDER_CLASSES = frozenset(
    (ResponseClass.WRONG_SERVER, ResponseClass.UNVERIFIED)
)
LEASE_RESULTS = {
    ResponseClass.SUCCESS: LeaseResult.ANSWERED,
    ResponseClass.FAILURE: LeaseResult.FAILED,
    ResponseClass.SHED: LeaseResult.SHED,
    ResponseClass.WRONG_SERVER: LeaseResult.WRONG_SERVER,
    ResponseClass.NOT_ACCEPTED: LeaseResult.ANSWERED,
    ResponseClass.UNVERIFIED: LeaseResult.BROKEN,
}


# The names of the three result classes are written into logs.
@dataclass(frozen=True, slots=True)
class NotSent:
    """The server could not be reached; nothing was sent to it.

    Attributes:
        server: The server's name.
        reason: Why, as written into the log.
    """

    server: str
    reason: str


@dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent and no complete response arrived.

    Attributes:
        server: The server's name.
        reason: Why, as written into the log.
        reset: Whether the connection broke.
        idle: Whether the server had dropped the connection while it was
            idle, before the request.
    """

    server: str
    reason: str
    reset: bool
    idle: bool = False


@dataclass(frozen=True, slots=True)
class Sent:
    """The request was sent and the server responded.

    Attributes:
        server: The server's name.
        response_class: What the response implies for the request.
        response: The response.
    """

    server: str
    response_class: ResponseClass
    response: Response

    @property
    def reason(self) -> str:
        """The class of the response, as written into the log."""
        return self.response_class.value


SendResult = NotSent | Lost | Sent


class Sender:
    """Sends requests to the servers that leases were granted for.

    Attributes:
        view: The configuration and servers in force.
        lease_manager: Receives the results of the leases.
        dialer: Opens connections to servers.
        idle_limits: How long connections may be idle, by service.
        crash_tracker: Learns of servers that were lost with a request.
        header_codec: Reads and writes HTTP headers of callers and servers.
        pool: Idle connections by server.
    """

    def __init__(
        self,
        view: View,
        lease_manager: LeaseManager,
        dialer: Dialer,
        idle_limits: IdleLimits,
        crash_tracker: CrashTracker,
        header_codec: HeaderCodec,
        clock: Callable[[], float],
    ) -> None:
        """Creates the sender without connections.

        Args:
            view: The configuration and servers in force.
            lease_manager: Receives the results of the leases.
            dialer: Opens connections to servers.
            idle_limits: How long connections may be idle, by service.
            crash_tracker: Learns of servers that were lost with a request.
            header_codec: Reads and writes HTTP headers of callers and servers.
            clock: Returns monotonic seconds.
        """
        self.view = view
        self.lease_manager = lease_manager
        self.dialer = dialer
        self.idle_limits = idle_limits
        self.crash_tracker = crash_tracker
        self.header_codec = header_codec
        self.clock = clock
        self.pool = ConnectionPool()

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
            None if the server is gone, is leaving or has restarted since.
        """
        known = self.view.servers.get(grant.server)
        if known is None or known.record.leaving:
            return None
        if known.record.started_ms != grant.started_ms:
            return None
        return known.record

    def accepts_requests(self, grant: Grant) -> bool:
        """Returns whether the server of a grant still accepts requests."""
        return self.find_server(grant) is not None

    async def send(self, context: RequestContext, grant: Grant) -> SendResult:
        """Makes one attempt to send a request and releases the lease."""
        lease_result = LeaseResult.CANCELLED
        started_at = self.clock()
        try:
            connection = await self.connect(grant)
            started_at = self.clock()
            server = self.find_server(grant)
            if server is None:
                raise ConnectFailed('the server has left')
            result = await self.exchange(context, server, connection)
            lease_result = LeaseResult.BROKEN
            if isinstance(result, Sent):
                lease_result = LEASE_RESULTS[result.response_class]
            elif isinstance(result, Lost) and result.idle:
                lease_result = LeaseResult.UNUSED
            return result
        except ConnectFailed as error:
            lease_result = LeaseResult.UNREACHABLE
            return NotSent(grant.server, str(error))
        except CancelledError:
            # A server without a response at the deadline counts as failed.
            if self.clock() >= context.deadline_at:
                lease_result = LeaseResult.BROKEN
            raise
        finally:
            duration_s = self.clock() - started_at
            EXCHANGE_DURATION.labels(lease_result.name.lower()).observe(
                duration_s
            )
            self.lease_manager.release(
                context.service, grant, lease_result, duration_s
            )

    async def connect(self, grant: Grant) -> ServerConnection:
        """Returns a pooled or new connection to the server of a grant.

        Raises:
            ConnectFailed: If the server has left, or the connection could
                not be opened within `CONNECT_TIMEOUT_S`.
        """
        server = self.find_server(grant)
        if server is None:
            raise ConnectFailed('the server has left')
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
        except ConnectFailed:
            CONNECTIONS.labels('failed').inc()
            raise
        CONNECTIONS.labels('opened').inc()
        CONNECT_DURATION.observe(self.clock() - now)
        return connection

    async def exchange(
        self,
        context: RequestContext,
        server: ServerRecord,
        connection: ServerConnection,
    ) -> SendResult:
        """Sends the request with its remaining time and awaits the response.

        Returns:
            Sent, or Lost if no complete response arrived.

        Raises:
            ConnectFailed: If the connection is closed, before anything is
                sent.
        """
        remaining_s = context.deadline_at - self.clock()
        request = self.header_codec.server_request(
            context.request, server, remaining_s
        )
        context.attempts.record_send(server.name)
        sent_at = self.clock()
        idle_s = connection.idle_s(sent_at)
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
            if error.reset:
                self.crash_tracker.server_lost(
                    context.fingerprints,
                    server,
                    context.request_id,
                    idle=idle,
                )
            return Lost(server.name, str(error), error.reset, idle)
        except CancelledError:
            # The connection may no longer deliver data, and the same may
            # hold for pooled ones that were opened before it.
            if self.clock() >= context.deadline_at:
                self.pool.close_idle(server.address)
                self.crash_tracker.server_silent(
                    context.fingerprints, server, context.request_id
                )
            raise
        max_idle = self.max_idle_connections(server.service)
        self.pool.release(server.address, connection, max_idle=max_idle)
        response_class = self.header_codec.classify(response)
        if response_class not in OTHER_SENDER_CLASSES:
            self.record_rate_limit(server, response)
        return Sent(server.name, response_class, response)

    def record_rate_limit(
        self, server: ServerRecord, response: Response
    ) -> None:
        """Records the rate limit that a server's response names, if any."""
        limits = self.lease_manager.rate_limits
        known_per_s = limits.per_s(server.name, server.started_ms)
        per_s = self.header_codec.rate_limit(response, known_per_s)
        limits.record(server.name, server.started_ms, per_s, self.clock())
