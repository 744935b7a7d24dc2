"""Starts a program from its command line and stops it on a signal."""

from asyncio import create_task
from asyncio import Event
from asyncio import FIRST_COMPLETED
from asyncio import get_running_loop
from asyncio import Runner
from asyncio import wait
from collections.abc import Callable
from errno import EADDRINUSE
from errno import EADDRNOTAVAIL
from os import environ
from pathlib import Path
from signal import SIGINT
from signal import SIGTERM
import sys
from typing import NoReturn
from typing import TypeVar

from absl import app
from absl import flags
from mode import Service
from msgspec import Struct

from cowslipmill import VERSION
from cowslipmill.settings.loader import InvalidSettings
from cowslipmill.settings.loader import load_settings
from cowslipmill.telemetry.logs import set_up_logs

T = TypeVar('T', bound=Struct)

USAGE_STATUS = 2
FAILURE_STATUS = 1


class UsageError(Exception):
    """A command line that names its fault in one line."""


class CannotListen(Exception):
    """An address of the settings that cannot be listened on."""

    def __init__(self, field: str, address: str, error: OSError) -> None:
        """Makes one line of field, address and reason."""
        reason = error.strerror or str(error)
        if error.errno == EADDRINUSE:
            reason = 'address is already in use'
        if error.errno == EADDRNOTAVAIL:
            reason = 'address is not on this host'
        super().__init__(f'$.{field}: {address}: {reason}')


def run_program(main: Callable[[list[str]], int]) -> NoReturn:
    """Runs a program's main function behind its command line.

    Args:
        main: Takes the arguments that are left after the flags and returns
            the exit status.
    """
    flags.DEFINE_bool('version', False, 'Print the version and exit.')
    try:
        arguments = flags.FLAGS(sys.argv)
    except flags.Error as error:
        fail(str(error))
    if flags.FLAGS.version:
        print(VERSION)
        sys.exit(0)
    try:
        app.run(main, argv=arguments, flags_parser=lambda argv: argv)
    except (CannotListen, InvalidSettings, UsageError) as error:
        fail(str(error))
    raise SystemExit(FAILURE_STATUS)


def fail(reason: str) -> NoReturn:
    """Prints one line on standard error and exits with status 2."""
    line = ' '.join(reason.split())
    print(f'{Path(sys.argv[0]).name}: {line}', file=sys.stderr)
    sys.exit(USAGE_STATUS)


def define_settings_flag() -> None:
    """Defines `--settings`."""
    flags.DEFINE_string(
        'settings', None, 'JSON file with the settings of this process.'
    )


def load_program_settings(kind: type[T]) -> T:
    """Loads the file that `--settings` names.

    Raises:
        UsageError: If the flag was left out.
        InvalidSettings: If the file has faults.
    """
    name = flags.FLAGS.settings
    if name is None:
        raise UsageError('--settings: a settings file is required')
    return load_settings(Path(name), kind)


def run_service(program: str, name: str, build: Callable[[], Service]) -> int:
    """Runs a service until it fails or a signal asks it to stop.

    Args:
        program: Program name for the logs.
        name: Process name for the logs.
        build: Makes the service inside the running event loop.

    Returns:
        The exit status.

    Raises:
        CannotListen: If an address of the settings is taken.
    """
    set_up_logs(program, name)
    # uvloop's libuv would otherwise be free to use io_uring.
    environ['UV_USE_IO_URING'] = '0'
    from uvloop import new_event_loop

    with Runner(loop_factory=new_event_loop) as runner:
        return runner.run(serve(build))


async def serve(build: Callable[[], Service]) -> int:
    """Starts the service, waits for a signal and stops it."""
    stop = Event()
    loop = get_running_loop()
    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, stop.set)
    service = build()
    try:
        await service.start()
        await wait_for_stop(service, stop)
        return FAILURE_STATUS if service.crashed else 0
    finally:
        await service.stop()


async def wait_for_stop(service: Service, stop: Event) -> None:
    """Returns when a signal came or the service crashed."""
    tasks = [
        create_task(stop.wait()),
        create_task(service.wait_until_stopped()),
    ]
    _, pending = await wait(tasks, return_when=FIRST_COMPLETED)
    for task in pending:
        task.cancel()
