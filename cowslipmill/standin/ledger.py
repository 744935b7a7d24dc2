"""What a stand-in server really did."""

from enum import Enum

from msgspec import Struct


class Ending(Enum):
    """How one execution ended."""

    RUNNING = 'running'
    DONE = 'done'
    CANCELLED = 'cancelled'
    CRASHED = 'crashed'
    FAILED = 'failed'


class Execution(Struct, kw_only=True):
    """One start of a request.

    Attributes:
        request_id: What the caller sent in `Request-Id`.
        method: Method.
        path: Path and query.
        started_at: Unix seconds.
        ending: How it ended so far.
    """

    request_id: str
    method: str
    path: str
    started_at: float
    ending: Ending = Ending.RUNNING


class Ledger:
    """Every execution of one server, in order of start.

    Attributes:
        executions: The executions.
    """

    __slots__ = ('executions',)

    def __init__(self) -> None:
        """Starts empty."""
        self.executions: list[Execution] = []

    def start(
        self, request_id: str, method: str, path: str, now: float
    ) -> Execution:
        """Notes that an execution starts."""
        execution = Execution(
            request_id=request_id, method=method, path=path, started_at=now
        )
        self.executions.append(execution)
        return execution
