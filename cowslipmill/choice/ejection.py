"""Ejection of servers that fail more than their peers."""

from collections.abc import Collection

from cowslipmill.choice.health import Health
from cowslipmill.choice.health import HealthState
from cowslipmill.choice.health import HEALTHY_FAILED_SHARE


def eject_if_failing(
    health: Health, peers: Collection[Health], max_ejected: int, now: float
) -> bool:
    """Ejects a failing server unless too many are ejected already.

    Args:
        health: Health of the server.
        peers: Health of the other servers of its service.
        max_ejected: Most servers that may be ejected or in probation at once.
        now: Current monotonic time in seconds.

    Returns:
        Whether the server was ejected.
    """
    if health.state is HealthState.EJECTED:
        return False
    in_probation = health.state is HealthState.PROBATION
    if not in_probation and not is_outlier(health, peers):
        return False
    unhealthy = sum(peer.state is not HealthState.HEALTHY for peer in peers)
    if unhealthy >= max_ejected:
        return False
    health.eject(now)
    return True


def is_outlier(health: Health, peers: Collection[Health]) -> bool:
    """Returns whether a server fails while most of its peers do not."""
    shares = sorted(peer.failed_share for peer in peers if peer.has_results)
    if not shares or not health.failing:
        return False
    return shares[len(shares) // 2] < HEALTHY_FAILED_SHARE
