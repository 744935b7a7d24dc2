"""What one entry adds to a call.

Direct calls, calls through a bare aiohttp pass-through and calls through
one entry take turns at the same rate, to the same idle servers.
"""

from collections.abc import Callable
from random import Random

from cowslipmill.bench.experiment import Context
from cowslipmill.bench.experiment import Result
from cowslipmill.bench.load import call
from cowslipmill.bench.load import Load
from cowslipmill.bench.load import offer
from cowslipmill.bench.load import Send
from cowslipmill.bench.recorder import Recorder
from cowslipmill.launch.deployment import Deployment
from cowslipmill.launch.layout import Layout
from cowslipmill.standin.settings import PassthroughSettings
from cowslipmill.standin.settings import StandinSettings

CALLS_PER_SECOND = 200.0
SECONDS = 24.0
ROUNDS = 4
WARM_UP_S = 1.0
PASSTHROUGH_PORT = 8099
CPU_METRIC = '\nprocess_cpu_seconds_total '

ROUTES = {
    'caroni': ('registry', '/technicians/{}/standing'),
    'mtatsminda': ('casebook', '/cases/{}'),
}


def caller(context: Context, choose: Callable[[int], str], path: str) -> Send:
    """Returns a function that makes one call to a chosen address."""

    async def send(number: int) -> str:
        url = f'http://{choose(number)}{path.format(number)}'
        return await call(context.session, 'GET', url)

    return send


async def read_cpu_s(context: Context, admin: str) -> float:
    """Returns the processor time of a process so far."""
    async with context.session.get(f'http://{admin}/metrics') as answer:
        text = await answer.text()
    return float(text.partition(CPU_METRIC)[2].split()[0])


async def run(context: Context) -> Result:
    """Measures three ways in turn."""
    service, path = ROUTES[context.deployment]
    layout = Layout.example(
        context.deployment,
        context.network,
        host_count=1,
        service_ms=0.0,
        seed=context.seed,
    )
    deployment = Deployment(layout, context.launcher, context.session)
    await deployment.start()
    targets = tuple(
        server.address
        for server in layout.servers
        if server.service == service
    )
    passthrough = context.network.host(0, PASSTHROUGH_PORT)
    settings = StandinSettings(
        name='passthrough',
        passthrough=PassthroughSettings(address=passthrough, targets=targets),
    )
    context.launcher.start('standin', 'passthrough', settings)
    await deployment.wait_until_ready(f'{passthrough}/healthz')
    random = Random(context.seed)
    entry = layout.entry(0)
    sends = {
        'direct': caller(context, lambda number: random.choice(targets), path),
        'passthrough': caller(context, lambda number: passthrough, path),
        'entry': caller(context, lambda number: entry.listen, path),
    }
    return await compare(context, sends, entry.admin_listen)


async def compare(
    context: Context, sends: dict[str, Send], admin: str
) -> Result:
    """Offers the same load in every way, a round at a time."""
    turn_s = (context.seconds or SECONDS) / ROUNDS / len(sends)
    for send in sends.values():
        await offer(Load(CALLS_PER_SECOND, WARM_UP_S, context.seed), send)
    recorders = {name: Recorder() for name in sends}
    cpu_s = 0.0
    for number in range(ROUNDS):
        load = Load(CALLS_PER_SECOND, turn_s, context.seed + number)
        for name, send in sends.items():
            context.progress(number / ROUNDS, name)
            started_s = await read_cpu_s(context, admin)
            await offer(load, send, recorder=recorders[name])
            if name == 'entry':
                cpu_s += await read_cpu_s(context, admin) - started_s
    return summarise(recorders, cpu_s)


def summarise(recorders: dict[str, Recorder], cpu_s: float) -> Result:
    """Returns the latency that each hop adds to direct calls."""
    direct = recorders['direct']
    figures = {
        'direct_p50_ms': direct.percentile_ms(50),
        'direct_p99_ms': direct.percentile_ms(99),
    }
    prefixes = {'entry': '', 'passthrough': 'passthrough_'}
    for name, prefix in prefixes.items():
        for percentile in (50, 99):
            added_ms = recorders[name].percentile_ms(
                percentile
            ) - direct.percentile_ms(percentile)
            key = f'{prefix}added_p{percentile}_ms'
            figures[key] = round(added_ms, 3)
    calls = recorders['entry'].count
    figures['calls_per_core_second'] = round(calls / max(cpu_s, 0.01))
    unanswered = sum(
        recorder.count - recorder.outcomes['answered']
        for recorder in recorders.values()
    )
    figures['unanswered'] = unanswered
    return Result(hosts=1, figures=figures, recorders=recorders)
