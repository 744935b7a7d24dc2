"""Guards against connections to servers that nobody closes or uses again."""

from asyncio import sleep
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.forwarding.directsender import DirectSender
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.http1.message import encode_request_head
from cowslipmill.http1.message import Request
from cowslipmill.http1.pool import ConnectionPool
from cowslipmill.http1.serverconnection import Dialer
from cowslipmill.http1.serverconnection import ServerConnection
from cowslipmill.paths.serverpaths import ServerPaths
from cowslipmill.platform.headercodec import PlatformHeaderCodec


@pytest.fixture
def opened(monkeypatch: pytest.MonkeyPatch) -> list[ServerConnection]:
    """Keeps the connections that hosts open to servers."""
    connections: list[ServerConnection] = []
    open_one = Dialer.open

    async def open_and_keep(*arguments: Any) -> ServerConnection:
        connections.append(await open_one(*arguments))
        return connections[-1]

    monkeypatch.setattr(Dialer, 'open', open_and_keep)
    return connections


def count_forgotten(fleet: Fleet, connections: list[ServerConnection]) -> int:
    """Returns how many connections are open that no host knows of."""
    kept = {
        id(connection)
        for host in fleet.hosts
        for idle in (
            host.prober.connections.values(),
            *host.pool.idle.values(),
        )
        for connection in idle
    }
    return sum(
        id(connection) not in kept
        for connection in connections
        if connection.transport and not connection.transport.is_closing()
    )


@pytest.mark.parametrize(
    ('owner', 'method'),
    [
        (PlatformHeaderCodec, 'server_request'),
        (DirectSender, 'classify'),
        (ServerPaths, 'record_reached'),
        (ConnectionPool, 'release'),
    ],
)
async def test_an_error_in_an_exchange_leaves_no_connection_open(
    fleet: Fleet,
    opened: list[ServerConnection],
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    method: str,
) -> None:
    """Each would take a descriptor and memory until its server closes it."""

    def fail(*arguments: Any, **options: Any) -> None:
        raise RuntimeError('unexpected')

    for number in range(4):
        await fleet.send_request(f'/read/{number}')
    with monkeypatch.context() as patch:
        patch.setattr(owner, method, fail)
        for number in range(4):
            await fleet.send_request(f'/book/{number}')
    await sleep(0.1)
    assert_that(len(opened), GreaterThan(0))
    assert_that(count_forgotten(fleet, opened), Equals(0))


@pytest.mark.parametrize('event', ['leaves', 'pauses'])
async def test_a_server_that_is_not_wanted_any_more_keeps_no_connection(
    fleet: Fleet,
    opened: list[ServerConnection],
    monkeypatch: pytest.MonkeyPatch,
    event: str,
) -> None:
    """It has gone, or wants nothing, since the connection was opened."""
    host = fleet.hosts[0]
    connect = DirectSender.connect

    async def change_after(sender: DirectSender, server: Any) -> Any:
        connection = await connect(sender, server)
        if event == 'pauses':
            sender.pauses.record(server, 5.0, host.clock())
        else:
            sender.on_leaving(server.name, server.started_ms)
        return connection

    monkeypatch.setattr(DirectSender, 'connect', change_after)
    for number in range(2):
        await fleet.send_request(f'/book/{number}')
    await sleep(0.1)
    assert_that(len(opened), GreaterThan(0))
    assert_that(count_forgotten(fleet, opened), Equals(0))


async def test_a_request_that_cannot_be_encoded_leaves_no_connection_open(
    fleet: Fleet,
    opened: list[ServerConnection],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection is in use then, but nobody waits on it."""

    def fail_for_servers(request: Request) -> bytes:
        by_caller = request.header(b'x-deadline-ms') == b'2000'
        if request.target == b'/book/1' and not by_caller:
            raise RuntimeError('unexpected')
        return encode_request_head(request)

    monkeypatch.setattr(
        'cowslipmill.http1.serverconnection.encode_request_head',
        fail_for_servers,
    )
    response = await fleet.send_request('/book/1')
    await sleep(0.1)
    assert_that(response.status, Equals(502))
    assert_that(len(opened), GreaterThan(0))
    assert_that(count_forgotten(fleet, opened), Equals(0))
