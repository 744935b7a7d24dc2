"""Loopback addresses of one deployment on one machine."""

from os import getpid


class Network:
    """A pair of loopback networks that no other run uses.

    Attributes:
        hosts: First three numbers of the entry hosts' addresses.
        servers: First three numbers of the backend servers' addresses.
    """

    __slots__ = ('hosts', 'servers')

    def __init__(self, number: int) -> None:
        """Derives both networks from a number."""
        low = number % 125 * 2
        high = 1 + number // 125 % 250
        self.hosts = f'127.{high}.{low}'
        self.servers = f'127.{high}.{low + 1}'

    @classmethod
    def for_this_process(cls) -> 'Network':
        """Returns the networks of the present process."""
        return cls(getpid())

    def host(self, index: int, port: int) -> str:
        """Returns an address on the entry host of this index."""
        return f'{self.hosts}.{index + 1}:{port}'

    def server(self, index: int) -> str:
        """Returns the address of the backend server of this index."""
        return f'{self.servers}.{index % 250 + 1}:{9000 + index // 250}'

    def platform(self) -> str:
        """Returns the platform's address."""
        return f'{self.hosts}.250:7000'

    def collector(self) -> str:
        """Returns the trace collector's address."""
        return f'{self.hosts}.251:4318'
