"""What control costs an agent, by the number of hosts and of changes.

The hosts are agents as processes, without entries and without servers that
could be measured; the host list names the example's servers.
"""

from asyncio import get_running_loop
from asyncio import sleep
from pathlib import Path

from cowslipmill.bench.agents import AgentBench
from cowslipmill.bench.cpu import cpu_s
from cowslipmill.bench.experiment import Context
from cowslipmill.bench.experiment import Result
from cowslipmill.launch.network import Network

HOST_COUNTS = (6, 12, 18)
CHANGES_PER_SECOND = 2.0
ARM_S = 10.0
SETTLE_S = 2.0


async def run(context: Context) -> Result:
    """Measures each number of hosts, quiet and with changes."""
    arms = {}
    for step, count in enumerate(HOST_COUNTS):
        context.progress(step / len(HOST_COUNTS), f'{count} hosts')
        context.network = Network(step)
        bench = AgentBench(context, count)
        await bench.start()
        await sleep(SETTLE_S)
        arms[f'{count} hosts, quiet'] = await measure(bench, 0.0)
        arms[f'{count} hosts, changing'] = await measure(
            bench, CHANGES_PER_SECOND
        )
        context.launcher.stop_all()
    figures = dict(arms[f'{HOST_COUNTS[-1]} hosts, quiet'])
    few = arms[f'{HOST_COUNTS[0]} hosts, quiet']
    added = HOST_COUNTS[-1] - HOST_COUNTS[0]
    changing = arms[f'{HOST_COUNTS[-1]} hosts, changing']
    for name, value in list(figures.items()):
        figures[f'{name}_per_host'] = round((value - few[name]) / added, 6)
        per_change = (changing[name] - value) / CHANGES_PER_SECOND
        figures[f'{name}_per_change'] = round(per_change, 6)
    return Result(hosts=HOST_COUNTS[-1], figures=figures, arms=arms)


async def measure(
    bench: AgentBench, changes_per_second: float
) -> dict[str, float]:
    """Returns the mean cost of an agent."""
    clock = get_running_loop().time
    launcher = bench.context.launcher
    agents = [f'agent-{index}' for index in bench.hosts]
    ids = [launcher.processes[name].pid for name in agents]
    used_s, sent = cpu_s(ids), await read_sent(bench)
    started_at = clock()
    while clock() - started_at < ARM_S:
        if changes_per_second:
            await bench.publish()
            await sleep(1.0 / changes_per_second)
        else:
            await sleep(ARM_S)
    elapsed_s = (clock() - started_at) * len(ids)
    used_s, sent = cpu_s(ids) - used_s, await read_sent(bench) - sent
    return {
        'cpu_share': round(used_s / elapsed_s, 4),
        'rss_mb': round(sum(map(rss_mb, ids)) / len(ids), 1),
        'bytes_per_second': round(sent / elapsed_s, 1),
    }


async def read_sent(bench: AgentBench) -> float:
    """Returns the bytes that all agents have sent to peers."""
    total = 0.0
    for index in bench.hosts:
        admin = bench.layout.agent(index).admin_listen
        url = f'http://{admin}/metrics'
        async with bench.context.session.get(url) as answer:
            for line in (await answer.text()).splitlines():
                if line.startswith('cowslipmill_peer_sent_bytes_total '):
                    total += float(line.split()[1])
    return total


def rss_mb(process_id: int) -> float:
    """Returns the resident memory of a process."""
    for line in Path(f'/proc/{process_id}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / 1024
    return 0.0
