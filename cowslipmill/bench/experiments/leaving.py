"""New work that a server gets after it has started to leave.

Under load, one server after the other starts to leave in a different way:
the host list says so; only its own answers say so; its own answers say so
while the platform is down; and one agent in three is frozen meanwhile.
"""

from asyncio import create_task
from asyncio import Event
from asyncio import sleep
from signal import SIGCONT
from signal import SIGSTOP
from time import time

from cowslipmill.bench.balancer import Balancer
from cowslipmill.bench.experiment import Context
from cowslipmill.bench.experiment import Result
from cowslipmill.bench.experiments.restarts import change_state
from cowslipmill.bench.experiments.restarts import Sender
from cowslipmill.bench.experiments.restarts import set_behaviour
from cowslipmill.bench.ledgers import read_ledger
from cowslipmill.bench.load import Load
from cowslipmill.bench.load import offer
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.launch.deployment import Deployment
from cowslipmill.launch.layout import Layout
from cowslipmill.standin.behaviour import Behaviour

HOST_COUNT = 6
PER_SECOND = 120.0
MAX_SECONDS = 60.0
SERVICE_MS = 20.0
WATCHED_S = 4.0
# Agents measure only once the fleet was whole for a while.
WARM_UP_S = 24.0
CASES = ('host list', 'own signal', 'platform down', 'frozen agents')


async def run(context: Context) -> Result:
    """Runs the cases one after the other."""
    layout = Layout.example(
        context.deployment,
        context.network,
        host_count=HOST_COUNT,
        service_ms=SERVICE_MS,
        seed=context.seed,
    )
    deployment = Deployment(layout, context.launcher, context.session)
    await deployment.start()
    entries = [layout.entry(index) for index in range(HOST_COUNT)]
    admins = {entry.listen: entry.admin_listen for entry in entries}
    arms = {}
    async with Balancer(context.session, admins) as balancer:
        sender = Sender(context, balancer)
        load = Load(PER_SECOND, MAX_SECONDS, context.seed)
        stop = Event()
        offered = create_task(offer(load, sender.send, stop=stop))
        await sleep(WARM_UP_S)
        for index, case in enumerate(CASES):
            context.progress(index / len(CASES), case)
            arms[case] = await leave(context, deployment, index, case)
        stop.set()
        await offered
    values = [arm['new_work_after_ms'] for arm in arms.values()]
    figures = {
        'new_work_after_ms_max': max(values),
        'requests': len(sender.outcomes),
        'cut': sum(
            outcome in ('unknown', 'lost')
            for outcome in sender.outcomes.values()
        ),
    }
    return Result(hosts=HOST_COUNT, figures=figures, arms=arms)


async def leave(
    context: Context, deployment: Deployment, index: int, case: str
) -> dict[str, float]:
    """Has one server leave and returns when it got its last new work."""
    server = deployment.layout.servers[index]
    frozen = range(0, HOST_COUNT, 3) if case == 'frozen agents' else ()
    for host in frozen:
        context.launcher.send_signal(f'agent-{host}', SIGSTOP)
    if case == 'platform down':
        await deployment.switch('down?on=1')
    since = time()
    if case == 'host list':
        hosts = deployment.layout.host_list()
        await deployment.publish_hosts(
            change_state(hosts, server.name, LifecycleState.LEAVING)
        )
    else:
        await set_behaviour(context, server, Behaviour(draining=True))
    await sleep(WATCHED_S)
    if case == 'platform down':
        await deployment.switch('down?on=0')
    for host in frozen:
        context.launcher.send_signal(f'agent-{host}', SIGCONT)
    ledger = await read_ledger(context.session, server)
    starts = [execution.started_at for execution in ledger]
    last = max((at - since for at in starts if at >= since), default=0.0)
    return {
        'new_work_after_ms': round(last * 1000, 1),
        'new_work': sum(at >= since for at in starts),
        'work_before': sum(at < since for at in starts),
    }
