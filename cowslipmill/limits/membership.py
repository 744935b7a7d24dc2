"""Largest recent number of entries, which bounds the share of each."""

from collections import deque

WINDOW_S = 3_600.0


class LargestMembership:
    """Tracks the largest number of entries within a time window.

    A network partition shrinks the view of each side, so that shares computed
    from the current view would add up to more than the whole.

    Attributes:
        counts: Pairs of time and count, with falling counts.
    """

    __slots__ = ('counts',)

    def __init__(self) -> None:
        """Starts with one entry: this one."""
        self.counts: deque[tuple[float, int]] = deque()

    def update(self, count: int, now: float) -> None:
        """Records the current number of entries.

        Args:
            count: Live entries.
            now: Current monotonic time in seconds.
        """
        while self.counts and self.counts[-1][1] <= count:
            self.counts.pop()
        self.counts.append((now, count))
        while len(self.counts) > 1 and self.counts[0][0] < now - WINDOW_S:
            self.counts.popleft()

    @property
    def count(self) -> int:
        """Largest count within the window, at least 1."""
        return max(1, self.counts[0][1]) if self.counts else 1
