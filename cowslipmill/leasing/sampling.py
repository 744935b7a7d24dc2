"""Which servers are asked for their load before a decision.

Answers the cost of asking: a sample decides, so that it doesn't grow with
the service, and no server is asked whose report is new enough.
"""

from collections.abc import Collection
from collections.abc import Iterable
from random import Random

from cowslipmill.leasing.estimate import is_temporarily_slow
from cowslipmill.leasing.estimate import was_recently_slow
from cowslipmill.leasing.slots import ServerSlots

# Load reports older than this are asked for anew before a grant: in 1 ms of
# 150 a server that was fast becomes slow.
FRESH_REPORT_S = 0.002
# Pause between questions to servers that tell no load.
NO_LOAD_PROBE_INTERVAL_S = 1.0
# Pause between questions to servers that are full by the last report.
FULL_PROBE_INTERVAL_S = 0.1
# Servers asked for one decision, and one more for each ticket that waits:
# while a quarter of the servers are slow, one of three is fast in 98 of 100.
MIN_PROBED = 2
MAX_PROBED = 12


def select_servers_to_probe(
    servers: Collection[ServerSlots], queued: int, now: float, random: Random
) -> list[ServerSlots]:
    """Returns the servers to ask for their load before a decision.

    Args:
        servers: The home's servers.
        wanted: Tickets that wait.
        now: Monotonic seconds.
        random: Draws among servers that are equally promising.

    Returns:
        None if enough are known to be fast and free, else a sample of those
        that may be.
    """
    if count_free_fast_slots(servers, now) >= queued:
        return []
    stale = [
        server
        for server in servers
        if now >= server.blocked_until and is_stale(server, now)
    ]
    stale.sort(
        key=lambda server: (
            server.free_slots(now) <= 0,
            server.failed_probes > 0,
            was_recently_slow(server, now),
            server.occupancy(now) / server.record.slots,
            random.random(),
        )
    )
    return stale[: min(MAX_PROBED, MIN_PROBED + queued)]


def count_free_fast_slots(servers: Iterable[ServerSlots], now: float) -> int:
    """Returns how many slots are known to be free at fast servers."""
    return sum(
        max(0, server.free_slots(now))
        for server in servers
        if server.load_age_s(now) <= FRESH_REPORT_S
        and now >= server.blocked_until
        and not is_temporarily_slow(server, now)
    )


def is_stale(server: ServerSlots, now: float) -> bool:
    """Tells whether a server's report is too old to decide by."""
    age_s = server.load_age_s(now)
    if server.reports_load is False:
        return age_s > NO_LOAD_PROBE_INTERVAL_S
    if server.free_slots(now) > 0:
        return age_s > FRESH_REPORT_S
    return age_s > FULL_PROBE_INTERVAL_S
