"""The largest membership recently known, by which shares are bounded."""

from collections import deque

WINDOW_S = 3_600.0


class LargestMembership:
    """Keeps the largest count of entries within a window.

    A partition shrinks the view of each side, so that shares worked out from
    the present view would add up to more than the whole.

    Attributes:
        counts: Times and counts; each count is larger than those after it.
    """

    __slots__ = ('counts',)

    def __init__(self) -> None:
        """Starts with one entry, this one."""
        self.counts: deque[tuple[float, int]] = deque()

    def update(self, count: int, now: float) -> None:
        """Takes in the present count."""
        while self.counts and self.counts[-1][1] <= count:
            self.counts.pop()
        self.counts.append((now, count))
        while len(self.counts) > 1 and self.counts[0][0] < now - WINDOW_S:
            self.counts.popleft()

    @property
    def count(self) -> int:
        """The largest count, at least 1."""
        return max(1, self.counts[0][1]) if self.counts else 1
