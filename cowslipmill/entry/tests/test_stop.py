"""Tests of the graceful stop of an entry process."""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from asyncio import timeout
from collections import Counter
from collections.abc import AsyncIterator
from signal import SIGTERM

from aiohttp import ClientSession
from msgspec import json
from msgspec.structs import replace
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.launch.deployment import Deployment
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.layout import Layout
from cowslipmill.launch.network import Network
from cowslipmill.outcomes.rendering import OUTCOME_HEADER
from cowslipmill.settings.settings import EntrySettings
from cowslipmill.standin.behaviour import Behaviour

TIMEOUT_S = 20.0
POLL_S = 0.02
READINESS_WAIT_MS = 2_000
STOP_BOUND_MS = 1_000
IN_FLIGHT_LINE = '\ncowslipmill_requests_in_flight '


class StopLayout(Layout):
    """A layout whose entries have short stop timeouts."""

    def entry(self, index: int) -> EntrySettings:
        """Returns the settings with the timeouts of these tests."""
        return replace(
            super().entry(index),
            readiness_wait_ms=READINESS_WAIT_MS,
            stop_bound_ms=STOP_BOUND_MS,
        )


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Starts a deployment of one host."""
    layout = StopLayout.example(
        'caroni', Network.for_this_process(), host_count=1, service_ms=200.0
    )
    with Launcher() as launcher:
        async with ClientSession() as session:
            running = Deployment(layout, launcher, session)
            await running.start()
            yield running


async def freeze_servers(deployment: Deployment) -> None:
    """Makes every server accept requests without responding."""
    body = json.encode(Behaviour(frozen=True))
    for server in deployment.layout.servers:
        url = f'http://{server.address}/standin/behaviour'
        async with deployment.session.put(url, data=body) as response:
            response.raise_for_status()


async def book(deployment: Deployment, number: int) -> tuple[str, str]:
    """Sends a booking; returns its outcome and its Connection header."""
    address = deployment.layout.entry(0).listen
    url = f'http://{address}/exams/{number}/bookings'
    async with deployment.session.post(url, data=b'{}') as response:
        await response.read()
        connection_header = response.headers.get('Connection', 'kept')
        return response.headers.get(OUTCOME_HEADER, 'none'), connection_header


async def wait_for_in_flight(deployment: Deployment, count: int) -> None:
    """Waits until the entry has at least `count` requests in flight."""
    admin = deployment.layout.entry(0).admin_listen
    async with timeout(TIMEOUT_S):
        while True:
            url = f'http://{admin}/metrics'
            async with deployment.session.get(url) as response:
                text = await response.text()
            if float(text.partition(IN_FLIGHT_LINE)[2].split()[0]) >= count:
                return
            await sleep(POLL_S)


async def wait_until_unready(deployment: Deployment) -> None:
    """Waits until the readiness check of the entry fails."""
    admin = deployment.layout.entry(0).admin_listen
    async with timeout(TIMEOUT_S):
        while True:
            url = f'http://{admin}/readyz'
            async with deployment.session.get(url) as response:
                if response.status == 503:
                    return
            await sleep(POLL_S)


async def test_stop_aborts_no_request(deployment: Deployment) -> None:
    """Requests before the stop and after failed readiness are answered."""
    early = [create_task(book(deployment, n)) for n in range(30)]
    await wait_for_in_flight(deployment, 10)
    deployment.launcher.send_signal('entry-0', SIGTERM)
    await wait_until_unready(deployment)
    deployment.launcher.send_signal('entry-0', SIGTERM)
    late = await gather(*(book(deployment, n) for n in range(30, 40)))
    outcomes = Counter(outcome for outcome, _ in await gather(*early))
    assert_that(outcomes, Equals(Counter({'answered': 30})))
    assert_that(Counter(late), Equals(Counter({('answered', 'close'): 10})))
    assert_that(deployment.launcher.wait('entry-0'), Equals(0))


async def test_frozen_server_does_not_delay_the_stop(
    deployment: Deployment,
) -> None:
    """Requests in flight at the timeout end as unknown, with the reason."""
    await freeze_servers(deployment)
    sent = [create_task(book(deployment, n)) for n in range(3)]
    await wait_for_in_flight(deployment, 3)
    deployment.launcher.send_signal('entry-0', SIGTERM)
    outcomes = Counter(await gather(*sent))
    expected = ('unknown; reason=stopping', 'close')
    assert_that(outcomes, Equals(Counter({expected: 3})))
    assert_that(deployment.launcher.wait('entry-0'), Equals(0))
