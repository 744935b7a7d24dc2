"""Tests of the merged states of backend servers."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength

from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role
from cowslipmill.serverstate.servertable import ServerTable
from cowslipmill.serverstate.servertable import Source


def make_node(incarnation: int, state: LifecycleState) -> NodeRecord:
    """Returns a backend server of the host list."""
    return NodeRecord(
        name='registry-0',
        role=Role.BACKEND_SERVER,
        address='127.0.0.1:9000',
        failure_domain='domain-a',
        incarnation=incarnation,
        state=state,
        service='registry',
    )


@pytest.fixture
def servers() -> ServerTable:
    """Returns a table with one live server of the host list."""
    servers = ServerTable()
    servers.merge_host_list([make_node(3, LifecycleState.LIVE)], 0.0)
    return servers


def test_leaving_signal_changes_the_record_only_once(
    servers: ServerTable,
) -> None:
    """The first leaving signal marks the server; repeats change nothing."""
    assert_that(servers.on_leaving_signal('registry-0', 3, 1.0), HasLength(1))
    assert_that(servers.on_leaving_signal('registry-0', 3, 2.0), HasLength(0))
    assert_that(servers.sources['registry-0'], Equals(Source.SERVER))


def test_outdated_host_list_does_not_revive_a_leaving_server(
    servers: ServerTable,
) -> None:
    """A leaving server stays so within its incarnation."""
    servers.on_leaving_signal('registry-0', 3, 1.0)
    changed = servers.merge_host_list([make_node(3, LifecycleState.LIVE)], 2.0)
    assert_that(changed, HasLength(0))
    (node,) = servers.node_records()
    assert_that(node.state, Equals(LifecycleState.LEAVING))


def test_signal_of_the_previous_incarnation_is_ignored(
    servers: ServerTable,
) -> None:
    """A late signal of one incarnation does not mark the next one."""
    servers.merge_host_list([make_node(4, LifecycleState.LIVE)], 1.0)
    assert_that(servers.on_leaving_signal('registry-0', 3, 2.0), HasLength(0))
    (node,) = servers.node_records()
    assert_that(
        (node.incarnation, node.state), Equals((4, LifecycleState.LIVE))
    )


def test_server_absent_from_the_host_list_is_kept(
    servers: ServerTable,
) -> None:
    """A server that the host list omits keeps its state."""
    assert_that(servers.merge_host_list([], 1.0), HasLength(0))
    assert_that(servers.node_records(), HasLength(1))
