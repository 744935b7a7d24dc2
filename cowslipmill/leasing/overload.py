"""Since when a service gets more work than it can do in time.

Answers the load pattern of a rush: while it lasts, work that is late makes
room for work that can be in time, and callers are told to come back when it
is likely to be over.
"""

# An overload ends when no work was refused for this long, a few times the
# pause between refusals in a light one.
QUIET_PERIOD_S = 0.25
# Longest wait told, a third of the patience of the users' callers.
MAX_REMAINING_S = 1.5


class Overload:
    """The present overload, if there is one.

    Attributes:
        since: When it began.
        refused_at: When work was last refused for it.
    """

    __slots__ = ('refused_at', 'since')

    def __init__(self) -> None:
        """Starts calm."""
        self.since = float('-inf')
        self.refused_at = float('-inf')

    def record_refusal(self, now: float) -> None:
        """Takes in that work which could be in time is refused."""
        if not self.is_active(now):
            self.since = now
        self.refused_at = now

    def is_active(self, now: float) -> bool:
        """Tells whether there is an overload."""
        return now - self.refused_at <= QUIET_PERIOD_S

    def remaining_s(self, now: float) -> float:
        """Returns how long it is likely to go on.

        An overload of unknown cause is expected to last as long again as it
        has lasted.
        """
        if not self.is_active(now):
            return 0.0
        return min(MAX_REMAINING_S, now - self.since)
