"""The program `cowslipmill-host`: a whole host in one process."""

from asyncio import create_task
from asyncio import Event
from asyncio import get_running_loop
from asyncio import Runner
from asyncio import sleep
from logging import getLogger
from os import environ
from pathlib import Path
from signal import SIGHUP
from signal import SIGINT
from signal import SIGTERM
from time import monotonic

from absl import flags

from cowslipmill.host.host import Host
from cowslipmill.host.logs import set_up_lines
from cowslipmill.host.settings import HostSettings
from cowslipmill.host.settingsfile import SettingsFile
from cowslipmill.platform.errors import InvalidField
from cowslipmill.platform.headercodec import PlatformHeaderCodec
from cowslipmill.platform.nodefile import decode_settings
from cowslipmill.platform.nodefile import DEFAULT_PATH
from cowslipmill.platform.nodefile import PATH_VARIABLE
from cowslipmill.platform.storeapi import PlatformStoreApi
from cowslipmill.runtime.program import define_settings_flag
from cowslipmill.runtime.program import FAILURE_STATUS
from cowslipmill.runtime.program import run_program
from cowslipmill.runtime.program import UsageError
from cowslipmill.runtime.program import wait_for_stop
from cowslipmill.settings.loader import InvalidSettings
from cowslipmill.settings.loader import load_settings

LOG = getLogger(__name__)

FLAGS = flags.FLAGS

# Pause between two looks at the settings file.
FILE_CHECK_S = 2.0

flags.DEFINE_string(
    'deployment',
    'default',
    'Name of the deployment; hosts of another one are refused.',
)
flags.DEFINE_integer('metrics_port', 0, 'Port of the counters; 0 for none.')


define_settings_flag()


def settings_path() -> Path:
    """Returns the settings file: the one named, or the platform's."""
    named = FLAGS.settings or environ.get(PATH_VARIABLE, DEFAULT_PATH)
    return Path(named)


def read_settings(path: Path) -> HostSettings:
    """Reads the settings, in JSON if `--settings` names the file.

    Raises:
        InvalidSettings: If a file in JSON has faults.
        UsageError: If the platform's file can't be used.
    """
    if FLAGS.settings:
        return load_settings(path, HostSettings)
    try:
        return decode_settings(path.read_text())
    except OSError as error:
        raise UsageError(f'{path}: {error.strerror}') from error
    except InvalidField as error:
        raise UsageError(f'{path}: {error}') from error


async def serve(settings: HostSettings, path: Path) -> int:
    """Runs the host until a signal stops it."""
    stop = Event()
    loop = get_running_loop()
    host_name, port = settings.store
    host = Host(
        settings,
        PlatformStoreApi(f'{host_name}:{port}'),
        PlatformHeaderCodec(),
        deployment=FLAGS.deployment,
        metrics_port=FLAGS.metrics_port,
    )

    file = SettingsFile(path)

    def reload() -> None:
        """Takes in settings that changed."""
        file.is_changed()
        try:
            changed = read_settings(path)
        except (InvalidSettings, UsageError) as error:
            LOG.warning('settings not usable', extra={'reason': str(error)})
            return
        host.gossip.seeds = changed.seeds
        LOG.info('settings read', extra={'seeds': len(changed.seeds)})

    async def follow_file() -> None:
        """Notices changes that no signal tells."""
        while True:
            await sleep(FILE_CHECK_S)
            if file.is_changed():
                reload()

    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(SIGHUP, reload)
    await host.start()
    following = create_task(follow_file())
    await wait_for_stop(host, stop)
    following.cancel()
    if host.crashed:
        # Half a host would go on by old knowledge; the platform restarts it.
        LOG.error('ended by an internal error')
        return FAILURE_STATUS
    await host.drain()
    return 0


def main(arguments: list[str]) -> int:
    """Serves callers on one host."""
    path = settings_path()
    settings = read_settings(path)
    set_up_lines(settings.name, monotonic)
    with Runner() as runner:
        return runner.run(serve(settings, path))


def run() -> None:
    """Runs the program."""
    run_program(main)


if __name__ == '__main__':
    run()
