"""Detects that a service gets more requests than it can serve in time.

Handles load spikes: while one lasts, late requests make room for requests that
can meet their objective, and refused callers get a retry delay after which it
is likely to be over.
"""

# An overload ends when no request was refused for this long, a few times the
# interval between refusals in a light overload.
QUIET_PERIOD_S = 0.25
# Longest retry delay for an overload, a third of the timeout that callers on
# the target platform send.
MAX_REMAINING_S = 1.5


class Overload:
    """The current overload, if there is one.

    Attributes:
        since: When it began, in monotonic seconds.
        refused_at: When a request was last refused because of it, in
            monotonic seconds.
    """

    __slots__ = ('refused_at', 'since')

    def __init__(self) -> None:
        """Starts without an overload."""
        self.since = float('-inf')
        self.refused_at = float('-inf')

    def record_refusal(self, now: float) -> None:
        """Records the refusal of a request that could meet its objective."""
        if not self.is_active(now):
            self.since = now
        self.refused_at = now

    def is_active(self, now: float) -> bool:
        """Returns whether there is an overload."""
        return now - self.refused_at <= QUIET_PERIOD_S

    def remaining_s(self, now: float) -> float:
        """Returns how long the overload is expected to go on, in seconds.

        An overload of unknown cause is expected to last as long again as it
        has lasted.
        """
        if not self.is_active(now):
            return 0.0
        return min(MAX_REMAINING_S, now - self.since)
