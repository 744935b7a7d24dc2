"""Agents that act together as real processes."""

from collections.abc import Callable
from signal import SIGKILL
from signal import SIGTERM

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.agent.status import AgentStatus
from cowslipmill.agent.tests.conftest import Agents


def has_version(version: int) -> Callable[[AgentStatus], bool]:
    """Returns a check of the version in force."""
    return lambda status: status.version == version


def knows_all(status: AgentStatus) -> bool:
    """Tells whether an agent sees all three hosts live."""
    return [member.state for member in status.members] == ['live'] * 3


async def test_document_spreads_from_the_one_that_reaches_the_platform(
    agents: Agents,
) -> None:
    """Hosts without a platform get each version from their peer."""
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


async def test_killed_agent_asks_its_peers_and_older_documents_stay_out(
    agents: Agents,
) -> None:
    """A platform that went back is not followed, not even at a start."""
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


async def test_agent_starts_from_its_peers_while_the_platform_is_down(
    agents: Agents,
) -> None:
    """A restarted agent needs no platform, and one that leaves says so."""
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
