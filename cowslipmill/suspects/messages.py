"""Messages between entries about suspect requests."""

from msgspec import Struct


class CrashReport(Struct, frozen=True, tag='crash-report'):
    """The connection to a server was lost while it ran a request.

    Attributes:
        fingerprint: Hash of the request.
        server: Name and incarnation of the server.
    """

    fingerprint: bytes
    server: str


class SuspectCleared(Struct, frozen=True, tag='suspect-cleared'):
    """A suspect request got a complete response.

    Attributes:
        fingerprint: Hash of the request.
    """

    fingerprint: bytes


SUSPECT_MESSAGES = (CrashReport, SuspectCleared)
