"""Cuts hosts off from servers, by proxies on the links between them."""

from asyncio import start_server
from collections.abc import Iterable
from enum import Enum
from socket import AF_INET
from socket import SO_REUSEADDR
from socket import SOCK_STREAM
from socket import socket
from socket import SOL_SOCKET

from cowslipmill.host.host import Host
from cowslipmill.http1.serverconnection import Dialer
from cowslipmill.http1.serverconnection import ServerConnection
from cowslipmill.soak.proxy import Proxy

Address = tuple[str, int]


class Cut(Enum):
    """What happens to the connections of a link that is cut."""

    HANG = 'hang'
    RESET = 'reset'
    REFUSE = 'refuse'


class LinkProxy(Proxy):
    """A proxy on the link between one host and one server.

    Attributes:
        full_listener: Listens without accepting while new connections hang.
        fillers: Connections that fill its queue.
        reserved: Keeps the port while connections are refused; None else.
        opened: Number of connections that were opened through it.
    """

    def __init__(self, target: Address) -> None:
        """Starts without faults."""
        super().__init__(target)
        self.full_listener: socket | None = None
        self.fillers: list[socket] = []
        self.reserved: socket | None = None
        self.opened = 0

    async def listen(self) -> None:
        """Accepts connections, at the same address each time."""
        self.server = await start_server(self.carry, *self.address)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = (host, port)

    def cut(self, how: Cut) -> None:
        """Cuts the link; new connections hang or are refused."""
        assert self.server is not None
        self.server.close()
        if how is Cut.RESET:
            self.reset_all()
        elif how is Cut.HANG:
            self.silent = True
            self.fill_queue()
        if how is not Cut.HANG:
            self.reserve_port()

    def reserve_port(self) -> None:
        """Keeps the port, which another process might be given meanwhile."""
        reserved = socket(AF_INET, SOCK_STREAM)
        reserved.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        reserved.bind(self.address)
        self.reserved = reserved

    def fill_queue(self) -> None:
        """Has the system drop the first packet of new connections."""
        listener = socket(AF_INET, SOCK_STREAM)
        listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(0)
        self.full_listener = listener
        for _ in range(2):
            filler = socket(AF_INET, SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    async def mend(self) -> None:
        """Ends the cut."""
        for sock in (*self.fillers, self.full_listener):
            if sock is not None:
                sock.close()
        self.fillers.clear()
        self.full_listener = None
        self.heal()
        await self.listen()
        if self.reserved is not None:
            self.reserved.close()
            self.reserved = None


class ProxyDialer(Dialer):
    """Opens a host's connections to servers through proxies.

    Attributes:
        proxies: Proxies by server address.
    """

    def __init__(self) -> None:
        """Starts without proxies."""
        super().__init__()
        self.proxies: dict[Address, LinkProxy] = {}

    async def open(
        self,
        address: Address,
        timeout_s: float,
        request_id_header: bytes = b'',
    ) -> ServerConnection:
        """Opens a connection through the proxy of an address."""
        proxy = self.proxies.get(address)
        if proxy is None:
            proxy = LinkProxy(address)
            await proxy.listen()
            self.proxies[address] = proxy
        connection = await super().open(
            proxy.address, timeout_s, request_id_header
        )
        proxy.opened += 1
        return connection


class Partition:
    """The links between hosts and servers, which can be cut.

    Attributes:
        dialers: Dialers by the host's name.
    """

    def __init__(self, hosts: Iterable[Host]) -> None:
        """Puts proxies on the links of the hosts, before their first use."""
        self.dialers: dict[str, ProxyDialer] = {}
        for host in hosts:
            self.add_host(host)

    def add_host(self, host: Host) -> None:
        """Puts proxies on the links of one more host."""
        dialer = ProxyDialer()
        self.dialers[host.settings.name] = dialer
        host.path_checker.dialer = dialer
        host.prober.dialer = dialer
        host.sender.direct.dialer = dialer

    async def connect(self, host: Host, addresses: Iterable[Address]) -> None:
        """Makes the proxies between a host and servers.

        Args:
            host: The host.
            addresses: Addresses of the servers.
        """
        proxies = self.dialers[host.settings.name].proxies
        for address in addresses:
            if address not in proxies:
                proxies[address] = LinkProxy(address)
                await proxies[address].listen()

    async def cut(
        self, host: Host, addresses: Iterable[Address], how: Cut
    ) -> None:
        """Cuts the links between a host and servers."""
        targets = list(addresses)
        await self.connect(host, targets)
        for address in targets:
            self.dialers[host.settings.name].proxies[address].cut(how)

    async def mend(self, host: Host) -> None:
        """Ends the cuts of a host's links."""
        for proxy in self.dialers[host.settings.name].proxies.values():
            if not proxy.server or not proxy.server.is_serving():
                await proxy.mend()

    def connections_opened(self, host: Host) -> int:
        """Returns how many connections a host has opened to servers."""
        dialer = self.dialers[host.settings.name]
        return sum(proxy.opened for proxy in dialer.proxies.values())

    def stop(self) -> None:
        """Ends every proxy."""
        for dialer in self.dialers.values():
            for proxy in dialer.proxies.values():
                for sock in (*proxy.fillers, proxy.full_listener):
                    if sock is not None:
                        sock.close()
                proxy.stop()
