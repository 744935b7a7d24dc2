"""The queue of a connection's requests and the order of responses."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import current_task
from asyncio import Task
from collections import deque
from collections.abc import Callable
from logging import getLogger

from cowslipmill.http1.listenerstate import ListenerState
from cowslipmill.http1.message import encode_response_head
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.pacedinput import PacedInput
from cowslipmill.memory.budget import Holding

# The logger keeps the name that the module had before.
LOG = getLogger('cowslipmill.http1.callerconnection')

# Pipelined requests of one connection after which reading from it pauses.
MAX_PIPELINED = 8
# Processor time of handling a request, for those that arrive beside two that
# aren't answered.
PIPELINED_S = 0.000_3
# Retry-After of a request that waits when this host ends; other hosts can
# take it at once.
ENDED_RETRY_AFTER_S = 0.01


class ExchangeQueue(PacedInput):
    """Handles the requests of a connection and answers them in their order.

    Attributes:
        pending: Complete requests that are not handled yet.
        task: The task that handles requests, while there are any.
        on_disconnect: Called if the connection is lost while a request is
            being handled; the handler sets it for its request.
        input_closed: Whether the caller has closed its sending side.
        rejection: The error response to a rejected request, until it is sent
            after the responses to the requests before it.
        untaken_bytes: Bytes of responses that the caller had not taken at
            `untaken_since`.
        untaken_since: Monotonic seconds since when it has taken none of them.
        untaken: The memory of the response that it is taking; None if there
            is none, or if the memory isn't counted.
    """

    def __init__(self, server: ListenerState) -> None:
        """Starts without requests."""
        super().__init__(server)
        self.pending: deque[Request] = deque()
        self.task: Task[None] | None = None
        self.on_disconnect: Callable[[], None] | None = None
        self.input_closed = False
        self.rejection: Response | None = None
        self.untaken_bytes = 0
        self.untaken_since = 0.0
        self.untaken: Holding | None = None

    @property
    def unanswered(self) -> bool:
        """Whether a request is being handled."""
        return self.task is not None

    @property
    def has_room(self) -> bool:
        """Whether further requests may be received."""
        return len(self.pending) < MAX_PIPELINED

    def yield_memory(self) -> None:
        """Rejects the request that is being received, to make room."""
        raise NotImplementedError

    def send_rejection(self, response: Response) -> None:
        """Sends an error response as the last one and closes later."""
        raise NotImplementedError

    def linger(self) -> None:
        """Closes once the caller does, or after some time."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the connection after buffered data is sent."""
        raise NotImplementedError

    def on_request(self, request: Request) -> None:
        """Queues a request and starts the task that handles it."""
        if self.pending:
            self.charge(PIPELINED_S)
        self.pending.append(request)
        if len(self.pending) >= MAX_PIPELINED and self.transport:
            self.transport.pause_reading()
        if self.task is None:
            self.task = create_task(self.serve())

    async def serve(self) -> None:
        """Handles the pending requests one after the other."""
        self.holding.forbid_eviction()
        try:
            while self.pending and not self.disconnected:
                request = self.pending.popleft()
                response = await self.handle(request)
                self.on_disconnect = None
                if response is None:
                    self.close()
                    return
                if self.server.closing:
                    self.parse_all()
                close = self.closes_next
                if close:
                    self.input_ended = True
                    self.receiving = False
                response, head = self.encode(request, response, close=close)
                omit_body = request.method == b'HEAD'
                body = b'' if omit_body else response.body
                self.write(head, body, response)
                await self.drain(response)
                self.phase_started_at = self.server.clock()
                if close:
                    self.linger()
                    return
            if self.rejection is not None and not self.disconnected:
                self.send_rejection(self.rejection)
            elif self.input_closed or self.server.ended:
                self.close()
            self.send_continue()
            self.resume_reading()
        except CancelledError:
            self.close()
            raise
        except Exception:
            # Part of a response may have been sent.
            LOG.exception(
                'response failed by an internal error',
                extra={'connection': str(self)},
            )
            self.close()
        finally:
            self.task = None
            if not self.disconnected:
                self.holding.allow_eviction(self.yield_memory)

    async def handle(self, request: Request) -> Response | None:
        """Returns the response to a request; None to close without one.

        A request whose handler fails, or is cancelled though neither the
        caller left nor the process ends, may have run.
        """
        if self.server.ended:
            retry_after = b'%.3f' % ENDED_RETRY_AFTER_S
            return self.server.error_response(
                request, 503, [(b'retry-after', retry_after)]
            )
        try:
            return await self.server.handler(request, self)
        except CancelledError:
            task = current_task()
            if self.disconnected or (task is not None and task.cancelling()):
                raise
            return self.fail(request)
        except Exception:
            return self.fail(request)

    def fail(self, request: Request) -> Response:
        """Logs an error and returns status 502, which promises nothing."""
        request_id = request.header(self.server.request_id_header)
        LOG.exception(
            'request failed by an internal error',
            extra={
                'request': request_id.decode('latin-1'),
                'connection': str(self),
            },
        )
        return self.server.error_response(request, 502, [])

    def encode(
        self, request: Request, response: Response, *, close: bool
    ) -> tuple[Response, bytes]:
        """Returns the response to send, and its head.

        Args:
            request: The request.
            response: The handler's response.
            close: Whether the connection closes after it.
        """
        try:
            return response, encode_response_head(response, close=close)
        except Exception:
            response = self.fail(request)
            return response, encode_response_head(response, close=close)

    @property
    def closes_next(self) -> bool:
        """Whether the connection closes after the response that is due."""
        if self.pending or self.rejection is not None:
            return False
        server = self.server
        return self.input_ended or server.closing or server.ended

    async def drain(self, response: Response) -> None:
        """Waits until the caller has taken a response.

        Once it takes nothing for a time, the connection may be aborted to
        make room.
        """
        outgoing = self.outgoing
        if outgoing is None or outgoing.empty:
            return
        self.untaken_bytes = outgoing.unreceived
        self.untaken_since = self.server.clock()
        self.untaken = response.holding
        try:
            await outgoing.drain()
        finally:
            self.untaken = None
            if response.holding is not None:
                response.holding.forbid_eviction()
