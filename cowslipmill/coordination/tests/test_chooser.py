"""Leases from the own, another or no coordinator."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import sleep
from collections.abc import AsyncIterator
from random import Random
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import IsInstance

from cowslipmill.choice.chooser import ChoiceRequest
from cowslipmill.coordination.chooser import LeaseChooser
from cowslipmill.coordination.chooser import LeasedServer
from cowslipmill.coordination.lease import EntryLeaseResult
from cowslipmill.coordination.lease import Report
from cowslipmill.coordination.messages import AcquireLease
from cowslipmill.coordination.messages import AwaitLease
from cowslipmill.coordination.messages import LeaseGranted
from cowslipmill.coordination.messages import LeaseQueued
from cowslipmill.coordination.messages import LeaseRefused
from cowslipmill.coordination.messages import ReleaseLease
from cowslipmill.coordination.placement import choose_coordinators
from cowslipmill.coordination.tests.conftest import make_member
from cowslipmill.coordination.tests.conftest import make_server
from cowslipmill.coordination.tests.conftest import make_service
from cowslipmill.document.document import Document
from cowslipmill.document.document import Route
from cowslipmill.document.document import Team
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.peers.link import Unreachable

ROUTE = Route(
    name='check-standing',
    team='standing',
    service='registry',
    methods=('GET',),
    path='/standing',
    idempotent=True,
)
MEMBERS = [make_member(number) for number in range(6)]


class FakePeering:
    """Returns the next prepared reply to each call."""

    def __init__(self) -> None:
        self.replies: list[Any] = []
        self.opened: list[str] = []
        self.called: list[Any] = []
        self.sent: list[Any] = []

    def register(self, kind: type, handler: Any) -> None:
        pass

    def open(self, address: str) -> None:
        self.opened.append(address)

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        self.called.append(message)
        await sleep(0)
        return self.replies.pop(0)

    def send(self, address: str, message: Any) -> bool:
        self.sent.append(message)
        return True


class Harness:
    """One chooser with its routing state and fake links to peers."""

    def __init__(self, name: str) -> None:
        self.peering = FakePeering()
        me = next(member for member in MEMBERS if member.name == name)
        self.routing_state = RoutingState(me)
        clock = get_running_loop().time
        peering: Any = self.peering
        self.chooser = LeaseChooser(
            name, self.routing_state, peering, clock, Random(1)
        )
        self.routing_state.on_refresh.append(self.chooser.refresh)
        self.routing_state.apply_document(
            Document(
                version=1,
                deployment='caroni',
                teams=(Team(name='standing'),),
                services=(make_service(),),
                routes=(ROUTE,),
            )
        )
        self.routing_state.update_members(MEMBERS, clock())
        self.routing_state.merge_facts(
            [make_server(number) for number in range(3)]
        )

    async def acquire(self, **options: Any) -> LeasedServer | NotRun:
        deadline_at = get_running_loop().time() + 5.0
        return await self.chooser.acquire(
            ChoiceRequest(
                route=ROUTE,
                caller='garage',
                deadline_at=deadline_at,
                **options,
            )
        )


def coordinator_name() -> str:
    return choose_coordinators('registry', MEMBERS, 1)[0].name


@pytest.fixture
async def on_coordinator() -> AsyncIterator[Harness]:
    harness = Harness(coordinator_name())
    async with harness.chooser:
        yield harness


@pytest.fixture
async def on_other_entry() -> AsyncIterator[Harness]:
    names = [m.name for m in MEMBERS if m.name != coordinator_name()]
    harness = Harness(names[0])
    async with harness.chooser:
        yield harness


async def test_coordinator_leases_its_own_servers_without_a_message(
    on_coordinator: Harness,
) -> None:
    choice = await on_coordinator.acquire()
    assert_that(choice, IsInstance(LeasedServer))
    assert_that(on_coordinator.peering.called, HasLength(0))


async def test_request_waits_until_a_slot_is_free(
    on_coordinator: Harness,
) -> None:
    held = [await on_coordinator.acquire() for _ in range(6)]
    waiting = create_task(on_coordinator.acquire())
    await sleep(0)
    assert_that(waiting.done(), Equals(False))
    first = held[0]
    assert isinstance(first, LeasedServer)
    first.release(Report(EntryLeaseResult.ANSWERED))
    choice = await waiting
    assert isinstance(choice, LeasedServer)
    assert_that(choice.server.name, Equals(first.server.name))


async def test_cancelled_request_leaves_the_queue(
    on_coordinator: Harness,
) -> None:
    for _ in range(6):
        await on_coordinator.acquire()
    waiting = create_task(on_coordinator.acquire())
    await sleep(0)
    waiting.cancel()
    await sleep(0)
    scheduler = on_coordinator.chooser.local.lease_manager.schedulers[
        'registry'
    ]
    assert_that(scheduler.queue, HasLength(0))


async def test_remote_lease_is_requested_and_released(
    on_other_entry: Harness,
) -> None:
    on_other_entry.peering.replies = [LeaseQueued(), LeaseGranted('server-1')]
    choice = await on_other_entry.acquire()
    assert isinstance(choice, LeasedServer)
    assert_that(choice.server.name, Equals('server-1'))
    kinds = [type(message) for message in on_other_entry.peering.called]
    assert_that(kinds, Equals([AcquireLease, AwaitLease]))
    choice.release(Report(EntryLeaseResult.ANSWERED, load=2))
    (message,) = on_other_entry.peering.sent
    assert isinstance(message, ReleaseLease)
    assert_that(message.load, Equals(2))
    assert_that(
        message.number, Equals(on_other_entry.peering.called[0].number)
    )


async def test_fallback_share_is_used_without_a_coordinator(
    on_other_entry: Harness,
) -> None:
    on_other_entry.peering.replies = [
        Unreachable('no reply in time', sent=True)
    ]
    choice = await on_other_entry.acquire()
    assert_that(choice, IsInstance(LeasedServer))
    # Six slots are shared by six entries.
    second = create_task(on_other_entry.acquire())
    await sleep(0.01)
    assert_that(second.done(), Equals(False))
    # The coordinator is avoided for a while, the lost request withdrawn.
    assert_that(on_other_entry.peering.called, HasLength(1))
    assert_that(
        on_other_entry.peering.sent[0].result, Equals(EntryLeaseResult.UNUSED)
    )
    second.cancel()


async def test_refusal_of_the_coordinator_is_final(
    on_other_entry: Harness,
) -> None:
    on_other_entry.peering.replies = [LeaseRefused(Reason.OVERLOADED, 700)]
    refusal = await on_other_entry.acquire()
    assert_that(refusal, Equals(NotRun(Reason.OVERLOADED, 700)))


async def test_lease_of_a_server_that_has_left_is_released(
    on_other_entry: Harness,
) -> None:
    on_other_entry.peering.replies = [LeaseGranted('server-9')]
    choice = await on_other_entry.acquire()
    assert isinstance(choice, LeasedServer)
    assert_that(
        on_other_entry.peering.sent[0].result, Equals(EntryLeaseResult.UNUSED)
    )
    names = [f'server-{number}' for number in range(3)]
    assert_that(choice.server.name in names, Equals(True))


async def test_attempt_that_may_not_wait_is_refused(
    on_coordinator: Harness,
) -> None:
    for _ in range(6):
        await on_coordinator.acquire()
    refusal = await on_coordinator.acquire(may_wait=False)
    assert_that(refusal, IsInstance(NotRun))


async def test_link_to_a_coordinator_is_opened_in_advance(
    on_other_entry: Harness,
) -> None:
    """The handshake must not use up the timeout of the first request."""
    coordinator = choose_coordinators('registry', MEMBERS, 1)[0]
    assert_that(
        set(on_other_entry.peering.opened), Equals({coordinator.peer_address})
    )
    assert_that(on_other_entry.peering.called, HasLength(0))
