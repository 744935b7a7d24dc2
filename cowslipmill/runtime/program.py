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
from gc import collect
from gc import freeze
from pathlib import Path
from signal import SIGINT
from signal import SIGTERM
import sys
from textwrap import fill
from typing import NoReturn
from typing import TypeVar

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
HELP_COLUMNS = 79


class UsageError(Exception):
    """A command line that names its fault in one line."""


class ListenError(Exception):
    """An address of the settings that cannot be listened on."""

    def __init__(self, field: str, address: str, error: OSError) -> None:
        """Makes one line of field, address and reason."""
        reason = error.strerror or str(error)
        if error.errno == EADDRINUSE:
            reason = 'address is already in use'
        if error.errno == EADDRNOTAVAIL:
            reason = 'address is not on this host'
        super().__init__(f'$.{field}: {address}: {reason}')


def run_program(
    main: Callable[[list[str]], int], *, arguments: str = ''
) -> NoReturn:
    """Runs a program's main function behind its command line.

    Args:
        main: Takes the arguments that are left after the flags and returns
            the exit status.
        arguments: The program's arguments as the usage line names them.
    """
    flags.DEFINE_bool('version', False, 'Print the version and exit.')
    flags.DEFINE_bool('help', False, 'Print this help and exit.')
    try:
        left = flags.FLAGS(sys.argv)
    except flags.Error as error:
        fail(str(error))
    if flags.FLAGS.help:
        print(describe_program(main, arguments))
        sys.exit(0)
    if flags.FLAGS.version:
        print(VERSION)
        sys.exit(0)
    if len(left) > 1 and not arguments:
        fail(f'unexpected argument {left[1]!r}')
    try:
        status = main(left)
    except (ListenError, InvalidSettings, UsageError) as error:
        fail(str(error))
    sys.exit(status)


def describe_program(
    main: Callable[[list[str]], int], arguments: str = ''
) -> str:
    """Returns the usage line, the purpose and the flags of a program."""
    name = Path(sys.argv[0]).name
    usage = f'usage: {name} [flags] {arguments}'.rstrip()
    lines = [usage, '', (main.__doc__ or '').strip(), '', 'flags:']
    own = [flag for flag in sorted(flags.FLAGS) if is_own_flag(flag)]
    for flag in own:
        lines += describe_flag(flag)
    return '\n'.join(lines)


def describe_flag(name: str) -> list[str]:
    """Returns the lines of the help about one flag."""
    flag = flags.FLAGS[name]
    shape = name if flag.boolean else f'{name}=VALUE'
    text = str(flag.help)
    if flag.default is not None and not flag.boolean:
        text += f' (default: {flag.default})'
    indent = '      '
    wrapped = fill(
        text,
        HELP_COLUMNS,
        initial_indent=indent,
        subsequent_indent=indent,
    )
    return [f'  --{shape}', wrapped]


def is_own_flag(name: str) -> bool:
    """Tells whether a flag is this project's, and not a library's."""
    module = flags.FLAGS.find_module_defining_flag(name) or ''
    return module.startswith(('cowslipmill', '__main__'))


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
    # Not uvloop: its event loop opens an io_uring whatever its settings.
    with Runner() as runner:
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
        freeze_start_up_objects()
        await wait_for_stop(service, stop)
        return FAILURE_STATUS if service.crashed else 0
    finally:
        await service.stop()


def freeze_start_up_objects() -> None:
    """Leaves modules and other lasting objects out of later collections.

    A full collection that visits them stops the event loop for tens of
    milliseconds.
    """
    collect()
    freeze()


async def wait_for_stop(service: Service, stop: Event) -> None:
    """Returns when a signal came or the service crashed."""
    tasks = [
        create_task(stop.wait()),
        create_task(service.wait_until_stopped()),
    ]
    _, pending = await wait(tasks, return_when=FIRST_COMPLETED)
    for task in pending:
        task.cancel()
