"""Hashes by which requests are told apart."""

from xxhash import xxh3_128_digest


def fingerprint(route: str, method: str, target: str, body: bytes) -> bytes:
    """Returns the hash of a request.

    Args:
        route: Name of its route.
        method: Method.
        target: Raw path and query.
        body: The whole body.
    """
    head = f'{route}\0{method}\0{target}\0'.encode()
    return xxh3_128_digest(head + body)
