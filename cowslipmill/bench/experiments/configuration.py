"""How long a published document takes to be in force on every host.

Arms: all hosts well; a third of the hosts frozen while others publish, and
woken again; half of the hosts started anew while the platform is down. The
hosts are agents as processes, without entries.
"""

from asyncio import get_running_loop
from asyncio import sleep
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGSTOP

from cowslipmill.bench.agents import AgentBench
from cowslipmill.bench.experiment import Context
from cowslipmill.bench.experiment import Result

HOST_COUNT = 18
PUBLICATIONS = 50
PAUSE_S = 0.2
FROZEN_S = 6.0


async def run(context: Context) -> Result:
    """Runs the three arms on one fleet."""
    bench = AgentBench(context, HOST_COUNT)
    await bench.start()
    clock = get_running_loop().time
    started_at, calls = clock(), await bench.platform_calls()
    times: list[float] = []
    for step in range(PUBLICATIONS):
        context.progress(step / PUBLICATIONS / 2, 'publish')
        since = clock()
        await bench.publish()
        times += await bench.seconds_to_force(bench.hosts, since, clock)
        await sleep(PAUSE_S)
    calls = await bench.platform_calls() - calls
    per_second = calls / (clock() - started_at)
    context.progress(0.6, 'rejoin')
    rejoin = await rejoin_third(bench)
    context.progress(0.8, 'start of half')
    half = await start_half(bench)
    figures = {
        'in_force_p99_ms': percentile_ms(times, 0.99),
        'in_force_max_ms': percentile_ms(times, 1.0),
        'reverts': bench.reverts,
        'platform_calls_per_second': round(per_second, 2),
    }
    return Result(
        hosts=HOST_COUNT,
        figures=figures,
        arms={
            'well': figures,
            'third rejoins': {'in_force_max_ms': percentile_ms(rejoin, 1.0)},
            'half starts, platform down': {
                'in_force_max_ms': percentile_ms(half, 1.0)
            },
        },
    )


async def rejoin_third(bench: AgentBench) -> list[float]:
    """Returns the times in seconds from waking to the version in force."""
    clock = get_running_loop().time
    launcher = bench.context.launcher
    frozen = [index for index in bench.hosts if index % 3 == 0]
    awake = [index for index in bench.hosts if index % 3]
    for index in frozen:
        launcher.send_signal(f'agent-{index}', SIGSTOP)
    await bench.publish()
    await bench.wait_until(awake, bench.is_current)
    await sleep(FROZEN_S)
    since = clock()
    for index in frozen:
        launcher.send_signal(f'agent-{index}', SIGCONT)
    return await bench.seconds_to_force(frozen, since, clock)


async def start_half(bench: AgentBench) -> list[float]:
    """Returns the times in seconds from start to the version in force."""
    clock = get_running_loop().time
    launcher = bench.context.launcher
    await bench.deployment.switch('down?on=1')
    half = [index for index in bench.hosts if index % 2]
    for index in half:
        launcher.send_signal(f'agent-{index}', SIGKILL)
        launcher.wait(f'agent-{index}')
    since = clock()
    for index in half:
        bench.deployment.start_agent(index)
    times = await bench.seconds_to_force(half, since, clock)
    await bench.deployment.switch('down?on=0')
    await bench.publish()
    await bench.wait_until(bench.hosts, bench.is_current)
    return times


def percentile_ms(times: list[float], share: float) -> float:
    """Returns a percentile of seconds as milliseconds."""
    ordered = sorted(times)
    place = min(len(ordered) - 1, int(len(ordered) * share))
    return round(ordered[place] * 1000, 1)
