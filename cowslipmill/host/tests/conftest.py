"""Fixtures: hosts, stand-in servers and a stand-in store in one event loop."""

from asyncio import AbstractEventLoop
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Any

from msgspec.structs import replace
import pytest
import pytest_asyncio

from cowslipmill.host.host import Host
from cowslipmill.host.settings import HostSettings
from cowslipmill.host.tests.virtualtime import VirtualTimeLoop
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.serverconnection import open_connection
from cowslipmill.launch.network import Network
from cowslipmill.platform.headercodec import PlatformHeaderCodec
from cowslipmill.platform.storeapi import PlatformStoreApi
from cowslipmill.runtime.address import split_address
from cowslipmill.standin.backend import StandinBackend
from cowslipmill.standin.published import make_configuration
from cowslipmill.standin.published import make_entry
from cowslipmill.standin.published import make_route
from cowslipmill.standin.store import StandinStore

HOST_HEADER = 'one.example'
DOMAINS = ('domain-a', 'domain-b')
WAIT_S = 5.0
PORTS = (7301, 7302, 7303)


def pytest_asyncio_loop_factories(
    config: pytest.Config, item: pytest.Item
) -> dict[str, Callable[[], AbstractEventLoop]]:
    """Returns the event loop of all tests of this package."""
    return {'virtual time': VirtualTimeLoop}


def make_test_route(prefix: str, kind: str, **options: Any) -> dict[str, Any]:
    """Returns a route for the Host header that the tests send."""
    return make_route(prefix, kind, host=HOST_HEADER, **options)


def make_test_configuration(
    version: int, *extra_routes: dict[str, Any]
) -> dict[str, Any]:
    """Returns a configuration with a safe and an unsafe route."""
    routes = [
        make_test_route('/read/', 'safe'),
        make_test_route('/book/', 'unsafe'),
        *extra_routes,
    ]
    return make_configuration(version, *routes)


def make_server_entry(
    backend: StandinBackend, **fields: Any
) -> dict[str, Any]:
    """Returns a server's entry in the store."""
    return make_entry(backend, backend.address, DOMAINS[0], **fields)


async def start_host(settings: HostSettings) -> Host:
    """Starts a host with the platform's store and headers."""
    host = Host(
        settings,
        PlatformStoreApi('store'),
        PlatformHeaderCodec(),
        deployment='tests',
        metrics_port=0,
    )
    await host.start()
    return host


class Fleet:
    """Hosts, servers and a store in one event loop.

    Attributes:
        store: The store.
        backends: The servers by name.
        hosts: The hosts in the order of their start.
        last_request_number: Number of the last request sent; its id is made
            from it.
    """

    def __init__(self) -> None:
        """Creates a store; no host or server is started."""
        self.store = StandinStore()
        self.backends: dict[str, StandinBackend] = {}
        self.hosts: list[Host] = []
        self.last_request_number = 0

    async def add_backend(
        self, name: str, *, slots: int = 2, domain: str = DOMAINS[0]
    ) -> StandinBackend:
        """Starts a server and publishes its entry."""
        backend = StandinBackend(name, slots=slots)
        await backend.start()
        self.backends[name] = backend
        self.store.put(
            f'servers/{name}', make_entry(backend, backend.address, domain)
        )
        return backend

    async def add_host(
        self, domain: str = DOMAINS[0], *, first_start: bool = False
    ) -> Host:
        """Starts a host whose seed is the first host, if there is one."""
        seeds = tuple(h.settings.peer_listen for h in self.hosts[:1])
        number = len(self.hosts)
        network = Network.for_this_process()
        callers, readiness, peers = (
            split_address(network.host(number, port)) for port in PORTS
        )
        settings = HostSettings(
            name=f'host-{number + 1}',
            failure_domain=domain,
            callers_listen=callers,
            readiness_listen=readiness,
            peer_listen=peers,
            seeds=seeds,
            store=self.store.address,
            stop_s=3.0,
            retry_share=0.2,
            retry_reserve=64.0,
            leaving_s=2.0,
            first_start=first_start,
            server_source_ip=callers[0],
        )
        host = await start_host(settings)
        self.hosts.append(host)
        return host

    async def restart_host(self, number: int) -> Host:
        """Stops a host at once and starts it anew, which knows nothing.

        Args:
            number: Its index; it keeps its name and addresses.
        """
        old = self.hosts[number]
        await old.stop()
        old.rpc.abort()
        for listener in old.listeners:
            listener.close()
        settings = replace(old.settings, first_start=False)
        if not settings.seeds:
            other = self.hosts[number - 1].settings
            settings = replace(settings, seeds=(other.peer_listen,))
        self.hosts[number] = await start_host(settings)
        return self.hosts[number]

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits for a condition to hold.

        Raises:
            AssertionError: If it doesn't hold in time.
        """
        loop = get_running_loop()
        deadline = loop.time() + WAIT_S
        while not condition():
            assert loop.time() < deadline, 'the condition was not met in time'
            await sleep(0.01)

    async def wait_until_ready(self) -> None:
        """Waits until each host is ready and knows all others."""
        await self.wait_until(
            lambda: all(
                host.ready and len(host.member_list.states) == len(self.hosts)
                for host in self.hosts
            )
        )

    async def send_request(
        self,
        target: str,
        *,
        host: int = 0,
        deadline_ms: int = 2_000,
        body: bytes = b'',
    ) -> Response:
        """Sends a request as a caller and returns the response.

        Args:
            target: Path and query; `/book` is sent as POST, others as GET.
            host: Index of the host that gets the request.
            deadline_ms: The deadline that the caller states.
            body: The request's body.
        """
        self.last_request_number += 1
        headers = [
            (b'host', HOST_HEADER.encode()),
            (b'x-request-id', b'q%d' % self.last_request_number),
            (b'x-deadline-ms', b'%d' % deadline_ms),
        ]
        method = b'POST' if target.startswith('/book') else b'GET'
        request = Request(method, target.encode(), headers, body)
        address = self.hosts[host].settings.callers_listen
        connection = await open_connection(address, 1.0)
        try:
            until = get_running_loop().time() + deadline_ms / 1000 + 0.5
            return await connection.exchange(request, until=until)
        finally:
            connection.close()

    def execution_count(self) -> int:
        """Returns how many requests the servers have begun to execute."""
        return sum(len(b.runs) for b in self.backends.values())

    async def stop(self) -> None:
        """Stops the hosts, the servers and the store."""
        await gather(*(host.stop() for host in self.hosts))
        for host in self.hosts:
            for listener in host.listeners:
                listener.close()
        for backend in self.backends.values():
            backend.stop()
        await self.store.stop()


@pytest_asyncio.fixture
async def empty_fleet() -> AsyncIterator[Fleet]:
    """Starts a store without hosts or servers."""
    fleet = Fleet()
    await fleet.store.start()
    yield fleet
    await fleet.stop()


@pytest_asyncio.fixture
async def fleet(empty_fleet: Fleet) -> Fleet:
    """Starts one host and two servers."""
    empty_fleet.store.put('op/config', make_test_configuration(1))
    await empty_fleet.add_backend('one')
    await empty_fleet.add_backend('two')
    await empty_fleet.add_host()
    await empty_fleet.wait_until_ready()
    return empty_fleet


@pytest_asyncio.fixture
async def large_fleet(fleet: Fleet) -> Fleet:
    """Starts four hosts in two failure domains, and two servers."""
    await fleet.add_host()
    await fleet.add_host(DOMAINS[1])
    await fleet.add_host(DOMAINS[1])
    await fleet.wait_until_ready()
    return fleet
