"""Messages between entries about suspect requests."""

from msgspec import Struct

from cowslipmill.suspects.record import Summary


class SuspectUpdate(Struct, frozen=True, tag='suspect-update'):
    """What an entry knows of requests that crash servers.

    Attributes:
        records: The records.
        complete: In a reply to `CompareSuspects`, whether the entry knows what
            was known before its start.
    """

    records: tuple[Summary, ...]
    complete: bool = True


class CompareSuspects(Struct, frozen=True, tag='compare-suspects'):
    """Asks for what another entry knows, if that differs.

    The reply is `SuspectUpdate`, without records if the digests are equal.

    Attributes:
        digest: Digest of what the sender knows.
    """

    digest: int


SUSPECT_MESSAGES = (SuspectUpdate, CompareSuspects)
