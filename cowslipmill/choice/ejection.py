"""Which failing servers are set aside, and how many at most."""

from collections.abc import Collection

from cowslipmill.choice.health import Health
from cowslipmill.choice.health import HealthState
from cowslipmill.choice.health import SOUND_SHARE


def eject_if_failing(
    health: Health, peers: Collection[Health], bound: int, now: float
) -> bool:
    """Ejects a server that has just failed, unless too many are out.

    Args:
        health: Of the server.
        peers: Of the other servers of its service.
        bound: Most servers that may be out at once.
        now: Monotonic seconds.

    Returns:
        Whether the server was ejected.
    """
    if health.state is HealthState.EJECTED:
        return False
    on_trial = health.state is HealthState.PROBATION
    if not on_trial and not is_outlier(health, peers):
        return False
    out = sum(peer.state is not HealthState.HEALTHY for peer in peers)
    if out >= bound:
        return False
    health.eject(now)
    return True


def is_outlier(health: Health, peers: Collection[Health]) -> bool:
    """Tells whether a server fails while most of its peers do not."""
    shares = sorted(peer.failed_share for peer in peers if peer.has_results)
    if not shares or not health.failing:
        return False
    return shares[len(shares) // 2] < SOUND_SHARE
