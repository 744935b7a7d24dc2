"""Decides when a host reads the store.

Keeps the load on the store low: all hosts rank the fleet in the same order,
the first host reads for everyone (the active reader), and the others stand
by. When its updates stop, the next hosts take over in the order of rank.
"""

from cowslipmill.runtime.backoff import doubled

# Age of the last update at which a standby host takes over. Must exceed the
# longest time that the store may wait for a change.
TAKEOVER_AGE_S = 0.9
# Pause between two reads, so that consecutive changes come in one response.
READ_PAUSE_S = 0.1
# Additional age per rank, up to the maximum.
TAKEOVER_STEP_S = 0.06
MAX_TAKEOVER_DELAY_S = 0.6
# Additional age per rank without a maximum, so that the hosts for which the
# maximum holds don't all read at once.
RANK_SPREAD_S = 0.005
# Pause after a failed read; doubles with each further failure.
INITIAL_BACKOFF_S = 0.3
MAX_BACKOFF_S = 1.2


class ReadSchedule:
    """The times at which this host reads the store.

    Attributes:
        active: Whether this host is the active reader; else it stands by.
        failures: Number of consecutive failed reads.
        failed_at: Monotonic seconds of the last failed read.
        deferred: Whether a host that ranks before this one has read since
            this host's last read began.
    """

    __slots__ = ('active', 'failed_at', 'failures', 'deferred')

    def __init__(self) -> None:
        """Starts as the active reader, without failures."""
        self.active = True
        self.deferred = False
        self.failures = 0
        self.failed_at = float('-inf')

    def next_read_at(self, synced_at: float, rank: int) -> float:
        """Returns when to read next, in monotonic seconds.

        Args:
            synced_at: Monotonic seconds as of which this host's view, by its
                own reads or by other hosts' updates, agreed with the store.
            rank: Number of hosts that rank before this one.
        """
        due_at = synced_at + READ_PAUSE_S
        if rank and not self.active:
            delay_s = min(MAX_TAKEOVER_DELAY_S, rank * TAKEOVER_STEP_S)
            due_at += TAKEOVER_AGE_S + delay_s + rank * RANK_SPREAD_S
        if not self.failures:
            return due_at
        backoff_s = doubled(
            INITIAL_BACKOFF_S, self.failures - 1, MAX_BACKOFF_S
        )
        return max(due_at, self.failed_at + backoff_s)

    def stand_by(self) -> None:
        """Leaves reading to other hosts."""
        self.active = False

    def start_read(self) -> None:
        """Records that a read begins."""
        self.deferred = False

    def record_result(self, *, failed: bool, now: float) -> None:
        """Records how a read ended.

        This host becomes the active reader if the read succeeded and no host
        that ranks before it has read meanwhile.

        Args:
            failed: Whether the read failed.
            now: Monotonic seconds.
        """
        self.active = not failed and not self.deferred
        self.failures = self.failures + 1 if failed else 0
        if failed:
            self.failed_at = now

    def defer_to(self, other_rank: int, own_rank: int) -> None:
        """Stands by if another host that reads ranks before this one.

        Args:
            other_rank: Rank of the host that reads; 0 is the first.
            own_rank: Rank of this host.
        """
        if other_rank < own_rank:
            self.active = False
            self.deferred = True
