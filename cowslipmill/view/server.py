"""Backend servers as their entries in the store describe them."""

from msgspec import Struct
from msgspec.structs import replace

from cowslipmill.runtime.address import Address
from cowslipmill.runtime.names import LongName
from cowslipmill.runtime.names import Name

# A report of a warm-up that ends this much later than known tells of another
# one. Smaller differences come from delays of entries and responses.
WARM_UP_TOLERANCE_S = 0.25


class ServerRecord(Struct, frozen=True, array_like=True):
    """The content of a server's entry in the store.

    Attributes:
        name: The server's name, unique in the store.
        started_ms: Unix milliseconds of the server's start; name and start
            identify an incarnation.
        service: Name of its service.
        address: IP address and port.
        failure_domain: Failure domain in which it runs.
        slots: Number of requests that it processes at the same time.
        leaving: Whether it is about to stop and accepts no new requests.
        warm_up_s: Seconds for which it will still be slow after its start.
    """

    name: Name
    started_ms: int
    service: LongName
    address: Address
    failure_domain: Name
    slots: int
    leaving: bool
    warm_up_s: float


class KnownServer:
    """A server in the view.

    Attributes:
        record: The record in use. An entry that differs from it only in
            `warm_up_s` replaces it only if the server has turned cold.
        revision: Store revision of the newest entry seen.
        missing_since: Monotonic seconds at which its entry vanished without
            notice; None while the entry exists.
        cold_until: When it has warmed up by its newest entry, in monotonic
            seconds.
    """

    __slots__ = ('cold_until', 'missing_since', 'record', 'revision')

    def __init__(
        self, record: ServerRecord, revision: int, now: float
    ) -> None:
        """Starts with an existing entry."""
        self.record = record
        self.revision = revision
        self.missing_since: float | None = None
        self.cold_until = now + record.warm_up_s

    def turns_cold(self, record: ServerRecord, now: float) -> bool:
        """Returns whether a newer entry tells of another warm-up.

        Args:
            record: The content of the entry.
            now: Monotonic seconds.
        """
        if not record.warm_up_s:
            return False
        known_until = self.cold_until + WARM_UP_TOLERANCE_S
        return now + record.warm_up_s > known_until

    def record_at(self, now: float) -> ServerRecord:
        """Returns the record with the warm-up that remains now.

        Args:
            now: Monotonic seconds.
        """
        remaining_s = max(0.0, round(self.cold_until - now, 3))
        if remaining_s == self.record.warm_up_s:
            return self.record
        return replace(self.record, warm_up_s=remaining_s)
