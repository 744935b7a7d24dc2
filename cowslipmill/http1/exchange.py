"""One request of a caller and the response to it."""

from asyncio import Task
from collections.abc import Callable

from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response


class Exchange:
    """A request from its arrival until its response has been taken.

    Attributes:
        request: The request.
        task: The task that handles it; None before and after.
        on_disconnect: Called if the response can't be sent any more while
            the request is being handled; the handler sets it.
        begun: Whether the handler has been called.
        behind: Whether it was called while a request before this one was not
            answered.
        overlaps: Whether the requests behind this one may be handled before
            it is answered.
        done: Whether the handler has ended.
        response: The response; None before it is known, and for a request
            that gets none.
    """

    __slots__ = (
        'begun',
        'behind',
        'done',
        'on_disconnect',
        'overlaps',
        'request',
        'response',
        'task',
    )

    def __init__(self, request: Request) -> None:
        """Stores a request that isn't handled yet."""
        self.request = request
        self.task: Task[None] | None = None
        self.on_disconnect: Callable[[], None] | None = None
        self.begun = False
        self.behind = False
        self.overlaps = False
        self.done = False
        self.response: Response | None = None

    @property
    def unanswerable(self) -> bool:
        """Whether the handler has ended without a response."""
        return self.done and self.response is None

    def finish(self, response: Response | None) -> None:
        """Takes the response; None if there is none."""
        self.on_disconnect = None
        self.done = True
        self.response = response

    def disconnect(self) -> None:
        """Tells the handler, once, that the caller has left."""
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()

    def cancel(self) -> None:
        """Ends the handling, as the connection closes before the response.

        A second cancellation would interrupt what the first one cleans up.
        """
        if self.done:
            return
        if self.on_disconnect is not None:
            self.disconnect()
        elif self.task is not None and not self.task.cancelling():
            self.task.cancel()

    def discard_response(self) -> None:
        """Drops the response and gives up its memory."""
        if self.response is not None and self.response.holding is not None:
            self.response.holding.forbid_eviction()
        self.response = None
