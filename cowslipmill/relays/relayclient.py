"""Sends requests by way of other hosts to servers out of own reach."""

from collections.abc import Callable
from logging import getLogger
from random import Random

from prometheus_client import Counter

from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import Member
from cowslipmill.fleet.rpc import Rpc
from cowslipmill.forwarding.attempt import Attempt
from cowslipmill.forwarding.sendresult import Lost
from cowslipmill.forwarding.sendresult import NotSent
from cowslipmill.http1.message import FINAL_STATUSES
from cowslipmill.http1.message import measure_headers
from cowslipmill.http1.message import Response
from cowslipmill.leasing.leaserequest import EVACUATED
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.leasing.ratelimits import RateLimits
from cowslipmill.memory.budget import Holding
from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.peers.link import Unreachable
from cowslipmill.relays.messages import AskRelay
from cowslipmill.relays.messages import BUSY
from cowslipmill.relays.messages import CancelRelay
from cowslipmill.relays.messages import ISOLATED
from cowslipmill.relays.messages import OUT_OF_REACH
from cowslipmill.relays.messages import RelayFailure
from cowslipmill.relays.messages import RelayOffer
from cowslipmill.relays.messages import RelayRequest
from cowslipmill.relays.messages import RelayResponse
from cowslipmill.relays.messages import STOPPING
from cowslipmill.relays.relayserver import DEADLINE_GRACE_S
from cowslipmill.runtime.names import BoundedDict

LOG = getLogger(__name__)

# A host replies to an offer request within a few milliseconds.
OFFER_TIMEOUT_S = 0.06
# Hosts that are asked for one attempt.
MAX_HOSTS_ASKED = 5
# How long a host that refused isn't asked again, by reason; for the others,
# which concern one server, it is asked for other servers at once.
REFUSAL_BACKOFF_S = {BUSY: 0.1, ISOLATED: 0.5, STOPPING: 10.0}
# Largest body that is sent by way of another host.
MAX_BODY_BYTES = 1_048_576
# Memory that a response takes beside its headers and its body.
RESPONSE_BYTES = 4_096

RELAYS = Counter(
    'cowslipmill_host_relays_total',
    'Requests sent by way of other hosts, by how that ended.',
    ('result',),
)


