"""Guards against leases of other failure domains that nobody releases."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import Future
from asyncio import get_running_loop
from asyncio import sleep
from contextlib import suppress
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import AskLease
from cowslipmill.fleet.messages import CancelLease
from cowslipmill.fleet.messages import Member
from cowslipmill.leasing.leaseclient import LeaseClient
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.leasing.tests.conftest import DOMAIN
from cowslipmill.leasing.tests.conftest import make_request
from cowslipmill.peers.link import Unreachable

ELSEWHERE = ('10.0.0.9', 7303)
OWN = Member('host-1', DOMAIN, ('10.0.0.1', 7303), 1)
COORDINATOR = Member('host-2', DOMAIN, ('10.0.0.2', 7303), 1)
KEY: LeaseKey = ('host-1', 1)


class OpenCalls:
    """Stands for the calls between hosts.

    Attributes:
        reply: What the coordinator replies to a lease request.
        reachable: Whether it replies to a ping.
        sent: The messages without a reply.
    """

    def __init__(self) -> None:
        """Starts without a reply."""
        self.reply: Future[Any] = get_running_loop().create_future()
        self.reachable = True
        self.sent: list[Any] = []

    async def call(
        self, address: tuple[str, int], message: Any, timeout_s: float
    ) -> Any:
        """Returns the reply once there is one."""
        if isinstance(message, AskLease):
            return await self.reply
        return message if self.reachable else Unreachable('no reply in time')

    def send(self, member: Member, message: Any) -> bool:
        """Keeps the message."""
        self.sent.append(message)
        return True


class Setting:
    """A client, and what it releases.

    Attributes:
        rpc: Its calls.
        released: The leases that it has released.
        client: The client.
    """

    def __init__(self) -> None:
        """Starts without calls."""
        self.rpc = OpenCalls()
        self.released: list[tuple[str, Grant]] = []
        rpc: Any = self.rpc
        self.client = LeaseClient(
            MemberList(OWN),
            rpc,
            get_running_loop().time,
            lambda *lease: self.released.append(lease),
        )

    async def acquire(self) -> Any:
        """Requests a lease."""
        now = get_running_loop().time()
        requirements = make_request(1, now).requirements
        return await self.client.acquire(
            KEY, requirements, COORDINATOR, DOMAIN
        )


def make_grant(coordinator: tuple[str, int]) -> Grant:
    """Returns a lease that a coordinator granted."""
    return Grant(KEY, 'server-1', 1, DOMAIN, 0.1, 0.0, 1.0, coordinator)


@pytest.mark.parametrize('granted_first', [False, True])
async def test_a_lease_granted_elsewhere_is_released_by_a_cancelled_request(
    granted_first: bool,
) -> None:
    """The coordinator that was asked can release only its own ones."""
    setting = Setting()
    grant = make_grant(ELSEWHERE)
    request = create_task(setting.acquire())
    await sleep(0.01)
    if granted_first:
        setting.rpc.reply.set_result(grant)
    request.cancel()
    with suppress(CancelledError):
        await request
    if not granted_first:
        setting.rpc.reply.set_result(grant)
    await sleep(0.01)
    assert_that(setting.released, Equals([('registry', grant)]))
    kinds = [type(message) for message in setting.rpc.sent]
    assert_that(kinds, Equals([CancelLease]))


async def test_a_lease_granted_elsewhere_is_released_if_given_up_on() -> None:
    """Its coordinator didn't reply to a ping, and the grant comes after."""
    setting = Setting()
    setting.rpc.reachable = False
    assert_that(await setting.acquire(), Equals(None))
    grant = make_grant(ELSEWHERE)
    setting.rpc.reply.set_result(grant)
    await sleep(0.01)
    assert_that(setting.released, Equals([('registry', grant)]))


async def test_a_lease_of_the_coordinator_is_released_once() -> None:
    """By the message that cancels the request."""
    setting = Setting()
    request = create_task(setting.acquire())
    await sleep(0.01)
    request.cancel()
    with suppress(CancelledError):
        await request
    setting.rpc.reply.set_result(make_grant(('', 0)))
    await sleep(0.01)
    assert_that(setting.released, Equals([]))
