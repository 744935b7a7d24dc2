"""Estimates how long a server takes for a request.

For the case that some of the servers are slow for a short period: a request
that starts in a slow period is slow to its end, so that the server's speed at
the start decides.
"""

from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.slots import SLOW_THRESHOLD

# Mean remaining time of a short slow period, half of its usual length of
# 150 ms.
SLOW_REMAINING_S = 0.075
# A slow period that has lasted this long is not a short one.
LASTING_SLOW_S = 0.4
# Slowdown of a server that is warming up after its start.
COLD_FACTOR = 2.0
# Weight of occupancy in the choice between equally fast servers, as a share
# of the processing time.
OCCUPANCY_WEIGHT = 0.1
# Cost of a failure to the caller, as a multiple of the processing time.
FAILURE_PENALTY = 6.0
# A server that reports itself unhealthy, or whose entry is missing from the
# store, ranks behind every other; multiples of the processing time.
UNHEALTHY_PENALTY = 4.0
MISSING_PENALTY = 8.0


def estimate_duration_s(
    server: ServerSlots, processing_s: float, now: float
) -> float:
    """Returns the expected duration of a request at a server, in seconds.

    Args:
        server: The server.
        processing_s: Processing time on an idle server, in seconds.
        now: Monotonic seconds.
    """
    duration_s = processing_s
    if now < server.warm_up.slow_until:
        duration_s *= COLD_FACTOR
    if server.load is not None:
        duration_s *= server.load.slowdown
    utilization = server.occupancy(now) / server.record.slots
    return duration_s + OCCUPANCY_WEIGHT * processing_s * utilization


def risk_penalty_s(
    server: ServerSlots, processing_s: float, now: float
) -> float:
    """Returns the penalty for the risk of a failure, in seconds.

    It only ranks servers and is not part of the expected duration, so that a
    service is used without delay even if all its servers are likely to fail.

    Args:
        server: The server.
        processing_s: Processing time on an idle server, in seconds.
        now: Monotonic seconds.
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
    """Returns whether a server is slow and likely to be fast again soon."""
    if server.load is None or server.load.slowdown < SLOW_THRESHOLD:
        return False
    slow_since = server.slow_since
    return slow_since is None or now - slow_since < LASTING_SLOW_S


def was_recently_slow(server: ServerSlots, now: float) -> bool:
    """Returns whether a server was slow so recently that it may still be."""
    if server.load is None or server.load_age_s(now) > SLOW_REMAINING_S:
        return False
    return server.load.slowdown >= SLOW_THRESHOLD
