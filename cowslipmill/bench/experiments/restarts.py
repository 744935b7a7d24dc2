"""Every entry, agent and server restarted in turn under load.

A server leaves as the users' servers do: the host list and its own answers
say so, it finishes what it has, stops, and comes back as a new incarnation.
"""

from asyncio import create_task
from asyncio import Event
from asyncio import sleep
from signal import SIGTERM

from msgspec import json
from msgspec.structs import replace

from cowslipmill.bench.balancer import Balancer
from cowslipmill.bench.experiment import Context
from cowslipmill.bench.experiment import Result
from cowslipmill.bench.ledgers import count_executions
from cowslipmill.bench.load import call
from cowslipmill.bench.load import Load
from cowslipmill.bench.load import offer
from cowslipmill.bench.recorder import Recorder
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.launch.deployment import Deployment
from cowslipmill.launch.layout import Layout
from cowslipmill.publication.hostlist import HostList
from cowslipmill.standin.behaviour import Behaviour
from cowslipmill.standin.settings import ServerSettings

HOST_COUNT = 6
RESTARTED_SERVERS = 4
PER_SECOND = 150.0
MAX_SECONDS = 120.0
SERVICE_MS = 20.0
LEAVING_S = 3.5
SETTLE_S = 0.5

REQUESTS = {
    'caroni': ('/technicians/{}/standing', '/exams/{}/bookings'),
    'mtatsminda': ('/cases/{}', '/letters/{}/submissions'),
}


class Sender:
    """Sends idempotent and non-idempotent requests in turn.

    Attributes:
        outcomes: Outcome of each request by its identifier.
    """

    __slots__ = ('balancer', 'context', 'outcomes', 'paths')

    def __init__(self, context: Context, balancer: Balancer) -> None:
        """Keeps the parts."""
        self.context = context
        self.balancer = balancer
        self.paths = REQUESTS[context.deployment]
        self.outcomes: dict[str, str] = {}

    async def send(self, number: int) -> str:
        """Sends one request and returns its outcome."""
        is_post = number % 2 == 1
        path = self.paths[is_post].format(number)
        identifier = f'{"post" if is_post else "get"}-{number}'
        self.outcomes[identifier] = 'lost'
        outcome = await call(
            self.context.session,
            'POST' if is_post else 'GET',
            f'http://{self.balancer.pick(number)}{path}',
            headers={'Request-Id': identifier},
            body=b'{}' if is_post else None,
        )
        self.outcomes[identifier] = outcome
        return outcome


async def run(context: Context) -> Result:
    """Restarts everything once while requests keep coming."""
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
    async with Balancer(context.session, admins) as balancer:
        sender = Sender(context, balancer)
        recorder = Recorder()
        seconds = context.seconds or MAX_SECONDS
        load = Load(PER_SECOND, seconds, context.seed)
        stop = Event()
        offered = create_task(
            offer(load, sender.send, recorder=recorder, stop=stop)
        )
        await restart_hosts(context, deployment)
        await restart_servers(context, deployment)
        stop.set()
        await offered
    figures = await count(context, layout, sender)
    figures['p99_ms'] = recorder.percentile_ms(99)
    return Result(
        hosts=HOST_COUNT, figures=figures, recorders={'restarts': recorder}
    )


async def restart_hosts(context: Context, deployment: Deployment) -> None:
    """Restarts the entry and the agent of each host in turn."""
    launcher = context.launcher
    for index in range(HOST_COUNT):
        context.progress(index / HOST_COUNT / 2, f'host {index}')
        launcher.send_signal(f'entry-{index}', SIGTERM)
        while launcher.is_running(f'entry-{index}'):
            await sleep(0.05)
        launcher.send_signal(f'agent-{index}', SIGTERM)
        while launcher.is_running(f'agent-{index}'):
            await sleep(0.05)
        deployment.start_agent(index)
        deployment.start_entry(index)
        await deployment.wait_for_entry(index)


async def restart_servers(context: Context, deployment: Deployment) -> None:
    """Has some servers leave, stop and come back."""
    hosts = deployment.layout.host_list()
    for step, server in enumerate(
        deployment.layout.servers[:RESTARTED_SERVERS]
    ):
        context.progress(0.5 + step / RESTARTED_SERVERS / 2, server.name)
        hosts = change_state(hosts, server.name, LifecycleState.LEAVING)
        await deployment.publish_hosts(hosts)
        await set_behaviour(context, server, Behaviour(draining=True))
        await sleep(LEAVING_S)
        url = f'http://{server.address}/standin/crash?down_ms=200'
        async with context.session.post(url) as answer:
            answer.raise_for_status()
        await sleep(SETTLE_S)
        await deployment.wait_until_ready(f'{server.address}/healthz')
        await set_behaviour(context, server, Behaviour())
        hosts = change_state(hosts, server.name, LifecycleState.LIVE)
        await deployment.publish_hosts(hosts)


def change_state(
    hosts: HostList, name: str, state: LifecycleState
) -> HostList:
    """Returns the next host list; back to live is a new incarnation."""
    changed = tuple(
        replace(
            fact,
            state=state,
            incarnation=fact.incarnation + (state is LifecycleState.LIVE),
        )
        if fact.name == name
        else fact
        for fact in hosts.hosts
    )
    return HostList(revision=hosts.revision + 1, hosts=changed)


async def set_behaviour(
    context: Context, server: ServerSettings, behaviour: Behaviour
) -> None:
    """Sets the faults in force at one server."""
    url = f'http://{server.address}/standin/behaviour'
    async with context.session.put(url, data=json.encode(behaviour)) as answer:
        answer.raise_for_status()


async def count(
    context: Context, layout: Layout, sender: Sender
) -> dict[str, float]:
    """Compares the callers' outcomes with the servers' ledgers."""
    executions = await count_executions(context.session, layout.servers)
    outcomes = sender.outcomes
    posts = {key for key in outcomes if key.startswith('post')}
    return {
        'requests': len(outcomes),
        'cut': sum(
            outcome in ('unknown', 'lost') for outcome in outcomes.values()
        ),
        'not_run': sum(outcome == 'not-run' for outcome in outcomes.values()),
        'doubled': sum(executions[key] > 1 for key in posts),
        'wrongly_not_run': sum(
            outcome == 'not-run' and executions[key] > 0
            for key, outcome in outcomes.items()
        ),
    }
