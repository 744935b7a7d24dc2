"""The program `cowslipmill-host`, which runs one host in one process."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import Runner
from asyncio import sleep
from logging import getLogger
from os import environ
from pathlib import Path
from signal import SIG_IGN
from signal import SIGHUP
from signal import signal
from time import monotonic
from types import FrameType

from absl import flags

from cowslipmill.host.host import Host
from cowslipmill.host.logs import set_up_json_logs
from cowslipmill.host.settings import HostSettings
from cowslipmill.host.settingsfile import SettingsFile
from cowslipmill.host.stopsignal import StopSignal
from cowslipmill.platform.errors import InvalidField
from cowslipmill.platform.headercodec import PlatformHeaderCodec
from cowslipmill.platform.nodefile import decode_file
from cowslipmill.platform.nodefile import DEFAULT_PATH
from cowslipmill.platform.nodefile import PATH_VARIABLE
from cowslipmill.platform.storeapi import PlatformStoreApi
from cowslipmill.runtime.backgrounderrors import logged_errors
from cowslipmill.runtime.program import define_settings_flag
from cowslipmill.runtime.program import FAILURE_STATUS
from cowslipmill.runtime.program import run_program
from cowslipmill.runtime.program import UsageError
from cowslipmill.runtime.program import wait_for_stop
from cowslipmill.settings.loader import InvalidSettings
from cowslipmill.settings.loader import load_settings

LOG = getLogger(__name__)

FLAGS = flags.FLAGS

# Interval at which the settings file is checked for changes.
SETTINGS_POLL_INTERVAL_S = 2.0

flags.DEFINE_string(
    'deployment',
    'default',
    'Name of the deployment; hosts of other deployments are refused.',
)
flags.DEFINE_integer(
    'metrics_port', 0, 'Port of the metrics endpoint; 0 disables it.'
)


define_settings_flag()


def settings_path() -> Path:
    """Returns the path of the settings file.

    It is the one of `--settings`, else that of the platform's environment
    variable, else the platform's default path.
    """
    path = FLAGS.settings or environ.get(PATH_VARIABLE, DEFAULT_PATH)
    return Path(path)


def read_settings(path: Path) -> HostSettings:
    """Reads the settings file.

    A file that `--settings` names is in JSON, any other one in the platform's
    format.

    Raises:
        InvalidSettings: If a JSON file cannot be read or is invalid.
        UsageError: If a file in the platform's format cannot be read or is
            invalid.
    """
    if FLAGS.settings:
        return load_settings(path, HostSettings)
    try:
        return decode_file(path.read_bytes())
    except OSError as error:
        raise UsageError(f'{path}: {error.strerror}') from error
    except InvalidField as error:
        raise UsageError(f'{path}: {error}') from error


async def serve(settings: HostSettings, settings_file: SettingsFile) -> int:
    """Runs the host until a signal stops it or it crashes.

    Args:
        settings: The settings as read from the file.
        settings_file: The settings file as it was before it was read, which
            is read again when it changes.

    Returns:
        The exit status: 1 if the host crashed, else 0.
    """
    loop = get_running_loop()
    store_host, store_port = settings.store
    host = Host(
        settings,
        PlatformStoreApi(f'{store_host}:{store_port}'),
        PlatformHeaderCodec(),
        deployment=FLAGS.deployment,
        metrics_port=FLAGS.metrics_port,
    )

    def reload() -> None:
        """Reads the settings again and applies the seeds.

        Other settings need a restart. Invalid settings are logged and leave
        the ones in force.
        """
        # Keeps the periodic check from reading the same change again.
        settings_file.detect_change()
        try:
            reloaded = read_settings(settings_file.path)
        except (InvalidSettings, UsageError) as error:
            LOG.warning('settings not usable', extra={'reason': str(error)})
            return
        host.gossip.seeds = reloaded.seeds
        LOG.info('settings read', extra={'seeds': len(reloaded.seeds)})

    async def poll_settings_file() -> None:
        """Reloads the settings when the file changes without a SIGHUP."""
        while True:
            await sleep(SETTINGS_POLL_INTERVAL_S)
            if settings_file.detect_change():
                with logged_errors('settings'):
                    reload()

    def request_reload(number: int, frame: FrameType | None) -> None:
        """Has the event loop reload the settings."""
        loop.call_soon_threadsafe(reload)

    # The loop would give a signal that it handles its default back when it
    # is closed, and SIGHUP would end the process before it has returned.
    signal(SIGHUP, request_reload)
    stop_signal = StopSignal(loop)
    await host.start()
    poll_task = create_task(poll_settings_file())
    await wait_for_stop(host, stop_signal.arrived)
    poll_task.cancel()
    if host.crashed:
        # Without the crashed component, the host would decide by stale state.
        # The process exits instead, and the platform restarts it.
        LOG.error('ended by an internal error')
        stop_signal.ignore_further()
        signal(SIGHUP, SIG_IGN)
        return FAILURE_STATUS
    await host.drain(stop_signal.arrived_at)
    stop_signal.ignore_further()
    signal(SIGHUP, SIG_IGN)
    return 0


def main(arguments: list[str]) -> int:
    """Serves callers on one host."""
    settings_file = SettingsFile(settings_path())
    settings = read_settings(settings_file.path)
    set_up_json_logs(settings.name, monotonic)
    with Runner() as runner:
        return runner.run(serve(settings, settings_file))


def run() -> None:
    """Runs the program."""
    run_program(main)
