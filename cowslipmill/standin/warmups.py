"""Warm-ups of a stand-in server, and what reaches it meanwhile."""

# A cold server takes this many times as long.
COLD_FACTOR = 2.0
WINDOW_S = 1.0
# In `WINDOW_S`, a cold server gets at most this many times what its service's
# limit allows, and so many requests more.
OVERAGE = 1.5
SLACK = 8.0


class WarmUps:
    """The warm-ups of a server.

    Attributes:
        cold_until: When it has warmed up, in monotonic seconds; negative
            infinity if it was never cold.
        arrivals: When requests reached it while it was cold, in monotonic
            seconds.
    """

    __slots__ = ('arrivals', 'cold_until')

    def __init__(self) -> None:
        """Starts warm."""
        self.cold_until = float('-inf')
        self.arrivals: list[float] = []

    def begin(self, for_s: float, now: float) -> None:
        """Has the server be cold for some seconds from now on."""
        self.cold_until = max(self.cold_until, now + for_s)

    def is_cold(self, now: float) -> bool:
        """Returns whether the server is cold."""
        return now < self.cold_until

    def slowdown(self, now: float) -> float:
        """Returns how many times as long work takes."""
        return COLD_FACTOR if self.is_cold(now) else 1.0

    def remaining_ms(self, now: float) -> int:
        """Returns how long it stays cold, in milliseconds."""
        return max(0, round(1_000 * (max(now, self.cold_until) - now)))

    def header(self, now: float) -> str:
        """Returns the header line of health answers.

        It is empty if the server was never cold.
        """
        if self.cold_until == float('-inf'):
            return ''
        return f'x-warmup-ms: {self.remaining_ms(now)}\r\n'

    def record_arrival(self, now: float) -> None:
        """Counts a request if the server is cold."""
        if self.is_cold(now):
            self.arrivals.append(now)

    def most_per_second(self) -> int:
        """Returns the most requests in any second while it was cold."""
        return most_in_window(self.arrivals)


def most_in_window(times: list[float]) -> int:
    """Returns the largest number of times within `WINDOW_S`.

    Args:
        times: In seconds.
    """
    times = sorted(times)
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] >= WINDOW_S:
            first += 1
        most = max(most, last + 1 - first)
    return most


def allowed_per_second(warm_up_per_s: float) -> float:
    """Returns the bound of the requests at a cold server in any second."""
    return OVERAGE * warm_up_per_s * WINDOW_S + SLACK
