"""Sends requests of other hosts that have lost their links to servers.

A host offers to send a request before it gets it, so that a request that was
held up on its way isn't sent after the other host has given up on it. It uses
only its own links, so that no request travels in circles.
"""

from asyncio import current_task
from asyncio import sleep
from asyncio import Task
from asyncio import timeout_at
from collections.abc import Callable
from typing import Any

from prometheus_client import Counter

from cowslipmill.fleet.rpc import Rpc
from cowslipmill.forwarding.directsender import DirectSender
from cowslipmill.forwarding.requestcontext import OutgoingRequest
from cowslipmill.forwarding.sendresult import Lost
from cowslipmill.http1.message import measure_headers
from cowslipmill.http1.message import Request
from cowslipmill.http1.requestreceiver import REQUEST_BYTES
from cowslipmill.http1.serverconnection import ConnectFailed
from cowslipmill.leasing.leaserequest import EVACUATED
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.memory.budget import Holding
from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.relays.messages import AskRelay
from cowslipmill.relays.messages import BUSY
from cowslipmill.relays.messages import CancelRelay
from cowslipmill.relays.messages import ISOLATED
from cowslipmill.relays.messages import LEFT
from cowslipmill.relays.messages import LIMITED
from cowslipmill.relays.messages import OUT_OF_REACH
from cowslipmill.relays.messages import PAUSED
from cowslipmill.relays.messages import RelayFailure
from cowslipmill.relays.messages import RelayOffer
from cowslipmill.relays.messages import RelayRequest
from cowslipmill.relays.messages import RelayResponse
from cowslipmill.relays.messages import STOPPING

# Requests sent for other hosts at the same time, including offers: what a
# host with a fraction of a processor handles beside those of its own callers.
MAX_RELAYS = 48
# An offer is used at once, after one round trip between failure domains.
OFFER_LIFETIME_S = 0.25
# A response that arrives this long after the deadline is still passed on.
DEADLINE_GRACE_S = 0.03

RELAYED = Counter(
    'cowslipmill_host_relayed_for_others_total',
    'Requests that other hosts asked this one to send, by how that ended.',
    ('result',),
)


class Offer:
    """An offer to send a request.

    Attributes:
        grant: The lease for the request.
        deadline_at: When the request's caller stops waiting.
        expires_at: Until when the offer may be used.
        holding: The memory set aside for the request.

    All times are monotonic seconds.
    """

    __slots__ = ('deadline_at', 'expires_at', 'grant', 'holding')

    def __init__(
        self,
        grant: Grant,
        deadline_at: float,
        expires_at: float,
        holding: Holding,
    ) -> None:
        """Stores the values."""
        self.grant = grant
        self.deadline_at = deadline_at
        self.expires_at = expires_at
        self.holding = holding


