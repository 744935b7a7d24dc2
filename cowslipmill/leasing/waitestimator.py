"""Estimates how long a request waits in the queue of a coordinator.

For the case that servers are slow in turn: queued requests aren't sent to slow
servers, so that only the slots of fast servers drain the queue.
"""

from collections.abc import Iterable

from cowslipmill.leasing.ratelimits import MIN_BUCKET_PER_S
from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.slots import SLOW_THRESHOLD

# Load reports up to this age count towards the share of fast servers; as long
# as a few slow periods.
SPEED_REPORT_MAX_AGE_S = 0.5
# Time over which that share is averaged, as long as several slow periods.
SPEED_AVERAGING_S = 1.0
MIN_MEAN_S = 0.001


class WaitEstimator:
    """Estimates waits from the number of slots at fast servers.

    Attributes:
        fast_share: Moving average of the share of servers that are fast.
        fast_slots: Average number of slots at fast servers without a rate
            limit, at least 1 if there is such a server.
        limited_per_s: Requests a second that servers with a rate limit get,
            also those whose rate is limited while they warm up.
        updated_at: When both were last updated, in monotonic seconds.
    """

    __slots__ = ('fast_share', 'fast_slots', 'limited_per_s', 'updated_at')

    def __init__(self) -> None:
        """Assumes one slot until servers are known."""
        self.fast_share = 1.0
        self.fast_slots = 1.0
        self.limited_per_s = 0.0
        self.updated_at = 0.0

    def update(self, servers: Iterable[ServerSlots], now: float) -> None:
        """Updates the averages from the servers' slots and load reports.

        A single moment isn't representative: all servers may be slow at once
        and fast again right after.

        Args:
            servers: The coordinator's servers.
            now: Monotonic seconds.
        """
        slots = 0
        limited = 0
        unlimited = 0
        self.limited_per_s = 0.0
        fast_flags: list[bool] = []
        for server in servers:
            usable = (
                now >= server.blocked_until
                and not server.failed_probes
                and not server.ejection.excluded
            )
            limited_per_s = server.limited_per_s(now)
            if limited_per_s is None:
                unlimited += 1
                slots += server.usable_slots if usable else 0
            else:
                limited += 1
                self.limited_per_s += limited_per_s * usable
            load = server.load
            if (
                load is not None
                and server.load_age_s(now) <= SPEED_REPORT_MAX_AGE_S
            ):
                fast_flags.append(load.slowdown < SLOW_THRESHOLD)
        if fast_flags:
            weight = min(1.0, (now - self.updated_at) / SPEED_AVERAGING_S)
            share = sum(fast_flags) / len(fast_flags)
            self.fast_share += weight * (share - self.fast_share)
        self.updated_at = now
        self.fast_slots = slots * self.fast_share
        # A server that can't be used for a moment is used again soon.
        if unlimited or not limited:
            self.fast_slots = max(1.0, self.fast_slots)

    def wait_s(self, mean_processing_s: float, ahead: int) -> float:
        """Returns the expected wait for a slot at a fast server, in seconds.

        Args:
            mean_processing_s: Mean time that a request occupies a slot.
            ahead: Number of requests that are served before.
        """
        served_per_s = self.fast_slots / max(MIN_MEAN_S, mean_processing_s)
        served_per_s += self.limited_per_s
        return (ahead + 1) / max(MIN_BUCKET_PER_S, served_per_s)
