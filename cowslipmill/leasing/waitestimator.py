"""How long work is expected to wait at a home.

Answers the load pattern of servers that are slow in turn: what waits is not
given to them, so that only the slots of fast servers work the backlog off.
"""

from collections.abc import Iterable

from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.slots import SLOW_THRESHOLD

# Reports younger than this tell the share of fast servers: a few slow times.
SPEED_REPORT_MAX_AGE_S = 0.5
# Time over which that share is averaged, several slow times.
SPEED_AVERAGING_S = 1.0


class WaitEstimator:
    """The slots that work off what waits.

    Attributes:
        fast_share: Share of the servers that are fast, on average.
        fast_slots: Slots at fast servers, on average.
        updated_at: When both were last brought up to date.
    """

    __slots__ = ('fast_share', 'fast_slots', 'updated_at')

    def __init__(self) -> None:
        """Starts with one slot, until servers are known."""
        self.fast_share = 1.0
        self.fast_slots = 1.0
        self.updated_at = 0.0

    def update(self, servers: Iterable[ServerSlots], now: float) -> None:
        """Follows the servers' slots and speeds.

        A moment says little: all servers may be slow at once and fast again
        right after.

        Args:
            servers: The home's servers.
            now: Monotonic seconds.
        """
        slots = 0
        recent: list[bool] = []
        for server in servers:
            if now >= server.blocked_until and not server.failed_probes:
                slots += server.usable_slots
            load = server.load
            if (
                load is not None
                and server.load_age_s(now) <= SPEED_REPORT_MAX_AGE_S
            ):
                recent.append(load.slowdown < SLOW_THRESHOLD)
        if recent:
            weight = min(1.0, (now - self.updated_at) / SPEED_AVERAGING_S)
            share = sum(recent) / len(recent)
            self.fast_share += weight * (share - self.fast_share)
        self.updated_at = now
        self.fast_slots = max(1.0, slots * self.fast_share)

    def wait_s(self, mean_processing_s: float, ahead: int) -> float:
        """Returns the wait for a slot at a fast server.

        Args:
            mean_work_s: How long a slot is taken by whatever work.
            ahead: Tickets that are served before.
        """
        return (ahead + 1) * mean_processing_s / self.fast_slots
