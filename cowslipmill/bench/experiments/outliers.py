"""Servers that pass their health check and fail requests at once.

Five servers behind hosts of one failure domain, and callers that each send
one request after the other, half of them safe. A second after the callers
began, the bad servers begin to fail.
"""

from asyncio import get_running_loop
from asyncio import sleep

from msgspec import Struct
from msgspec.structs import replace

from cowslipmill.bench.experiment import Context
from cowslipmill.bench.experiment import Result
from cowslipmill.bench.hoststage import HostStage
from cowslipmill.standin.backend import Ending
from cowslipmill.standin.backend import RawAnswer
from cowslipmill.standin.backend import SERVER_ERROR
from cowslipmill.standin.backend import Stream

SERVERS = 5
SLOTS = 8
WORK_S = 0.12
CALLERS = 40
FLEET_HOSTS = 18
START_S = 2.0
START_S_PER_HOST = 0.4
WARM_UP_S = 1.0
DEFAULT_SECONDS = 10.0
RESET = RawAnswer(b'', Ending.RESETS)


class Arm(Struct, frozen=True):
    """What fails, and how.

    Attributes:
        fault: What a bad server sends in place of an answer.
        bad: Number of bad servers.
        failed_share: Share of its requests that a bad server fails.
        hosts: Number of hosts.
        from_start: Whether the bad servers fail from the first request on.
    """

    fault: Stream | RawAnswer | None
    bad: int = 1
    failed_share: float = 1.0
    hosts: int = 1
    from_start: bool = False


HEADERS = Arm(Stream.HEADERS)
ARMS = {
    'none': Arm(None),
    'headers': HEADERS,
    'headers-at-start': replace(HEADERS, from_start=True),
    'interim': Arm(Stream.INTERIM),
    'reset': Arm(RESET),
    'error': Arm(SERVER_ERROR),
    'half': replace(HEADERS, failed_share=0.5),
    'fifth': replace(HEADERS, failed_share=0.2),
    'two': replace(HEADERS, bad=2),
    'fleet': replace(HEADERS, hosts=FLEET_HOSTS),
}


async def run(context: Context) -> Result:
    """Measures each arm with processes of its own."""
    arms = {}
    for step, (name, arm) in enumerate(ARMS.items()):
        context.progress(step / len(ARMS), name)
        arms[name] = await run_arm(context, arm)
    return Result(hosts=1, figures=arms['headers'], arms=arms)


async def run_arm(context: Context, arm: Arm) -> dict[str, float]:
    """Returns the figures of one arm."""
    seconds = context.seconds or DEFAULT_SECONDS
    stage = HostStage(context)
    try:
        await stage.start(arm.hosts, SERVERS, slots=SLOTS, work_s=WORK_S)
        await sleep(START_S + arm.hosts * START_S_PER_HOST)
        bad = stage.backends[: arm.bad]
        if arm.from_start:
            set_fault(stage, arm)
            stage.began_at = loop_time()
        stage.start_callers(CALLERS)
        if not arm.from_start:
            await sleep(WARM_UP_S)
            set_fault(stage, arm)
            stage.began_at = loop_time()
        before = sum(backend.failed_at_once for backend in bad)
        await sleep(seconds)
        spent = sum(backend.failed_at_once for backend in bad) - before
        got = sum(len(backend.runs) for backend in bad)
        total = sum(len(backend.runs) for backend in stage.backends)
    finally:
        await stage.stop()
    whole = range(int(seconds))
    return {
        'served_share': stage.served_share(0, int(seconds)),
        'served_share_from_second_2': stage.served_share(1, int(seconds)),
        'least_served_share_from_second_2': min(
            stage.served_share(second, second + 1) for second in whole[1:]
        ),
        'unserved_in_second_1': 1 - stage.served_share(0, 1),
        'failed_at_bad_servers': spent,
        'share_of_bad_servers': got / total,
        'requests_per_s': stage.results.total() / seconds,
    }


def loop_time() -> float:
    """Returns the loop's time in seconds."""
    return get_running_loop().time()


def set_fault(stage: HostStage, arm: Arm) -> None:
    """Has the bad servers fail from now on."""
    for backend in stage.backends[: arm.bad]:
        backend.fails_at_once = arm.fault
        backend.failed_share = arm.failed_share
