"""A host process whose memory is measured, with stand-ins around it."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import Task
from collections.abc import AsyncIterator
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from re import search
from signal import SIGKILL
from typing import Any

from msgspec.structs import replace
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import LessThan

from cowslipmill.host.settings import HostSettings
from cowslipmill.host.tests.conftest import DOMAINS
from cowslipmill.host.tests.conftest import HOST_HEADER
from cowslipmill.host.tests.conftest import make_test_configuration
from cowslipmill.host.tests.conftest import make_test_route
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.serverconnection import ConnectFailed
from cowslipmill.http1.serverconnection import ExchangeFailed
from cowslipmill.http1.serverconnection import open_connection
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.network import Network
from cowslipmill.runtime.address import split_address
from cowslipmill.standin.backend import StandinBackend
from cowslipmill.standin.published import make_entry
from cowslipmill.standin.published import SERVICE
from cowslipmill.standin.store import StandinStore

PORTS = (7321, 7322, 7323)
# The least that the platform gives to a host process.
MEMORY_MB = 200.0
KIBIBYTES = 1_024
MAX_BODY_BYTES = 67_108_864
WAIT_S = 20.0
SETTLE_S = 90.0
TIMEOUT_MS = 8_000
SOUND_SERVICE = 'scheduler'


class MeasuredHost:
    """One host process with stand-ins around it.

    Attributes:
        launcher: Starts the process.
        store: The store.
        backends: The servers.
        settings: The host's settings.
        numbers: Number of the last request sent.
    """

    def __init__(self, launcher: Launcher) -> None:
        """Creates the stand-ins."""
        self.launcher = launcher
        self.store = StandinStore()
        self.backends: list[StandinBackend] = []
        self.numbers = 0
        self.tasks: list[Task[Any]] = []
        network = Network.for_this_process()
        callers, readiness, peers = (
            split_address(network.host(0, port)) for port in PORTS
        )
        self.settings = HostSettings(
            name='host-0',
            failure_domain=DOMAINS[0],
            callers_listen=callers,
            readiness_listen=readiness,
            peer_listen=peers,
            seeds=(),
            store=self.store.address,
            stop_s=4.0,
            retry_share=0.2,
            retry_reserve=64.0,
            leaving_s=2.0,
            memory_mb=MEMORY_MB,
        )

    async def start(self) -> None:
        """Starts the store, two servers of two services, and the host."""
        await self.store.start()
        for name, service in (('one', SERVICE), ('two', SOUND_SERVICE)):
            backend = StandinBackend(name, slots=64)
            await backend.start()
            self.backends.append(backend)
            entry = make_entry(
                backend, backend.address, DOMAINS[0], Service=service
            )
            self.store.put(f'servers/{name}', entry)
        self.store.put('op/config', self.configuration(1))
        settings = replace(self.settings, store=self.store.address)
        self.settings = settings
        self.launcher.start('host', 'host-0', settings)
        await self.wait_until_served()

    def configuration(self, version: int) -> dict[str, Any]:
        """Returns a configuration with a route to each service."""
        routes = (
            make_test_route('/long/', 'unsafe', timeout_ms=TIMEOUT_MS),
            make_test_route(
                '/sound/',
                'unsafe',
                timeout_ms=TIMEOUT_MS,
                Service=SOUND_SERVICE,
            ),
        )
        configuration = make_test_configuration(version, *routes)
        services = configuration['Services']
        services.append({**services[0], 'Name': SOUND_SERVICE})
        configuration['Limits']['MaxBodyBytes'] = MAX_BODY_BYTES
        return configuration

    async def wait_until_served(self) -> None:
        """Waits until requests are served."""
        deadline = get_running_loop().time() + WAIT_S
        while True:
            with suppress(ConnectFailed, ExchangeFailed, TimeoutError):
                if (await self.send_request('/sound/0')).status == 200:
                    return
            assert get_running_loop().time() < deadline, 'not served in time'
            await sleep(0.1)

    async def send_request(self, target: str, body: bytes = b'') -> Response:
        """Sends a request on a new connection and returns the response."""
        self.numbers += 1
        headers = [
            (b'host', HOST_HEADER.encode()),
            (b'x-request-id', b'q%d' % self.numbers),
            (b'x-deadline-ms', b'%d' % TIMEOUT_MS),
        ]
        request = Request(b'POST', target.encode(), headers, body)
        connection = await open_connection(self.settings.callers_listen, 5.0)
        try:
            until = get_running_loop().time() + 1.5 * TIMEOUT_MS / 1_000
            return await connection.exchange(request, until=until)
        finally:
            connection.close()

    def begin(self, work: Coroutine[Any, Any, Any]) -> None:
        """Does something beside the rest, whatever becomes of it."""

        async def ignore_errors() -> None:
            with suppress(Exception):
                await work

        self.tasks.append(create_task(ignore_errors()))

    async def serve_sound_requests(self, count: int) -> list[int]:
        """Sends requests to the sound service; returns their statuses."""
        statuses = []
        for number in range(count):
            response = await self.send_request(f'/sound/{number}', b'x' * 400)
            statuses.append(response.status)
            await sleep(0.05)
        return statuses

    @property
    def peak_mb(self) -> float:
        """Most private memory that the process has had, in MiB.

        Pages of files, such as libraries, don't count.
        """
        process = self.launcher.processes['host-0']
        status = Path(f'/proc/{process.pid}/status').read_text()
        return (
            read_kibibytes(status, 'VmHWM') - read_kibibytes(status, 'RssFile')
        ) / KIBIBYTES

    async def stop(self) -> None:
        """Ends everything."""
        for task in self.tasks:
            task.cancel()
        if self.launcher.is_running('host-0'):
            self.launcher.send_signal('host-0', SIGKILL)
        for backend in self.backends:
            backend.stop()
        await self.store.stop()


def read_kibibytes(status: str, name: str) -> int:
    """Returns a figure of `/proc/PID/status`."""
    match = search(rf'{name}:\s+(\d+) kB', status)
    assert match is not None
    return int(match[1])


@pytest_asyncio.fixture
async def host() -> AsyncIterator[MeasuredHost]:
    """Starts a host process with the least memory of the platform."""
    with Launcher() as launcher:
        host = MeasuredHost(launcher)
        await host.start()
        yield host
        await host.stop()


async def check_limits(host: MeasuredHost, requests: int = 20) -> None:
    """Serves sound requests beside the rest and checks the peak."""
    statuses = await host.serve_sound_requests(requests)
    check_peak(host)
    assert_that(statuses, Equals([200] * requests))


def check_peak(host: MeasuredHost) -> None:
    """Checks that the process runs and has kept within its limit."""
    peak_mb = host.peak_mb
    print(f'peak: {peak_mb:.0f} MiB')
    assert_that(host.launcher.is_running('host-0'), Equals(True))
    assert_that(peak_mb, LessThan(MEMORY_MB))


async def wait_until_settled(host: MeasuredHost) -> None:
    """Waits until the host has handled what it was sent.

    A processor that is shared needs long for millions of small chunks.
    """
    deadline = get_running_loop().time() + SETTLE_S
    while get_running_loop().time() < deadline:
        with suppress(ConnectFailed, ExchangeFailed, TimeoutError):
            if (await host.send_request('/sound/0')).status == 200:
                return
        await sleep(0.1)
    raise AssertionError('not settled in time')
