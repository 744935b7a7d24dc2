"""Addresses made of an IP address and a port."""

from typing import Annotated

from msgspec import Meta

IpAddress = Annotated[str, Meta(pattern=r'^[0-9]{1,3}(\.[0-9]{1,3}){3}$')]
Port = Annotated[int, Meta(ge=1, le=65_535)]
Address = tuple[IpAddress, Port]


def split_address(address: str) -> tuple[str, int]:
    """Splits `IP:PORT` into its parts; drops the brackets of IPv6.

    Raises:
        ValueError: If the port is missing or not a number.
    """
    ip_address, _, port = address.rpartition(':')
    return ip_address.strip('[]'), int(port)
