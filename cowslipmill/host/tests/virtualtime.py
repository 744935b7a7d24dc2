"""An event loop whose clock stands still while callbacks run.

Many hosts and servers share one event loop in tests. A busy or slow machine
would make all of them late at once, as no machine of its own does.
"""

from asyncio import get_running_loop
from asyncio import SelectorEventLoop
from selectors import DefaultSelector
from selectors import SelectorKey
from time import monotonic

# Lets time pass for code that polls without waiting.
POLL_S = 0.00001


class WaitingClock(DefaultSelector):
    """A selector that counts the time in which nothing was to be done.

    Attributes:
        now: Time counted, in seconds, which starts as the monotonic time.
    """

    def __init__(self) -> None:
        """Starts at the present time."""
        super().__init__()
        self.now = monotonic()

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[SelectorKey, int]]:
        """Waits for events and counts at most the timeout, in seconds."""
        self.now += POLL_S
        events = super().select(0)
        if events or timeout == 0:
            return events
        started_at = monotonic()
        events = super().select(timeout)
        waited_s = monotonic() - started_at
        if timeout is not None:
            waited_s = min(waited_s, timeout) if events else timeout
        self.now += waited_s
        return events


class VirtualTimeLoop(SelectorEventLoop):
    """An event loop whose time is that of a `WaitingClock`.

    Attributes:
        clock: Waits for sockets and timers.
    """

    def __init__(self) -> None:
        """Starts at the present time."""
        self.clock = WaitingClock()
        super().__init__(self.clock)

    def time(self) -> float:
        """Returns the time in seconds."""
        return self.clock.now


def delay_event_loop(delay_s: float) -> None:
    """Has the running event loop be late, as on a busy processor.

    Args:
        delay_s: By how much, in seconds.
    """
    loop = get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.clock.now += delay_s
