"""Sends requests to servers, directly or by way of another host."""

from asyncio import CancelledError
from collections.abc import Callable

from prometheus_client import Histogram

from cowslipmill.forwarding.attempt import Attempt
from cowslipmill.forwarding.crashtracker import CrashTracker
from cowslipmill.forwarding.directsender import DirectSender
from cowslipmill.forwarding.headercodec import ResponseClass
from cowslipmill.forwarding.requestcontext import RequestContext
from cowslipmill.forwarding.sendresult import Lost
from cowslipmill.forwarding.sendresult import NotSent
from cowslipmill.forwarding.sendresult import SendResult
from cowslipmill.http1.message import Response
from cowslipmill.http1.serverconnection import ConnectFailed
from cowslipmill.http1.serverconnection import ServerConnection
from cowslipmill.leasing.leasemanager import LeaseManager
from cowslipmill.leasing.leaserequest import EVACUATED
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.relays.relayclient import RelayClient

EXCHANGE_DURATION = Histogram(
    'cowslipmill_host_exchange_duration_seconds',
    'Time from sending a request to a server to how that ended.',
    ('result',),
    buckets=(0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0),
)

LEASE_RESULTS = {
    ResponseClass.SUCCESS: LeaseResult.ANSWERED,
    ResponseClass.FAILURE: LeaseResult.FAILED,
    ResponseClass.SHED: LeaseResult.SHED,
    ResponseClass.WRONG_SERVER: LeaseResult.WRONG_SERVER,
    ResponseClass.NOT_ACCEPTED: LeaseResult.ANSWERED,
    ResponseClass.UNVERIFIED: LeaseResult.BROKEN,
}


