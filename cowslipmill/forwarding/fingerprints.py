"""Recognizes a request that comes again."""

from hashlib import blake2b
from typing import NamedTuple

from cowslipmill.http1.message import Request

FINGERPRINT_BYTES = 12


class Fingerprints(NamedTuple):
    """Hashes of a request, the same on every host.

    Attributes:
        exact: Hash of the request.
        without_query: Hash without the query of its target, which may differ
            each time that it comes; the same as `exact` if it has none.
    """

    exact: bytes
    without_query: bytes


def fingerprints_of(request: Request) -> Fingerprints:
    """Returns the hashes of a request."""
    path, question_mark, _ = request.target.partition(b'?')
    exact = hash_request(request, request.target)
    if not question_mark:
        return Fingerprints(exact, exact)
    return Fingerprints(exact, hash_request(request, path))


def hash_request(request: Request, target: bytes) -> bytes:
    """Returns a hash of a request with the given target."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (
        request.method,
        request.header(b'host'),
        target,
        request.body,
    ):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return digest.digest()
