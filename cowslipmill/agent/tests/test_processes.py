"""Tests of agents that run as processes and exchange documents."""

from collections.abc import Callable
from signal import SIGKILL
from signal import SIGTERM

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.agent.status import AgentStatus
from cowslipmill.agent.tests.conftest import Agents


def has_version(version: int) -> Callable[[AgentStatus], bool]:
    """Returns a condition: this version is in force."""
    return lambda status: status.version == version


def knows_all(status: AgentStatus) -> bool:
    """Returns whether an agent sees all three hosts as live."""
    return [member.state for member in status.members] == ['live'] * 3


async def test_agents_without_platform_get_documents_from_their_peer(
    agents: Agents,
) -> None:
    """Only one agent reaches the platform; all get each version."""
    agents.cut_off = {0, 2}
    await agents.publish(1, 600_000)
    for index in range(3):
        agents.start(index)
    for index in range(3):
        await agents.wait_until(index, has_version(1))
        await agents.wait_until(index, knows_all)
    await agents.publish(2, 500_000)
    digests = {
        (await agents.wait_until(index, has_version(2))).digest
        for index in range(3)
    }
    assert_that(len(digests), Equals(1))


async def test_agent_ignores_an_older_platform_document_after_a_kill(
    agents: Agents,
) -> None:
    """A restarted agent takes the newer document from its peers.

    The platform serves an older version meanwhile, which must not be put in
    force, not even as the first document after the start.
    """
    await agents.publish(2, 600_000)
    for index in range(3):
        agents.start(index)
    for index in range(3):
        await agents.wait_until(index, has_version(2))
        await agents.wait_until(index, knows_all)
    await agents.publish(1, 500_000)
    agents.deployment.launcher.send_signal('agent-0', SIGKILL)
    agents.deployment.launcher.wait('agent-0')
    agents.start(0)
    first = await agents.wait_until(0, lambda status: status.version > 0)
    assert_that(first.version, Equals(2))
    await agents.publish(3, 400_000)
    for index in range(3):
        await agents.wait_until(index, has_version(3))


async def test_agent_restarts_from_its_peers_while_the_platform_is_down(
    agents: Agents,
) -> None:
    """A stopped agent is seen as leaving and restarts without platform."""
    await agents.publish(1, 600_000)
    for index in range(3):
        agents.start(index)
    for index in range(3):
        await agents.wait_until(index, knows_all)
        await agents.wait_until(index, has_version(1))
    await agents.deployment.switch('down?on=1')
    agents.deployment.launcher.send_signal('agent-1', SIGTERM)
    assert_that(agents.deployment.launcher.wait('agent-1'), Equals(0))
    await agents.wait_until(
        0, lambda status: 'leaving' in {m.state for m in status.members}
    )
    agents.start(1)
    await agents.wait_until(1, has_version(1))
    await agents.wait_until(0, knows_all)
