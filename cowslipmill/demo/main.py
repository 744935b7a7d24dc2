"""The program `cowslipmill-demo`."""

from asyncio import Event
from asyncio import gather
from asyncio import get_running_loop
from asyncio import run as run_loop
from signal import SIGINT
from signal import SIGTERM

from absl import flags
from aiohttp import ClientSession

from cowslipmill.demo.demo import send_request
from cowslipmill.demo.demo import Tally
from cowslipmill.launch.deployment import Deployment
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.layout import Layout
from cowslipmill.launch.network import Network
from cowslipmill.runtime.program import run_program

HOST_COUNT = 3
REQUEST_COUNT = 500
CONCURRENCY = 20


async def run_demo(keep_running: bool) -> int:
    """Runs the demo and returns the exit status.

    The status is 0 if every request was answered and every process exited
    with status 0.
    """
    layout = Layout.example(
        'caroni', Network.for_this_process(), host_count=HOST_COUNT
    )
    with Launcher() as launcher:
        async with ClientSession() as session:
            deployment = Deployment(layout, launcher, session)
            print('starting platform, servers, agents and entries ...')
            await deployment.start()
            print(f'{len(launcher.processes)} processes are ready')
            tally = Tally()
            await send_requests(session, deployment, tally)
            print(*tally.format_lines(), sep='\n')
            if keep_running:
                await wait_for_interrupt(deployment)
        statuses = launcher.stop_all()
    failed = {name: status for name, status in statuses.items() if status}
    print(f'all {len(statuses)} processes have ended')
    if failed:
        print('with an error:', failed)
    answered = sum(
        count
        for (_, outcome), count in tally.outcomes.items()
        if outcome == 'answered'
    )
    return 0 if answered == REQUEST_COUNT and not failed else 1


async def send_requests(
    session: ClientSession, deployment: Deployment, tally: Tally
) -> None:
    """Sends the requests of the demo in batches of CONCURRENCY."""
    for first in range(0, REQUEST_COUNT, CONCURRENCY):
        numbers = range(first, first + CONCURRENCY)
        await gather(
            *(send_request(session, deployment, n, tally) for n in numbers)
        )


async def wait_for_interrupt(deployment: Deployment) -> None:
    """Prints sample commands and waits for SIGINT or SIGTERM."""
    layout = deployment.layout
    for index in range(layout.host_count):
        settings = layout.entry(index)
        print(f'curl -i http://{settings.listen}/technicians/7/standing')
        print(f'curl http://{settings.admin_listen}/metrics')
    print('press Ctrl-C to stop', flush=True)
    stop = Event()
    for signal_number in (SIGINT, SIGTERM):
        get_running_loop().add_signal_handler(signal_number, stop.set)
    await stop.wait()


def main(arguments: list[str]) -> int:
    """Shows a whole deployment at work on this machine."""
    return run_loop(run_demo(flags.FLAGS.keep_running))


def run() -> None:
    """Starts the program from the command line."""
    flags.DEFINE_bool(
        'keep_running', False, 'Keep the deployment running until Ctrl-C.'
    )
    run_program(main)
