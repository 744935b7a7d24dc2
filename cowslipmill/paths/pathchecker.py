"""Checks in the background whether servers can be reached."""

from asyncio import create_task
from asyncio import Task
from collections.abc import Callable
from random import Random
from time import time

from cowslipmill.forwarding.headercodec import HeaderCodec
from cowslipmill.http1.pool import ConnectionPool
from cowslipmill.http1.serverconnection import ConnectFailed
from cowslipmill.http1.serverconnection import Dialer
from cowslipmill.http1.serverconnection import ExchangeFailed
from cowslipmill.leasing.prober import exchange_with_timeout
from cowslipmill.leasing.serverpauses import ServerPauses
from cowslipmill.paths.serverpaths import ISOLATION_FAILURES
from cowslipmill.paths.serverpaths import ServerPaths
from cowslipmill.view.server import ServerRecord
from cowslipmill.view.view import View

CONNECT_TIMEOUT_S = 0.2


class PathChecker:
    """Checks paths over new connections, which carry no requests.

    No request waits for a check.

    Attributes:
        paths: Learns the results.
        view: Knows the health paths of services.
        dialer: Opens connections to servers.
        pool: Idle connections to servers.
        header_codec: Encodes health requests.
        random: Chooses servers to check.
        pauses: Servers that want nothing for a time, and are not checked.
        on_leaving: Called with the name and the start of a server that says
            that it leaves.
        checks: Checks in progress.
    """

    __slots__ = (
        'checks',
        'clock',
        'dialer',
        'header_codec',
        'on_leaving',
        'paths',
        'pauses',
        'pool',
        'random',
        'view',
    )

    def __init__(
        self,
        paths: ServerPaths,
        view: View,
        dialer: Dialer,
        pool: ConnectionPool,
        header_codec: HeaderCodec,
        clock: Callable[[], float],
        random: Random,
        pauses: ServerPauses,
        on_leaving: Callable[[str, int], None],
    ) -> None:
        """Starts without checks."""
        self.on_leaving = on_leaving
        self.pauses = pauses
        self.paths = paths
        self.view = view
        self.dialer = dialer
        self.pool = pool
        self.header_codec = header_codec
        self.clock = clock
        self.random = random
        self.checks: set[Task[None]] = set()

    def request_check(self, server: ServerRecord) -> None:
        """Starts a check of the path to a server, unless it is too early.

        Nothing is sent to servers of evacuated failure domains.
        """
        if self.view.evacuations.is_active(server.failure_domain):
            return
        now = self.clock()
        if self.pauses.is_paused(server, now):
            return
        if not self.paths.start_check(server.address, now):
            return
        task = create_task(self.check(server))
        self.checks.add(task)
        task.add_done_callback(self.checks.discard)

    def request_further_checks(self) -> None:
        """Starts to check other servers after a path was lost.

        They show whether one server is down or this host has lost its links.
        """
        others = [
            known.record
            for known in self.view.servers.values()
            if known.record.address not in self.paths.unreached
            and not self.view.evacuations.is_active(
                known.record.failure_domain
            )
        ]
        count = min(len(others), ISOLATION_FAILURES - 1)
        for server in self.random.sample(others, count):
            self.request_check(server)

    async def check(self, server: ServerRecord) -> None:
        """Checks the path to a server.

        A connection that is reset shows neither: a full server does so, too.
        """
        service = self.view.services.get(server.service)
        path = '/' if service is None else service.health_path
        request = self.header_codec.health_request(server, path)
        try:
            connection = await self.dialer.open(
                server.address,
                CONNECT_TIMEOUT_S,
                self.header_codec.request_id_header,
            )
            response = await exchange_with_timeout(connection, request)
        except ExchangeFailed:
            return
        except (ConnectFailed, TimeoutError) as error:
            reason = str(error) or 'no response to a health request'
            self.paths.record_unreached(server.address, reason, self.clock())
            return
        self.paths.record_reached(
            server.address, connection.opened_at, self.clock()
        )
        # A late copy of this response has no id, and could be taken for the
        # rejection of a request.
        connection.close()
        if self.header_codec.decode_health(response, server) is None:
            return
        pause_s = self.header_codec.pause_s(response, time())
        if pause_s is not None:
            self.pauses.record(server, pause_s, self.clock())
        if self.header_codec.announces_leaving(response):
            self.on_leaving(server.name, server.started_ms)
