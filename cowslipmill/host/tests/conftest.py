"""Whole hosts in one event loop, before a stand-in store and servers."""

from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from collections.abc import AsyncIterator
from collections.abc import Callable
from typing import Any

import pytest_asyncio

from cowslipmill.host.host import Host
from cowslipmill.host.settings import HostSettings
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

HOST = 'one.example'
DOMAINS = ('domain-a', 'domain-b')
WAIT_S = 5.0
PORTS = (7301, 7302, 7303)


def route(prefix: str, kind: str, **more: Any) -> dict[str, Any]:
    """Returns a route of the tests' host."""
    return make_route(prefix, kind, host=HOST, **more)


def configuration(version: int, *more: dict[str, Any]) -> dict[str, Any]:
    """Returns a configuration with a route of each kind."""
    routes = [route('/read/', 'safe'), route('/book/', 'unsafe'), *more]
    return make_configuration(version, *routes)


def entry(backend: StandinBackend, **more: Any) -> dict[str, Any]:
    """Returns a server's entry."""
    return make_entry(backend, backend.address, DOMAINS[0], **more)


class Fleet:
    """Hosts, servers and a store in one event loop.

    Attributes:
        store: The store.
        backends: The servers by name.
        hosts: The hosts in the order of their start.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.store = StandinStore()
        self.backends: dict[str, StandinBackend] = {}
        self.hosts: list[Host] = []
        self.number = 0

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
        """Starts a host that knows the first one as its seed."""
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
        )
        host = Host(
            settings,
            PlatformStoreApi('store'),
            PlatformHeaderCodec(),
            deployment='tests',
            metrics_port=0,
        )
        await host.start()
        self.hosts.append(host)
        return host

    async def until(self, condition: Callable[[], bool]) -> None:
        """Waits for a condition to hold.

        Raises:
            AssertionError: If it doesn't hold in time.
        """
        loop = get_running_loop()
        end = loop.time() + WAIT_S
        while not condition():
            assert loop.time() < end, 'the condition never held'
            await sleep(0.01)

    async def until_ready(self) -> None:
        """Waits until each host is ready and knows every other."""
        await self.until(
            lambda: all(
                host.ready and len(host.member_list.states) == len(self.hosts)
                for host in self.hosts
            )
        )

    async def ask(
        self,
        target: str,
        *,
        host: int = 0,
        deadline_ms: int = 2_000,
        body: bytes = b'',
    ) -> Response:
        """Sends a caller's request and returns its answer."""
        self.number += 1
        headers = [
            (b'host', HOST.encode()),
            (b'x-request-id', b'q%d' % self.number),
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

    def runs(self) -> int:
        """Returns how many requests the servers began."""
        return sum(len(b.runs) for b in self.backends.values())

    async def stop(self) -> None:
        """Stops everything."""
        await gather(*(host.stop() for host in self.hosts))
        for host in self.hosts:
            for listener in host.listeners:
                listener.close()
        for backend in self.backends.values():
            backend.stop()
        await self.store.stop()


@pytest_asyncio.fixture
async def empty_fleet() -> AsyncIterator[Fleet]:
    """Starts a store alone."""
    fleet = Fleet()
    await fleet.store.start()
    yield fleet
    await fleet.stop()


@pytest_asyncio.fixture
async def fleet(empty_fleet: Fleet) -> Fleet:
    """Starts one host and two servers."""
    empty_fleet.store.put('op/config', configuration(1))
    await empty_fleet.add_backend('one')
    await empty_fleet.add_backend('two')
    await empty_fleet.add_host()
    await empty_fleet.until_ready()
    return empty_fleet


@pytest_asyncio.fixture
async def large_fleet(fleet: Fleet) -> Fleet:
    """Starts four hosts in two failure domains."""
    await fleet.add_host()
    await fleet.add_host(DOMAINS[1])
    await fleet.add_host(DOMAINS[1])
    await fleet.until_ready()
    return fleet
