"""When each server began to ramp up, as far as this process saw it."""

from collections.abc import Iterable

from cowslipmill.hosts.noderecord import NodeRecord

LONG_AGO = float('-inf')


class RampStarts:
    """Start of each incarnation; servers known from the first are warm.

    Attributes:
        started: Incarnation and start by server name, for each service.
    """

    __slots__ = ('started',)

    def __init__(self) -> None:
        """Starts without servers."""
        self.started: dict[str, dict[str, tuple[int, float]]] = {}

    def update(
        self, service: str, records: Iterable[NodeRecord], now: float
    ) -> dict[str, float]:
        """Takes in the live servers of a service.

        Returns:
            When each began to ramp up, by name.
        """
        known = self.started.get(service)
        started = {}
        for record in records:
            since = LONG_AGO if not known else now
            if known and record.name in known:
                incarnation, before = known[record.name]
                if incarnation == record.incarnation:
                    since = before
            started[record.name] = (record.incarnation, since)
        self.started[service] = started
        return {name: since for name, (_, since) in started.items()}
