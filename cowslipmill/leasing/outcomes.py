"""Has the results of leases eject servers, or return them after a trial.

Answers servers that fail requests while their health check passes; an overload
of the whole service must not look like that.
"""

from collections.abc import Iterable

from cowslipmill.leasing.ejection import Change
from cowslipmill.leasing.ejection import Ejection
from cowslipmill.leasing.ejection import Outcome
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.overload import Overload
from cowslipmill.leasing.slots import Lease
from cowslipmill.leasing.slots import ServerSlots

# Time after the deadline of its request until a lease counts as lost.
LEASE_EXPIRY_MARGIN_S = 1.0
# What the results of leases tell of servers. Other results tell nothing, or
# block the server for a time of their own.
OUTCOMES = {
    LeaseResult.ANSWERED: Outcome.ANSWERED,
    LeaseResult.FAILED: Outcome.ERROR,
    LeaseResult.BROKEN: Outcome.FAILED,
}
# A request without a response by its deadline counts as failed if it had at
# least this many times the median processing time.
MIN_TIMEOUT_FACTOR = 3.0


def record_outcome(
    server: ServerSlots,
    servers: Iterable[ServerSlots],
    lease: Lease,
    report: Report,
    now: float,
) -> Change | None:
    """Ejects a server that fails, or has it return after a trial.

    Args:
        server: The server.
        servers: All servers of the coordinator.
        lease: The lease that ended.
        report: How it ended.
        now: Monotonic seconds.

    Returns:
        How that changed whether the server is used; None if it didn't.
    """
    outcome = OUTCOMES.get(report.result)
    if outcome is None:
        return None
    ejection = server.ejection
    service: list[Ejection] = []
    if outcome is not Outcome.ANSWERED or ejection.suspected:
        service = [slots.ejection for slots in servers]
    return ejection.record(outcome, lease.granted_at, service, now)


def tells_of_server(
    lease: Lease,
    report: Report,
    median_s: float,
    overload: Overload,
    now: float,
) -> bool:
    """Returns whether a result tells anything of the server itself.

    That there was no response by the deadline doesn't during an overload, or
    if the request had little time left.

    Args:
        lease: The lease that ended.
        report: How it ended.
        median_s: Median processing time of the route; 0.0 if not known.
        overload: The overload of the service, if there is one.
        now: Monotonic seconds.
    """
    deadline_at = lease.expires_at - LEASE_EXPIRY_MARGIN_S
    if report.result is not LeaseResult.BROKEN or now < deadline_at:
        return True
    if overload.is_active(now):
        return False
    return report.duration_s >= MIN_TIMEOUT_FACTOR * median_s
