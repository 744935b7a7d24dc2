"""Chooses the server that gets a request.

Answers loads under which some of the servers are slow, fail or are limited: a
request goes where it is expected to end first, by a recent report.
"""

from collections.abc import Iterable

from cowslipmill.leasing.estimate import estimate_duration_s
from cowslipmill.leasing.estimate import risk_penalty_s
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.sampling import FRESH_REPORT_S
from cowslipmill.leasing.slots import ServerSlots

# For a request that has waited this long, load reports up to this age are used
# too: of servers that are too far away to respond while a decision waits for
# probes.
OLDER_REPORT_WAIT_S = 0.03
OLDER_REPORT_MAX_AGE_S = 0.1


def has_free_slot(server: ServerSlots, now: float) -> bool:
    """Returns whether a server may get a request now."""
    return (
        now >= server.blocked_until
        and not server.failed_probes
        and server.free_slots(now) > 0
    )


def find_best_server(
    servers: Iterable[ServerSlots],
    request: LeaseRequest,
    processing_s: float,
    probed_at: float,
    now: float,
) -> tuple[ServerSlots | None, float]:
    """Returns the best server with a free slot.

    Args:
        servers: The servers to choose from.
        request: The request.
        processing_s: Its processing time on an idle server, in seconds.
        probed_at: When servers were last probed, in monotonic seconds.
        now: Monotonic seconds.

    Returns:
        The server and the expected duration there, in seconds; None and
        infinity if there is no server.
    """
    best: ServerSlots | None = None
    best_duration_s = float('inf')
    best_cost_s = float('inf')
    for server in servers:
        if server.name in request.requirements.excluded:
            continue
        if not has_free_slot(server, now):
            continue
        if not is_report_usable(server, request, probed_at, now):
            continue
        duration_s = estimate_duration_s(server, processing_s, now)
        cost_s = duration_s + risk_penalty_s(server, processing_s, now)
        if cost_s < best_cost_s:
            best, best_duration_s, best_cost_s = server, duration_s, cost_s
    return best, best_duration_s


def is_report_usable(
    server: ServerSlots, request: LeaseRequest, probed_at: float, now: float
) -> bool:
    """Returns whether a server's load report is recent enough.

    A server that reports no load can always be decided on.

    Args:
        server: The server.
        request: The request; once it has waited, older reports count.
        probed_at: When servers were last probed, in monotonic seconds.
        now: Monotonic seconds.
    """
    if server.reports_load is False:
        return True
    oldest_sample_at = probed_at - FRESH_REPORT_S
    if (
        now - request.arrived_at > OLDER_REPORT_WAIT_S
        and server.allows_older_report()
    ):
        oldest_sample_at = min(oldest_sample_at, now - OLDER_REPORT_MAX_AGE_S)
    return server.load_sampled_at >= oldest_sample_at


def token_wait_s(
    servers: Iterable[ServerSlots], request: LeaseRequest, now: float
) -> float:
    """Returns how long limits and pauses alone keep a request waiting.

    Returns:
        Seconds; 0 if there is a server with neither that it has not been
        sent to, or no server at all.
    """
    waits_s = [
        max(server.paused_until - now, server.token_wait_s(now))
        for server in servers
        if server.name not in request.requirements.excluded
    ]
    return min(waits_s, default=0.0)
