"""Which failing servers are set aside, and how many at most."""

from collections.abc import Collection

from cowslipmill.choice.health import Health
from cowslipmill.choice.health import SOUND_SHARE
from cowslipmill.choice.health import Standing


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
    if health.standing is Standing.EJECTED:
        return False
    on_trial = health.standing is Standing.PROBATION
    if not on_trial and not stands_out(health, peers):
        return False
    out = sum(peer.standing is not Standing.HEALTHY for peer in peers)
    if out >= bound:
        return False
    health.eject(now)
    return True


def stands_out(health: Health, peers: Collection[Health]) -> bool:
    """Tells whether a server fails while most of its peers do not."""
    shares = sorted(peer.failed_share for peer in peers if peer.heard)
    if not shares or not health.failing:
        return False
    return shares[len(shares) // 2] < SOUND_SHARE
