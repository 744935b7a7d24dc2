"""Grace periods of missing servers.

A server is missing when its entry vanished from the store without notice. It
is still used for a grace period, whose length depends on the likely cause. If
most of a service's entries vanish at once, they have expired in an outage of
the store and are back soon. If only a few vanish, their servers are leaving
without notice; they are dropped before they stop serving.
"""

from collections.abc import Mapping

from cowslipmill.view.server import KnownServer

# Grace period, as a share of the time for which a leaving server still serves.
GRACE_SHARE = 0.6
# Grace period when most of a service's entries vanish at once: servers that
# still run write their entries again within 2 s of the store's return.
MASS_LOSS_GRACE_S = 2.2
# A mass loss is this share of a service's servers, and at least this many,
# within the window.
MASS_LOSS_SHARE = 0.5
MASS_LOSS_MIN_COUNT = 3
MASS_LOSS_WINDOW_S = 2.0


def find_expired(
    servers: Mapping[str, KnownServer], leaving_s: float, now: float
) -> list[str]:
    """Returns the names of the missing servers whose grace period is over.

    Args:
        servers: Servers by name.
        leaving_s: Seconds for which a leaving server still serves.
        now: Monotonic seconds.
    """
    missing = {
        name: known.missing_since
        for name, known in servers.items()
        if known.missing_since is not None
    }
    if not missing:
        return []
    mass_losses = services_with_mass_loss(servers, now)
    expired = []
    for name, missing_since in missing.items():
        grace_s = GRACE_SHARE * leaving_s
        if servers[name].record.service in mass_losses:
            grace_s = MASS_LOSS_GRACE_S
        if now - missing_since > grace_s:
            expired.append(name)
    return expired


def services_with_mass_loss(
    servers: Mapping[str, KnownServer], now: float
) -> set[str]:
    """Returns the services of which a large share went missing recently.

    Args:
        servers: Servers by name.
        now: Monotonic seconds.
    """
    totals: dict[str, int] = {}
    losses: dict[str, int] = {}
    for known in servers.values():
        service = known.record.service
        totals[service] = totals.get(service, 0) + 1
        since = known.missing_since
        if since is not None and since > now - MASS_LOSS_WINDOW_S:
            losses[service] = losses.get(service, 0) + 1
    return {
        service
        for service, count in losses.items()
        if count >= MASS_LOSS_MIN_COUNT
        and count >= MASS_LOSS_SHARE * totals[service]
    }