class RelayClient:
    """Sends requests by way of other hosts.

    Attributes:
        member_list: The hosts known.
        rpc: Calls between hosts.
        rate_limits: Learns what other hosts know of servers' rate limits.
        is_evacuated: Returns whether the failure domain of a lease's server
            is evacuated.
        random: Spreads the requests over the hosts.
        memory: The budget that responses count against.
        refused_until: Until when hosts that refused aren't asked, in
            monotonic seconds, by name.
    """

    def __init__(
        self,
        member_list: MemberList,
        rpc: Rpc,
        rate_limits: RateLimits,
        is_evacuated: Callable[[Grant], bool],
        clock: Callable[[], float],
        random: Random,
        memory: MemoryBudget,
    ) -> None:
        """Starts without refusals."""
        self.memory = memory
        self.member_list = member_list
        self.rpc = rpc
        self.rate_limits = rate_limits
        self.is_evacuated = is_evacuated
        self.clock = clock
        self.random = random
        self.refused_until: dict[str, float] = BoundedDict()

    async def send(self, attempt: Attempt) -> Response | Lost | NotSent:
        """Sends a request by way of the first host that offers it.

        Records in the attempt whether the request was sent. It isn't once this
        host or the other one knows that the server's domain is evacuated.
        """
        server = attempt.server.name
        if len(attempt.context.request.body) > MAX_BODY_BYTES:
            return NotSent(server, 'body too large for a relay')
        reason = 'no host to relay'
        confirmed = False
        for member in self.candidates(attempt)[:MAX_HOSTS_ASKED]:
            if self.is_evacuated(attempt.grant):
                return NotSent(server, EVACUATED, evacuated=True)
            reason = await self.ask_offer(attempt, member)
            if not reason and self.is_evacuated(attempt.grant):
                self.cancel(member, attempt.grant.key)
                reason = EVACUATED
            if reason == EVACUATED:
                return NotSent(server, EVACUATED, evacuated=True)
            if reason:
                confirmed = confirmed or reason == OUT_OF_REACH
                continue
            result = await self.send_by(attempt, member)
            self.log(attempt, member, result)
            if not isinstance(result, NotSent) or result.evacuated:
                return result
            reason = result.reason
            confirmed = confirmed or result.confirmed
        RELAYS.labels('none').inc()
        return NotSent(server, f'out of reach; {reason}', confirmed)

    def candidates(self, attempt: Attempt) -> list[Member]:
        """Returns the hosts that may send a request.

        The coordinator comes first, since it has probed the server right
        before its grant, then those of the own failure domain.
        """
        now = self.clock()
        own = self.member_list.own
        members = [
            state.member
            for name, state in self.member_list.states.items()
            if name != own.name
            and not state.leaving
            and now >= state.backoff_until
            and now >= self.refused_until.get(name, 0.0)
        ]
        self.random.shuffle(members)
        members.sort(
            key=lambda member: (
                member.address != attempt.grant.coordinator,
                member.failure_domain != own.failure_domain,
            )
        )
        return members

    async def ask_offer(self, attempt: Attempt, member: Member) -> str:
        """Asks a host to send a request.

        Returns:
            Why it won't; empty if it will.
        """
        grant = attempt.grant
        remaining_s = attempt.context.deadline_at - self.clock()
        message = AskRelay(
            grant, remaining_s, len(attempt.context.request.body)
        )
        try:
            offer = await self.rpc.call(
                member.address, message, OFFER_TIMEOUT_S
            )
        except BaseException:
            self.cancel(member, grant.key)
            raise
        if not isinstance(offer, RelayOffer):
            self.cancel(member, grant.key)
            self.member_list.back_off(member.name, self.clock())
            return f'no reply of {member.name}'
        if not offer.refused:
            return ''
        now = self.clock()
        if offer.limit is not None:
            self.rate_limits.learn(
                grant.server, grant.started_ms, offer.limit, now
            )
        if offer.refused in REFUSAL_BACKOFF_S:
            backoff_s = REFUSAL_BACKOFF_S[offer.refused]
            self.refused_until[member.name] = now + backoff_s
        return offer.refused

    async def send_by(
        self, attempt: Attempt, member: Member
    ) -> Response | Lost | NotSent:
        """Sends a request by way of a host that offered it."""
        server = attempt.server.name
        context = attempt.context
        now = self.clock()
        remaining_s = context.deadline_at - now
        request = context.request
        message = RelayRequest(
            key=attempt.grant.key,
            request_id=context.request_id,
            deadline_s=remaining_s,
            method=request.method,
            target=request.target,
            headers=tuple(request.headers),
            body=bytes(request.body),
        )
        attempt.record_send(now)
        try:
            # The other host replies by then even if the server doesn't.
            reply = await self.rpc.call(
                member.address, message, remaining_s + 2 * DEADLINE_GRACE_S
            )
        except BaseException:
            self.cancel(member, attempt.grant.key)
            raise
        if isinstance(reply, RelayResponse):
            if reply.status not in FINAL_STATUSES:
                # Hosts of older builds hand on any status of a server.
                reason = f'not an answer: status {reply.status}'
                return Lost(server, reason, False)
            holding = Holding(self.memory, f'relayed by {member.name}')
            size = RESPONSE_BYTES + measure_headers(reply.headers)
            if not holding.resize(size + len(reply.body)):
                return Lost(server, 'memory limit', False)
            return Response(
                reply.status, list(reply.headers), reply.body, holding
            )
        if isinstance(reply, RelayFailure) and reply.sent:
            return Lost(server, reply.reason, reply.reset, reply.idle)
        if isinstance(reply, Unreachable) and reply.sent:
            self.cancel(member, attempt.grant.key)
            reason = f'relay lost: {reply.reason}'
            return Lost(server, reason, False, path_lost=True)
        attempt.withdraw_send()
        if isinstance(reply, RelayFailure):
            return NotSent(
                server,
                reply.reason,
                reply.unreachable,
                evacuated=reply.reason == EVACUATED,
            )
        return NotSent(server, 'not relayed')

    def cancel(self, member: Member, key: LeaseKey) -> None:
        """Tells a host that a request is not wanted any more."""
        self.rpc.send(member, CancelRelay(key))

    def log(
        self,
        attempt: Attempt,
        member: Member,
        result: Response | Lost | NotSent,
    ) -> None:
        """Logs and counts how a request went by way of another host."""
        kind = type(result).__name__.lower()
        RELAYS.labels(kind).inc()
        LOG.info(
            'relayed',
            extra={
                'request': attempt.context.request_id,
                'server': attempt.server.name,
                'peer': member.name,
                'result': kind,
            },
        )
