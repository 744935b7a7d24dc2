"""A backend server as it describes itself."""

from msgspec import Struct


class ServerRecord(Struct, frozen=True, array_like=True):
    """What a server last said of itself.

    Attributes:
        name: Its identity.
        started_ms: Unix milliseconds of its start; with the name it tells
            one incarnation from another.
        service: The service that it belongs to.
        address: IP number and port.
        failure_domain: Where it runs.
        slots: Requests that it works on at the same time.
        leaving: Whether it takes no new work.
        warm_up_s: How much longer it is slow after its start.
    """

    name: str
    started_ms: int
    service: str
    address: tuple[str, int]
    failure_domain: str
    slots: int
    leaving: bool
    warm_up_s: float


class KnownServer:
    """A server in the view.

    Attributes:
        record: What it last said.
        revision: Revision of its entry.
        missing_since: When its entry vanished, or None.
    """

    __slots__ = ('missing_since', 'record', 'revision')

    def __init__(self, record: ServerRecord, revision: int) -> None:
        """Keeps the record."""
        self.record = record
        self.revision = revision
        self.missing_since: float | None = None
