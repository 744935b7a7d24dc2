"""Admission control: whether a lease request queues or is refused at once.

Handles the case that more requests arrive than can meet their objective: a
queue whose wait exceeds the slack of its requests makes all of them late.
"""

from cowslipmill.leasing.leaserequest import LeaseRequest

# Share of its slack that the expected wait of a new request may take.
NEW_WAIT_SHARE = 0.85
# Share of the objective by which the expected wait of an admitted request
# may exceed its slack, since waits vary.
ADMITTED_OVERRUN_SHARE = 0.25
# Share of the slack before its deadline that the expected wait of a late
# request may take, since it gets only the slots that other requests leave.
LATE_WAIT_SHARE = 0.25


def admit_to_queue(
    request: LeaseRequest, wait_s: float, slack_s: float
) -> bool:
    """Returns whether a request that can meet its objective may queue.

    The limit for a new request is below that for one that is queued already,
    so that few requests are refused after they have waited.

    Args:
        request: The request; its admission is recorded in it.
        wait_s: Expected wait for a slot, in seconds.
        slack_s: How many seconds it may wait and still meet its objective.
    """
    if request.admitted:
        objective_s = request.requirements.objective_at - request.arrived_at
        return wait_s <= slack_s + ADMITTED_OVERRUN_SHARE * objective_s
    request.admitted = wait_s <= NEW_WAIT_SHARE * slack_s
    return request.admitted


def admit_late_to_queue(
    request: LeaseRequest, wait_s: float, slack_s: float
) -> bool:
    """Returns whether a late request may queue.

    Args:
        request: The request; its admission is recorded in it.
        wait_s: Expected wait behind the requests ahead of it, in seconds.
        slack_s: How many seconds it may wait and still meet its deadline.
    """
    if not request.admitted_late:
        request.admitted_late = wait_s <= LATE_WAIT_SHARE * slack_s
    return request.admitted_late and slack_s > 0.0
