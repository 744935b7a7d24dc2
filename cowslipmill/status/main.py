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


def read_agent_addresses() -> tuple[str, ...]:
    """Returns the agents' addresses from `--agents` or `--settings`.

    Raises:
        UsageError: If no address is given or one is malformed.
        InvalidSettings: If the settings are invalid.
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


async def collect_results(
    addresses: tuple[str, ...],
) -> tuple[HostResult, ...]:
    """Fetches the status of all agents once."""
    async with ClientSession() as session:
        return await collect_status(session, addresses, monotonic)


@singledispatch
def make_json_object(result: HostResult) -> dict[str, object]:
    """Returns a result as an object for `--json`.

    Raises:
        TypeError: If the result's type has no handler.
    """
    raise TypeError(f'not a host result: {result!r}')


@make_json_object.register
def make_report_object(result: HostReport) -> dict[str, object]:
    """Returns the address and status."""
    return {'address': result.address, 'status': result.status}


@make_json_object.register
def make_no_response_object(result: NoResponse) -> dict[str, object]:
    """Returns the address and reason."""
    return {'address': result.address, 'no_answer': result.reason}


def main(arguments: list[str]) -> int:
    """Prints the document in force on each host.

    Returns:
        0 if every host answered and all have the same document in force,
        else 1.
    """
    results = run_loop(collect_results(read_agent_addresses()))
    agree = all_agree(results)
    if flags.FLAGS.json:
        hosts = [make_json_object(result) for result in results]
        print(json.encode({'agree': agree, 'hosts': hosts}).decode())
    else:
        print('\n'.join(format_table(results)))
    return 0 if agree else FAILURE_STATUS


def run() -> None:
    """Starts the program from the command line."""
    define_settings_flag()
    flags.DEFINE_list(
        'agents', [], 'Administration addresses of agents, as IP:PORT.'
    )
    flags.DEFINE_bool('json', False, 'Print one JSON object.')
    run_program(main)
