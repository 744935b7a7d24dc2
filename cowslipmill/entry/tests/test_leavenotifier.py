"""Tests of an entry whose server signals that it is leaving."""

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
LEAVING_RESPONSE = AnswerRead(200, (), b'', Signals(leaving=True))


class RecordingPeering:
    """Records the messages that an entry sends."""

    def __init__(self) -> None:
        """Starts without messages."""
        self.sent: list[tuple[str, Any]] = []

    def register(self, kind: type, handler: Any) -> None:
        """Ignores the handler: no message is received."""

    def send(self, address: str, message: Any) -> bool:
        """Records a message."""
        self.sent.append((address, message))
        return True


def make_member(name: str) -> Member:
    """Returns a live entry."""
    return Member(
        name=name,
        host=name,
        failure_domain='domain-a',
        incarnation=1,
        peer_address=f'127.0.0.9:{len(name)}',
    )


@pytest.fixture
def leave_notifier() -> LeaveNotifier:
    """Returns the notifier of an entry that is no coordinator itself."""
    own, coordinator = make_member('entry'), make_member('other-entry')
    routing_state = RoutingState(own)
    routing_state.apply_document(DOCUMENT)
    routing_state.merge_facts([SERVER])
    routing_state.update_members([coordinator], 0.0)
    while routing_state.refresh_batch():
        pass
    peering: Any = RecordingPeering()
    return LeaveNotifier('entry', routing_state, Observations(), peering)


def sent_messages(leave_notifier: LeaveNotifier) -> list[tuple[str, Any]]:
    """Returns the messages that an entry sent, with their addresses."""
    peering: Any = leave_notifier.peering
    found: list[tuple[str, Any]] = peering.sent
    return found


def test_leaving_server_gets_no_more_requests(
    leave_notifier: LeaveNotifier,
) -> None:
    """One response with the signal is enough, without the agent."""
    leave_notifier.on_attempt(SERVER, LEAVING_RESPONSE)
    while leave_notifier.routing_state.refresh_batch():
        pass
    assert_that(
        leave_notifier.routing_state.pools['registry'].servers, HasLength(0)
    )


def test_coordinator_and_agent_are_notified_once(
    leave_notifier: LeaveNotifier,
) -> None:
    """Further responses with the same signal send no more messages."""
    leave_notifier.on_attempt(SERVER, LEAVING_RESPONSE)
    leave_notifier.on_attempt(SERVER, LEAVING_RESPONSE)
    leaving = replace(SERVER, state=LifecycleState.LEAVING)
    expected = [(make_member('other-entry').peer_address, leaving)]
    found = [
        (address, message.fact)
        for address, message in sent_messages(leave_notifier)
    ]
    assert_that(found, Equals(expected))
    observed = leave_notifier.observations.take_due(1.0)
    assert observed is not None
    assert_that(observed.leaving, HasLength(1))


async def test_leaving_message_does_not_affect_later_incarnation(
    leave_notifier: LeaveNotifier,
) -> None:
    """A restarted server stays live when a late message arrives."""
    leaving = ServerLeaving(replace(SERVER, state=LifecycleState.LEAVING))
    leave_notifier.routing_state.merge_facts([replace(SERVER, incarnation=4)])
    await leave_notifier.on_server_leaving(leaving, 'entry-1')
    state = leave_notifier.routing_state.view.records['registry-0'].state
    assert_that(state, Equals(LifecycleState.LIVE))
