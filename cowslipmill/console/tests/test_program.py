"""The console as a process of its own."""

from asyncio import sleep
from collections.abc import Iterator
from signal import SIGTERM

from aiohttp import ClientError
from aiohttp import ClientSession
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals

from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.network import Network
from cowslipmill.settings.settings import ConsoleSettings
from cowslipmill.settings.settings import TokenSettings

POLLS = 600
POLL_S = 0.05


@pytest.fixture
def launcher() -> Iterator[Launcher]:
    """Returns a launcher that ends what it started."""
    with Launcher() as launcher:
        yield launcher


@pytest.fixture
def console_settings() -> ConsoleSettings:
    """Returns settings of a console on a loopback address."""
    network = Network.for_this_process()
    return ConsoleSettings(
        name='console-0',
        deployment='caroni',
        listen=network.host(0, 8095),
        platform=f'http://{network.platform()}',
        agents=(),
        tokens=(TokenSettings(name='operators', secret='x' * 32),),
        signing_keys=('y' * 32,),
    )


async def wait_until_live(address: str) -> None:
    """Returns when the process answers."""
    async with ClientSession() as session:
        for _ in range(POLLS):
            try:
                async with session.get(f'http://{address}/livez') as answer:
                    if answer.status == 200:
                        return
            except (ClientError, OSError):
                pass
            await sleep(POLL_S)
    raise AssertionError('the console did not answer')


@pytest.mark.asyncio
async def test_the_console_runs_and_stops_cleanly(
    launcher: Launcher, console_settings: ConsoleSettings
) -> None:
    """A second one on its address ends with one line that names it."""
    launcher.start('console', 'console', console_settings)
    await wait_until_live(console_settings.listen)
    launcher.start('console', 'second', console_settings)
    assert_that(launcher.wait('second'), Equals(2))
    line = launcher.read_log('second')
    assert_that(line, Contains(f'$.listen: {console_settings.listen}: '))
    assert_that(line, Contains('already in use'))
    launcher.send_signal('console', SIGTERM)
    assert_that(launcher.wait('console'), Equals(0))
