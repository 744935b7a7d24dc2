"""The program `cowslipmill-bench`."""

from asyncio import run as run_loop
from importlib import import_module
from logging import getLogger
from logging import WARNING
from pathlib import Path
from pkgutil import iter_modules
import sys

from absl import flags
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import TCPConnector
from tqdm import tqdm

from cowslipmill.bench import experiments
from cowslipmill.bench.experiment import Context
from cowslipmill.bench.experiment import Result
from cowslipmill.bench.plot import plot_latency
from cowslipmill.bench.report import json_line
from cowslipmill.bench.report import table_lines
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.layout import SERVER_COUNTS
from cowslipmill.launch.network import Network
from cowslipmill.runtime.program import run_program
from cowslipmill.runtime.program import UsageError

CALL_TIMEOUT = ClientTimeout(total=60.0)
PROGRESS_STEPS = 1000


def experiment_names() -> list[str]:
    """Returns the names of all experiments."""
    names = [module.name for module in iter_modules(experiments.__path__)]
    return sorted(name for name in names if name != 'tests')


async def run_experiment(
    name: str, deployment: str, seconds: float | None, seed: int
) -> Result:
    """Runs one experiment and ends every process that it started."""
    module = import_module(f'{experiments.__name__}.{name}')
    connector = TCPConnector(limit=0, keepalive_timeout=30.0)
    with (
        Launcher() as launcher,
        tqdm(total=PROGRESS_STEPS, disable=None, leave=False) as bar,
    ):
        async with ClientSession(
            connector=connector, timeout=CALL_TIMEOUT
        ) as session:

            def show_progress(share: float, label: str) -> None:
                bar.set_description(label)
                bar.update(int(share * PROGRESS_STEPS) - bar.n)

            context = Context(
                deployment,
                seconds,
                seed,
                Network.for_this_process(),
                launcher,
                session,
                show_progress,
            )
            result: Result = await module.run(context)
            return result


def main(arguments: list[str]) -> int:
    """Runs an experiment with real processes on this machine."""
    values = flags.FLAGS
    if values.experiment is None:
        names = ', '.join(experiment_names())
        raise UsageError(f'--experiment: name one of {names}')
    if values.seconds is not None and values.seconds <= 0:
        raise UsageError('--seconds: must be more than 0')
    getLogger().setLevel(WARNING)
    result = run_loop(
        run_experiment(
            values.experiment, values.deployment, values.seconds, values.seed
        )
    )
    title = f'{values.experiment}, {values.deployment}'
    if values.plot is not None:
        plot_latency(Path(values.plot), title, result.recorders)
    print(title, f'seed {values.seed}, {result.hosts} hosts', sep=', ')
    print(*table_lines(result), sep='\n')
    sys.stdout.flush()
    print(json_line(values.experiment, values.deployment, values.seed, result))
    return 0


def run() -> None:
    """Starts the program from the command line."""
    flags.DEFINE_enum(
        'experiment', None, experiment_names(), 'What to measure.'
    )
    flags.DEFINE_enum(
        'deployment', 'caroni', list(SERVER_COUNTS), 'Whose sizes to use.'
    )
    flags.DEFINE_float(
        'seconds', None, 'Length of the load, if not the default.'
    )
    flags.DEFINE_integer('seed', 1, 'Seed of arrivals, times and faults.')
    flags.DEFINE_string('plot', None, 'PNG file for the latency curves.')
    run_program(main)
