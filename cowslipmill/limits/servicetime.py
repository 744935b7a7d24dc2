"""Service time of requests, measured from responses."""

WEIGHT = 0.05
TYPICAL_FACTOR = 1.5
LONG_FACTOR = 3.0


class ServiceTime:
    """Moving average of the time that a request holds a slot.

    Attributes:
        mean_s: Moving average in seconds; 0 before the first response.
    """

    __slots__ = ('mean_s',)

    def __init__(self) -> None:
        """Starts without a measurement."""
        self.mean_s = 0.0

    @property
    def typical_s(self) -> float:
        """Time in which about three in four responses arrive."""
        return TYPICAL_FACTOR * self.mean_s

    @property
    def long_s(self) -> float:
        """Time in which about nineteen in twenty responses arrive."""
        return LONG_FACTOR * self.mean_s

    def record(self, elapsed_s: float) -> None:
        """Records the time of one response."""
        if self.mean_s == 0.0:
            self.mean_s = elapsed_s
        self.mean_s += WEIGHT * (elapsed_s - self.mean_s)
