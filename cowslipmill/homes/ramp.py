"""When each server began to ramp up, as far as this process saw it."""

from collections.abc import Iterable

from cowslipmill.hosts.fact import Fact

LONG_AGO = float('-inf')


class Ramp:
    """Start of each incarnation; servers known from the first are warm.

    Attributes:
        started: Incarnation and start by server name, for each service.
    """

    __slots__ = ('started',)

    def __init__(self) -> None:
        """Starts without servers."""
        self.started: dict[str, dict[str, tuple[int, float]]] = {}

    def update(
        self, service: str, facts: Iterable[Fact], now: float
    ) -> dict[str, float]:
        """Takes in the live servers of a service.

        Returns:
            When each began to ramp up, by name.
        """
        known = self.started.get(service)
        started = {}
        for fact in facts:
            since = LONG_AGO if not known else now
            if known and fact.name in known:
                incarnation, before = known[fact.name]
                if incarnation == fact.incarnation:
                    since = before
            started[fact.name] = (fact.incarnation, since)
        self.started[service] = started
        return {name: since for name, (_, since) in started.items()}