class RelayServer:
    """Sends requests for other hosts.

    Attributes:
        direct: Sends over this host's own connections.
        memory: The budget that requests count against.
        offers: Open offers by lease key.
        in_progress: Requests being sent, by lease key.
        stopping: Whether this host stops and makes no further offers.
    """

    def __init__(
        self,
        direct: DirectSender,
        rpc: Rpc,
        clock: Callable[[], float],
        memory: MemoryBudget,
    ) -> None:
        """Registers the message handlers."""
        self.direct = direct
        self.memory = memory
        self.clock = clock
        self.offers: dict[LeaseKey, Offer] = {}
        self.in_progress: dict[LeaseKey, Task[Any]] = {}
        self.stopping = False
        rpc.register(AskRelay, self.on_ask_relay)
        rpc.register(RelayRequest, self.on_relay_request)
        rpc.register(CancelRelay, self.on_cancel_relay)

    def is_busy(self, now: float) -> bool:
        """Returns whether requests of other hosts are open."""
        self.drop_expired_offers(now)
        return bool(self.in_progress or self.offers)

    def drop_expired_offers(self, now: float) -> None:
        """Drops the offers that weren't used."""
        for key, offer in list(self.offers.items()):
            if now > offer.expires_at:
                del self.offers[key]

    async def on_ask_relay(self, message: AskRelay, sender: str) -> RelayOffer:
        """Offers to send a request, or refuses to."""
        now = self.clock()
        self.drop_expired_offers(now)
        grant = message.grant
        refused = self.find_objection(grant)
        holding = Holding(self.memory, f'relay for {sender}')
        if not refused and not holding.resize(
            REQUEST_BYTES + message.body_bytes
        ):
            refused = BUSY
        RELAYED.labels(refused or 'offered').inc()
        if refused:
            limit = self.direct.lease_manager.rate_limits.report(
                grant.server, grant.started_ms, now
            )
            return RelayOffer(refused, limit)
        self.offers[grant.key] = Offer(
            grant,
            now + message.deadline_s,
            now + OFFER_LIFETIME_S,
            holding,
        )
        return RelayOffer('')

    def find_objection(self, grant: Grant) -> str:
        """Returns why a request isn't sent to a server; empty if it is."""
        if self.stopping:
            return STOPPING
        if self.direct.paths.isolated:
            return ISOLATED
        if len(self.offers) + len(self.in_progress) >= MAX_RELAYS:
            return BUSY
        server = self.direct.find_server(grant)
        if server is None:
            return self.explain_no_server(grant)
        if self.direct.is_paused(server):
            return PAUSED
        if self.direct.paths.is_lost(server.address):
            self.direct.checker.request_check(server)
            return OUT_OF_REACH
        if self.direct.lease_manager.ignores_limit(grant):
            return LIMITED
        return ''

    def explain_no_server(self, grant: Grant) -> str:
        """Returns why nothing is sent to the server of a grant any more."""
        return EVACUATED if self.direct.is_evacuated(grant) else LEFT

    async def on_relay_request(
        self, message: RelayRequest, sender: str
    ) -> RelayResponse | RelayFailure:
        """Sends a request for which there is an offer."""
        now = self.clock()
        offer = self.offers.pop(message.key, None)
        if offer is None or now > offer.expires_at:
            return RelayFailure(False, 'offer expired')
        size = REQUEST_BYTES + measure_headers(message.headers)
        if not offer.holding.resize(size + len(message.body)):
            return RelayFailure(False, 'memory limit')
        task = current_task()
        assert task is not None
        self.in_progress[message.key] = task
        try:
            reply = await self.send(message, offer, now)
        finally:
            self.in_progress.pop(message.key, None)
        failed = isinstance(reply, RelayFailure)
        RELAYED.labels('failed' if failed else 'answered').inc()
        return reply

    async def send(
        self, message: RelayRequest, offer: Offer, now: float
    ) -> RelayResponse | RelayFailure:
        """Sends a request over own links until its deadline."""
        deadline_at = min(offer.deadline_at, now + message.deadline_s)
        request = Request(
            message.method,
            message.target,
            list(message.headers),
            message.body,
            offer.holding,
        )
        outgoing = OutgoingRequest(request, message.request_id, deadline_at)
        try:
            async with timeout_at(deadline_at + DEADLINE_GRACE_S):
                return await self.exchange(outgoing, offer.grant)
        except ConnectFailed as error:
            return RelayFailure(False, str(error), unreachable=True)
        except TimeoutError:
            return RelayFailure(True, 'no answer in time')

    async def exchange(
        self, outgoing: OutgoingRequest, grant: Grant
    ) -> RelayResponse | RelayFailure:
        """Sends a request and returns the reply for the other host.

        Raises:
            ConnectFailed: If nothing was sent.
        """
        server = self.direct.find_server(grant)
        if server is None:
            return RelayFailure(False, self.explain_no_server(grant))
        connection = await self.direct.connect(server)
        if self.direct.find_server(grant) is None:
            connection.close()
            return RelayFailure(False, self.explain_no_server(grant))
        if self.direct.is_paused(server):
            connection.close()
            return RelayFailure(False, PAUSED)
        result = await self.direct.exchange(
            outgoing, server, connection, grant.expected_duration_s
        )
        if isinstance(result, Lost):
            return RelayFailure(True, result.reason, result.reset, result.idle)
        response = result.response
        return RelayResponse(
            response.status, tuple(response.headers), bytes(response.body)
        )

    async def on_cancel_relay(self, message: CancelRelay, sender: str) -> None:
        """Stops sending a request, which closes its connection."""
        # Calls that arrived together with this message begin in this turn of
        # the event loop.
        await sleep(0)
        self.offers.pop(message.key, None)
        task = self.in_progress.get(message.key)
        if task is not None:
            task.cancel()
