"""Tests of the messages between agent states, without a network."""

from random import Random

from msgspec import json
from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import IsInstance

from cowslipmill.agent.outbox import choose_targets
from cowslipmill.agent.outbox import FANOUT
from cowslipmill.agent.outbox import ROUNDS_PER_CHANGE
from cowslipmill.agent.peermessages import FetchDocument
from cowslipmill.agent.peermessages import WholeDocument
from cowslipmill.agent.state import AgentState
from cowslipmill.configuration.delta import DocumentDelta
from cowslipmill.configuration.stamp import NO_DOCUMENT
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.launch.layout import Layout
from cowslipmill.launch.network import Network

LAYOUT = Layout.example('caroni', Network(1), host_count=3)


@pytest.fixture
def states() -> list[AgentState]:
    """Returns three agent states that know each other and the servers."""
    found = [AgentState(LAYOUT.agent(index), 1, 0.0) for index in range(3)]
    for state in found:
        state.merge_host_list(LAYOUT.host_list().hosts, 0.0)
        for other in found:
            exchange(state, other)
    return found


def exchange(sender: AgentState, receiver: AgentState) -> None:
    """Passes a heartbeat, its reply and the repair between two states."""
    name = receiver.detector.own.name
    heartbeat = sender.make_heartbeat(name, 1.0)
    receiver.on_heartbeat(heartbeat, 1.0)
    reply = receiver.make_reply(heartbeat, 1.0)
    sender.on_heartbeat(reply.heartbeat, 1.0)
    sender.merge_update(reply.update, 1.0)
    receiver.merge_update(sender.make_repair(reply.heartbeat, 1.0), 1.0)


def state_of(state: AgentState, server: str) -> LifecycleState:
    """Returns the state of a server as one agent has it."""
    return state.servers.replica.records[server].state


def test_leaving_server_is_relayed_for_a_fixed_number_of_rounds(
    states: list[AgentState],
) -> None:
    """Each agent that receives the change sends it in its own rounds."""
    for state in states:
        state.outbox.servers.clear()
    changed = states[0].servers.on_leaving_signal('registry-0', 1, 1.0)
    states[0].outbox.add_servers(changed)
    states[1].merge_update(states[0].make_update(1.0), 1.0)
    states[2].merge_update(states[1].make_update(1.0), 1.0)
    assert_that(
        state_of(states[2], 'registry-0'), Equals(LifecycleState.LEAVING)
    )
    rounds = 1
    while not states[1].outbox.is_empty():
        states[1].make_update(1.0)
        rounds += 1
    assert_that(rounds, Equals(ROUNDS_PER_CHANGE))


def test_heartbeats_repair_lost_updates(states: list[AgentState]) -> None:
    """Digests reveal a change whose update was never delivered."""
    states[0].servers.on_leaving_signal('registry-0', 1, 1.0)
    exchange(states[1], states[0])
    exchange(states[1], states[2])
    for state in states:
        assert_that(
            state_of(state, 'registry-0'), Equals(LifecycleState.LEAVING)
        )


def test_document_is_sent_as_a_delta_if_the_base_is_known() -> None:
    """A peer without the base gets the whole document."""
    state = AgentState(LAYOUT.agent(0), 1, 0.0)
    document = LAYOUT.document
    state.configuration.offer(json.encode(document), 0.0)
    base = state.configuration.stamp
    following = replace(document, version=2, base=1)
    state.configuration.offer(json.encode(following), 0.0)
    known = state.make_document_reply(FetchDocument(base))
    unknown = state.make_document_reply(FetchDocument(NO_DOCUMENT))
    assert_that(known, IsInstance(DocumentDelta))
    assert_that(unknown, IsInstance(WholeDocument))


def test_round_targets_include_own_and_other_failure_domains() -> None:
    """Some, but not all, targets of a round are of the own domain."""
    layout = Layout.example('caroni', Network(1), host_count=18)
    others = [
        AgentState(layout.agent(index), 1, 0.0).detector.own
        for index in range(1, 18)
    ]
    domains = {host.address: host.failure_domain for host in others}
    targets = choose_targets(others, 'domain-a', Random(3))
    near = [address for address in targets if domains[address] == 'domain-a']
    assert_that(len(set(targets)), Equals(FANOUT))
    assert_that(0 < len(near) < FANOUT, Equals(True))
