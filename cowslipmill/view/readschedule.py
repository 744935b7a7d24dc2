"""Decides when a host reads the store.

Answers the cost of many readers: the first host in an order that all agree
on reads for everyone, and the next ones take over one after the other when
its news stops.
"""

# Age of the last news at which the next host reads; above the longest time
# that the store may wait for a change.
NEWS_AGE_S = 0.9
# Pause between two calls, so that changes in a row come together.
CALL_PAUSE_S = 0.1
# Further age for each host that goes before in the order.
TAKE_OVER_S = 0.06
MAX_TAKE_OVER_S = 0.6
# Further age for each host beyond that bound, so that they don't all read.
LAST_TAKE_OVER_S = 0.005
# Pause after a call that failed, doubled for each further failure.
FIRST_PAUSE_S = 0.3
MAX_PAUSE_S = 1.2


class ReadSchedule:
    """When this host reads next.

    Attributes:
        active: Whether this host reads for the others.
        failures: Failed calls in a row.
        failed_at: When the last of them failed.
        yielded: Whether another host has read since the last call began.
    """

    __slots__ = ('active', 'failed_at', 'failures', 'yielded')

    def __init__(self) -> None:
        """Starts without failures."""
        self.active = True
        self.yielded = False
        self.failures = 0
        self.failed_at = float('-inf')

    def next_read_at(self, synced_at: float, rank: int) -> float:
        """Returns when to read, unless news comes before.

        Args:
            synced_at: When the store was last known to have answered.
            rank: How many hosts go before this one.
        """
        due_at = synced_at + CALL_PAUSE_S
        if rank and not self.active:
            later_s = min(MAX_TAKE_OVER_S, rank * TAKE_OVER_S)
            due_at += NEWS_AGE_S + later_s + rank * LAST_TAKE_OVER_S
        if not self.failures:
            return due_at
        doubled_s: float = FIRST_PAUSE_S * 2.0 ** (self.failures - 1)
        pause_s = min(MAX_PAUSE_S, doubled_s)
        return max(due_at, self.failed_at + pause_s)

    def stand_by(self) -> None:
        """Takes in that other hosts read for this one."""
        self.active = False

    def start_read(self) -> None:
        """Takes in that a call begins."""
        self.yielded = False

    def record_result(self, *, failed: bool, now: float) -> None:
        """Takes in how a call ended."""
        self.active = not failed and not self.yielded
        self.failures = self.failures + 1 if failed else 0
        if failed:
            self.failed_at = now

    def defer_to(self, other_rank: int, own_rank: int) -> None:
        """Takes in that another host reads."""
        if other_rank < own_rank:
            self.active = False
            self.yielded = True
