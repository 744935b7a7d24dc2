"""Guards against callers that take every descriptor of a host."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from collections.abc import AsyncIterator
from pathlib import Path
from resource import getrlimit
from resource import RLIMIT_NOFILE
from resource import setrlimit
from typing import Any

import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import IsInstance
from testtools.matchers import LessThan

from cowslipmill.host.callergate import CallerGate
from cowslipmill.host.callergate import RefusedConnection
from cowslipmill.host.host import INITIAL_LIMITS
from cowslipmill.host.tests.conftest import HOST_HEADER
from cowslipmill.host.tests.measuredhost import MeasuredHost
from cowslipmill.http1.callerconnection import CallerConnection
from cowslipmill.http1.callerserver import CallerServer
from cowslipmill.http1.exchange import Exchange
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.serverconnection import open_connection
from cowslipmill.http1.serverconnection import ServerConnection
from cowslipmill.launch.launcher import Launcher

DESCRIPTORS = 240
REQUESTS = 40
IDLE = 400
TIMEOUT_MS = 8_000


class LimitedLauncher(Launcher):
    """Starts processes that have few descriptors."""

    def start(self, *arguments: Any, **options: Any) -> None:
        """Starts a program, which inherits the limit."""
        before = getrlimit(RLIMIT_NOFILE)
        setrlimit(RLIMIT_NOFILE, (DESCRIPTORS, before[1]))
        try:
            super().start(*arguments, **options)
        finally:
            setrlimit(RLIMIT_NOFILE, before)


@pytest_asyncio.fixture
async def limited_host() -> AsyncIterator[MeasuredHost]:
    """Starts a host process with few descriptors."""
    with LimitedLauncher() as launcher:
        host = MeasuredHost(launcher)
        await host.start()
        yield host
        await host.stop()


def count_descriptors(host: MeasuredHost) -> int:
    """Returns how many descriptors the host process has open."""
    process = host.launcher.processes['host-0']
    return len(list(Path(f'/proc/{process.pid}/fd').iterdir()))


async def open_connections(
    host: MeasuredHost, count: int
) -> list[ServerConnection]:
    """Opens connections to a host as callers."""
    address = host.settings.callers_listen
    return [await open_connection(address, 5.0) for _ in range(count)]


async def send(connection: ServerConnection, number: int) -> int:
    """Sends a request on an open connection; returns the status."""
    headers = [
        (b'host', HOST_HEADER.encode()),
        (b'x-request-id', b'g%d' % number),
        (b'x-deadline-ms', b'%d' % TIMEOUT_MS),
    ]
    target = b'/sound/%d' % number
    until = get_running_loop().time() + 1.5 * TIMEOUT_MS / 1_000
    response = await connection.exchange(
        Request(b'POST', target, headers, b''), until=until
    )
    return response.status


async def test_callers_leave_descriptors_for_servers(
    limited_host: MeasuredHost,
) -> None:
    """Requests on connections that were taken are served."""
    host = limited_host
    for backend in host.backends:
        backend.work_s = 0.5
    early = await open_connections(host, REQUESTS)
    idle = await open_connections(host, IDLE)
    await sleep(1.0)
    taken = count_descriptors(host)
    requests = [
        create_task(send(connection, number))
        for number, connection in enumerate(early)
    ]
    statuses = await gather(*requests)
    for connection in (*early, *idle):
        connection.close()
    print(f'descriptors: {taken}')
    assert_that(statuses, Equals([200] * REQUESTS))
    assert_that(taken, LessThan(DESCRIPTORS - REQUESTS))
    log = host.launcher.read_log('host-0')
    assert_that(log, Contains('caller connections at limit'))
    assert_that('out of system resource' in log, Equals(False))
    await host.wait_until_served()
    assert_that(await host.serve_sound_requests(3), Equals([200] * 3))


async def refuse(request: Request, exchange: Exchange) -> Response:
    """Handles no request."""
    return Response(503, [], b'')


def test_a_gate_opens_again() -> None:
    """Connections that have ended make room."""
    server = CallerServer(refuse, INITIAL_LIMITS, lambda: 0.0)
    gate = CallerGate(server, 1)
    first = gate()
    assert_that(first, IsInstance(CallerConnection))
    assert isinstance(first, CallerConnection)
    server.connections.add(first)
    assert_that(gate(), IsInstance(RefusedConnection))
    server.connections.discard(first)
    assert_that(gate(), IsInstance(CallerConnection))
