"""Starts programs as child processes and stops them by process ID.

Only developer tools use this module; no program of a deployment starts
another.
"""

from pathlib import Path
from signal import SIGTERM
from subprocess import Popen
from subprocess import TimeoutExpired
import sys
from tempfile import TemporaryDirectory

from msgspec import json
from msgspec import Struct

STOP_TIMEOUT_S = 20.0


class Launcher:
    """Starts child processes and stops all of them on exit.

    Attributes:
        directory: Temporary directory for settings files and logs.
        processes: Started processes by name.
    """

    __slots__ = ('directory', 'processes', 'temporary_directory')

    def __init__(self) -> None:
        """Creates the temporary directory."""
        self.temporary_directory = TemporaryDirectory(prefix='cowslipmill-')
        self.directory = Path(self.temporary_directory.name)
        self.processes: dict[str, Popen[bytes]] = {}

    def __enter__(self) -> 'Launcher':
        """Returns the launcher."""
        return self

    def __exit__(self, *error: object) -> None:
        """Stops every process and removes the directory."""
        self.stop_all()
        self.temporary_directory.cleanup()

    def start(
        self,
        program: str,
        name: str,
        settings: Struct,
        *,
        sources: Path | None = None,
    ) -> None:
        """Starts a program with a settings file of its own.

        Args:
            program: Name of the subpackage of `cowslipmill` to run.
            name: Process name, used in file names and by other methods.
            settings: Settings of the program, written as JSON.
            sources: Directory with the package of another build; None for
                this one.
        """
        path = self.directory / f'{name}.json'
        path.write_bytes(json.encode(settings))
        command = [
            sys.executable,
            '-c',
            f'from cowslipmill.{program}.main import run; run()',
            f'--settings={path}',
        ]
        with (self.directory / f'{name}.log').open('ab') as log:
            # The working directory comes first on the module search path.
            self.processes[name] = Popen(
                command, stdout=log, stderr=log, cwd=sources
            )

    def send_signal(self, name: str, signal_number: int) -> None:
        """Sends a signal to one process."""
        self.processes[name].send_signal(signal_number)

    def is_running(self, name: str) -> bool:
        """Returns whether a process is still running."""
        return self.processes[name].poll() is None

    def wait(self, name: str) -> int:
        """Waits for one process to exit and returns its exit status."""
        return self.processes[name].wait(STOP_TIMEOUT_S)

    def stop_all(self) -> dict[str, int]:
        """Stops all processes and returns their exit statuses by name.

        Sends SIGTERM to all of them, then SIGKILL to each one that does not
        exit within the timeout.
        """
        running = [
            process
            for process in self.processes.values()
            if process.poll() is None
        ]
        for process in running:
            process.send_signal(SIGTERM)
        for process in running:
            try:
                process.wait(STOP_TIMEOUT_S)
            except TimeoutExpired:
                process.kill()
                process.wait()
        return {
            name: process.returncode
            for name, process in self.processes.items()
        }

    def read_log(self, name: str) -> str:
        """Returns the standard output and error of a process so far."""
        return (self.directory / f'{name}.log').read_text()
