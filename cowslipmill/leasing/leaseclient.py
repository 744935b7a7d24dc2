"""Requests leases from coordinators on other hosts."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import Task
from asyncio import wait
from collections.abc import Callable
from functools import partial
from logging import getLogger

from msgspec.structs import replace

from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import AskLease
from cowslipmill.fleet.messages import CancelLease
from cowslipmill.fleet.messages import Member
from cowslipmill.fleet.messages import Ping
from cowslipmill.fleet.rpc import Rpc
from cowslipmill.leasing.leaserequest import EVACUATED
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.requirements import Requirements
from cowslipmill.peers.link import Unreachable

# Name of this logger in log lines.
LOG = getLogger('cowslipmill.lending.borrower')

# A coordinator in the same failure domain replies within about 8 ms unless the
# request is queued; after this time without a reply it is pinged.
PING_AFTER_S = 0.06
# Timeout of that ping.
PING_TIMEOUT_S = 0.06
# Timeout of a request to a coordinator in another failure domain.
REMOTE_TIMEOUT_S = 0.05
# How long a reply to a cancelled request may still come, several round trips
# between failure domains.
LATE_REPLY_S = 0.25

Reply = Grant | Refusal


class LeaseClient:
    """Requests leases from coordinators on other hosts.

    Attributes:
        clock: Returns monotonic seconds.
        member_list: The hosts known.
        rpc: Calls between hosts.
        release_late: Releases a lease of a service whose grant came after its
            request had ended.
        is_evacuated: Returns whether a failure domain is evacuated.
    """

    __slots__ = (
        'clock',
        'is_evacuated',
        'member_list',
        'release_late',
        'rpc',
    )

    def __init__(
        self,
        member_list: MemberList,
        rpc: Rpc,
        clock: Callable[[], float],
        release_late: Callable[[str, Grant], None],
        is_evacuated: Callable[[str], bool] = lambda failure_domain: False,
    ) -> None:
        """Creates a client for the hosts of a member list."""
        self.member_list = member_list
        self.rpc = rpc
        self.clock = clock
        self.release_late = release_late
        self.is_evacuated = is_evacuated

    async def acquire(
        self,
        key: LeaseKey,
        requirements: Requirements,
        coordinator: Member,
        failure_domain: str,
    ) -> Reply | None:
        """Requests a lease that may be queued.

        The reply comes once the coordinator has decided, so a coordinator
        that doesn't reply is pinged in the meantime. If the ping fails or the
        call times out, the request is cancelled and the coordinator avoided
        for some time. It is cancelled, too, once the domain is evacuated, for
        the case that the coordinator doesn't know.

        Args:
            key: Key of the lease.
            requirements: What the request requires of a server.
            coordinator: Host of the coordinator.
            failure_domain: Failure domain whose servers are wanted.

        Returns:
            The decision, or a refusal with `EVACUATED`; None if the
            coordinator is unreachable.
        """
        now = self.clock()
        message = self.build_message(key, requirements, failure_domain, now)
        timeout_s = max(PING_AFTER_S, requirements.deadline_at - now)
        call: Task[Reply | Unreachable] = create_task(
            self.rpc.call(coordinator.address, message, timeout_s)
        )
        try:
            while not await self.wait_for_reply(call):
                if self.is_evacuated(failure_domain):
                    self.cancel(
                        call, key, requirements, coordinator, failure_domain
                    )
                    return Refusal(key, EVACUATED, 0.0, 0)
                pong = await self.rpc.call(
                    coordinator.address, Ping(), PING_TIMEOUT_S
                )
                if isinstance(pong, Unreachable) and not call.done():
                    break
            reply = call.result() if call.done() else None
        except BaseException:
            self.cancel(call, key, requirements, coordinator, failure_domain)
            raise
        if isinstance(reply, Grant | Refusal):
            return with_coordinator(reply, coordinator.address)
        self.cancel(call, key, requirements, coordinator, failure_domain)
        self.member_list.back_off(coordinator.name, self.clock())
        LOG.info(
            'home out of reach',
            extra={'peer': coordinator.name, 'service': requirements.service},
        )
        return None

    async def wait_for_reply(self, call: 'Task[Reply | Unreachable]') -> bool:
        """Waits up to `PING_AFTER_S`; returns whether the call has ended."""
        done, _ = await wait((call,), timeout=PING_AFTER_S)
        return bool(done)

    def cancel(
        self,
        call: 'Task[Reply | Unreachable]',
        key: LeaseKey,
        requirements: Requirements,
        coordinator: Member,
        failure_domain: str,
    ) -> None:
        """Cancels a call and the lease request at the coordinator.

        The coordinator releases a lease of its own. One of another failure
        domain is released here if its grant comes or has come.
        """
        message = CancelLease(key, requirements.service, failure_domain)
        self.rpc.send(coordinator, message)
        call.add_done_callback(
            partial(self.release_moved, requirements.service)
        )
        get_running_loop().call_later(LATE_REPLY_S, call.cancel)

    def release_moved(
        self, service: str, call: 'Task[Reply | Unreachable]'
    ) -> None:
        """Releases a lease of another failure domain that a call got."""
        if call.cancelled() or call.exception() is not None:
            return
        reply = call.result()
        if isinstance(reply, Grant) and reply.coordinator[0]:
            self.release_late(service, reply)

    def build_message(
        self,
        key: LeaseKey,
        requirements: Requirements,
        failure_domain: str,
        now: float,
    ) -> AskLease:
        """Returns the message that requests a lease.

        Its times are relative to `now`, in monotonic seconds.
        """
        return AskLease(
            key=key,
            service=requirements.service,
            failure_domain=failure_domain,
            route=requirements.route,
            priority=requirements.priority,
            objective_s=round(requirements.objective_at - now, 4),
            deadline_s=round(requirements.deadline_at - now, 4),
            kilobytes=round(requirements.kilobytes, 1),
            excluded=requirements.excluded,
            max_duration_s=requirements.max_duration_s,
            asked_before_s=round(requirements.asked_before_s, 4),
        )

    async def try_acquire(
        self,
        key: LeaseKey,
        requirements: Requirements,
        coordinator: Member,
        failure_domain: str,
    ) -> Reply | None:
        """Requests a lease that is granted or refused at once.

        For requirements with `max_duration_s`, which are never queued. If no
        reply comes in time, the request is cancelled and the coordinator
        avoided for some time.

        Args:
            key: Key of the lease.
            requirements: What the request requires of a server.
            coordinator: Host of the coordinator.
            failure_domain: Failure domain whose servers are wanted.

        Returns:
            The decision; None if no reply came within `REMOTE_TIMEOUT_S`.
        """
        now = self.clock()
        message = self.build_message(key, requirements, failure_domain, now)
        reply: Reply | Unreachable | None = None
        try:
            reply = await self.rpc.call(
                coordinator.address, message, REMOTE_TIMEOUT_S
            )
        finally:
            if not isinstance(reply, Grant | Refusal):
                self.rpc.send(
                    coordinator,
                    CancelLease(key, requirements.service, failure_domain),
                )
        if isinstance(reply, Grant | Refusal):
            return with_coordinator(reply, coordinator.address)
        self.member_list.back_off(coordinator.name, self.clock())
        return None


def with_coordinator(reply: Reply, address: tuple[str, int]) -> Reply:
    """Returns a reply with the address of its coordinator.

    A reply that already names one is returned unchanged: the coordinator that
    was asked got it from a coordinator in another failure domain.
    """
    if reply.coordinator[0]:
        return reply
    return replace(reply, coordinator=address)
