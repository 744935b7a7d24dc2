"""Whether a ticket waits for a slot or is refused at once.

Answers the load pattern in which more work arrives than can be done in time:
a queue that is longer than the time to spare helps nobody.
"""

from cowslipmill.leasing.leaserequest import LeaseRequest

# Share of the time to spare that the expected wait of a new ticket may take.
NEW_WAIT_SHARE = 0.85
# Share of the objective by which the wait of an admitted ticket may exceed
# its time to spare, since waits vary.
ADMITTED_OVERRUN_SHARE = 0.25
# Share of its time left that the expected wait of late work may take, since
# it gets only what the rest leaves over.
LATE_WAIT_SHARE = 0.25


def admit_to_queue(
    request: LeaseRequest, wait_s: float, slack_s: float
) -> bool:
    """Tells whether a ticket that can be in time waits for a slot.

    The bound for a new ticket is below that for one that waits already, so
    that few are refused after they have waited.

    Args:
        ticket: The ticket, which remembers that it was admitted.
        wait_s: Expected wait.
        spare_s: How long it may wait and still be in time.
    """
    if request.admitted:
        objective_s = request.requirements.objective_at - request.arrived_at
        return wait_s <= slack_s + ADMITTED_OVERRUN_SHARE * objective_s
    request.admitted = wait_s <= NEW_WAIT_SHARE * slack_s
    return request.admitted


def admit_late_to_queue(
    request: LeaseRequest, wait_s: float, slack_s: float
) -> bool:
    """Tells whether a ticket that will be late waits for a slot.

    Args:
        ticket: The ticket, which remembers that it was admitted.
        queued_s: Expected wait behind those before it.
        left_s: How long it may wait and still meet its deadline.
    """
    if not request.admitted_late:
        request.admitted_late = wait_s <= LATE_WAIT_SHARE * slack_s
    return request.admitted_late and slack_s > 0.0
