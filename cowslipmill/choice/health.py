"""What results tell of a server's health."""

from enum import Enum

FAILURE_WEIGHT = 0.25
FAILING_SHARE = 0.5
SOUND_SHARE = 0.2
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0


class Standing(Enum):
    """Whether a server may get work."""

    HEALTHY = 'healthy'
    EJECTED = 'ejected'
    PROBATION = 'probation'


class Health:
    """Share of failures of one server, its ejection and probation.

    Attributes:
        failed_share: Moving share of results that were failures.
        standing: Whether the server may get work.
        ejected_until: End of the ejection, monotonic seconds.
        heard: Whether any result came.
        ejection_s: Length of the next ejection.
        trial_slots: Slots that may be used in probation.
    """

    __slots__ = (
        'ejected_until',
        'ejection_s',
        'failed_share',
        'heard',
        'standing',
        'trial_slots',
    )

    def __init__(self) -> None:
        """Starts healthy."""
        self.failed_share = 0.0
        self.heard = False
        self.standing = Standing.HEALTHY
        self.ejected_until = 0.0
        self.ejection_s = FIRST_EJECTION_S
        self.trial_slots = 0

    @property
    def failing(self) -> bool:
        """Tells whether most recent results were failures."""
        return self.failed_share > FAILING_SHARE

    def record(self, failed: bool) -> None:
        """Takes in one result."""
        self.heard = True
        difference = float(failed) - self.failed_share
        self.failed_share += FAILURE_WEIGHT * difference
        if self.standing is Standing.PROBATION and not failed:
            self.trial_slots *= 2

    def eject(self, now: float) -> None:
        """Stops work for a while that doubles with each ejection."""
        self.standing = Standing.EJECTED
        self.ejected_until = now + self.ejection_s
        self.ejection_s = min(2 * self.ejection_s, LONGEST_EJECTION_S)

    def allowed_slots(self, slots: int, now: float) -> int:
        """Returns how many of a server's slots may be used now."""
        if self.standing is Standing.EJECTED and now >= self.ejected_until:
            self.standing = Standing.PROBATION
            self.failed_share = 0.0
            self.trial_slots = 1
        if self.standing is Standing.EJECTED:
            return 0
        if self.standing is Standing.HEALTHY:
            return slots
        if self.trial_slots >= slots:
            self.restore()
            return slots
        return self.trial_slots

    def restore(self) -> None:
        """Ends the probation."""
        self.standing = Standing.HEALTHY
        self.ejection_s = FIRST_EJECTION_S
