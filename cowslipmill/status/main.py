"""The program `cowslipmill-status`."""

from asyncio import run as run_loop
from functools import singledispatch
from pathlib import Path
import re
from time import monotonic

from absl import flags
from aiohttp import ClientSession
from msgspec import json

from cowslipmill.runtime.program import define_settings_flag
from cowslipmill.runtime.program import FAILURE_STATUS
from cowslipmill.runtime.program import run_program
from cowslipmill.runtime.program import UsageError
from cowslipmill.settings.loader import load_settings
from cowslipmill.settings.settings import ConsoleSettings
from cowslipmill.status.collector import collect_status
from cowslipmill.status.collector import HostReport
from cowslipmill.status.collector import HostResult
from cowslipmill.status.collector import NoResponse
from cowslipmill.status.rolloutstate import all_agree
from cowslipmill.status.table import format_table

ADDRESS = re.compile(r'^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$')


def find_addresses() -> tuple[str, ...]:
    """Returns the agents' addresses from `--agents` or `--settings`.

    Raises:
        UsageError: If there are none or one is malformed.
        InvalidSettings: If the settings have faults.
    """
    if flags.FLAGS.settings is not None:
        path = Path(flags.FLAGS.settings)
        return load_settings(path, ConsoleSettings).agents
    addresses = tuple(flags.FLAGS.agents)
    if not addresses:
        raise UsageError('--agents: give addresses, or --settings a file')
    for address in addresses:
        if not ADDRESS.match(address):
            raise UsageError(f'--agents: {address!r} is not IP:PORT')
    return addresses


async def collect(addresses: tuple[str, ...]) -> tuple[HostResult, ...]:
    """Asks all agents once."""
    async with ClientSession() as session:
        return await collect_status(session, addresses, monotonic)


@singledispatch
def describe_answer(answer: HostResult) -> dict[str, object]:
    """Returns an answer as an object for `--json`."""
    raise TypeError(f'not an answer: {answer!r}')


@describe_answer.register
def describe_report(answer: HostReport) -> dict[str, object]:
    """Returns the whole status."""
    return {'address': answer.address, 'status': answer.status}


@describe_answer.register
def describe_no_answer(answer: NoResponse) -> dict[str, object]:
    """Returns the reason."""
    return {'address': answer.address, 'no_answer': answer.reason}


def main(arguments: list[str]) -> int:
    """Prints what each host has in force.

    Returns:
        0 if every host answered and all have the same in force, else 1.
    """
    answers = run_loop(collect(find_addresses()))
    agree = all_agree(answers)
    if flags.FLAGS.json:
        hosts = [describe_answer(answer) for answer in answers]
        print(json.encode({'agree': agree, 'hosts': hosts}).decode())
    else:
        print('\n'.join(format_table(answers)))
    return 0 if agree else FAILURE_STATUS


def run() -> None:
    """Starts the program from the command line."""
    define_settings_flag()
    flags.DEFINE_list(
        'agents', [], 'Administration addresses of agents, as IP:PORT.'
    )
    flags.DEFINE_bool('json', False, 'Print one JSON object.')
    run_program(main)