class Sender:
    """Sends requests to the servers that leases were granted for.

    A server that can't be reached from here is tried by way of another host.

    Attributes:
        lease_manager: Receives the results of the leases.
        direct: Sends over this host's own connections.
        relay_client: Sends by way of other hosts.
        crash_tracker: Learns of servers that were lost with a request.
    """

    def __init__(
        self,
        lease_manager: LeaseManager,
        direct: DirectSender,
        relay_client: RelayClient,
        crash_tracker: CrashTracker,
        clock: Callable[[], float],
    ) -> None:
        """Creates the sender.

        Args:
            lease_manager: Receives the results of the leases.
            direct: Sends over this host's own connections.
            relay_client: Sends by way of other hosts.
            crash_tracker: Learns of servers that were lost with a request.
            clock: Returns monotonic seconds.
        """
        self.lease_manager = lease_manager
        self.direct = direct
        self.relay_client = relay_client
        self.crash_tracker = crash_tracker
        self.clock = clock

    def accepts_requests(self, grant: Grant) -> bool:
        """Returns whether the server of a grant still accepts requests."""
        server = self.direct.find_server(grant)
        return server is not None and not self.direct.is_paused(server)

    async def send(self, context: RequestContext, grant: Grant) -> SendResult:
        """Makes one attempt to send a request and releases the lease."""
        attempt: Attempt | None = None
        lease_result = LeaseResult.CANCELLED
        try:
            server = self.direct.find_server(grant)
            if server is None:
                unavailable = self.explain_no_server(grant)
                lease_result = lease_result_of(unavailable, grant)
                return unavailable
            attempt = Attempt(context, grant, server)
            result = await self.send_to_server(attempt)
            lease_result = lease_result_of(result, grant)
            return result
        except CancelledError:
            # A server without a response at the deadline counts as failed.
            if attempt is not None and self.clock() >= context.deadline_at:
                path_lost = self.direct.paths.is_lost(attempt.server.address)
                if attempt.relayed or not path_lost:
                    lease_result = LeaseResult.BROKEN
                self.report_silence(attempt)
            raise
        finally:
            duration_s = 0.0
            if attempt is not None and attempt.sent_at is not None:
                duration_s = self.clock() - attempt.sent_at
            self.release(context, grant, lease_result, duration_s)

    def explain_no_server(self, grant: Grant) -> NotSent:
        """Returns why nothing is sent to the server of a grant any more."""
        if self.direct.is_evacuated(grant):
            return NotSent(grant.server, EVACUATED, evacuated=True)
        return NotSent(grant.server, 'the server has left', confirmed=True)

    def release(
        self,
        context: RequestContext,
        grant: Grant,
        lease_result: LeaseResult,
        duration_s: float,
    ) -> None:
        """Releases the lease of an attempt.

        Args:
            context: The request.
            grant: The lease.
            lease_result: How the lease ended.
            duration_s: Time from sending the request to its end.
        """
        EXCHANGE_DURATION.labels(lease_result.name.lower()).observe(duration_s)
        self.lease_manager.release(
            context.service, grant, lease_result, duration_s
        )

    def report_silence(self, attempt: Attempt) -> None:
        """Reports a server that hasn't responded by the deadline."""
        if attempt.sent_at is None:
            return
        self.crash_tracker.server_silent(
            attempt.context.fingerprints,
            attempt.server,
            attempt.context.request_id,
        )

    async def send_to_server(self, attempt: Attempt) -> SendResult:
        """Sends a request by the path that works and reports a loss."""
        result = await self.choose_path(attempt)
        if isinstance(result, Lost) and result.reset:
            self.crash_tracker.server_lost(
                attempt.context.fingerprints,
                attempt.server,
                attempt.context.request_id,
                idle=result.idle,
            )
        return result

    async def choose_path(self, attempt: Attempt) -> SendResult:
        """Sends a request directly, or by way of another host.

        A lost path is tried if no other host helps, unless this host reaches
        no server at all. The other way is tried only if nothing was sent.
        """
        paths = self.direct.paths
        server = attempt.server
        if self.direct.is_paused(server):
            return NotSent(server.name, 'the server pauses', paused=True)
        relayed: SendResult | None = None
        if paths.is_lost(server.address):
            self.direct.checker.request_check(server)
            relayed = await self.relay(attempt)
            if not isinstance(relayed, NotSent) or paths.isolated:
                return relayed
            if relayed.evacuated:
                return relayed
        try:
            connection = await self.direct.connect(server)
        except ConnectFailed:
            if self.direct.is_evacuated(attempt.grant):
                return self.explain_no_server(attempt.grant)
            return relayed or await self.relay(attempt)
        return await self.exchange(attempt, connection)

    async def exchange(
        self, attempt: Attempt, connection: ServerConnection
    ) -> SendResult:
        """Sends a request over a connection of this host."""
        server = attempt.server
        if self.direct.find_server(attempt.grant) is None:
            connection.close()
            return self.explain_no_server(attempt.grant)
        if self.direct.is_paused(server):
            connection.close()
            return NotSent(server.name, 'the server pauses', paused=True)
        attempt.relayed = False
        attempt.record_send(self.clock())
        try:
            return await self.direct.exchange(
                attempt.context,
                server,
                connection,
                attempt.grant.expected_duration_s,
            )
        except ConnectFailed as error:
            attempt.withdraw_send()
            return NotSent(server.name, str(error), confirmed=True)

    async def relay(self, attempt: Attempt) -> SendResult:
        """Sends a request by way of another host."""
        attempt.relayed = True
        result = await self.relay_client.send(attempt)
        if isinstance(result, Response):
            return self.direct.classify(attempt.server, result)
        return result


def lease_result_of(result: SendResult, grant: Grant) -> LeaseResult:
    """Returns how a lease ended with the result of an attempt.

    A loss that may be due to this host's links doesn't count against the
    server at a coordinator on another host.
    """
    if isinstance(result, NotSent):
        if result.paused or result.evacuated:
            return LeaseResult.UNUSED
        if result.confirmed or not grant.coordinator[0]:
            return LeaseResult.UNREACHABLE
        return LeaseResult.UNUSED
    if isinstance(result, Lost):
        if result.idle or result.path_lost:
            return LeaseResult.UNUSED
        return LeaseResult.BROKEN
    return LEASE_RESULTS[result.response_class]
