"""Parses the input of a caller no faster than others allow."""

from asyncio import get_running_loop
from asyncio import Handle

from cowslipmill.http1.listenerstate import ListenerState
from cowslipmill.http1.requestreceiver import RequestReceiver
from cowslipmill.memory.budget import Holding
from cowslipmill.runtime.readsize import READ_BYTES
from cowslipmill.runtime.workshare import ConnectionWork

MAX_SLICE_BYTES = 16_384
CHEAP_SLICE_S = 0.000_1
HEAD_END = b'\r\n\r\n'
# Time that a small read, or one of a plain body, may take uncounted, and what
# it can take for each byte: the clock also counts that others had the
# processor.
CHEAP_READ_S = 0.000_05
MAX_BYTE_S = 2e-7
PLAIN_BYTE_S = 1.5e-9
# Processor time of a read whose data is discarded.
DISCARDED_READ_S = 0.000_2


class PacedInput(RequestReceiver):
    """Parses input in slices, so that others have their turn between them.

    Attributes:
        rest: Input that waits to be parsed.
        rest_holding: Its memory.
        work: What the input of the connection takes of the event loop.
        shown: Whether input of more than one slice has been parsed.
        turn: Parses the rest in the next turn of the event loop, or after a
            pause; None if none is due.
        paused: Whether that is after a pause, in which nothing is read.
    """

    def __init__(self, server: ListenerState) -> None:
        """Starts without input."""
        super().__init__(server)
        self.rest = b''
        self.rest_holding = Holding(server.memory, self)
        self.work = ConnectionWork(server.shares, 'unknown')
        self.shown = False
        self.turn: Handle | None = None
        self.paused = False

    @property
    def has_room(self) -> bool:
        """Whether further requests may be received."""
        raise NotImplementedError

    def data_received(self, data: bytes) -> None:
        """Takes input: parses little at once, and much of it in slices."""
        server = self.server
        if self.input_ended or server.ended:
            self.charge(DISCARDED_READ_S)
            return
        plain = False
        if self.rest or len(data) > server.slice_bytes:
            if not self.rest and not self.receiving:
                data = self.feed_head(data)
            plain = not self.rest and self.is_plain(len(data))
            if not data:
                return
            if not plain:
                self.keep(data)
                if self.turn is None:
                    self.parse_rest()
                return
        started_at = server.clock()
        self.feed(data)
        cost_s = server.clock() - started_at
        if cost_s > CHEAP_READ_S:
            byte_s = PLAIN_BYTE_S if plain else MAX_BYTE_S
            self.charge(min(cost_s, len(data) * byte_s))

    def feed_head(self, data: bytes) -> bytes:
        """Parses the first head in input and returns the rest.

        A body of a known length, which takes little, isn't cut then.

        Args:
            data: The input.
        """
        end = data.find(HEAD_END, 0, self.server.slice_bytes)
        if end < 0:
            return data
        end += len(HEAD_END)
        self.feed(data[:end])
        return b'' if self.input_ended else data[end:]

    def is_plain(self, size: int) -> bool:
        """Returns whether input is a part of a body of a known length.

        Args:
            size: Size of the input in bytes.
        """
        if not self.headers_complete:
            return False
        return self.declared_bytes - len(self.body.data) >= size

    def keep(self, data: bytes) -> None:
        """Keeps input until it is parsed; rejects it if there is no memory.

        Args:
            data: The input.
        """
        rest = self.rest + data if self.rest else data
        if not self.rest_holding.resize(len(rest)):
            self.reject(503)
            return
        if self.input_ended:
            # Its own request has made room.
            self.rest_holding.release()
            return
        self.rest = rest
        self.rest_holding.allow_eviction(self.yield_rest)
        if len(rest) > READ_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def yield_rest(self) -> None:
        """Rejects the input that waits to be parsed, to make room."""
        self.reject(503)

    def parse_rest(self) -> None:
        """Parses input for a part of a turn, and plans to go on with the rest.

        The first large input of a caller that takes much waits for its turn,
        or a caller would get more with each new connection.
        """
        self.turn = None
        self.paused = False
        server = self.server
        if self.rest and not self.shown:
            self.shown = True
            pause_s = self.work.reserve(server.turn_s, server.clock())
            if pause_s:
                self.phase_started_at += pause_s
                self.pause(pause_s)
                return
        size = server.slice_bytes
        cost_s = 0.0
        while self.parses and not self.paused and cost_s < server.turn_s:
            if self.is_plain(len(self.rest)):
                size = len(self.rest)
            slice_s = self.parse_slice(size)
            cost_s += slice_s
            size *= 2 if slice_s < CHEAP_SLICE_S else 1
            size = min(size, MAX_SLICE_BYTES)
        if cost_s > CHEAP_READ_S:
            self.charge(cost_s)
        if self.parses and self.turn is None:
            self.turn = get_running_loop().call_soon(self.parse_rest)
        elif not self.rest:
            self.resume_reading()

    def parse_slice(self, size: int) -> float:
        """Parses a part of the rest and returns the processor time it took.

        Args:
            size: Its size in bytes.
        """
        started_s = self.server.work_clock()
        data, self.rest = self.rest[:size], self.rest[size:]
        self.rest_holding.resize(len(self.rest))
        # A request that is complete would be rejected for what follows it.
        self.rest_holding.forbid_eviction()
        self.feed(data)
        if self.input_ended or not self.rest:
            self.discard_rest()
        else:
            self.rest_holding.allow_eviction(self.yield_rest)
        return self.server.work_clock() - started_s

    def parse_all(self) -> None:
        """Parses the rest at once, as no later turn may come."""
        while self.rest:
            self.parse_slice(MAX_SLICE_BYTES)

    @property
    def parses(self) -> bool:
        """Whether there is input that is to be parsed now."""
        if not self.rest or self.disconnected or self.transport is None:
            return False
        if self.transport.is_closing():
            return False
        return self.has_room

    def discard_rest(self) -> None:
        """Drops the input that waits to be parsed."""
        self.rest = b''
        self.rest_holding.release()

    def charge(self, cost_s: float) -> None:
        """Counts processor time of input; pauses if that was too much.

        No timeout counts the pause.

        Args:
            cost_s: The processor time, in seconds.
        """
        pause_s = self.work.charge(cost_s, self.server.clock())
        if pause_s and not self.paused:
            self.phase_started_at += pause_s
            self.pause(pause_s)

    def pause(self, pause_s: float) -> None:
        """Reads and parses nothing for a time.

        Args:
            pause_s: The time in seconds.
        """
        if self.transport is None or self.disconnected or self.paused:
            return
        if self.turn is not None:
            self.turn.cancel()
        self.paused = True
        self.transport.pause_reading()
        loop = get_running_loop()
        self.turn = loop.call_later(pause_s, self.parse_rest)

    def pace(self) -> None:
        """Pauses reading after many small chunks."""
        pause_s = self.pacer.take_pause_s()
        if pause_s:
            self.pause(pause_s)

    def resume_reading(self) -> None:
        """Reads on, unless enough requests wait or the connection is lost."""
        if self.transport is None or self.disconnected or self.paused:
            return
        if self.rest:
            # Others have their turn before more of it is parsed.
            if self.turn is None:
                self.turn = get_running_loop().call_soon(self.parse_rest)
        elif self.has_room:
            self.transport.resume_reading()
