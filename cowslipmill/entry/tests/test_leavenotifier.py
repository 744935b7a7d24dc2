"""Tests of what an entry does when a server says that it is leaving."""

from typing import Any

from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength

from cowslipmill.attempts.event import AnswerRead
from cowslipmill.attempts.event import Signals
from cowslipmill.entry.leavenotifier import LeaveNotifier
from cowslipmill.entry.leavenotifier import ServerLeaving
from cowslipmill.entry.observations import Observations
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role
from cowslipmill.launch.layout import Layout
from cowslipmill.launch.network import Network

DOCUMENT = Layout.example('caroni', Network(1), host_count=1).document
SERVER = NodeRecord(
    name='registry-0',
    role=Role.BACKEND_SERVER,
    address='127.0.0.1:9000',
    failure_domain='domain-a',
    incarnation=3,
    service='registry',
)
LEAVING_ANSWER = AnswerRead(200, (), b'', Signals(leaving=True))


class RecordingPeering:
    """Keeps what an entry sends."""

    def __init__(self) -> None:
        """Starts with nothing sent."""
        self.sent: list[tuple[str, Any]] = []

    def register(self, kind: type, handler: Any) -> None:
        """Takes no messages in."""

    def send(self, address: str, message: Any) -> bool:
        """Keeps a message."""
        self.sent.append((address, message))
        return True


def make_member(name: str) -> Member:
    """Returns an entry."""
    return Member(
        name=name,
        host=name,
        failure_domain='domain-a',
        incarnation=1,
        peer_address=f'127.0.0.9:{len(name)}',
    )


@pytest.fixture
def notice() -> LeaveNotifier:
    """Returns an entry whose service has its home elsewhere."""
    own, home = make_member('entry'), make_member('other-home')
    routing_state = RoutingState(own)
    routing_state.apply_document(DOCUMENT)
    routing_state.merge_facts([SERVER])
    routing_state.update_members([home], 0.0)
    while routing_state.refresh_batch():
        pass
    peering: Any = RecordingPeering()
    return LeaveNotifier('entry', routing_state, Observations(), peering)


def sent_messages(notice: LeaveNotifier) -> list[tuple[str, Any]]:
    """Returns what an entry sent."""
    peering: Any = notice.peering
    found: list[tuple[str, Any]] = peering.sent
    return found


def test_entry_gives_a_leaving_server_no_more_work(
    notice: LeaveNotifier,
) -> None:
    """The first such answer is enough, without any agent."""
    notice.on_attempt(SERVER, LEAVING_ANSWER)
    while notice.routing_state.refresh_batch():
        pass
    assert_that(notice.routing_state.pools['registry'].servers, HasLength(0))


def test_home_and_agent_are_told_once(notice: LeaveNotifier) -> None:
    """Answers that say so again send no more messages."""
    notice.on_attempt(SERVER, LEAVING_ANSWER)
    notice.on_attempt(SERVER, LEAVING_ANSWER)
    leaving = replace(SERVER, state=LifecycleState.LEAVING)
    expected = [(make_member('other-home').peer_address, leaving)]
    found = [
        (address, message.fact) for address, message in sent_messages(notice)
    ]
    assert_that(found, Equals(expected))
    observed = notice.observations.take_due(1.0)
    assert observed is not None
    assert_that(observed.leaving, HasLength(1))


async def test_home_takes_another_entrys_word(notice: LeaveNotifier) -> None:
    """A later incarnation is not taken out by it."""
    leaving = ServerLeaving(replace(SERVER, state=LifecycleState.LEAVING))
    notice.routing_state.merge_facts([replace(SERVER, incarnation=4)])
    await notice.on_server_leaving(leaving, 'entry-1')
    state = notice.routing_state.view.records['registry-0'].state
    assert_that(state, Equals(LifecycleState.LIVE))
