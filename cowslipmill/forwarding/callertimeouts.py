"""Estimates how long a caller has already waited from its remaining time.

For the case of a load spike in which refused callers send their requests
again: a caller that retries sends a shorter timeout than callers that send
for the first time. Its latency counts from its first request, so the request
may already be late when it arrives.
"""

from collections import deque

from cowslipmill.runtime.names import BoundedDict

# Number of timeouts of first requests that are kept for each route, and the
# minimum number before anything is estimated from them.
WINDOW_SIZE = 64
MIN_SAMPLES = 16
# Share of first requests that may have a timeout below the floor. It is above
# 0 because some callers in the window retry after a failure at another host.
FLOOR_QUANTILE = 0.05
# Time after a refusal by this host in which requests may be retries of it;
# their timeouts are not recorded.
RETRY_WINDOW_S = 2.5


class RouteTimeouts:
    """Timeouts that the callers of one route send with their first request.

    Attributes:
        recent: The last timeouts in seconds, recorded while no caller of
            this host had a reason to retry.
        floor_s: Timeout in seconds that hardly any first request is below.
    """

    __slots__ = ('floor_s', 'recent')

    def __init__(self) -> None:
        """Creates the statistics without samples."""
        self.recent: deque[float] = deque(maxlen=WINDOW_SIZE)
        self.floor_s = 0.0

    def record(self, timeout_s: float) -> None:
        """Adds the timeout of a first request."""
        self.recent.append(timeout_s)
        if len(self.recent) >= MIN_SAMPLES:
            ordered = sorted(self.recent)
            self.floor_s = ordered[int(FLOOR_QUANTILE * len(ordered))]

    def waited_s(self, timeout_s: float) -> float:
        """Returns the least time that a caller has already waited.

        Args:
            timeout_s: The timeout that the caller sent, in seconds.

        Returns:
            Seconds; 0 if the caller seems to send for the first time.
        """
        return max(0.0, self.floor_s - timeout_s)


class CallerTimeouts:
    """Timeouts of callers by route.

    Attributes:
        routes: Statistics by the route's name.
        refused_at: When this host last refused a request, in monotonic
            seconds. The start of the host counts as a refusal, since a
            restart may have cut off callers.
    """

    __slots__ = ('refused_at', 'routes')

    def __init__(self, now: float) -> None:
        """Creates the statistics without samples.

        Args:
            now: Monotonic seconds.
        """
        self.routes: dict[str, RouteTimeouts] = BoundedDict()
        self.refused_at = now

    def record_refusal(self, now: float) -> None:
        """Records that a caller was refused and may retry."""
        self.refused_at = now

    def waited_s(self, route: str, timeout_s: float, now: float) -> float:
        """Returns the least time that a caller has already waited.

        Also records the timeout, unless the request may be a retry.

        Args:
            route: The route's name.
            timeout_s: The timeout that the caller sent, in seconds.
            now: Monotonic seconds.
        """
        timeouts = self.routes.setdefault(route, RouteTimeouts())
        if now - self.refused_at > RETRY_WINDOW_S:
            timeouts.record(timeout_s)
        return timeouts.waited_s(timeout_s)
