"""Hashes that identify requests."""

from xxhash import xxh3_128_digest


def fingerprint(route: str, method: str, target: str, body: bytes) -> bytes:
    """Returns a hash that is equal for equal requests.

    Args:
        route: Name of the request's route.
        method: HTTP method.
        target: Raw path and query.
        body: The whole body.
    """
    head = f'{route}\0{method}\0{target}\0'.encode()
    return xxh3_128_digest(head + body)
