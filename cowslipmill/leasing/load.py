"""The load that a server reports."""

from msgspec import Struct


class Load(Struct, frozen=True, array_like=True):
    """What a server said of its load.

    Attributes:
        running: Requests that it works on.
        waiting: Requests that it has queued.
        slots: Requests that it can work on at the same time.
        slowdown: Time that work takes now, 1.0 as usual.
        healthy: Whether it considers itself healthy.
        reported: Whether it said so itself, rather than nothing.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float
    healthy: bool = True
    reported: bool = True
