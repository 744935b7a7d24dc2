"""Load reports of servers."""

from msgspec import Struct


class Load(Struct, frozen=True, array_like=True):
    """Load report of a server.

    Attributes:
        running: Number of requests that it processes.
        waiting: Number of requests that it has queued.
        slots: Number of requests that it can process concurrently.
        slowdown: Processing time relative to the usual one, which is 1.0.
        healthy: Whether the server considers itself healthy.
        reported: Whether the server reported its load; False if its response
            held none and the values are defaults.
        warm_up_s: Seconds for which it stays cold.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float
    healthy: bool = True
    reported: bool = True
    warm_up_s: float = 0.0
