"""Runs a program: parses its flags, runs its service, stops on a signal."""

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

USAGE_ERROR_STATUS = 2
FAILURE_STATUS = 1
HELP_WIDTH = 79


class UsageError(Exception):
    """The command line is invalid; the text says why in one line."""


class ListenError(Exception):
    """An address of the settings cannot be listened on."""

    def __init__(self, field: str, address: str, error: OSError) -> None:
        """Builds a one-line message of field, address and reason.

        Args:
            field: Name of the settings field that holds the address.
            address: The address as `IP:PORT`.
            error: What the operating system reported.
        """
        reason = error.strerror or str(error)
        if error.errno == EADDRINUSE:
            reason = 'address is already in use'
        if error.errno == EADDRNOTAVAIL:
            reason = 'address is not on this host'
        super().__init__(f'$.{field}: {address}: {reason}')


def run_program(
    main: Callable[[list[str]], int], *, arguments: str = ''
) -> NoReturn:
    """Parses the command line, runs a program's main function and exits.

    An invalid command line, invalid settings or an address that cannot be
    listened on ends the program with status 2 and one line on standard error.

    Args:
        main: Takes the program's name and the arguments that are not flags;
            returns the exit status. Its docstring is printed by `--help`.
        arguments: The arguments as the usage line shows them; empty if the
            program takes none.
    """
    flags.DEFINE_bool('version', False, 'Print the version and exit.')
    flags.DEFINE_bool('help', False, 'Print this help and exit.')
    try:
        remaining = flags.FLAGS(sys.argv)
    except flags.Error as error:
        exit_with_error(str(error))
    if flags.FLAGS.help:
        print(describe_program(main, arguments))
        sys.exit(0)
    if flags.FLAGS.version:
        print(VERSION)
        sys.exit(0)
    if len(remaining) > 1 and not arguments:
        exit_with_error(f'unexpected argument {remaining[1]!r}')
    try:
        status = main(remaining)
    except (ListenError, InvalidSettings, UsageError) as error:
        exit_with_error(str(error))
    sys.exit(status)


def describe_program(
    main: Callable[[list[str]], int], arguments: str = ''
) -> str:
    """Returns the help: usage line, purpose and flags of a program."""
    name = Path(sys.argv[0]).name
    usage = f'usage: {name} [flags] {arguments}'.rstrip()
    lines = [usage, '', (main.__doc__ or '').strip(), '', 'flags:']
    project_flags = [
        flag for flag in sorted(flags.FLAGS) if is_project_flag(flag)
    ]
    for flag in project_flags:
        lines += describe_flag(flag)
    return '\n'.join(lines)


def describe_flag(name: str) -> list[str]:
    """Returns the lines that describe one flag in the help."""
    flag = flags.FLAGS[name]
    usage = name if flag.boolean else f'{name}=VALUE'
    text = str(flag.help)
    if flag.default is not None and not flag.boolean:
        text += f' (default: {flag.default})'
    indent = '      '
    wrapped = fill(
        text,
        HELP_WIDTH,
        initial_indent=indent,
        subsequent_indent=indent,
    )
    return [f'  --{usage}', wrapped]


def is_project_flag(name: str) -> bool:
    """Tells whether a flag is defined by this project, not by a library."""
    module = flags.FLAGS.find_module_defining_flag(name) or ''
    return module.startswith(('cowslipmill', '__main__'))


def exit_with_error(reason: str) -> NoReturn:
    """Prints the reason as one line on standard error; exits with 2."""
    line = ' '.join(reason.split())
    print(f'{Path(sys.argv[0]).name}: {line}', file=sys.stderr)
    sys.exit(USAGE_ERROR_STATUS)


def define_settings_flag() -> None:
    """Defines the flag `--settings`."""
    flags.DEFINE_string(
        'settings', None, 'JSON file with the settings of this process.'
    )


def load_program_settings(settings_type: type[T]) -> T:
    """Loads the settings file that `--settings` names.

    Args:
        settings_type: The Struct that the file is decoded into.

    Raises:
        UsageError: If the flag is missing.
        InvalidSettings: If the file cannot be read or is invalid.
    """
    name = flags.FLAGS.settings
    if name is None:
        raise UsageError('--settings: a settings file is required')
    return load_settings(Path(name), settings_type)


def run_service(program: str, name: str, build: Callable[[], Service]) -> int:
    """Runs a service until it crashes, or until SIGTERM or SIGINT.

    Args:
        program: Program name for the logs.
        name: Process name for the logs.
        build: Creates the service inside the running event loop.

    Returns:
        The exit status: 1 if the service crashed, else 0.

    Raises:
        ListenError: If an address of the settings cannot be listened on.
    """
    set_up_logs(program, name)
    # uvloop is not used: its event loop opens an io_uring with any settings,
    # which no process of a deployment may do.
    with Runner() as runner:
        return runner.run(serve(build))


async def serve(build: Callable[[], Service]) -> int:
    """Runs a service until it crashes or a signal arrives, then stops it.

    Returns:
        The exit status: 1 if the service crashed, else 0.
    """
    stop = Event()
    loop = get_running_loop()
    for signal_number in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    service = build()
    try:
        await service.start()
        freeze_start_up_objects()
        await wait_for_stop(service, stop)
        return FAILURE_STATUS if service.crashed else 0
    finally:
        await service.stop()


def freeze_start_up_objects() -> None:
    """Exempts modules and other long-lived objects from garbage collection.

    A full collection that visits them blocks the event loop for tens of
    milliseconds.
    """
    collect()
    freeze()


async def wait_for_stop(service: Service, stop: Event) -> None:
    """Waits until `stop` is set or the service has stopped by itself."""
    tasks = [
        create_task(stop.wait()),
        create_task(service.wait_until_stopped()),
    ]
    _, pending = await wait(tasks, return_when=FIRST_COMPLETED)
    for task in pending:
        task.cancel()
