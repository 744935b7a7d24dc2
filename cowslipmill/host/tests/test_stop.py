"""Stops of a host's process before the platform kills it."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import Task
from collections.abc import AsyncIterator
from collections.abc import Callable
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGSTOP
from signal import SIGTERM

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.host.settings import HostSettings
from cowslipmill.host.tests.conftest import configuration
from cowslipmill.host.tests.conftest import DOMAINS
from cowslipmill.host.tests.conftest import HOST
from cowslipmill.host.tests.conftest import route
from cowslipmill.host.tests.conftest import WAIT_S
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.serverconnection import open_connection
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.network import Network
from cowslipmill.runtime.address import split_address
from cowslipmill.standin.backend import StandinBackend
from cowslipmill.standin.published import make_entry
from cowslipmill.standin.store import StandinStore

PORTS = (7311, 7312, 7313)
STOP_S = 4.0
PATIENCE_MS = 20_000


class Processes:
    """Host processes before one server.

    Attributes:
        launcher: Starts the processes.
        backend: The server.
        settings: The hosts' settings in the order of their start.
    """

    def __init__(self, launcher: Launcher) -> None:
        """Starts nothing yet."""
        self.launcher = launcher
        self.store = StandinStore()
        self.backend = StandinBackend('one')
        self.settings: list[HostSettings] = []

    async def start(self, hosts: int) -> None:
        """Starts the store, the server and the hosts."""
        await self.store.start()
        await self.backend.start()
        entry = make_entry(self.backend, self.backend.address, DOMAINS[0])
        long = route('/long/', 'safe', timeout_ms=PATIENCE_MS)
        self.store.put('op/config', configuration(1, long))
        self.store.put('servers/one', entry)
        network = Network.for_this_process()
        for number in range(hosts):
            callers, readiness, peers = (
                split_address(network.host(number, port)) for port in PORTS
            )
            settings = HostSettings(
                name=f'host-{number}',
                failure_domain=DOMAINS[0],
                callers_listen=callers,
                readiness_listen=readiness,
                peer_listen=peers,
                seeds=tuple(s.peer_listen for s in self.settings),
                store=self.store.address,
                stop_s=STOP_S,
                retry_share=0.2,
                retry_reserve=64.0,
                leaving_s=2.0,
            )
            self.settings.append(settings)
            self.launcher.start('host', settings.name, settings)

    async def until_logged(self, host: int, event: str, count: int) -> None:
        """Waits until a host has written a line some number of times."""
        name = self.settings[host].name
        await self.until(
            lambda: self.launcher.read_log(name).count(event) >= count
        )

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits for a condition to hold.

        Raises:
            AssertionError: If it doesn't hold in time.
        """
        loop = get_running_loop()
        end = loop.time() + 2 * WAIT_S
        while not condition():
            assert loop.time() < end, 'the condition never held'
            await sleep(0.02)

    async def ask(self, host: int) -> Response:
        """Sends a request that a host is to answer."""
        address = self.settings[host].callers_listen
        headers = [
            (b'host', HOST.encode()),
            (b'x-request-id', b'asked'),
            (b'x-deadline-ms', b'%d' % PATIENCE_MS),
        ]
        connection = await open_connection(address, 1.0)
        return await connection.exchange(
            Request(b'GET', b'/long/1', headers, b'')
        )

    async def begin(self, host: int) -> Task[Response]:
        """Sends requests until the server works on one.

        A host on a busy machine may refuse at first, since it has not heard
        of the server's load in time.
        """
        before = len(self.backend.runs)
        while True:
            asked = create_task(self.ask(host))
            await self.until(
                lambda: len(self.backend.runs) > before or asked.done()
            )
            if len(self.backend.runs) > before:
                return asked

    async def stop_like_the_platform(self, host: int) -> int:
        """Sends SIGTERM, and SIGKILL after the time to stop.

        Returns:
            The exit status.
        """
        name = self.settings[host].name
        self.launcher.send_signal(name, SIGTERM)
        kill = get_running_loop().call_later(
            STOP_S, self.launcher.send_signal, name, SIGKILL
        )
        await self.until(lambda: not self.launcher.is_running(name))
        kill.cancel()
        return self.launcher.wait(name)


@pytest_asyncio.fixture
async def processes() -> AsyncIterator[Processes]:
    """Starts three hosts that know each other."""
    with Launcher() as launcher:
        processes = Processes(launcher)
        await processes.start(3)
        for number in range(3):
            await processes.until_logged(number, '"host known"', 2)
        yield processes
        for settings in processes.settings:
            if launcher.is_running(settings.name):
                launcher.send_signal(settings.name, SIGCONT)
                launcher.send_signal(settings.name, SIGKILL)
        processes.backend.stop()
        await processes.store.stop()


@pytest.mark.parametrize('work_s', [0.02, 30.0])
async def test_frozen_hosts_do_not_hold_a_stop_beyond_the_kill(
    processes: Processes, work_s: float
) -> None:
    processes.backend.work_s = work_s
    asked = await processes.begin(0)
    for name in ('host-1', 'host-2'):
        processes.launcher.send_signal(name, SIGSTOP)
    status = await processes.stop_like_the_platform(0)
    asked.cancel()
    assert_that(status, Equals(0))
