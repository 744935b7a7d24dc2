"""How long servers whose entries vanished without notice are still used.

Answers an outage of the store during which entries run out: most of a
service's entries vanish at once and are back soon. Servers that leave without
notice do so a few at a time and are dropped before they end.
"""

from collections.abc import Mapping

from cowslipmill.view.server import KnownServer

# Share of the time for which a leaving server goes on serving.
LAPSE_SHARE = 0.6
# The same when most of a service's entries vanish at once: they are back
# within 2 s of the store's return or gone.
MASS_LAPSE_S = 2.2
MASS_LAPSE_SHARE = 0.5
MASS_LAPSE_COUNT = 3
MASS_LAPSE_WINDOW_S = 2.0


def find_gone(
    servers: Mapping[str, KnownServer], leaving_s: float, now: float
) -> list[str]:
    """Returns the servers whose entries didn't come back in time.

    Args:
        servers: Servers by name.
        leaving_s: How long a leaving server goes on serving.
        now: Monotonic seconds.
    """
    lapsed = {
        name: known.missing_since
        for name, known in servers.items()
        if known.missing_since is not None
    }
    if not lapsed:
        return []
    emptied = emptied_services(servers, now)
    gone = []
    for name, lapsed_at in lapsed.items():
        bound_s = LAPSE_SHARE * leaving_s
        if servers[name].record.service in emptied:
            bound_s = MASS_LAPSE_S
        if now - lapsed_at > bound_s:
            gone.append(name)
    return gone


def emptied_services(
    servers: Mapping[str, KnownServer], now: float
) -> set[str]:
    """Returns the services most of whose entries have just vanished."""
    known: dict[str, int] = {}
    vanished: dict[str, int] = {}
    for entry in servers.values():
        service = entry.record.service
        known[service] = known.get(service, 0) + 1
        lapsed_at = entry.missing_since
        if lapsed_at is not None and lapsed_at > now - MASS_LAPSE_WINDOW_S:
            vanished[service] = vanished.get(service, 0) + 1
    return {
        service
        for service, count in vanished.items()
        if count >= MASS_LAPSE_COUNT
        and count >= MASS_LAPSE_SHARE * known[service]
    }
