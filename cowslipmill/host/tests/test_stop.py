"""Tests that a host process stops before the platform kills it."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import open_connection as open_stream
from asyncio import sleep
from asyncio import Task
from collections.abc import AsyncIterator
from collections.abc import Callable
from itertools import count
from logging import INFO
from signal import SIGCONT
from signal import SIGHUP
from signal import SIGKILL
from signal import SIGSTOP
from signal import SIGTERM
import subprocess
import sys

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.host.host import Host
from cowslipmill.host.host import READINESS_NOTICE_S
from cowslipmill.host.settings import HostSettings
from cowslipmill.host.tests.conftest import DOMAINS
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import HOST_HEADER
from cowslipmill.host.tests.conftest import make_test_configuration
from cowslipmill.host.tests.conftest import make_test_route
from cowslipmill.host.tests.conftest import WAIT_S
from cowslipmill.host.tests.virtualtime import delay_event_loop
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
from cowslipmill.standin.store import StandinStore

PORTS = (7311, 7312, 7313)
STOP_S = 4.0
CALLER_TIMEOUT_MS = 20_000


class HostProcesses:
    """Host processes with one stand-in server and store.

    Attributes:
        launcher: Starts the processes.
        backend: The server.
        settings: The hosts' settings in the order of their start.
    """

    def __init__(self, launcher: Launcher) -> None:
        """Creates the store and the server; `start` starts all."""
        self.launcher = launcher
        self.store = StandinStore()
        self.backend = StandinBackend('one')
        self.settings: list[HostSettings] = []

    async def start(self, hosts: int) -> None:
        """Starts the store, the server and the hosts."""
        await self.store.start()
        await self.backend.start()
        entry = make_entry(self.backend, self.backend.address, DOMAINS[0])
        long_route = make_test_route(
            '/long/', 'safe', timeout_ms=CALLER_TIMEOUT_MS
        )
        self.store.put('op/config', make_test_configuration(1, long_route))
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

    async def wait_until_logged(
        self, host: int, event: str, count: int
    ) -> None:
        """Waits until a host's log holds a text at least `count` times."""
        name = self.settings[host].name
        await self.wait_until(
            lambda: self.launcher.read_log(name).count(event) >= count
        )

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits for a condition to hold.

        Raises:
            AssertionError: If it doesn't hold in time.
        """
        loop = get_running_loop()
        deadline = loop.time() + 2 * WAIT_S
        while not condition():
            assert loop.time() < deadline, 'the condition was not met in time'
            await sleep(0.02)

    async def send_request(self, host: int) -> Response:
        """Sends a request to a host and returns the response."""
        address = self.settings[host].callers_listen
        headers = [
            (b'host', HOST_HEADER.encode()),
            (b'x-request-id', b'asked'),
            (b'x-deadline-ms', b'%d' % CALLER_TIMEOUT_MS),
        ]
        connection = await open_connection(address, 1.0)
        return await connection.exchange(
            Request(b'GET', b'/long/1', headers, b'')
        )

    async def start_request(self, host: int) -> Task[Response]:
        """Sends requests until the server executes one; returns its task.

        On a busy machine a host may refuse the first ones, since its load
        probe of the server was not answered in time.
        """
        executions_before = len(self.backend.runs)
        while True:
            request_task = create_task(self.send_request(host))
            await self.wait_until(
                lambda: (
                    len(self.backend.runs) > executions_before
                    or request_task.done()
                )
            )
            if len(self.backend.runs) > executions_before:
                return request_task

    async def terminate_then_kill(self, host: int) -> int:
        """Sends SIGTERM, and SIGKILL after `STOP_S`, as the platform does.

        Returns:
            The exit status.
        """
        name = self.settings[host].name
        self.launcher.send_signal(name, SIGTERM)
        kill_timer = get_running_loop().call_later(
            STOP_S, self.launcher.send_signal, name, SIGKILL
        )
        await self.wait_until(lambda: not self.launcher.is_running(name))
        kill_timer.cancel()
        return self.launcher.wait(name)


@pytest_asyncio.fixture
async def processes() -> AsyncIterator[HostProcesses]:
    """Starts three hosts and waits until they know each other."""
    with Launcher() as launcher:
        processes = HostProcesses(launcher)
        await processes.start(3)
        for number in range(3):
            await processes.wait_until_logged(number, '"host known"', 2)
        yield processes
        for settings in processes.settings:
            if launcher.is_running(settings.name):
                launcher.send_signal(settings.name, SIGCONT)
                launcher.send_signal(settings.name, SIGKILL)
        processes.backend.stop()
        await processes.store.stop()


@pytest.mark.parametrize('work_s', [0.02, 30.0])
async def test_a_host_stops_before_sigkill_while_its_peers_are_suspended(
    processes: HostProcesses, work_s: float
) -> None:
    processes.backend.work_s = work_s
    request_task = await processes.start_request(0)
    for name in ('host-1', 'host-2'):
        processes.launcher.send_signal(name, SIGSTOP)
    status = await processes.terminate_then_kill(0)
    request_task.cancel()
    assert_that(status, Equals(0))


class StubbornCaller:
    """Sends requests to a host for as long as it takes connections.

    Attributes:
        address: The host's address for callers.
        keeps_connection: Whether it uses a connection until it is closed,
            also after `Connection: close`.
        answered: Ids of the requests that were answered.
    """

    def __init__(
        self, address: tuple[str, int], *, keeps_connection: bool
    ) -> None:
        """Starts without requests."""
        self.address = address
        self.keeps_connection = keeps_connection
        self.answered: set[str] = set()

    async def send_requests(self, name: str) -> None:
        """Sends requests one after the other until the host is gone."""
        connection = None
        for number in count():
            request_id = f'{name}-{number}'
            headers = [
                (b'host', HOST_HEADER.encode()),
                (b'x-request-id', request_id.encode()),
                (b'x-deadline-ms', b'600'),
            ]
            request = Request(b'POST', b'/book/stop', headers, b'body')
            try:
                if connection is None or not connection.usable:
                    connection = await open_connection(self.address, 1.0)
                await connection.exchange(request)
            except ConnectFailed:
                return
            except ExchangeFailed:
                connection = None
                continue
            self.answered.add(request_id)
            if not self.keeps_connection:
                connection.close()
                connection = None


async def test_a_planned_stop_cuts_off_no_request_that_ran(
    processes: HostProcesses,
) -> None:
    """Callers go on until the process is gone, on old and new connections."""
    processes.backend.slots = 16
    processes.backend.work_s = 0.05
    address = processes.settings[0].callers_listen
    callers = [
        StubbornCaller(address, keeps_connection=number % 2 == 0)
        for number in range(8)
    ]
    loads = [
        create_task(caller.send_requests(f'caller{number}'))
        for number, caller in enumerate(callers)
    ]
    await processes.wait_until(lambda: len(processes.backend.runs) > 50)
    status = await processes.terminate_then_kill(0)
    await gather(*loads)
    answered = {i for caller in callers for i in caller.answered}
    executed = {run.request_id for run in processes.backend.runs}
    assert_that(status, Equals(0))
    assert_that(len(executed), GreaterThan(50))
    assert_that(executed - answered, Equals(set()))


# Sends the process a signal as soon as it loads a module of the program.
SIGNAL_WHILE_LOADING = """
from os import getpid
from os import kill
from signal import SIGHUP
import sys

