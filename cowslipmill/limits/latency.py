"""Recent latencies of a route."""

from collections import deque

KEPT = 200
MIN_KEPT = 20
RANKED_EVERY = 10


class RecentLatency:
    """A window of latencies and its 95th percentile.

    Attributes:
        window: The latest latencies in seconds.
        p95_s: Their 95th percentile; None until enough are known.
    """

    __slots__ = ('p95_s', 'recorded', 'window')

    def __init__(self) -> None:
        """Starts empty."""
        self.window: deque[float] = deque(maxlen=KEPT)
        self.recorded = 0
        self.p95_s: float | None = None

    def record(self, latency_s: float) -> None:
        """Takes in one latency."""
        self.window.append(latency_s)
        self.recorded += 1
        if self.recorded % RANKED_EVERY or len(self.window) < MIN_KEPT:
            return
        ranked = sorted(self.window)
        self.p95_s = ranked[len(ranked) * 95 // 100]
