"""Expected time to an answer from a server.

Answers the load pattern in which a share of the servers is slow for a short
time: work that begins in a slow time is slow to its end, so that the speed
at the beginning decides.
"""

from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.slots import SLOW_FACTOR

# Mean rest of a short slow time, half of its usual length of 150 ms.
SLOW_REST_S = 0.075
# A slow time that has lasted this long is no short one.
LASTING_S = 0.4
# Slowdown of a server that has just started.
COLD_FACTOR = 2.0
# Weight of occupancy among equally fast servers, as a share of the work.
OCCUPANCY_WEIGHT = 0.1
# What a failure costs the caller, in work times.
FAILURE_COST = 6.0
# A server that calls itself unhealthy, or whose entry is gone for now, goes
# behind every other.
UNHEALTHY_COST = 4.0
LAPSED_COST = 8.0


def expected_finish_s(server: ServerSlots, work_s: float, now: float) -> float:
    """Returns how long a request is expected to take.

    Args:
        server: The server.
        work_s: Time that the work takes on an idle server.
        now: Monotonic seconds.
    """
    finish_s = work_s
    if now < server.cold_until:
        finish_s *= COLD_FACTOR
    if server.load is not None:
        finish_s *= server.load.slowdown
    share = server.occupancy(now) / server.record.slots
    return finish_s + OCCUPANCY_WEIGHT * work_s * share


def risk_s(server: ServerSlots, work_s: float, now: float) -> float:
    """Returns what the risk of a failure counts in a comparison.

    It ranks servers and says nothing of the time to an answer, so that a
    service whose servers are all doubtful is used without delay.
    """
    cost_s = FAILURE_COST * work_s * server.failure_share(now)
    if server.load is not None and not server.load.healthy:
        cost_s += UNHEALTHY_COST * work_s
    if server.missing:
        cost_s += LAPSED_COST * work_s
    return cost_s


def is_passing_slow(server: ServerSlots, now: float) -> bool:
    """Tells whether a server is slow and likely to be fast again soon."""
    if server.load is None or server.load.slowdown < SLOW_FACTOR:
        return False
    since = server.slow_since
    return since is None or now - since < LASTING_S


def was_slow(server: ServerSlots, now: float) -> bool:
    """Tells whether a server was slow a moment ago, and may still be."""
    if server.load is None or server.load_age_s(now) > SLOW_REST_S:
        return False
    return server.load.slowdown >= SLOW_FACTOR
