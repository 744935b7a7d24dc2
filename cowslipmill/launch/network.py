"""Loopback addresses for a deployment on one machine."""

from os import getpid


class Network:
    """Two loopback /24 networks, one for hosts and one for servers.

    Runs at the same time get different networks as long as their numbers
    differ modulo 31250.

    Attributes:
        host_prefix: First three octets of the entry hosts' addresses.
        server_prefix: First three octets of the backend servers' addresses.
    """

    __slots__ = ('host_prefix', 'server_prefix')

    def __init__(self, network_number: int) -> None:
        """Derives the octets of both networks from a number."""
        third_octet = network_number % 125 * 2
        second_octet = 1 + network_number // 125 % 250
        self.host_prefix = f'127.{second_octet}.{third_octet}'
        self.server_prefix = f'127.{second_octet}.{third_octet + 1}'

    @classmethod
    def for_this_process(cls) -> 'Network':
        """Returns the networks derived from the process ID."""
        return cls(getpid())

    def host(self, index: int, port: int) -> str:
        """Returns the address of a port on the entry host with an index."""
        return f'{self.host_prefix}.{index + 1}:{port}'

    def server(self, index: int) -> str:
        """Returns the address of the backend server with an index."""
        return f'{self.server_prefix}.{index % 250 + 1}:{9000 + index // 250}'

    def platform(self) -> str:
        """Returns the platform's address."""
        return f'{self.host_prefix}.250:7000'

    def collector(self) -> str:
        """Returns the trace collector's address."""
        return f'{self.host_prefix}.251:4318'
