"""From the forms to a version in force at real agents."""

from asyncio import sleep
from collections.abc import AsyncIterator
from time import monotonic
from time import time

from aiohttp import ClientSession
from aiohttp.test_utils import TestClient
from aiohttp.test_utils import TestServer
from msgspec.structs import replace
import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Contains

from cowslipmill.console.application import make_application
from cowslipmill.console.signer import Signer
from cowslipmill.console.site import Site
from cowslipmill.console.source import Source
from cowslipmill.console.tests.browser import Browser
from cowslipmill.console.tests.conftest import ALL_TEAMS_TOKEN
from cowslipmill.console.tests.conftest import make_settings
from cowslipmill.document.checker import decode_document
from cowslipmill.launch.deployment import Deployment
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.layout import Layout
from cowslipmill.launch.network import Network

HOST_COUNT = 2
POLLS = 300
POLL_S = 0.1


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    """Starts a platform, servers, agents and entries as processes."""
    layout = Layout.example(
        'caroni', Network.for_this_process(), host_count=HOST_COUNT
    )
    with Launcher() as launcher:
        async with ClientSession() as session:
            running = Deployment(layout, launcher, session)
            await running.start()
            yield running


@pytest_asyncio.fixture
async def browser(deployment: Deployment) -> AsyncIterator[Browser]:
    """Returns an operator's browser at a console of the deployment."""
    layout = deployment.layout
    settings = replace(
        make_settings(layout.network.platform(), ''),
        agents=tuple(
            layout.agent(index).admin_listen for index in range(HOST_COUNT)
        ),
        entries=(layout.entry(0).admin_listen,),
    )
    site = Site(
        settings=settings,
        signer=Signer(settings.signing_keys),
        source=Source(settings, deployment.session, monotonic),
        wall_clock=time,
    )
    async with TestClient(TestServer(make_application(site))) as client:
        yield Browser(client)


@pytest.mark.asyncio
async def test_an_accepted_version_comes_into_force_at_every_host(
    deployment: Deployment, browser: Browser
) -> None:
    """Each agent names the very document that the console handed over."""
    await browser.sign_in(ALL_TEAMS_TOKEN)
    await browser.press('Edit route book-exam')
    await browser.press('Take into the draft', {'deadline_ms': '7000'})
    await browser.press('Review changes')
    await browser.press('Accept')
    page = browser.page
    await browser.press('Download')
    await deployment.publish_document(decode_document(browser.body))
    browser.page = page
    await browser.press('Watch it come into force')
    for _ in range(POLLS):
        if 'Of 2 hosts: 2 in force.' in browser.text():
            break
        await sleep(POLL_S)
        await browser.press('Read again')
    assert_that(browser.text(), Contains('Of 2 hosts: 2 in force.'))
    await browser.open('/fleet')
    assert_that(browser.text(), Contains('registry-0 registry'))
