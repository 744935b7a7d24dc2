"""Selects the requests that can meet their objective.

Answers loads under which requests of different work and urgency compete for
too few slots, such as a burst of one kind: those left out are the ones that
cost callers least. It is Moore and Hodgson's rule for the least number of late
jobs, with urgency before work.
"""

from collections.abc import Iterable
from heapq import heappop
from heapq import heappush
from typing import NamedTuple

from cowslipmill.leasing.demand import LeftOut
from cowslipmill.leasing.leaserequest import LeaseRequest

# Share of its slack that the expected wait of a new request may take, since
# requests that are started earlier may still arrive.
NEW_WAIT_SHARE = 0.85
# Share of the objective by which the expected wait of an admitted request may
# exceed its slack, since waits vary.
ADMITTED_OVERRUN_SHARE = 0.25
# Share of its objective by which a request starts before its latest start if
# others of its priority can wait: requests with a long objective must not
# depend on an estimate at the end of theirs.
RESERVED_SHARE = 0.4
# A caller that was refused and asks again after at least this time counts as
# one that has waited. It is the shortest retry delay, and longer
# than it takes to retry three times without a pause.
MIN_RETRY_PAUSE_S = 0.05
# From this time on a caller counts as one that asks again. Less than a round
# trip to callers, and more than the error of the time that hosts estimate.
MIN_ASKED_BEFORE_S = 0.01

# Power of the ratio of works by which the wait of a larger request is limited
# below its own limit: 1 hardly left larger ones out, 3 left them out where
# they could have waited.
WORK_EXPONENT = 2.0

LossRank = tuple[bool, int, bool, bool, float, float]


class Candidate:
    """A request that can still meet its objective.

    Attributes:
        request: The request.
        work_s: Processing time that it needs, in seconds.
        wait_limit_s: Longest expected wait with which it is selected, in
            seconds.
        order: Sort key: priority, then the latest start that meets the
            objective, less a reserve, in monotonic seconds. For a caller that
            asks again it is that of a first request that arrived with it.
        wait_s: Expected wait; infinity if it is left out.
    """

    __slots__ = ('order', 'request', 'wait_limit_s', 'wait_s', 'work_s')

    def __init__(
        self,
        request: LeaseRequest,
        work_s: float,
        slack_s: float,
        now: float,
    ) -> None:
        """Creates a candidate.

        Args:
            request: The request.
            work_s: Processing time that it needs, in seconds.
            slack_s: How long it may wait and meet its objective, in seconds.
            now: Monotonic seconds.
        """
        self.request = request
        self.work_s = work_s
        requirements = request.requirements
        if request.admitted:
            objective_s = requirements.objective_at - request.arrived_at
            self.wait_limit_s = slack_s + ADMITTED_OVERRUN_SHARE * objective_s
        else:
            self.wait_limit_s = NEW_WAIT_SHARE * slack_s
        objective_s = requirements.objective_at - request.arrived_at
        objective_s += requirements.asked_before_s
        self.order = (
            requirements.priority,
            now
            + slack_s
            + requirements.asked_before_s
            - RESERVED_SHARE * objective_s,
        )
        self.wait_s = float('inf')


class Selection(NamedTuple):
    """The result of `select_on_time`.

    Attributes:
        on_time: Requests that are expected to meet their objective, in the
            order in which they start.
        left_out: The other requests.
    """

    on_time: list[Candidate]
    left_out: list[Candidate]


def select_on_time(
    candidates: Iterable[Candidate],
    capacity: float,
    protected_routes: frozenset[str],
) -> Selection:
    """Selects the requests that are expected to meet their objective.

    Args:
        candidates: The requests that can still meet it.
        capacity: Number of slots that serve them.
        protected_routes: Routes that are left out after the others.
    """
    ordered = sorted(candidates, key=lambda candidate: candidate.order)
    heap: list[tuple[LossRank, int]] = []
    left_out: set[int] = set()
    work_s = 0.0
    for index, candidate in enumerate(ordered):
        if candidate.work_s > candidate.wait_limit_s * capacity:
            # It can't be in time even alone, whatever is left out for it.
            left_out.add(index)
            continue
        work_s += candidate.work_s
        heappush(heap, (loss_rank(candidate, protected_routes), -index))
        while index not in left_out and (
            work_s > candidate.wait_limit_s * capacity
        ):
            loser = -heappop(heap)[1]
            left_out.add(loser)
            work_s -= ordered[loser].work_s
    work_s = 0.0
    on_time: list[Candidate] = []
    for index, candidate in enumerate(ordered):
        if index in left_out:
            continue
        work_s += candidate.work_s
        candidate.wait_s = work_s / capacity
        on_time.append(candidate)
    return Selection(on_time, [ordered[index] for index in sorted(left_out)])


def loss_rank(
    candidate: Candidate, protected_routes: frozenset[str]
) -> LossRank:
    """Returns the sort key of what is left out first.

    Routes that are served too little come last, then urgency counts, then
    whether the request was admitted or its caller refused before, then the
    work, and among equals the last one to arrive is left out.
    """
    request = candidate.request
    requirements = request.requirements
    return (
        requirements.route in protected_routes,
        -requirements.priority,
        request.admitted,
        has_waited_before(request),
        -candidate.work_s,
        -request.arrived_at,
    )


def has_waited_before(request: LeaseRequest) -> bool:
    """Returns whether the caller was refused and has waited since."""
    return request.requirements.asked_before_s >= MIN_RETRY_PAUSE_S


def limit_wait(candidate: Candidate, left_out: list[LeftOut]) -> None:
    """Leaves a new request out where cheaper ones have just been.

    Admitted requests stay, so that a large one must be kept from admission
    before the smaller ones of its priority arrive that it would displace.

    Args:
        candidate: The request.
        left_out: Requests left out lately.
    """
    request = candidate.request
    if request.admitted:
        return
    full_limit_s = candidate.wait_limit_s
    for other in left_out:
        if other.priority != request.requirements.priority:
            continue
        if retried_at_once(request):
            candidate.wait_limit_s = 0.0
            return
        if other.work_s < candidate.work_s:
            share = (other.work_s / candidate.work_s) ** WORK_EXPONENT
            limit_s = share * full_limit_s
            candidate.wait_limit_s = min(candidate.wait_limit_s, limit_s)


def retried_at_once(request: LeaseRequest) -> bool:
    """Returns whether the caller was refused and hasn't waited since.

    It isn't admitted while others of its priority are left out: with three
    retries in place of one it would get more than callers that wait.
    """
    asked_before_s = request.requirements.asked_before_s
    return MIN_ASKED_BEFORE_S <= asked_before_s < MIN_RETRY_PAUSE_S
