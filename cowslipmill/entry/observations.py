"""Server states seen in responses, for reports to the agent."""

from cowslipmill.agent.messages import Observed
from cowslipmill.agent.messages import ServerSignal
from cowslipmill.attempts.event import AnswerRead
from cowslipmill.attempts.event import Event
from cowslipmill.attempts.event import Shed
from cowslipmill.hosts.noderecord import NodeRecord

ANSWERED_REPORT_INTERVAL_S = 1.0
MAX_REPORTED_SERVERS = 8_192


class Observations:
    """Servers that responded, and those that signalled that they leave.

    A leaving server is reported at once and once for each incarnation;
    servers that responded are reported every second.

    Attributes:
        answered: Incarnations of servers that responded since the last
            report, by name.
        leaving: Incarnations of leaving servers not yet reported, by name.
        reported: Incarnations of leaving servers already reported, by name.
        answered_reported_at: When servers that responded were last reported,
            monotonic seconds.
    """

    __slots__ = ('answered', 'answered_reported_at', 'leaving', 'reported')

    def __init__(self) -> None:
        """Starts without observations."""
        self.answered: dict[str, int] = {}
        self.leaving: dict[str, int] = {}
        self.reported: dict[str, int] = {}
        self.answered_reported_at = 0.0

    def record(self, record: NodeRecord, event: Event) -> None:
        """Records the result of an attempt.

        Args:
            record: The server that the request was sent to.
            event: The result of the attempt.
        """
        if not isinstance(event, AnswerRead | Shed):
            return
        self.answered[record.name] = record.incarnation
        if not event.signals.leaving:
            return
        if self.reported.get(record.name) != record.incarnation:
            self.leaving[record.name] = record.incarnation

    def take_due(self, now: float) -> Observed | None:
        """Returns the report that is due now, or None, and marks it as sent.

        Args:
            now: Monotonic seconds.
        """
        answered: dict[str, int] = {}
        if (
            self.answered
            and now - self.answered_reported_at >= ANSWERED_REPORT_INTERVAL_S
        ):
            answered, self.answered = self.answered, {}
            self.answered_reported_at = now
        leaving, self.leaving = self.leaving, {}
        if not (answered or leaving):
            return None
        self.reported.update(leaving)
        while len(self.reported) > MAX_REPORTED_SERVERS:
            del self.reported[next(iter(self.reported))]
        return Observed(
            answered=tuple(ServerSignal(*item) for item in answered.items()),
            leaving=tuple(ServerSignal(*item) for item in leaving.items()),
        )
