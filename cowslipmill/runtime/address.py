"""Addresses made of an IP address and a port."""


def split_address(address: str) -> tuple[str, int]:
    """Splits `IP:PORT` into its parts; drops the brackets of IPv6.

    Raises:
        ValueError: If the port is missing or not a number.
    """
    ip_address, _, port = address.rpartition(':')
    return ip_address.strip('[]'), int(port)
