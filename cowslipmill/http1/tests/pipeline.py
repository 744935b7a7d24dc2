"""A connection whose handler ends when a test says so."""

from asyncio import Future
from asyncio import get_running_loop
from asyncio import sleep

from cowslipmill.http1.callerserver import CallerServer
from cowslipmill.http1.exchange import Exchange
from cowslipmill.http1.message import Request
from cowslipmill.http1.message import Response
from cowslipmill.http1.tests.test_chunkpacer import PausedSink
from cowslipmill.http1.tests.test_memory import LIMITS
from cowslipmill.http1.tests.test_oddrequests import make_request
from cowslipmill.http1.tests.test_oddrequests import parse_answers
from cowslipmill.memory.budget import MemoryBudget

# Turns of the event loop after which nothing more happens by itself.
TURNS = 20


def is_read(request: Request) -> bool:
    """Returns whether a request is idempotent, as its target says."""
    return request.target.startswith(b'/r')


class Pipeline:
    """A listener, and one connection whose caller pipelines.

    Attributes:
        now: Monotonic seconds.
        budget: The memory of callers.
        begun: Names of the requests whose handler was called, in order.
        cancelled: Names of those whose handler was told to end.
        results: What each handler waits for, by name.
    """

    def __init__(self, limit_bytes: int = 1_000_000) -> None:
        """Opens the connection.

        Args:
            limit_bytes: Limit of the memory of callers.
        """
        self.now = 0.0
        self.budget = MemoryBudget('callers', limit_bytes)
        self.begun: list[str] = []
        self.cancelled: list[str] = []
        self.results: dict[str, Future[Response | None]] = {}
        self.server = CallerServer(
            self.handle,
            LIMITS,
            lambda: self.now,
            self.budget,
            may_overlap=is_read,
            request_id_header=b'x-id',
            work_clock=lambda: 0.0,
        )
        self.sink = PausedSink(self.server())

    async def handle(
        self, request: Request, exchange: Exchange
    ) -> Response | None:
        """Returns what the test sets for the request."""
        name = request.target.decode()[1:]
        task = exchange.task
        assert task is not None

        def on_disconnect() -> None:
            """Cancels the request if it is idempotent."""
            self.cancelled.append(name)
            if is_read(request):
                task.cancel()

        self.begun.append(name)
        exchange.on_disconnect = on_disconnect
        self.results[name] = get_running_loop().create_future()
        return await self.results[name]

    async def send(self, *names: str, fields: bytes = b'') -> None:
        """Sends requests in one go and lets the event loop turn."""
        data = b''.join(make_request(name.encode(), fields) for name in names)
        self.sink.protocol.data_received(data)
        await self.turn()

    async def answer(self, name: str, response: Response | None) -> None:
        """Has the handler of a request return a response."""
        self.results[name].set_result(response)
        await self.turn()

    async def answer_briefly(self, *names: str) -> None:
        """Has handlers return a response whose body is the name."""
        for name in names:
            await self.answer(name, Response(200, [], name.encode()))

    async def turn(self) -> None:
        """Lets the event loop turn until nothing happens by itself."""
        for _ in range(TURNS):
            await sleep(0)

    @property
    def answers(self) -> list[str]:
        """Status and body of each answer that the caller has."""
        return parse_answers(bytes(self.sink.sent))
