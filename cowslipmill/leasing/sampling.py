"""Selects the servers to probe for their load before a decision.

Limits the cost of probing: only a sample is probed, so that the cost doesn't
grow with the service, and no server whose report is recent enough.
"""

from collections.abc import Collection
from collections.abc import Iterable
from random import Random

from cowslipmill.leasing.estimate import is_temporarily_slow
from cowslipmill.leasing.estimate import was_recently_slow
from cowslipmill.leasing.slots import ServerSlots

# A server is probed again before a grant if its load report is older than
# this: the probability that a fast server becomes slow is 1/150 per
# millisecond.
FRESH_REPORT_S = 0.002
# Interval between probes of servers that report no load.
NO_LOAD_PROBE_INTERVAL_S = 1.0
# Interval between probes of servers that are full by their last report.
FULL_PROBE_INTERVAL_S = 0.1
# Servers probed for one decision, plus one for each queued request, up to the
# maximum: while a quarter of the servers are slow, at least one of three is
# fast in 98 of 100 cases.
MIN_PROBED = 2
MAX_PROBED = 12


def select_servers_to_probe(
    servers: Collection[ServerSlots], queued: int, now: float, random: Random
) -> list[ServerSlots]:
    """Returns the servers to probe for their load before a decision.

    Args:
        servers: The coordinator's servers.
        queued: Number of queued requests.
        now: Monotonic seconds.
        random: Chooses between servers that are equally promising.

    Returns:
        An empty list if enough free slots at fast servers are known, else a
        sample of the servers without a recent report, the most promising
        first.
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
    """Returns the number of free slots at fast servers by recent reports.

    A server counts as fast unless `is_temporarily_slow`, so one that stays
    slow counts, too.
    """
    return sum(
        max(0, server.free_slots(now))
        for server in servers
        if server.load_age_s(now) <= FRESH_REPORT_S
        and now >= server.blocked_until
        and not is_temporarily_slow(server, now)
    )


def is_stale(server: ServerSlots, now: float) -> bool:
    """Returns whether a server's report is so old that it is probed again."""
    age_s = server.load_age_s(now)
    if server.reports_load is False:
        return age_s > NO_LOAD_PROBE_INTERVAL_S
    if server.free_slots(now) > 0:
        return age_s > FRESH_REPORT_S
    return age_s > FULL_PROBE_INTERVAL_S
