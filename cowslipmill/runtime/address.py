"""Addresses of an IP number and a port."""


def split_address(address: str) -> tuple[str, int]:
    """Returns the IP number and the port of `IP:PORT`."""
    number, _, port = address.rpartition(':')
    return number.strip('[]'), int(port)
