"""The queue of a connection's requests and the order of responses."""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import current_task
from collections import deque
from functools import partial
from logging import getLogger

from cowslipmill.http1.exchange import Exchange
from cowslipmill.http1.listenerstate import ListenerState
from cowslipmill.http1.message import encode_response_head
from cowslipmill.http1.message import measure_headers
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.pacedinput import PacedInput
from cowslipmill.memory.budget import Holding

# The logger keeps the name that the module had before.
LOG = getLogger('cowslipmill.http1.callerconnection')

# Requests of one connection that are handled at the same time or wait for
# their turn to be answered, and those ahead of the first at which reading
# from the connection pauses.
MAX_PIPELINED = 8
# Processor time of handling a request, for those that arrive beside two that
# aren't answered.
PIPELINED_S = 0.000_3
# Retry-After of a request that waits when this host ends; other hosts can
# take it at once.
ENDED_RETRY_AFTER_S = 0.01


class ExchangeQueue(PacedInput):
    """Handles the requests of a connection and answers them in their order.

    Requests that may overlap are handled concurrently. Any other one is
    handled once all before it are answered, and none behind it before it is.

    Attributes:
        waiting: The requests that aren't handled yet.
        started: Those that are handled or wait for their turn to be answered;
            the first one is answered next.
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
        self.waiting: deque[Exchange] = deque()
        self.started: deque[Exchange] = deque()
        self.input_closed = False
        self.rejection: Response | None = None
        self.untaken_bytes = 0
        self.untaken_since = 0.0
        self.untaken: Holding | None = None

    @property
    def unanswered(self) -> bool:
        """Whether a request that was received waits for its response."""
        return bool(self.started or self.waiting)

    @property
    def has_room(self) -> bool:
        """Whether further requests may be received."""
        return len(self.started) + len(self.waiting) <= MAX_PIPELINED

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
        """Queues a request and starts to handle it if it needn't wait."""
        if len(self.started) + len(self.waiting) >= 2:
            self.charge(PIPELINED_S)
        self.holding.forbid_eviction()
        self.waiting.append(Exchange(request))
        self.start_waiting()
        if not self.has_room and self.transport is not None:
            self.transport.pause_reading()

    def start_waiting(self) -> None:
        """Starts the requests that needn't wait for those before them."""
        while self.waiting and len(self.started) < MAX_PIPELINED:
            exchange = self.waiting[0]
            if self.started:
                if not all(other.overlaps for other in self.started):
                    return
                exchange.overlaps = self.may_overlap(exchange.request)
                if not exchange.overlaps:
                    return
            self.started.append(self.waiting.popleft())
            exchange.task = create_task(self.serve(exchange))

    def may_overlap(self, request: Request) -> bool:
        """Returns whether a request may be handled beside others."""
        may_overlap = self.server.may_overlap
        if may_overlap is None:
            return False
        try:
            return may_overlap(request)
        except Exception:
            LOG.exception(
                'request not classified by an internal error',
                extra={'connection': str(self)},
            )
            return False

    def is_next(self, exchange: Exchange) -> bool:
        """Returns whether a request is the one to be answered next."""
        return bool(self.started) and self.started[0] is exchange

    async def serve(self, exchange: Exchange) -> None:
        """Handles a request, and answers all whose turn it is then."""
        try:
            if self.disconnected:
                return
            if not exchange.done:
                self.finish(exchange, await self.handle(exchange))
        except CancelledError as error:
            exchange.finish(None)
            if self.is_next(exchange):
                self.break_off()
            # The task keeps the error. With the frames of the handler, which
            # know the task, it would keep the request's memory until a
            # garbage collection.
            raise error.with_traceback(None)
        finally:
            exchange.task = None
        if self.is_next(exchange):
            # Its memory isn't kept until those behind it are answered.
            del exchange
            await self.send_responses()

    def finish(self, exchange: Exchange, response: Response | None) -> None:
        """Takes the response to a request.

        One that waits for its turn counts against the memory of callers in
        place of that of servers, as other callers' responses don't wait.
        """
        exchange.finish(response)
        if response is None or self.disconnected or self.is_next(exchange):
            return
        try:
            size = len(response.body) + measure_headers(response.headers)
        except Exception:
            exchange.response = self.fail(exchange.request)
            return
        holding = Holding(self.server.memory, str(self))
        if not holding.resize(size):
            self.drop_response(exchange)
            return
        if response.holding is not None:
            response.holding.release()
        response.holding = holding
        holding.allow_eviction(partial(self.drop_response, exchange))

    def drop_response(self, exchange: Exchange) -> None:
        """Replaces a response for which there is no memory by status 502.

        The request has run, so that no status which denies that is true.
        Those before and behind it keep their responses.
        """
        request = exchange.request
        request_id = request.header(self.server.request_id_header)
        LOG.warning(
            'response dropped',
            extra={
                'request': request_id.decode('latin-1'),
                'connection': str(self),
            },
        )
        exchange.discard_response()
        exchange.response = self.server.error_response(request, 502, [])

    async def send_responses(self) -> None:
        """Sends the responses whose turn it is."""
        try:
            while self.started and self.started[0].done:
                if not await self.send_response(self.started[0]):
                    return
                self.started.popleft()
                self.start_waiting()
                self.resume_reading()
            if not self.unanswered and not self.disconnected:
                self.on_all_answered()
        except CancelledError:
            self.break_off()
            raise
        except Exception:
            # Part of a response may have been sent.
            LOG.exception(
                'response failed by an internal error',
                extra={'connection': str(self)},
            )
            self.break_off()

    async def send_response(self, exchange: Exchange) -> bool:
        """Sends a response and waits until the caller has taken it.

        Args:
            exchange: The request that is answered next.

        Returns:
            Whether the connection goes on.
        """
        response = exchange.response
        if response is None:
            self.break_off()
            return False
        if response.holding is not None:
            response.holding.forbid_eviction()
        if self.server.closing:
            self.parse_all()
        close = self.closes_next
        if close:
            self.input_ended = True
            self.receiving = False
            self.abandon(exchange)
        request = exchange.request
        response, head = self.encode(request, response, close=close)
        body = b'' if request.method == b'HEAD' else response.body
        self.write(head, body, response)
        await self.drain(response)
        self.phase_started_at = self.server.clock()
        if close and not self.disconnected:
            self.started.clear()
            self.linger()
            self.holding.allow_eviction(self.yield_memory)
        return not close and not self.disconnected

    def on_all_answered(self) -> None:
        """Goes on with what comes after the last response."""
        if self.rejection is not None:
            self.send_rejection(self.rejection)
        elif self.input_closed or self.server.ended:
            self.close()
        self.send_continue()
        self.resume_reading()
        self.holding.allow_eviction(self.yield_memory)

    def abandon(self, last: Exchange | None = None) -> None:
        """Drops the requests that get no response, as the connection closes.

        They count as not read: those in progress are cancelled.

        Args:
            last: The one that is answered last; None if none is any more.
        """
        dropped = [other for other in self.started if other is not last]
        self.waiting.clear()
        self.started.clear()
        if last is not None:
            self.started.append(last)
        for exchange in dropped:
            exchange.discard_response()
            exchange.cancel()

    def break_off(self) -> None:
        """Closes the connection without the responses that are due."""
        self.abandon()
        self.close()
        if not self.disconnected:
            self.holding.allow_eviction(self.yield_memory)

    def on_input_closed(self) -> None:
        """Cancels what may be cancelled, as the caller may have left."""
        self.waiting.clear()
        for exchange in list(self.started):
            if exchange.begun:
                exchange.disconnect()
            else:
                exchange.finish(None)

    def on_connection_lost(self) -> None:
        """Drops all requests and responses, and tells the handlers."""
        dropped = list(self.started)
        self.waiting.clear()
        self.started.clear()
        for exchange in dropped:
            exchange.discard_response()
            exchange.disconnect()

    async def handle(self, exchange: Exchange) -> Response | None:
        """Returns the response to a request; None to close without one.

        A request whose handler fails, or is cancelled though neither the
        caller left nor the process ends, may have run.
        """
        request = exchange.request
        exchange.begun = True
        exchange.behind = not self.is_next(exchange)
        if self.server.ended:
            retry_after = b'%.3f' % ENDED_RETRY_AFTER_S
            return self.server.error_response(
                request, 503, [(b'retry-after', retry_after)]
            )
        if not exchange.behind:
            # Without a pause before the handler finds the request's route,
            # so that both see the same configuration.
            exchange.overlaps = self.may_overlap(request)
            self.start_waiting()
        try:
            return await self.server.handler(request, exchange)
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
        if len(self.started) > 1:
            return self.started[1].unanswerable
        if self.waiting or self.rejection is not None:
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
