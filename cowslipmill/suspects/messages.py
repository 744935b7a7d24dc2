"""What entries tell each other about suspect requests."""

from msgspec import Struct


class CrashReport(Struct, frozen=True, tag='crash-report'):
    """A server lost its connection while it had a request.

    Attributes:
        fingerprint: Hash of the request.
        server: Name and incarnation of the server.
    """

    fingerprint: bytes
    server: str


class SuspectCleared(Struct, frozen=True, tag='suspect-cleared'):
    """A request that was suspected was answered in full."""

    fingerprint: bytes


SUSPECT_MESSAGES = (CrashReport, SuspectCleared)
