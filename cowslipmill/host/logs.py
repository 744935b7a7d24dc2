"""JSON log lines on standard output that never block the event loop."""

from collections.abc import Callable
from logging import getLogger
from logging import Handler
from logging import INFO
from logging import LogRecord
from os import write
from select import poll
from select import POLLOUT

from mode import Service
from pythonjsonlogger.json import JsonFormatter

STDOUT = 1
# Keeps the log readable when many requests are refused at once.
MAX_LINES_PER_EVENT_PER_S = 60
# A writable pipe takes this much without blocking (PIPE_BUF is 4096 bytes).
MAX_LINE_BYTES = 4_000


class NonBlockingHandler(Handler):
    """Writes a line only if standard output takes it without blocking.

    Attributes:
        clock: Returns monotonic seconds.
        dropped: Lines lost since the last report because standard output was
            full or failed.
        current_second: The second that `event_counts` belongs to.
        event_counts: Lines in that second by event, written or not.
        writable_poll: Tells whether standard output is writable.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        """Starts with no lines counted."""
        super().__init__()
        self.clock = clock
        self.dropped = 0
        self.current_second = 0
        self.event_counts: dict[str, int] = {}
        self.writable_poll = poll()
        self.writable_poll.register(STDOUT, POLLOUT)

    def emit(self, record: LogRecord) -> None:
        """Writes a line unless its event has reached the limit per second."""
        second = int(self.clock())
        if second != self.current_second:
            self.begin_second(second)
        event = str(record.msg)
        count = self.event_counts.get(event, 0) + 1
        self.event_counts[event] = count
        if count <= MAX_LINES_PER_EVENT_PER_S:
            self.write_line(self.format(record))

    def begin_second(self, second: int) -> None:
        """Resets the counts and logs how many lines were not written."""
        counts, self.event_counts = self.event_counts, {}
        self.current_second = second
        suppressed = {
            event: count - MAX_LINES_PER_EVENT_PER_S
            for event, count in counts.items()
            if count > MAX_LINES_PER_EVENT_PER_S
        }
        if not suppressed and not self.dropped:
            return
        getLogger(__name__).warning(
            'lines left out',
            extra={'left_out': suppressed, 'dropped': self.dropped},
        )
        self.dropped = 0

    def write_line(self, line: str) -> None:
        """Writes a line, or counts it as dropped if that would block.

        A line beyond `MAX_LINE_BYTES` is cut off.
        """
        data = line.encode()[:MAX_LINE_BYTES] + b'\n'
        if not self.writable_poll.poll(0):
            self.dropped += 1
            return
        try:
            write(STDOUT, data)
        except OSError:
            self.dropped += 1


def set_up_json_logs(
    host: str, clock: Callable[[], float]
) -> NonBlockingHandler:
    """Configures logging of JSON lines to standard output.

    Args:
        host: The host's name, written into each line.
        clock: Returns monotonic seconds.

    Returns:
        The handler, which is now the only one of the root logger.
    """
    handler = NonBlockingHandler(clock)
    handler.setFormatter(
        JsonFormatter(
            '%(created)f %(levelname)s %(message)s',
            rename_fields={
                'created': 'time',
                'levelname': 'level',
                'message': 'event',
            },
            static_fields={'host': host},
        )
    )
    root = getLogger()
    root.handlers[:] = [handler]
    root.setLevel(INFO)
    getLogger('websockets').setLevel('CRITICAL')
    getLogger('asyncio').setLevel('ERROR')
    # The level at which `mode` logs that a service starts or stops, which says
    # nothing about the host's state.
    Service.mundane_level = 'debug'
    return handler
