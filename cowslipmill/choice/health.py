"""Health of a server, judged by the results of its requests."""

from enum import Enum

FAILURE_WEIGHT = 0.25
FAILING_SHARE = 0.5
HEALTHY_FAILED_SHARE = 0.2
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0


class HealthState(Enum):
    """Whether a server may get requests."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBATION = 'probation'


class Health:
    """Failure rate of one server, its ejection and probation.

    Attributes:
        failed_share: Moving average of the share of failed results.
        state: Whether the server may get requests.
        ejected_until: End of the ejection, monotonic seconds.
        has_results: Whether any result was recorded.
        ejection_s: Length of the next ejection in seconds.
        probation_slots: Slots that may be used in probation.
    """

    __slots__ = (
        'ejected_until',
        'ejection_s',
        'failed_share',
        'has_results',
        'probation_slots',
        'state',
    )

    def __init__(self) -> None:
        """Starts healthy."""
        self.failed_share = 0.0
        self.has_results = False
        self.state = HealthState.HEALTHY
        self.ejected_until = 0.0
        self.ejection_s = FIRST_EJECTION_S
        self.probation_slots = 0

    @property
    def failing(self) -> bool:
        """Whether most of the recent results were failures."""
        return self.failed_share > FAILING_SHARE

    def record(self, failed: bool) -> None:
        """Records one result.

        A success in probation doubles the slots that may be used.
        """
        self.has_results = True
        difference = float(failed) - self.failed_share
        self.failed_share += FAILURE_WEIGHT * difference
        if self.state is HealthState.PROBATION and not failed:
            self.probation_slots *= 2

    def eject(self, now: float) -> None:
        """Ejects the server for a time that doubles with each ejection."""
        self.state = HealthState.EJECTED
        self.ejected_until = now + self.ejection_s
        self.ejection_s = min(2 * self.ejection_s, LONGEST_EJECTION_S)

    def allowed_slots(self, slots: int, now: float) -> int:
        """Returns how many of a server's slots may be used now.

        Starts and ends the probation when it is due.

        Args:
            slots: Slots of the server when it is healthy.
            now: Current monotonic time in seconds.
        """
        if self.state is HealthState.EJECTED and now >= self.ejected_until:
            self.state = HealthState.PROBATION
            self.failed_share = 0.0
            self.probation_slots = 1
        if self.state is HealthState.EJECTED:
            return 0
        if self.state is HealthState.HEALTHY:
            return slots
        if self.probation_slots >= slots:
            self.end_probation()
            return slots
        return self.probation_slots

    def end_probation(self) -> None:
        """Ends the probation."""
        self.state = HealthState.HEALTHY
        self.ejection_s = FIRST_EJECTION_S
