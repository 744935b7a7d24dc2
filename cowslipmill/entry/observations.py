"""What the data path noticed of servers, for the agent."""

from cowslipmill.agent.messages import Observed
from cowslipmill.agent.messages import ServerSignal
from cowslipmill.attempts.event import AnswerRead
from cowslipmill.attempts.event import Event
from cowslipmill.attempts.event import Shed
from cowslipmill.hosts.noderecord import NodeRecord

ANSWERED_EVERY_S = 1.0
MAX_SERVERS = 8_192


class Observations:
    """Servers that answered, and those that said they are leaving.

    Word of a leaving server goes out at once and once for an incarnation;
    word of servers that answered goes out every second.

    Attributes:
        answered: Incarnations of servers that answered lately.
        leaving: Incarnations of leaving servers, still to be told.
        told: Incarnations of leaving servers that were told.
        answered_told_at: When servers that answered were last told.
    """

    __slots__ = ('answered', 'answered_told_at', 'leaving', 'told')

    def __init__(self) -> None:
        """Starts with nothing noticed."""
        self.answered: dict[str, int] = {}
        self.leaving: dict[str, int] = {}
        self.told: dict[str, int] = {}
        self.answered_told_at = 0.0

    def note(self, record: NodeRecord, event: Event) -> None:
        """Notes what came of a try.

        Args:
            record: The server that the request was sent to.
            event: What came of it.
        """
        if not isinstance(event, AnswerRead | Shed):
            return
        self.answered[record.name] = record.incarnation
        if not event.signals.leaving:
            return
        if self.told.get(record.name) != record.incarnation:
            self.leaving[record.name] = record.incarnation

    def take(self, now: float) -> Observed | None:
        """Returns what is due to be told, or None."""
        answered: dict[str, int] = {}
        if self.answered and now - self.answered_told_at >= ANSWERED_EVERY_S:
            answered, self.answered = self.answered, {}
            self.answered_told_at = now
        leaving, self.leaving = self.leaving, {}
        if not (answered or leaving):
            return None
        self.told.update(leaving)
        while len(self.told) > MAX_SERVERS:
            del self.told[next(iter(self.told))]
        return Observed(
            answered=tuple(ServerSignal(*item) for item in answered.items()),
            leaving=tuple(ServerSignal(*item) for item in leaving.items()),
        )
