"""The server side of HTTP/1.1: connections that callers open to a host."""

from asyncio import BaseTransport
from asyncio import get_running_loop
from asyncio import TimerHandle
from asyncio import Transport
from socket import IPPROTO_TCP
from socket import TCP_NODELAY
from typing import cast

from cowslipmill.http1.exchangequeue import ExchangeQueue
from cowslipmill.http1.listenerstate import ListenerState
from cowslipmill.http1.message import encode_response_head
from cowslipmill.http1.message import Headers
from cowslipmill.http1.message import Response
from cowslipmill.http1.outgoing import OutgoingData
from cowslipmill.http1.requestreceiver import CONNECTION_BYTES
from cowslipmill.runtime.readsize import limit_read_size

# Longest time for which input is discarded after the last response. Closing
# with input unread would reset the connection, and the caller would lose what
# it hasn't received of the response.
LINGER_S = 10.0
# Time for which a caller may take nothing of its response before that makes
# room for others.
STALL_S = 1.0
# Longest time that a request may take to arrive; no caller waits so long.
MAX_RECEIVE_S = 60.0
# Retry-After of a request for which there is no memory; other hosts may have
# some at once.
MEMORY_RETRY_AFTER_S = 0.5


class CallerConnection(ExchangeQueue):
    """A connection from a caller; responds to requests in their order.

    Attributes:
        linger_timer: Closes the connection some time after its last response;
            None before.
    """

    def __init__(self, server: ListenerState) -> None:
        """Starts idle; `connection_made` sets the transport."""
        super().__init__(server)
        self.linger_timer: TimerHandle | None = None

    @property
    def idle(self) -> bool:
        """Whether no request is being received or handled."""
        if self.rest or self.receiving:
            return False
        return not self.unanswered

    @property
    def busy(self) -> bool:
        """Whether a request or a response is on its way.

        A request that has been received in part counts, unless it is ignored,
        and so does a response that the caller has not taken yet.
        """
        if (self.receiving or self.rest) and not self.input_ended:
            return True
        return self.owes_answer

    @property
    def owes_answer(self) -> bool:
        """Whether a request is handled or its response not taken yet."""
        if self.unanswered:
            return True
        return self.outgoing is not None and self.outgoing.size > 0

    def connection_made(self, transport: BaseTransport) -> None:
        """Registers the connection and disables Nagle's algorithm."""
        self.transport = cast(Transport, transport)
        limit_read_size(transport)
        # Without a buffer of its own, the transport reports that a response
        # was taken only when the system has all of it.
        self.transport.set_write_buffer_limits(high=0)
        self.outgoing = OutgoingData(self.transport)
        if self.server.ended or not self.holding.resize(CONNECTION_BYTES):
            self.input_ended = True
            self.close()
            return
        self.holding.allow_eviction(self.yield_memory)
        self.server.connections.add(self)
        peer = transport.get_extra_info('peername')
        if peer:
            self.work.key = str(peer[0])
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    def connection_lost(self, error: Exception | None) -> None:
        """Drops requests, and tells the handlers of those in progress."""
        self.disconnected = True
        self.server.connections.discard(self)
        if self.linger_timer is not None:
            self.linger_timer.cancel()
        self.holding.release()
        self.discard_rest()
        if self.turn is not None:
            self.turn.cancel()
        self.clear_request()
        if self.outgoing is not None:
            self.outgoing.discard()
        self.on_connection_lost()

    def eof_received(self) -> bool:
        """Keeps the connection if a response is due on it.

        The caller may have closed the connection, or only its sending side:
        both look the same. As for one that has left, what may be repeated or
        hasn't run is cancelled, which closes the connection. What has
        arrived before is parsed, and its first request begins to be handled.
        """
        if self.rest:
            self.parse_all()
            get_running_loop().call_soon(self.end_input)
            return True
        if not self.owes_answer or self.linger_timer is not None:
            return False
        self.input_closed = True
        self.input_ended = True
        self.receiving = False
        self.on_input_closed()
        return True

    def end_input(self) -> None:
        """Takes the end of the input, after what arrived before it."""
        if not self.disconnected and not self.eof_received():
            self.close()

    def __str__(self) -> str:
        """Returns what the connection is for, as written into logs."""
        peer = None
        if self.transport is not None:
            peer = self.transport.get_extra_info('peername')
        return f'request from {peer[0]}:{peer[1]}' if peer else 'request'

    def yield_memory(self) -> None:
        """Rejects the request that is being received, to make room.

        An idle connection is closed.
        """
        if self.receiving or self.rest:
            self.reject(503)
        else:
            self.close()

    def pause_writing(self) -> None:
        """Stops sending until the caller has taken what was sent."""
        if self.outgoing is not None:
            self.outgoing.pause()

    def resume_writing(self) -> None:
        """Goes on sending."""
        if self.outgoing is not None:
            self.outgoing.resume()

    def reject(self, status: int) -> None:
        """Ignores further input, sends an error status and closes.

        The status comes after the responses to the requests before it. What
        the caller still sends is discarded for a while.
        """
        if self.input_ended:
            return
        self.work.charge_all(self.server.clock())
        self.discard_rest()
        self.clear_request()
        self.input_ended = True
        self.receiving = False
        self.holding.resize(CONNECTION_BYTES)
        headers: Headers = []
        if status == 503:
            headers.append((b'retry-after', b'%.3f' % MEMORY_RETRY_AFTER_S))
        self.rejection = Response(status, headers, b'')
        if not self.unanswered:
            self.send_rejection(self.rejection)

    def send_rejection(self, response: Response) -> None:
        """Sends an error response as the last one and closes later."""
        self.write(encode_response_head(response, close=True), b'', None)
        self.linger()

    def linger(self) -> None:
        """Closes once the caller does, or after some time.

        Until then its input is discarded, as it may still be receiving the
        last response.
        """
        if self.transport is None or self.disconnected:
            return
        if self.input_closed:
            self.close()
            return
        self.input_ended = True
        self.discard_rest()
        self.clear_request()
        self.holding.resize(CONNECTION_BYTES)
        self.resume_reading()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        loop = get_running_loop()
        self.linger_timer = loop.call_later(LINGER_S, self.close)

    def enforce_timeouts(self, now: float) -> None:
        """Closes the connection if its head or idle timeout has passed.

        A request gets status 408 if its head has not arrived in time, or no
        part of its body, or if the rest of the body takes far too long. A
        caller that takes no part of a response for the idle timeout is
        disconnected.

        Args:
            now: Monotonic seconds.
        """
        limits = self.server.limits
        if self.outgoing is not None and not self.outgoing.empty:
            self.check_progress(now)
            return
        if self.unanswered:
            return
        if self.receiving:
            timeout_s = MAX_RECEIVE_S if self.body.data else limits.header_s
            if now - self.phase_started_at > timeout_s:
                self.reject(408)
            return
        if now - self.phase_started_at > limits.idle_s and not self.rest:
            self.close()

    def check_progress(self, now: float) -> None:
        """Looks whether the caller goes on taking its response.

        Args:
            now: Monotonic seconds.
        """
        assert self.outgoing is not None
        size = self.outgoing.unreceived
        if size != self.untaken_bytes:
            self.untaken_bytes = size
            self.untaken_since = now
            if self.untaken is not None:
                self.untaken.forbid_eviction()
            return
        stalled_s = now - self.untaken_since
        if stalled_s > self.server.limits.idle_s:
            self.abort()
        elif stalled_s > STALL_S and self.untaken is not None:
            self.untaken.allow_eviction(self.abort)

    def abort(self) -> None:
        """Closes the connection at once; what was not taken is lost."""
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Closes the connection after buffered data is sent."""
        self.discard_rest()
        if self.transport is not None:
            self.transport.close()
