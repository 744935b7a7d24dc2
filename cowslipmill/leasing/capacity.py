"""Estimates how many slots serve a queue, by the speed of the servers.

Answers servers that are slow for short periods in turn, that stay slow, that
are cold or that are limited to a rate: what each of them gets done counts. A
slot at a server that is slow for a moment goes on with the work that began
before, so that less than the whole period is lost.
"""

from collections.abc import Iterable

from cowslipmill.leasing.estimate import COLD_FACTOR
from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.slots import SHED_BLOCK_S
from cowslipmill.leasing.waitestimator import WaitEstimator

# A server that has been slow for this long is taken to stay slow. Longer than
# several short slow periods in a row, since work that begins in one keeps its
# slot several times as long.
STAYS_SLOW_S = 1.0
# Mean time for which a slot that becomes free in a slow period is not used:
# half a period of 150 ms, and some periods follow on one another.
SLOW_PAUSE_S = 0.1
# A server that is blocked for less, as after it shed a request, counts: it is
# used again before a queued request is late.
LONGEST_SHORT_BLOCK_S = 2.0 * SHED_BLOCK_S
# Least number of slots, so that a wait without any is long, not infinite.
MIN_CAPACITY = 0.05


def stays_slow(server: ServerSlots, now: float) -> bool:
    """Returns whether a server is slow and not likely to be fast soon."""
    slow_since = server.slow_since
    return slow_since is not None and now - slow_since >= STAYS_SLOW_S


class ServiceSpeed:
    """Slots and speed of the servers of a coordinator.

    Attributes:
        slots: Number of slots of usual speed without a rate limit.
        limited: Slots and requests a second of each limited server.
        pausing_share: Share of the servers that are slow for a moment.
        least_factor: Duration relative to the work at the fastest servers.
    """

    __slots__ = ('least_factor', 'limited', 'pausing_share', 'slots')

    def __init__(
        self,
        slots: float,
        limited: list[tuple[float, float]],
        pausing_share: float,
        least_factor: float,
    ) -> None:
        """Stores the values."""
        self.slots = slots
        self.limited = limited
        self.pausing_share = pausing_share
        self.least_factor = least_factor

    def capacity(self, work_s: float) -> float:
        """Returns the number of slots that serve a queue.

        Args:
            work_s: Mean work of the queued requests, in seconds.
        """
        capacity = self.slots
        for slots, per_s in self.limited:
            capacity += min(slots, per_s * work_s)
        pause_s = self.pausing_share * SLOW_PAUSE_S
        return max(MIN_CAPACITY, capacity * work_s / (work_s + pause_s))


def measure_speed(
    servers: Iterable[ServerSlots], estimator: WaitEstimator, now: float
) -> ServiceSpeed:
    """Returns the slots and the speed of servers.

    Args:
        servers: The coordinator's servers.
        estimator: Knows the share of servers that are fast.
        now: Monotonic seconds.
    """
    total = 0.0
    limited: list[tuple[float, float]] = []
    least_factor = float('inf')
    slow = 0
    count = 0
    for server in servers:
        count += 1
        factor = COLD_FACTOR if now < server.warm_up.slow_until else 1.0
        if stays_slow(server, now) and server.load is not None:
            factor *= server.load.slowdown
            slow += 1
        if server.failed_probes:
            continue
        if server.blocked_until - now > LONGEST_SHORT_BLOCK_S:
            continue
        if server.ejection.excluded:
            continue
        least_factor = min(least_factor, factor)
        slots = server.usable_slots / factor
        per_s = server.limited_per_s(now)
        if per_s is None:
            total += slots
        else:
            limited.append((slots, per_s))
    pausing_share = 0.0
    if count:
        pausing_share = max(0.0, 1.0 - estimator.fast_share - slow / count)
    if least_factor == float('inf'):
        least_factor = 1.0
    return ServiceSpeed(total, limited, pausing_share, least_factor)
