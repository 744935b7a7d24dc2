"""Latencies and outcomes of one arm."""

from collections import Counter

from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3


class Recorder:
    """Counts outcomes and records the latency of answers.

    Attributes:
        outcomes: Requests by outcome.
        latency_us: Latency of answered requests, from the intended time of
            sending.
    """

    __slots__ = ('latency_us', 'outcomes')

    def __init__(self) -> None:
        """Starts empty."""
        self.outcomes: Counter[str] = Counter()
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def record(self, outcome: str, latency_s: float) -> None:
        """Records one request.

        Args:
            outcome: `answered`, `not-run`, `unknown` or `lost`.
            latency_s: Seconds since it was due to be sent.
        """
        self.outcomes[outcome] += 1
        if outcome == 'answered':
            self.latency_us.record_value(max(1, int(latency_s * 1_000_000)))

    @property
    def count(self) -> int:
        """Requests that have ended."""
        return self.outcomes.total()

    def percentile_ms(self, percentile: float) -> float:
        """Returns a percentile of the answered requests' latency."""
        value = self.latency_us.get_value_at_percentile(percentile)
        return round(float(value) / 1000, 3)

    def share(self, outcome: str) -> float:
        """Returns the share of requests that ended in an outcome."""
        return round(self.outcomes[outcome] / max(1, self.count), 5)
