"""Processing times of requests, learned from past leases."""

from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.runtime.names import BoundedDict

# Weight of the latest duration in the running mean.
MEAN_SMOOTHING = 0.05
# Relative step of the running median for each duration.
MEDIAN_STEP = 0.02
# Share of the objective that is assumed as the processing time of a route
# before one was measured.
DEFAULT_OBJECTIVE_SHARE = 0.35


class ProcessingTimes:
    """Running averages of processing times.

    Attributes:
        medians: Running median by route, in seconds; slow periods of servers
            hardly move it.
        mean: Running mean over all routes, in seconds; None before the first
            duration.
    """

    __slots__ = ('mean', 'medians')

    def __init__(self) -> None:
        """Starts without measured durations."""
        self.medians: dict[str, float] = BoundedDict()
        self.mean: float | None = None

    def typical_s(self, request: LeaseRequest) -> float:
        """Returns the typical processing time of a request, in seconds."""
        median = self.medians.get(request.requirements.route)
        if median is not None:
            return median
        objective_s = request.requirements.objective_at - request.arrived_at
        return max(0.001, DEFAULT_OBJECTIVE_SHARE * objective_s)

    def record(self, route: str, duration_s: float) -> None:
        """Records the duration of a request of a route, in seconds."""
        median = self.medians.get(route, duration_s)
        step = MEDIAN_STEP if duration_s > median else -MEDIAN_STEP
        self.medians[route] = median * (1.0 + step)
        mean = self.mean if self.mean is not None else duration_s
        self.mean = mean + MEAN_SMOOTHING * (duration_s - mean)

    def mean_s(self, request: LeaseRequest) -> float:
        """Returns the mean time that a request occupies a slot, in seconds.

        The mean is over all routes; the typical time of the request's own
        route stands in before any duration was recorded.
        """
        if self.mean is not None:
            return self.mean
        return self.typical_s(request)
