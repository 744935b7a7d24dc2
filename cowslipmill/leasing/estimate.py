"""Expected time to an answer from a server.

Answers the load pattern in which a share of the servers is slow for a short
time: work that begins in a slow time is slow to its end, so that the speed
at the beginning decides.
"""

from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.slots import SLOW_THRESHOLD

# Mean rest of a short slow time, half of its usual length of 150 ms.
SLOW_REMAINING_S = 0.075
# A slow time that has lasted this long is no short one.
LASTING_SLOW_S = 0.4
# Slowdown of a server that has just started.
COLD_FACTOR = 2.0
# Weight of occupancy among equally fast servers, as a share of the work.
OCCUPANCY_WEIGHT = 0.1
# What a failure costs the caller, in work times.
FAILURE_PENALTY = 6.0
# A server that calls itself unhealthy, or whose entry is gone for now, goes
# behind every other.
UNHEALTHY_PENALTY = 4.0
MISSING_PENALTY = 8.0


def estimate_duration_s(
    server: ServerSlots, processing_s: float, now: float
) -> float:
    """Returns how long a request is expected to take.

    Args:
        server: The server.
        work_s: Time that the work takes on an idle server.
        now: Monotonic seconds.
    """
    duration_s = processing_s
    if now < server.cold_until:
        duration_s *= COLD_FACTOR
    if server.load is not None:
        duration_s *= server.load.slowdown
    utilization = server.occupancy(now) / server.record.slots
    return duration_s + OCCUPANCY_WEIGHT * processing_s * utilization


def risk_penalty_s(
    server: ServerSlots, processing_s: float, now: float
) -> float:
    """Returns what the risk of a failure counts in a comparison.

    It ranks servers and says nothing of the time to an answer, so that a
    service whose servers are all doubtful is used without delay.
    """
    penalty_s = (
        FAILURE_PENALTY * processing_s * server.decayed_failure_rate(now)
    )
    if server.load is not None and not server.load.healthy:
        penalty_s += UNHEALTHY_PENALTY * processing_s
    if server.missing:
        penalty_s += MISSING_PENALTY * processing_s
    return penalty_s


def is_temporarily_slow(server: ServerSlots, now: float) -> bool:
    """Tells whether a server is slow and likely to be fast again soon."""
    if server.load is None or server.load.slowdown < SLOW_THRESHOLD:
        return False
    slow_since = server.slow_since
    return slow_since is None or now - slow_since < LASTING_SLOW_S


def was_recently_slow(server: ServerSlots, now: float) -> bool:
    """Tells whether a server was slow a moment ago, and may still be."""
    if server.load is None or server.load_age_s(now) > SLOW_REMAINING_S:
        return False
    return server.load.slowdown >= SLOW_THRESHOLD