class SignalOnImport:
    def find_spec(self, name, path=None, target=None):
        if name == 'cowslipmill.host.host':
            kill(getpid(), SIGHUP)

sys.meta_path.insert(0, SignalOnImport())
from cowslipmill.host.main import run
run()
"""


def test_a_reload_while_it_is_loaded_ends_no_host() -> None:
    """SIGHUP ends a process that has no handler for it yet."""
    command = [sys.executable, '-c', SIGNAL_WHILE_LOADING, '--version']
    assert_that(subprocess.run(command, check=False).returncode, Equals(0))


@pytest.mark.parametrize('number', [SIGHUP, SIGTERM])
async def test_further_signals_while_it_stops_end_no_host(
    processes: HostProcesses, number: int
) -> None:
    """They come on until the process has ended, also after its last line."""
    name = processes.settings[0].name
    processes.launcher.send_signal(name, SIGTERM)
    await processes.wait_until_logged(0, '"stopping"', 1)
    while processes.launcher.is_running(name):
        processes.launcher.send_signal(name, number)
        await sleep(0.0005)
    assert_that(processes.launcher.wait(name), Equals(0))


async def test_a_request_that_arrives_slowly_is_answered_during_a_stop(
    processes: HostProcesses,
) -> None:
    """Its caller began to send it before the host stopped."""
    address = processes.settings[0].callers_listen
    reader, writer = await open_stream(*address)
    head = (
        f'POST /book/slow HTTP/1.1\r\nhost: {HOST_HEADER}\r\n'
        'x-request-id: slow\r\nx-deadline-ms: 600\r\n'
        'content-length: 4\r\n\r\nbo'
    )
    writer.write(head.encode())
    await sleep(0.2)
    stopping = create_task(processes.terminate_then_kill(0))
    await processes.wait_until_logged(0, '"stopping"', 1)
    await sleep(READINESS_NOTICE_S + 0.3)
    writer.write(b'dy')
    answer = await reader.read()
    writer.close()
    assert_that(await stopping, Equals(0))
    assert_that(answer[:9], Equals(b'HTTP/1.1 '))


@pytest_asyncio.fixture
async def long_fleet(fleet: Fleet) -> Fleet:
    """Starts a host whose requests may outlast its stop."""
    route = make_test_route('/long/', 'unsafe', timeout_ms=6_000)
    fleet.store.put('op/config', make_test_configuration(2, route))
    await fleet.wait_until(lambda: fleet.hosts[0].view.version == 2)
    return fleet


async def drain(host: Host) -> None:
    """Stops a host and closes its connections, as the process does."""
    await host.drain()
    for connection in list(host.callers.connections):
        connection.close()


@pytest.mark.parametrize('waits_for', ['pause', 'slot'])
async def test_a_request_that_waits_is_refused_when_its_host_stops(
    long_fleet: Fleet, waits_for: str
) -> None:
    """It reached no server, and its caller was told nothing of that."""
    fleet = long_fleet
    backends = list(fleet.backends.values())
    if waits_for == 'pause':
        for server in fleet.hosts[0].view.servers.values():
            pauses = fleet.hosts[0].path_checker.pauses
            pauses.record(server.record, 4.0, fleet.hosts[0].clock())
    else:
        for backend in backends:
            backend.work_s = 5.5
    requests = [
        create_task(fleet.send_request(f'/long/{n}', deadline_ms=6_000))
        for n in range(8)
    ]
    await sleep(0.1)
    await drain(fleet.hosts[0])
    responses = await gather(*requests)
    ran = {run.request_id for b in backends for run in b.runs}
    for response in responses:
        executed = response.header(b'x-request-id').decode() in ran
        assert_that(response.status, Equals(504 if executed else 503))
    assert_that(len(ran), Equals(0 if waits_for == 'pause' else 4))


async def test_a_request_that_can_not_outwait_its_host_is_refused_at_once(
    long_fleet: Fleet,
) -> None:
    """Another host can take it while its caller still waits."""
    fleet = long_fleet
    host = fleet.hosts[0]
    for server in host.view.servers.values():
        host.path_checker.pauses.record(server.record, 4.0, host.clock())
    request = create_task(fleet.send_request('/long/1', deadline_ms=6_000))
    await sleep(0.1)
    assert_that(request.done(), Equals(False))
    stopping = create_task(drain(host))
    await sleep(0.1)
    assert_that(request.done(), Equals(True))
    assert_that(request.result().status, Equals(503))
    await stopping


async def test_a_request_that_its_host_cuts_off_is_logged_as_such(
    long_fleet: Fleet, caplog: pytest.LogCaptureFixture
) -> None:
    """Its line said that the caller had left."""
    caplog.set_level(INFO)
    host = long_fleet.hosts[0]
    for backend in long_fleet.backends.values():
        backend.work_s = 5.5
    request = create_task(long_fleet.send_request('/long/1'))
    await long_fleet.wait_until(lambda: host.forwarder.in_progress == 1)
    for connection in host.callers.connections:
        for exchange in connection.started:
            if exchange.task is not None:
                exchange.task.cancel()
    await long_fleet.wait_until(lambda: host.forwarder.in_progress == 0)
    request.cancel()
    events = [record.message for record in caplog.records]
    assert_that(events.count('cut off'), Equals(1))
    assert_that(events.count('cancelled'), Equals(0))


@pytest.mark.parametrize('delay_s', [0.2, 0.4])
async def test_a_request_is_answered_although_its_host_stops_late(
    long_fleet: Fleet, delay_s: float
) -> None:
    """The host ended at a fixed time, before answers that were due."""
    fleet = long_fleet
    host = fleet.hosts[0]
    for backend in fleet.backends.values():
        backend.work_s = 5.5
    requests = [
        create_task(fleet.send_request(f'/long/{n}', deadline_ms=6_000))
        for n in range(8)
    ]
    await fleet.wait_until(lambda: host.forwarder.in_progress == 8)
    stop_s = host.settings.stop_s
    get_running_loop().call_later(0.83 * stop_s, delay_event_loop, delay_s)
    await drain(host)
    responses = await gather(*requests, return_exceptions=True)
    statuses = {getattr(response, 'status', None) for response in responses}
    assert_that(statuses, Equals({503, 504}))


async def test_a_request_whose_deadline_is_the_end_of_a_stop_is_answered(
    long_fleet: Fleet,
) -> None:
    """It was taken late in the stop, and due when its host had ended."""
    fleet = long_fleet
    host = fleet.hosts[0]
    await fleet.add_backend('three', slots=40)
    for backend in fleet.backends.values():
        backend.work_s = 5.5
    await fleet.wait_until(lambda: len(host.view.servers) == 3)
    stopping = create_task(drain(host))
    await sleep(0.5 * host.settings.stop_s)
    left_ms = [int(330 * host.settings.stop_s) + 4 * n for n in range(40)]
    responses = await gather(
        *(fleet.send_request(f'/long/{ms}', deadline_ms=ms) for ms in left_ms),
        return_exceptions=True,
    )
    await stopping
    unanswered = [r for r in responses if not isinstance(r, Response)]
    assert_that(fleet.execution_count(), GreaterThan(0))
    assert_that(unanswered, Equals([]))


async def test_a_stop_is_timed_from_its_signal(long_fleet: Fleet) -> None:
    """The platform kills a process by the time at which it sent SIGTERM."""
    host = long_fleet.hosts[0]
    for backend in long_fleet.backends.values():
        backend.work_s = 5.5
    request = create_task(long_fleet.send_request('/long/1'))
    await long_fleet.wait_until(lambda: host.forwarder.in_progress == 1)
    signalled_at = host.clock() - 1.0
    await host.drain(signalled_at)
    took_s = host.clock() - signalled_at
    assert_that(took_s, LessThan(host.settings.stop_s))
    assert_that((await request).status, Equals(504))
