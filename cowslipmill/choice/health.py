"""What results tell of a server's health."""

from enum import Enum

FAILURE_WEIGHT = 0.25
FAILING_SHARE = 0.5
SOUND_SHARE = 0.2
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0


class HealthState(Enum):
    """Whether a server may get work."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBATION = 'probation'


class Health:
    """Share of failures of one server, its ejection and probation.

    Attributes:
        failed_share: Moving share of results that were failures.
        state: Whether the server may get work.
        ejected_until: End of the ejection, monotonic seconds.
        has_results: Whether any result came.
        ejection_s: Length of the next ejection.
        probation_slots: Slots that may be used in probation.
    """

    __slots__ = (
        'ejected_until',
        'ejection_s',
        'failed_share',
        'has_results',
        'state',
        'probation_slots',
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
        """Tells whether most recent results were failures."""
        return self.failed_share > FAILING_SHARE

    def record(self, failed: bool) -> None:
        """Takes in one result."""
        self.has_results = True
        difference = float(failed) - self.failed_share
        self.failed_share += FAILURE_WEIGHT * difference
        if self.state is HealthState.PROBATION and not failed:
            self.probation_slots *= 2

    def eject(self, now: float) -> None:
        """Stops work for a while that doubles with each ejection."""
        self.state = HealthState.EJECTED
        self.ejected_until = now + self.ejection_s
        self.ejection_s = min(2 * self.ejection_s, LONGEST_EJECTION_S)

    def allowed_slots(self, slots: int, now: float) -> int:
        """Returns how many of a server's slots may be used now."""
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
