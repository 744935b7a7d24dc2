"""Probes servers for their load right before a decision."""

from asyncio import get_running_loop
from collections.abc import Callable
from enum import Enum
from time import time

from prometheus_client import Counter

from cowslipmill.forwarding.headercodec import HeaderCodec
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.serverconnection import ConnectFailed
from cowslipmill.http1.serverconnection import Dialer
from cowslipmill.http1.serverconnection import ExchangeFailed
from cowslipmill.http1.serverconnection import ServerConnection
from cowslipmill.leasing.blocks import log_block
from cowslipmill.leasing.ratelimits import RateLimits
from cowslipmill.leasing.serverpauses import ServerPauses
from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.paths.serverpaths import ServerPaths
from cowslipmill.view.server import ServerRecord

# A server responds to a load probe at once; one that takes this long won't
# respond at all.
RESPONSE_TIMEOUT_S = 0.15
CONNECT_TIMEOUT_S = 0.15

LOAD_PROBES = Counter(
    'cowslipmill_host_load_questions_total',
    'Questions for the load of servers.',
    ('result',),
)


class RunState(Enum):
    """What a check shows of a server.

    Attributes:
        RUNNING: It responded, and hasn't restarted.
        RESPONDING: It responded on a new connection; whether it has restarted
            is not known.
        DOWN: Connections are refused, or another server responded.
        UNCLEAR: A connection was accepted, but the server didn't respond. A
            full server does that, and so does whatever may accept connections
            in the place of one that is down.
    """

    RUNNING = 'running'
    RESPONDING = 'responding'
    DOWN = 'down'
    UNCLEAR = 'unclear'


class Prober:
    """Probes servers, over one connection to each.

    Attributes:
        dialer: Opens connections to servers.
        paths: Learns which servers respond.
        header_codec: Encodes load probes and decodes the responses.
        clock: Returns monotonic seconds.
        connections: Connections by server address.
        in_progress: Addresses of the servers being probed.
        rate_limits: The rate limits that servers name.
        pauses: Servers that want nothing for a time, and are not probed.
        on_leaving: Called with the name and the start of a server that says
            that it leaves.
    """

    def __init__(
        self,
        dialer: Dialer,
        paths: ServerPaths,
        header_codec: HeaderCodec,
        clock: Callable[[], float],
        on_leaving: Callable[[str, int], None],
        pauses: ServerPauses,
    ) -> None:
        """Starts without connections."""
        self.pauses = pauses
        self.on_leaving = on_leaving
        self.dialer = dialer
        self.paths = paths
        self.header_codec = header_codec
        self.clock = clock
        self.connections: dict[tuple[str, int], ServerConnection] = {}
        self.in_progress: set[tuple[str, int]] = set()
        self.rate_limits = RateLimits()

    async def probe(self, server: ServerSlots, path: str) -> None:
        """Probes one server and records its load, or that the probe failed.

        Does nothing while another probe of the server is in progress, or
        while the server pauses. A server is blocked if another server responds
        at its address.
        """
        address = server.record.address
        if address in self.in_progress:
            return
        if self.pauses.is_paused(server.record, self.clock()):
            return
        self.in_progress.add(address)
        request = self.header_codec.health_request(server.record, path)
        sampled_at = self.clock()
        try:
            connection = await self.connect(address)
            sampled_at = self.clock()
            try:
                response = await exchange_with_timeout(connection, request)
            except ExchangeFailed as error:
                if not error.reset or not connection.reused:
                    raise
                # The server may have dropped the idle connection.
                connection = await self.connect(address)
                sampled_at = self.clock()
                response = await exchange_with_timeout(connection, request)
        except (ConnectFailed, ExchangeFailed, TimeoutError) as error:
            LOAD_PROBES.labels('unanswered').inc()
            if not isinstance(error, ExchangeFailed):
                self.paths.record_unreached(
                    address, str(error) or 'no response', self.clock()
                )
            if server.record_probe_failure(self.clock()):
                log_block(server.name, server.record.service, 'probe', '')
            return
        finally:
            self.in_progress.discard(address)
        self.paths.record_reached(address, connection.opened_at, self.clock())
        load = self.header_codec.decode_health(response, server.record)
        if load is None:
            LOAD_PROBES.labels('other-server').inc()
            server.block(self.clock())
            return
        LOAD_PROBES.labels('answered').inc()
        server.record_load(load, sampled_at, self.clock())
        self.record_statements(server.record, response)

    def record_statements(
        self, record: ServerRecord, response: Response
    ) -> None:
        """Records what a health response says of how a server may be used."""
        now = self.clock()
        pause_s = self.header_codec.pause_s(response, time())
        if pause_s is not None:
            self.pauses.record(record, pause_s, now)
        if self.header_codec.announces_leaving(response):
            self.on_leaving(record.name, record.started_ms)
        per_s = self.header_codec.rate_limit(response, None)
        # A health response without a limit doesn't say that it has ended.
        if per_s is not None:
            self.rate_limits.record(record.name, record.started_ms, per_s, now)

    async def check(self, record: ServerRecord, path: str) -> RunState:
        """Returns what a health check over a new connection shows.

        Args:
            record: The server.
            path: Path of its health check.
        """
        try:
            connection = await self.dialer.open(
                record.address, CONNECT_TIMEOUT_S
            )
        except ConnectFailed:
            return RunState.DOWN
        request = self.header_codec.health_request(record, path)
        try:
            response = await exchange_with_timeout(connection, request)
        except (ConnectFailed, ExchangeFailed, TimeoutError):
            return RunState.UNCLEAR
        finally:
            connection.close()
        if self.header_codec.decode_health(response, record) is None:
            return RunState.DOWN
        if not self.header_codec.is_from_server(response):
            return RunState.UNCLEAR
        self.record_statements(record, response)
        return RunState.RESPONDING

    async def connect(self, address: tuple[str, int]) -> ServerConnection:
        """Returns an open connection for load probes to an address.

        Raises:
            ConnectFailed: If a new connection can't be set up.
        """
        connection = self.connections.get(address)
        if connection is not None and connection.usable:
            if get_running_loop().time() < connection.idle_deadline:
                return connection
        if connection is not None:
            connection.close()
        connection = await self.dialer.open(address, CONNECT_TIMEOUT_S)
        self.connections[address] = connection
        return connection

    def retain(self, records: list[ServerRecord]) -> None:
        """Closes the connections to servers that aren't in the records."""
        kept = {record.address for record in records}
        for address in list(self.connections):
            if address not in kept:
                self.connections.pop(address).close()


async def exchange_with_timeout(
    connection: ServerConnection, request: Request
) -> Response:
    """Returns the response to a load probe.

    Raises:
        ConnectFailed: If nothing was sent.
        ExchangeFailed: If no whole response came.
        TimeoutError: If none came within `RESPONSE_TIMEOUT_S`.
    """
    deadline = get_running_loop().time() + RESPONSE_TIMEOUT_S
    return await connection.exchange(request, until=deadline)
