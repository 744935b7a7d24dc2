"""A third of the servers fail in a millisecond while reporting health."""

from asyncio import create_task
from asyncio import sleep
from collections import Counter

from msgspec.structs import replace

from cowslipmill.bench.experiment import Context
from cowslipmill.bench.experiment import Result
from cowslipmill.bench.load import Load
from cowslipmill.bench.load import offer
from cowslipmill.bench.stage import HOST_COUNT
from cowslipmill.bench.stage import SCENES
from cowslipmill.bench.stage import Stage
from cowslipmill.choice.rule import Rule
from cowslipmill.standin.behaviour import Behaviour
from cowslipmill.standin.ledger import Ending

UTILISATION = 0.5
DEFAULT_SECONDS = 10.0
HEALTHY_SECONDS = 2.0
WINDOW_S = 0.5

# Long enough that neither the load generator nor the entries are the limit.
SERVICE_MS = 200.0

ARMS = (Rule.ROUND_ROBIN, Rule.LEAST_IN_FLIGHT, Rule.COWSLIPMILL)


async def run(context: Context) -> Result:
    """Measures every arm."""
    scene = replace(SCENES[context.deployment], service_ms=SERVICE_MS)
    stage = Stage(context, scene)
    await stage.start_servers()
    arms = {}
    for step, rule in enumerate(ARMS):
        context.progress(step / len(ARMS), rule.value)
        arms[rule.value] = await run_arm(stage, rule)
    ours = arms[Rule.COWSLIPMILL.value]
    return Result(hosts=HOST_COUNT, figures=ours, arms=arms)


async def run_arm(stage: Stage, rule: Rule) -> dict[str, float]:
    """Returns the figures of one arm."""
    context = stage.context
    seconds = context.seconds or DEFAULT_SECONDS
    rate = UTILISATION * stage.capacity_per_second
    failing = range(len(stage.layout.servers) // 3)
    async with stage.feed:
        stage.publish()
        await stage.start_entries(rule)
        await offer(Load(rate, 1.0, context.seed + 1), stage.send)
        stage.sent.clear()
        before = [len(ledger) for ledger in await stage.read_ledgers()]
        faults = create_task(fail_later(stage, failing))
        load = Load(rate, seconds, context.seed)
        recorder = await offer(load, stage.send)
        await faults
        ledgers = await stage.read_ledgers()
        for index in failing:
            await stage.set_behaviour(index, Behaviour())
        await stage.stop_entries()
    tries: Counter[int] = Counter()
    failed: Counter[int] = Counter()
    for ledger, known in zip(ledgers, before, strict=True):
        for execution in ledger[known:]:
            window = int(execution.started_at / WINDOW_S)
            tries[window] += 1
            failed[window] += execution.ending is Ending.FAILED
    shares = [failed[window] / count for window, count in tries.items()]
    return {
        'idempotent_answered_share': recorder.share('answered'),
        'peak_failing_share': round(max(shares), 4),
        'mean_failing_share': round(failed.total() / tries.total(), 5),
        'refused_share': recorder.share('not-run'),
        'p99_ms': recorder.percentile_ms(99),
        'failing_servers': len(failing),
        'servers': len(stage.layout.servers),
    }


async def fail_later(stage: Stage, indexes: range) -> None:
    """Makes some servers fail after a healthy while."""
    await sleep(HEALTHY_SECONDS)
    for index in indexes:
        await stage.set_behaviour(index, Behaviour(failing_fast=True))
