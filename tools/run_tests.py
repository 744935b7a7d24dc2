"""Runs the test suite and sets aside the tests that KNOWN-RED.txt names.

Every other failure fails the run. A listed test still runs, and its result
is printed, so that a mended fault is noticed.
"""

from pathlib import Path
import subprocess
import sys

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
TEST_PREFIX = 'test: '


def read_known_red() -> list[str]:
    """Returns the node identifiers that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    ]


def run_pytest(arguments: list[str]) -> int:
    """Runs pytest in the project's environment and returns its status."""
    command = [sys.executable, '-m', 'pytest', *arguments]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def main() -> int:
    """Runs the known red tests first, then all the others."""
    known = read_known_red()
    if known:
        print('known red, set aside:', *known, sep='\n  ', flush=True)
        run_pytest(['--no-header', *known])
    deselected = [f'--deselect={node}' for node in known]
    return run_pytest(['-n', '6', *deselected, *sys.argv[1:]])


if __name__ == '__main__':
    sys.exit(main())
