"""Work that requests need, by route, without the slowness of their servers.

Answers servers that are cold or slow: the durations there say how slow the
servers are, which estimates count already, and not that requests need more
work.
"""

from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.runtime.names import BoundedDict

# Relative step of the running quantiles for each duration.
STEP = 0.02
# Share of the durations that are below the upper work of a route.
UPPER_QUANTILE = 0.95
# Upper work relative to the typical one: before any was measured, and at most,
# since durations in slow periods say nothing of the work.
DEFAULT_UPPER_FACTOR = 1.3
MAX_UPPER_FACTOR = 2.0
# Share of the objective that is assumed as the work of a route before any was
# measured.
DEFAULT_OBJECTIVE_SHARE = 0.35
MIN_WORK_S = 0.001
# Leases whose expected slowness is kept; more than the slots of a service.
MAX_LEASES = 4_096


class WorkTimes:
    """Running quantiles of the work of requests.

    Attributes:
        medians: Running median by route, in seconds.
        uppers: Running `UPPER_QUANTILE` by route, in seconds.
        factors: Expected duration of open leases relative to their work.
    """

    __slots__ = ('factors', 'medians', 'uppers')

    def __init__(self) -> None:
        """Starts without measured durations."""
        self.medians: dict[str, float] = BoundedDict()
        self.uppers: dict[str, float] = BoundedDict()
        self.factors: dict[LeaseKey, float] = BoundedDict(MAX_LEASES)

    def typical_s(self, request: LeaseRequest) -> float:
        """Returns the typical work of a request, in seconds."""
        requirements = request.requirements
        median_s = self.medians.get(requirements.route)
        if median_s is not None:
            return median_s
        objective_s = requirements.objective_at - request.arrived_at
        objective_s += requirements.asked_before_s
        return max(MIN_WORK_S, DEFAULT_OBJECTIVE_SHARE * objective_s)

    def upper_s(self, request: LeaseRequest) -> float:
        """Returns work that few requests of the same route exceed."""
        typical_s = self.typical_s(request)
        upper_s = self.uppers.get(request.requirements.route)
        if upper_s is None:
            return DEFAULT_UPPER_FACTOR * typical_s
        return min(MAX_UPPER_FACTOR * typical_s, max(typical_s, upper_s))

    def record_grant(self, request: LeaseRequest, duration_s: float) -> None:
        """Records the expected duration of a lease, in seconds."""
        factor = duration_s / self.typical_s(request)
        self.factors[request.key] = max(1.0, factor)

    def record_result(
        self, key: LeaseKey, route: str, duration_s: float | None
    ) -> None:
        """Records how long a lease took.

        Args:
            key: Key of the lease.
            route: The request's route.
            duration_s: Duration in seconds; None if it wasn't answered.
        """
        factor = self.factors.pop(key, 1.0)
        if duration_s is None:
            return
        work_s = max(MIN_WORK_S, duration_s / factor)
        median_s = self.medians.get(route, work_s)
        step = STEP if work_s > median_s else -STEP
        self.medians[route] = median_s * (1.0 + step)
        upper_s = self.uppers.get(route, DEFAULT_UPPER_FACTOR * work_s)
        # The steps up and down balance where the quantile is.
        step = 2 * STEP * UPPER_QUANTILE
        if work_s <= upper_s:
            step -= 2 * STEP
        self.uppers[route] = upper_s * (1.0 + step)
