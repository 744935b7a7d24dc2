"""How long a caller has waited already, as its remaining patience tells.

Answers the load pattern of a rush in which refused callers come back: a
caller that returns states less time than those who ask for the first time.
Its latency counts from its first request, so that it may be late already.
"""

from collections import deque

# First requests of a route that are remembered, and the fewest of them
# before anything is concluded.
WINDOW_SIZE = 64
MIN_SAMPLES = 16
# Share of first requests that may state less time than the floor; some
# callers come back after a failure at another host.
FLOOR_QUANTILE = 0.05
# Time after a refusal within which callers may be ones that come back.
RETRY_WINDOW_S = 2.5


class RouteTimeouts:
    """The times that the callers of one route state at first.

    Attributes:
        recent: The last times stated while nobody had cause to come back.
        floor_s: Time that hardly any first request stays below.
    """

    __slots__ = ('floor_s', 'recent')

    def __init__(self) -> None:
        """Starts without requests."""
        self.recent: deque[float] = deque(maxlen=WINDOW_SIZE)
        self.floor_s = 0.0

    def record(self, timeout_s: float) -> None:
        """Takes in the time that a first request states."""
        self.recent.append(timeout_s)
        if len(self.recent) >= MIN_SAMPLES:
            ordered = sorted(self.recent)
            self.floor_s = ordered[int(FLOOR_QUANTILE * len(ordered))]

    def waited_s(self, timeout_s: float) -> float:
        """Returns how long a caller has waited before, at least.

        Args:
            timeout_s: The time that it states.
        """
        return max(0.0, self.floor_s - timeout_s)


class CallerTimeouts:
    """What is known of the callers of each route.

    Attributes:
        routes: Times stated, by route.
        refused_at: When a request was last refused here; a start counts,
            since callers may have been cut off by it.
    """

    __slots__ = ('refused_at', 'routes')

    def __init__(self, now: float) -> None:
        """Starts without requests."""
        self.routes: dict[str, RouteTimeouts] = {}
        self.refused_at = now

    def record_refusal(self, now: float) -> None:
        """Takes in that a caller has cause to come back."""
        self.refused_at = now

    def waited_s(self, route: str, timeout_s: float, now: float) -> float:
        """Returns how long a caller has been asking before, at least.

        Args:
            route: The route's name.
            timeout_s: The time that the caller states.
            now: Monotonic seconds.
        """
        patience = self.routes.setdefault(route, RouteTimeouts())
        if now - self.refused_at > RETRY_WINDOW_S:
            patience.record(timeout_s)
        return patience.waited_s(timeout_s)
