"""Start of the ramp-up of each server, as observed by this process."""

from collections.abc import Iterable

from cowslipmill.hosts.noderecord import NodeRecord

ALREADY_WARM = float('-inf')


class RampStarts:
    """Start of the ramp-up of each server; those known at first are warm.

    Attributes:
        started: Incarnation and start of the ramp-up by server name, for each
            service.
    """

    __slots__ = ('started',)

    def __init__(self) -> None:
        """Starts without servers."""
        self.started: dict[str, dict[str, tuple[int, float]]] = {}

    def update(
        self, service: str, records: Iterable[NodeRecord], now: float
    ) -> dict[str, float]:
        """Updates the live servers of a service.

        Returns:
            Start of the ramp-up by server name, monotonic seconds;
            `ALREADY_WARM` for a server that does not ramp up.
        """
        known = self.started.get(service)
        started = {}
        for record in records:
            since = ALREADY_WARM if not known else now
            if known and record.name in known:
                incarnation, before = known[record.name]
                if incarnation == record.incarnation:
                    since = before
            started[record.name] = (record.incarnation, since)
        self.started[service] = started
        return {name: since for name, (_, since) in started.items()}
