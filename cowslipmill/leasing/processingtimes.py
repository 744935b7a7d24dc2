"""Time that work takes, learned from past leases."""

from cowslipmill.leasing.leaserequest import LeaseRequest

# Weight of the latest duration in the running mean.
MEAN_SMOOTHING = 0.05
# Relative step of the running median.
MEDIAN_STEP = 0.02
# Share of the objective assumed before anything was measured.
DEFAULT_OBJECTIVE_SHARE = 0.35


class ProcessingTimes:
    """Running durations.

    Attributes:
        medians: Running median by route; slow times of servers hardly
            move it.
        mean: Running mean over all routes; None before the first.
    """

    __slots__ = ('mean', 'medians')

    def __init__(self) -> None:
        """Starts with what is assumed."""
        self.medians: dict[str, float] = {}
        self.mean: float | None = None

    def typical_s(self, request: LeaseRequest) -> float:
        """Returns the time that a ticket's work takes."""
        median = self.medians.get(request.requirements.route)
        if median is not None:
            return median
        objective_s = request.requirements.objective_at - request.arrived_at
        return max(0.001, DEFAULT_OBJECTIVE_SHARE * objective_s)

    def record(self, route: str, duration_s: float) -> None:
        """Takes in a duration."""
        median = self.medians.get(route, duration_s)
        step = MEDIAN_STEP if duration_s > median else -MEDIAN_STEP
        self.medians[route] = median * (1.0 + step)
        mean = self.mean if self.mean is not None else duration_s
        self.mean = mean + MEAN_SMOOTHING * (duration_s - mean)

    def mean_s(self, request: LeaseRequest) -> float:
        """Returns how long a slot is taken by whatever work."""
        if self.mean is not None:
            return self.mean
        return self.typical_s(request)
