"""The cost of a call between two peers.

Both ends run in this process, so the processor time of a call counts both
sides and the round trip has no second process to wake.
"""

from asyncio import gather
from random import Random
from time import perf_counter
from time import process_time
from typing import Any

from msgspec import Struct

from cowslipmill.bench.experiment import Context
from cowslipmill.bench.experiment import Result
from cowslipmill.bench.recorder import Recorder
from cowslipmill.launch.layout import AGENT_PEER_PORT
from cowslipmill.launch.layout import PEER_KEY
from cowslipmill.peers.frame import make_frame_codec
from cowslipmill.peers.link import Unreachable
from cowslipmill.peers.links import PeerLinks
from cowslipmill.peers.server import PeerServer

CALLS = 4_000
CONCURRENCY = {'one at a time': 1, 'twenty at a time': 20}
TIMEOUT_S = 5.0
MAX_BYTES = 65_536


class Question(Struct, frozen=True, tag='question'):
    """A call as small as one for a lease."""

    number: int
    service: str
    remaining_ms: int


class Reply(Struct, frozen=True, tag='reply'):
    """Its reply."""

    number: int
    server: str


async def answer(message: Any, peer: str) -> Reply:
    """Answers a question."""
    return Reply(message.number, 'registry-11')


async def run(context: Context) -> Result:
    """Measures calls one at a time and twenty at a time."""
    address = context.network.host(0, AGENT_PEER_PORT)
    codec = make_frame_codec((Question, Reply), max_bytes=MAX_BYTES)
    keys = (PEER_KEY,)
    arms = {}
    recorders = {}
    server = PeerServer(address, 'peer_listen', keys, codec, answer)
    links = PeerLinks('entry-0', keys, codec, Random(context.seed))
    async with server, links:
        await links.call(address, Question(0, 'registry', 1), TIMEOUT_S)
        for name, concurrency in CONCURRENCY.items():
            recorder = Recorder()
            started_at = process_time()
            await gather(
                *(
                    call_again(links, address, CALLS // concurrency, recorder)
                    for _ in range(concurrency)
                )
            )
            cpu_s = process_time() - started_at
            recorders[name] = recorder
            arms[name] = {
                'p50_us': recorder.percentile_ms(50) * 1000,
                'p99_us': recorder.percentile_ms(99) * 1000,
                'cpu_us_per_call': round(cpu_s * 1_000_000 / CALLS, 1),
            }
    figures = arms['one at a time']
    return Result(hosts=1, figures=figures, arms=arms, recorders=recorders)


async def call_again(
    links: PeerLinks, address: str, count: int, recorder: Recorder
) -> None:
    """Makes calls in turn."""
    for number in range(count):
        started_at = perf_counter()
        message = Question(number, 'registry', 2_000)
        reply = await links.call(address, message, TIMEOUT_S)
        outcome = 'lost' if isinstance(reply, Unreachable) else 'answered'
        recorder.record(outcome, perf_counter() - started_at)
