"""End-to-end tests with every program in a process of its own."""

import asyncio
from collections.abc import AsyncIterator
from signal import SIGTERM

from aiohttp import ClientSession
import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.demo.demo import send_request
from cowslipmill.demo.demo import Tally
from cowslipmill.launch.deployment import Deployment
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.layout import Layout
from cowslipmill.launch.network import Network


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Returns a running deployment with two hosts."""
    layout = Layout.example('caroni', Network.for_this_process(), host_count=2)
    with Launcher() as launcher:
        async with ClientSession() as session:
            running = Deployment(layout, launcher, session)
            await running.start()
            yield running


@pytest.mark.asyncio
async def test_requests_are_answered_from_end_to_end(
    deployment: Deployment,
) -> None:
    """Every request of the demo is answered by a server."""
    tally = Tally()
    session = deployment.session
    await asyncio.gather(
        *(send_request(session, deployment, n, tally) for n in range(40))
    )
    assert_that(
        dict(tally.outcomes),
        Equals(
            {
                ('book-exam', 'answered'): 8,
                ('check-standing', 'answered'): 32,
            }
        ),
    )


@pytest.mark.asyncio
async def test_programs_exit_with_status_zero_on_sigterm(
    deployment: Deployment,
) -> None:
    """SIGTERM ends each program of the deployment with status 0."""
    for name in ('entry-0', 'agent-0', 'servers-0', 'platform'):
        deployment.launcher.send_signal(name, SIGTERM)
    for name in ('entry-0', 'agent-0', 'servers-0', 'platform'):
        assert_that(deployment.launcher.wait(name), Equals(0))
