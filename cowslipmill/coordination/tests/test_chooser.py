"""How an entry gets leases: from its own home, another's, or alone."""

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
    """Answers each call with the next prepared reply."""

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


class Rig:
    """One chooser, its rules and the fake links."""

    def __init__(self, name: str) -> None:
        self.peering = FakePeering()
        me = next(member for member in MEMBERS if member.name == name)
        self.rules = RoutingState(me)
        clock = get_running_loop().time
        peering: Any = self.peering
        self.chooser = LeaseChooser(
            name, self.rules, peering, clock, Random(1)
        )
        self.rules.on_refresh.append(self.chooser.refresh)
        self.rules.apply_document(
            Document(
                version=1,
                deployment='caroni',
                teams=(Team(name='standing'),),
                services=(make_service(),),
                routes=(ROUTE,),
            )
        )
        self.rules.update_members(MEMBERS, clock())
        self.rules.merge_facts([make_server(number) for number in range(3)])

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


def home_name() -> str:
    return choose_coordinators('registry', MEMBERS, 1)[0].name


@pytest.fixture
async def at_home() -> AsyncIterator[Rig]:
    rig = Rig(home_name())
    async with rig.chooser:
        yield rig


@pytest.fixture
async def away() -> AsyncIterator[Rig]:
    names = [m.name for m in MEMBERS if m.name != home_name()]
    rig = Rig(names[0])
    async with rig.chooser:
        yield rig


async def test_the_home_itself_sends_no_message(at_home: Rig) -> None:
    choice = await at_home.acquire()
    assert_that(choice, IsInstance(LeasedServer))
    assert_that(at_home.peering.called, HasLength(0))


async def test_a_full_home_keeps_a_request_until_a_slot_is_free(
    at_home: Rig,
) -> None:
    held = [await at_home.acquire() for _ in range(6)]
    waiting = create_task(at_home.acquire())
    await sleep(0)
    assert_that(waiting.done(), Equals(False))
    first = held[0]
    assert isinstance(first, LeasedServer)
    first.release(Report(EntryLeaseResult.ANSWERED))
    choice = await waiting
    assert isinstance(choice, LeasedServer)
    assert_that(choice.server.name, Equals(first.server.name))


async def test_a_caller_that_leaves_gives_its_ticket_up(at_home: Rig) -> None:
    for _ in range(6):
        await at_home.acquire()
    waiting = create_task(at_home.acquire())
    await sleep(0)
    waiting.cancel()
    await sleep(0)
    home = at_home.chooser.local.lease_manager.schedulers['registry']
    assert_that(home.queue, HasLength(0))


async def test_a_lease_of_another_entry_is_asked_for_and_given_back(
    away: Rig,
) -> None:
    away.peering.replies = [LeaseQueued(), LeaseGranted('server-1')]
    choice = await away.acquire()
    assert isinstance(choice, LeasedServer)
    assert_that(choice.server.name, Equals('server-1'))
    kinds = [type(message) for message in away.peering.called]
    assert_that(kinds, Equals([AcquireLease, AwaitLease]))
    choice.release(Report(EntryLeaseResult.ANSWERED, load=2))
    (message,) = away.peering.sent
    assert isinstance(message, ReleaseLease)
    assert_that(message.load, Equals(2))
    assert_that(message.number, Equals(away.peering.called[0].number))


async def test_without_its_home_an_entry_uses_its_share_alone(
    away: Rig,
) -> None:
    away.peering.replies = [Unreachable('no reply in time', sent=True)]
    choice = await away.acquire()
    assert_that(choice, IsInstance(LeasedServer))
    # Six slots over six entries.
    second = create_task(away.acquire())
    await sleep(0.01)
    assert_that(second.done(), Equals(False))
    # The home is left alone for a while, and the lost ticket given up.
    assert_that(away.peering.called, HasLength(1))
    assert_that(away.peering.sent[0].result, Equals(EntryLeaseResult.UNUSED))
    second.cancel()


async def test_a_refusal_of_the_home_is_final(away: Rig) -> None:
    away.peering.replies = [LeaseRefused(Reason.OVERLOADED, 700)]
    refusal = await away.acquire()
    assert_that(refusal, Equals(NotRun(Reason.OVERLOADED, 700)))


async def test_a_server_that_has_left_is_given_back(away: Rig) -> None:
    away.peering.replies = [LeaseGranted('server-9')]
    choice = await away.acquire()
    assert isinstance(choice, LeasedServer)
    assert_that(away.peering.sent[0].result, Equals(EntryLeaseResult.UNUSED))
    names = [f'server-{number}' for number in range(3)]
    assert_that(choice.server.name in names, Equals(True))


async def test_a_second_try_never_waits(at_home: Rig) -> None:
    for _ in range(6):
        await at_home.acquire()
    refusal = await at_home.acquire(may_wait=False)
    assert_that(refusal, IsInstance(NotRun))


async def test_the_link_to_a_home_is_opened_ahead(away: Rig) -> None:
    """No first request pays for the handshake within its timeout."""
    home = choose_coordinators('registry', MEMBERS, 1)[0]
    assert_that(set(away.peering.opened), Equals({home.peer_address}))
    assert_that(away.peering.called, HasLength(0))
