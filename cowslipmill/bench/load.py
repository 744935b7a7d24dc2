"""Open-loop load: arrivals do not wait for answers."""

from asyncio import Event
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import Task
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from aiohttp import ClientError
from aiohttp import ClientSession

from cowslipmill.bench.recorder import Recorder
from cowslipmill.outcomes.rendering import OUTCOME_HEADER

LOST = 'lost'

Send = Callable[[int], Awaitable[str]]


class Load:
    """Poisson arrivals at a rate.

    Attributes:
        per_second: Mean arrivals each second.
        seconds: Length.
        seed: Seed of the gaps between arrivals.
    """

    __slots__ = ('per_second', 'seconds', 'seed')

    def __init__(self, per_second: float, seconds: float, seed: int) -> None:
        """Keeps the three."""
        self.per_second = per_second
        self.seconds = seconds
        self.seed = seed


async def offer(
    load: Load,
    send: Send,
    *,
    recorder: Recorder | None = None,
    progress: Callable[[float], None] | None = None,
    stop: Event | None = None,
) -> Recorder:
    """Sends requests at their due times and waits for the last answer.

    Args:
        load: Arrivals.
        send: Sends the request of a number and returns its outcome.
        recorder: Takes the results; a new one if left out.
        progress: Called with the share of the time that has passed.
        stop: Ends the arrivals early once it is set.

    Returns:
        The recorder.
    """
    recorder = recorder or Recorder()
    loop = get_running_loop()
    random = Random(load.seed)
    started_at = loop.time()
    due_at = started_at
    tasks: set[Task[None]] = set()
    number = 0
    while stop is None or not stop.is_set():
        due_at += random.expovariate(load.per_second)
        if due_at - started_at >= load.seconds:
            break
        if due_at > loop.time():
            await sleep(due_at - loop.time())
        task = loop.create_task(send_one(send, number, due_at, recorder))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        if progress is not None and number % 100 == 0:
            progress((due_at - started_at) / load.seconds)
    await gather(*tasks)
    return recorder


async def send_one(
    send: Send, number: int, due_at: float, recorder: Recorder
) -> None:
    """Sends one request and records how it ended."""
    try:
        outcome = await send(number)
    except (ClientError, OSError, TimeoutError):
        outcome = LOST
    recorder.record(outcome, get_running_loop().time() - due_at)


async def call(
    session: ClientSession,
    method: str,
    url: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
) -> str:
    """Makes one call and returns its outcome by the header.

    An answer without the header is `answered` if its status is below 500.
    """
    async with session.request(
        method, url, headers=headers, data=body
    ) as answer:
        await answer.read()
        header = answer.headers.get(OUTCOME_HEADER)
        if header is not None:
            return header.partition(';')[0]
        return 'answered' if answer.status < 500 else 'unknown'
