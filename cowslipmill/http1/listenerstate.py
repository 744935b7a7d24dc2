"""Limits and state that the connections of one listener share."""

from collections.abc import Awaitable
from collections.abc import Callable
from sys import maxsize
from time import thread_time
from typing import Any

from cowslipmill.http1.exchange import Exchange
from cowslipmill.http1.message import Headers
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.runtime.workshare import WorkShares

# Input that is parsed in one go, in bytes: at first, and after parts that took
# little processor time.
SLICE_BYTES = 4_096
# Processor time after which the rest of the input waits for the next turn of
# the event loop.
TURN_S = 0.000_5

Handler = Callable[[Request, Exchange], Awaitable[Response | None]]


class CallerLimits:
    """Size limits and timeouts of caller connections.

    Attributes:
        header_bytes: Maximum size of a request's target and headers.
        body_bytes: Maximum size of a request's body.
        header_s: Timeout for receiving a request's head.
        idle_s: Timeout of a connection without a request.
    """

    __slots__ = ('body_bytes', 'header_bytes', 'header_s', 'idle_s')

    def __init__(
        self,
        header_bytes: int,
        body_bytes: int,
        header_s: float,
        idle_s: float,
    ) -> None:
        """Stores the limits."""
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.idle_s = idle_s


class ListenerState:
    """What the connections of one listener share.

    Attributes:
        handler: Returns the response to a request, or None to close the
            connection without one.
        limits: The limits in force for all connections.
        clock: Returns monotonic seconds.
        may_overlap: Returns whether a request may be handled while others
            of its connection are in progress, as it is idempotent; None if
            requests are handled one after the other.
        memory: The budget of all connections of callers.
        request_id_header: Header that this host's own responses echo from
            their request; empty for none.
        closing: Whether each connection is closed once the requests that
            were received on it are answered.
        ended: Whether no further request is handled.
        connections: The open connections.
        shares: What the input of callers takes of the event loop.
        work_clock: Returns the seconds of processor time that the event loop
            has taken.
        slice_bytes: Input that is parsed in one go, in bytes.
        turn_s: Processor time of input in a turn of the event loop.
    """

    __slots__ = (
        'clock',
        'closing',
        'connections',
        'ended',
        'handler',
        'limits',
        'may_overlap',
        'memory',
        'request_id_header',
        'shares',
        'slice_bytes',
        'turn_s',
        'work_clock',
    )

    def __init__(
        self,
        handler: Handler,
        limits: CallerLimits,
        clock: Callable[[], float],
        memory: MemoryBudget | None = None,
        *,
        may_overlap: Callable[[Request], bool] | None = None,
        request_id_header: bytes = b'',
        work_clock: Callable[[], float] = thread_time,
        slice_bytes: int = SLICE_BYTES,
        turn_s: float = TURN_S,
    ) -> None:
        """Starts without connections.

        Args:
            handler: Returns the response to a request.
            limits: The limits of the connections.
            clock: Returns monotonic seconds.
            memory: The budget of all connections of callers; None for no
                limit.
            may_overlap: Returns whether a request may be handled while
                others of its connection are in progress; None if requests
                are handled one after the other.
            request_id_header: Header that this host's own responses echo
                from their request; empty for none.
            work_clock: Returns the seconds of processor time that the event
                loop has taken.
            slice_bytes: Input that is parsed in one go, in bytes.
            turn_s: Processor time of input in a turn of the event loop, in
                seconds.
        """
        self.request_id_header = request_id_header
        self.shares = WorkShares('callers')
        self.work_clock = work_clock
        self.slice_bytes = slice_bytes
        self.turn_s = turn_s
        self.memory = memory or MemoryBudget('unlimited', maxsize)
        self.handler = handler
        self.may_overlap = may_overlap
        self.limits = limits
        self.clock = clock
        self.closing = False
        self.ended = False
        self.connections: set[Any] = set()

    def error_response(
        self, request: Request, status: int, headers: Headers
    ) -> Response:
        """Returns an error of this host with the id of its request."""
        request_id = request.header(self.request_id_header)
        if request_id:
            headers = [*headers, (self.request_id_header, request_id)]
        return Response(status, headers, b'')
