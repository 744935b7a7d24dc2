"""Runs the test suite without the known failures in KNOWN-RED.txt.

Any other failure fails the run. The listed tests run separately and their
results are printed, so that a test that passes again is noticed.
"""

from pathlib import Path
import subprocess
import sys

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
TEST_PREFIX = 'test: '


def read_known_red() -> list[str]:
    """Returns the pytest node IDs that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [
        line.removeprefix(TEST_PREFIX).strip()
        for line in lines
        if line.startswith(TEST_PREFIX)
    ]


def run_pytest(arguments: list[str]) -> int:
    """Runs pytest with this interpreter and returns its exit status."""
    command = [sys.executable, '-m', 'pytest', *arguments]
    return subprocess.run(command, cwd=ROOT, check=False).returncode


def main() -> int:
    """Runs the known failures first, then all other tests.

    Returns:
        The exit status of the second run.
    """
    known_red = read_known_red()
    if known_red:
        print(
            'known failures, run separately:',
            *known_red,
            sep='\n  ',
            flush=True,
        )
        run_pytest(['--no-header', *known_red])
    deselected = [f'--deselect={node}' for node in known_red]
    return run_pytest(['-n', '6', *deselected, *sys.argv[1:]])


if __name__ == '__main__':
    sys.exit(main())
