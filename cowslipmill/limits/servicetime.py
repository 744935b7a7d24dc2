"""How long servers take, measured from their answers."""

WEIGHT = 0.05
TYPICAL_FACTOR = 1.5
LONG_FACTOR = 3.0


class ServiceTime:
    """Moving average of the time that a request holds a slot.

    Attributes:
        mean_s: The average; 0 before the first answer.
    """

    __slots__ = ('mean_s',)

    def __init__(self) -> None:
        """Starts without an answer."""
        self.mean_s = 0.0

    @property
    def typical_s(self) -> float:
        """Time in which about three in four answers come."""
        return TYPICAL_FACTOR * self.mean_s

    @property
    def long_s(self) -> float:
        """Time in which about nineteen in twenty answers come."""
        return LONG_FACTOR * self.mean_s

    def record(self, elapsed_s: float) -> None:
        """Takes in the time of one answer."""
        if self.mean_s == 0.0:
            self.mean_s = elapsed_s
        self.mean_s += WEIGHT * (elapsed_s - self.mean_s)
