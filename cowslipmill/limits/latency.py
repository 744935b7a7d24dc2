"""Recent latencies of a route."""

from collections import deque

WINDOW_SIZE = 200
MIN_SAMPLES = 20
UPDATE_INTERVAL = 10


class RecentLatency:
    """Sliding window of latencies and its 95th percentile.

    Attributes:
        window: Latest latencies in seconds.
        p95_s: Their 95th percentile in seconds; None until there are
            `MIN_SAMPLES` of them.
        recorded: Number of latencies recorded so far.
    """

    __slots__ = ('p95_s', 'recorded', 'window')

    def __init__(self) -> None:
        """Starts empty."""
        self.window: deque[float] = deque(maxlen=WINDOW_SIZE)
        self.recorded = 0
        self.p95_s: float | None = None

    def record(self, latency_s: float) -> None:
        """Records one latency.

        The percentile is updated once in `UPDATE_INTERVAL` records.
        """
        self.window.append(latency_s)
        self.recorded += 1
        if self.recorded % UPDATE_INTERVAL or len(self.window) < MIN_SAMPLES:
            return
        ranked = sorted(self.window)
        self.p95_s = ranked[len(ranked) * 95 // 100]
