"""The request of the platform that this process stops."""

from asyncio import AbstractEventLoop
from asyncio import Event
from signal import SIG_IGN
from signal import SIGINT
from signal import signal
from signal import SIGTERM
from types import FrameType


class StopSignal:
    """Notes when the first SIGTERM or SIGINT arrived.

    The platform counts the time to stop from then on, and a busy event loop
    handles the signal only later.

    Attributes:
        loop: The event loop, whose time is used.
        arrived: Set once the event loop has seen a signal.
        arrived_at: When the first signal came, in monotonic seconds; None
            before.
    """

    __slots__ = ('arrived', 'arrived_at', 'loop')

    def __init__(self, loop: AbstractEventLoop) -> None:
        """Handles both signals from now on."""
        self.loop = loop
        self.arrived = Event()
        self.arrived_at: float | None = None
        # The loop would give a signal that it handles its default back when
        # it is closed, which is before the process has ended.
        for number in (SIGTERM, SIGINT):
            signal(number, self.note_time)

    def ignore_further(self) -> None:
        """Ignores both signals, as the process ends by itself now."""
        for number in (SIGTERM, SIGINT):
            signal(number, SIG_IGN)

    def note_time(self, number: int, frame: FrameType | None) -> None:
        """Notes the time of the first signal; runs between two bytecodes."""
        if self.arrived_at is None:
            self.arrived_at = self.loop.time()
            self.loop.call_soon_threadsafe(self.arrived.set)
