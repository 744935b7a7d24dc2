"""A rush of one and a half times the capacity, and what comes after it."""

from asyncio import get_running_loop
from collections import Counter
from statistics import quantiles

from msgspec.structs import replace

from cowslipmill.bench.experiment import Context
from cowslipmill.bench.experiment import Result
from cowslipmill.bench.load import Load
from cowslipmill.bench.load import offer
from cowslipmill.bench.load import Send
from cowslipmill.bench.stage import HOST_COUNT
from cowslipmill.bench.stage import SCENES
from cowslipmill.bench.stage import Sent
from cowslipmill.bench.stage import Stage
from cowslipmill.choice.rule import Rule

CALM = 0.6
RUSH = 1.5
CALM_SECONDS = 3.0
DEFAULT_RUSH_SECONDS = 8.0
AFTER_SECONDS = 4.0
# The first answers of a rush still use the slots that were free before it.
SETTLING_SECONDS = 1.0
WINDOW_S = 0.25
RECOVERED_FACTOR = 2.0

# Long enough that neither the load generator nor the entries are the limit.
SERVICE_MS = 200.0

ARMS = (Rule.LEAST_IN_FLIGHT, Rule.COWSLIPMILL)


async def run(context: Context) -> Result:
    """Measures the rush under each way of choosing."""
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
    clock = get_running_loop().time
    rush_s = context.seconds or DEFAULT_RUSH_SECONDS
    capacity = stage.capacity_per_second
    async with stage.feed:
        stage.publish()
        await stage.start_entries(rule)
        started_before = Counter(await started(stage))
        stage.sent.clear()
        calm = Load(CALM * capacity, CALM_SECONDS, context.seed)
        await offer(calm, stage.send)
        before = list(stage.sent)
        stage.sent.clear()
        cpu_before = stage.cpu_s()
        rush_from = clock()
        await offer_rush(stage, rush_s)
        cpu = stage.cpu_s()
        counters = await stage.read_counters()
        runs = Counter(await started(stage)) - started_before
        await stage.stop_entries()
    figures = rush_figures(stage, stage.sent, rush_from, rush_s)
    rush_to = rush_from + rush_s
    figures['recovery_s'] = recovery_s(before, stage.sent, rush_to)
    requests = len(before) + len(stage.sent)
    repeated = sum(runs.values()) - len(runs)
    figures['retries_share'] = round(repeated / requests, 5)
    calls = counters['measuring_calls']
    figures['measuring_calls_per_request'] = round(calls / requests, 5)
    for name, used_s in cpu.items():
        spent = used_s - cpu_before[name]
        figures[f'{name}_cores'] = round(spent / (rush_s + AFTER_SECONDS), 2)
    return figures


async def offer_rush(stage: Stage, rush_s: float) -> None:
    """Offers the rush and, without a gap, the calm that follows."""
    capacity = stage.capacity_per_second
    seed = stage.context.seed
    loop = get_running_loop()
    rush = loop.create_task(
        offer(
            Load(RUSH * capacity, rush_s, seed + 1),
            send_from(stage, 1_000_000),
        )
    )
    ends_at = loop.time() + rush_s
    done = loop.create_future()
    loop.call_at(ends_at, done.set_result, None)
    await done

    after = Load(CALM * capacity, AFTER_SECONDS, seed + 2)
    await offer(after, send_from(stage, 2_000_000))
    await rush


def send_from(stage: Stage, first: int) -> Send:
    """Returns what sends requests numbered from a first one on."""

    async def send(number: int) -> str:
        return await stage.send(first + number)

    return send


async def started(stage: Stage) -> list[str]:
    """Returns the request id of every execution."""
    return [
        execution.request_id
        for ledger in await stage.read_ledgers()
        for execution in ledger
    ]


def rush_figures(
    stage: Stage, sent: list[Sent], rush_from: float, rush_s: float
) -> dict[str, float]:
    """Returns what the callers saw during the rush."""
    deadline_s = stage.scene.deadline_ms / 1000
    settled_at = rush_from + SETTLING_SECONDS
    rush_to = rush_from + rush_s
    answered_in_time = [
        one
        for one in sent
        if one.outcome == 'answered' and one.took_s <= deadline_s
    ]
    goodput = sum(
        settled_at <= one.sent_at + one.took_s < rush_to
        for one in answered_in_time
    )
    capacity = stage.capacity_per_second * (rush_s - SETTLING_SECONDS)
    rush = [one for one in sent if one.sent_at < rush_to]
    answered = [one for one in rush if one.outcome == 'answered']
    late = sum(one.took_s > deadline_s for one in answered)
    refused = [one for one in rush if one.outcome == 'not-run']
    unknown = len(rush) - len(answered) - len(refused)
    return {
        'goodput_share': round(goodput / capacity, 4),
        'answered_late_share': round(late / max(1, len(answered)), 5),
        'refused_share': round(len(refused) / len(rush), 4),
        'unknown_share': round(unknown / len(rush), 5),
        'refusal_p99_ms': p99_ms(refused),
        'answer_p99_ms': p99_ms(answered),
    }


def p99_ms(sent: list[Sent]) -> float:
    """Returns the 99th percentile of the time until the end."""
    if len(sent) < 2:
        return 0.0
    times = [one.took_s for one in sent]
    return round(quantiles(times, n=100)[98] * 1000, 1)


def recovery_s(before: list[Sent], sent: list[Sent], rush_to: float) -> float:
    """Returns when after the rush requests are as well off as before it.

    That is the end of the last window with a request that was not answered,
    or whose median took more than twice the 95th percentile from before.
    """
    usual_s = quantiles([one.took_s for one in before], n=20)[18]
    recovered_at = 0.0
    windows = int(AFTER_SECONDS / WINDOW_S)
    for index in range(windows):
        start = rush_to + index * WINDOW_S
        there = [s for s in sent if start <= s.sent_at < start + WINDOW_S]
        times = sorted(one.took_s for one in there)
        slow = times and times[len(times) // 2] > RECOVERED_FACTOR * usual_s
        if slow or any(one.outcome != 'answered' for one in there):
            recovered_at = (index + 1) * WINDOW_S
    return recovered_at
