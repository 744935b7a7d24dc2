"""Tests of the programs' command lines and errors, as real processes."""

from pathlib import Path
from socket import SO_REUSEADDR
from socket import socket
from socket import SOL_SOCKET
from subprocess import CompletedProcess
from subprocess import PIPE
from subprocess import run
import sys

from msgspec import json
from msgspec import Struct
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import Not
from testtools.matchers import StartsWith

from cowslipmill import VERSION
from cowslipmill.launch.layout import Layout
from cowslipmill.launch.network import Network

SETTINGS_PROGRAMS = ('agent', 'console', 'entry', 'standin')
PROGRAMS = (*SETTINGS_PROGRAMS, 'bench', 'check', 'demo', 'status')
TIMEOUT_S = 60.0

# Content of the settings file and expected text of the error, by case.
INVALID_SETTINGS = {
    'wrong-type': (
        b'{"name": 7, "host": 7}',
        '$.name: Expected `str`, got `int`',
    ),
    'unknown-key': (b'{"nosuch": 1}', '$.nosuch: unknown field'),
    'malformed': (b'{"name": ', ': $: '),
    'not-text': (b'"\xff"', ': $: '),
    'too-large': (b' ' * 70_000, 'larger than 65536 bytes'),
}


def run_to_completion(program: str, *arguments: str) -> CompletedProcess[str]:
    """Runs a program until it exits."""
    command = (
        f'import sys; sys.argv[0] = "cowslipmill-{program}";'
        f' from cowslipmill.{program}.main import run; run()'
    )
    return run(
        [sys.executable, '-c', command, *arguments],
        stdout=PIPE,
        stderr=PIPE,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


def assert_one_line_error(
    completed: CompletedProcess[str], program: str, content: str
) -> None:
    """Asserts exit status 2 and one line of error that holds `content`."""
    assert_that(completed.returncode, Equals(2))
    assert_that(completed.stdout, Equals(''))
    assert_that(completed.stderr.splitlines(), HasLength(1))
    assert_that(completed.stderr, StartsWith(f'cowslipmill-{program}: '))
    assert_that(completed.stderr, Contains(content))


@pytest.mark.parametrize('program', PROGRAMS)
def test_help_lists_only_the_flags_of_the_project(program: str) -> None:
    """Flags that libraries define are left out; lines fit a terminal."""
    completed = run_to_completion(program, '--help')
    assert_that(completed.returncode, Equals(0))
    first = f'usage: cowslipmill-{program} [flags]'
    assert_that(completed.stdout, StartsWith(first))
    assert_that(completed.stdout, Contains('  --version\n'))
    assert_that(completed.stdout, Not(Contains('pdb')))
    widest = max(len(line) for line in completed.stdout.splitlines())
    assert_that(widest <= 79, Equals(True))


@pytest.mark.parametrize('program', PROGRAMS)
def test_version_is_printed(program: str) -> None:
    """`--version` prints the version and nothing else."""
    completed = run_to_completion(program, '--version')
    assert_that(completed.returncode, Equals(0))
    assert_that(completed.stdout, Equals(f'{VERSION}\n'))


@pytest.mark.parametrize('program', PROGRAMS)
def test_an_unknown_flag_is_reported(program: str) -> None:
    """A mistyped flag ends the program before it starts anything."""
    completed = run_to_completion(program, '--nosuch=1')
    assert_one_line_error(
        completed, program, "Unknown command line flag 'nosuch'"
    )


@pytest.mark.parametrize('program', SETTINGS_PROGRAMS)
def test_a_settings_file_is_required(program: str) -> None:
    """Without `--settings`, the error names the flag."""
    assert_one_line_error(run_to_completion(program), program, '--settings: ')


@pytest.mark.parametrize('program', SETTINGS_PROGRAMS)
def test_a_missing_settings_file_is_reported(
    program: str, tmp_path: Path
) -> None:
    """The error names the file, the flag and the reason."""
    path = tmp_path / 'none.json'
    completed = run_to_completion(program, f'--settings={path}')
    content = f'{path}: --settings: No such file or directory'
    assert_one_line_error(completed, program, content)


@pytest.mark.parametrize(
    ('program', 'case'),
    [
        *(('entry', case) for case in INVALID_SETTINGS),
        *((program, 'unknown-key') for program in SETTINGS_PROGRAMS[:2]),
        ('standin', 'unknown-key'),
    ],
)
def test_an_invalid_setting_is_reported(
    program: str, case: str, tmp_path: Path
) -> None:
    """The error names the field and the reason."""
    raw, content = INVALID_SETTINGS[case]
    path = tmp_path / 'settings.json'
    path.write_bytes(raw)
    completed = run_to_completion(program, f'--settings={path}')
    assert_one_line_error(completed, program, content)


def layout() -> Layout:
    """Returns the layout of a deployment of one host."""
    network = Network.for_this_process()
    return Layout.example('caroni', network, host_count=1)


@pytest.mark.parametrize(
    ('program', 'field'),
    [
        ('entry', 'listen'),
        ('entry', 'admin_listen'),
        ('entry', 'peer_listen'),
        ('agent', 'feed_listen'),
        ('standin', 'platform'),
    ],
)
def test_a_port_in_use_is_reported(
    program: str, field: str, tmp_path: Path
) -> None:
    """An error of a nested service ends the program with one line."""
    settings: dict[str, Struct] = {
        'entry': layout().entry(0),
        'agent': layout().agent(0),
        'standin': layout().platform(),
    }
    path = tmp_path / 'settings.json'
    path.write_bytes(json.encode(settings[program]))
    address = getattr(settings[program], field)
    ip_address, _, port = address.rpartition(':')
    with socket() as occupied:
        # Connections of earlier tests may still occupy the address.
        occupied.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        occupied.bind((ip_address, int(port)))
        occupied.listen()
        completed = run_to_completion(program, f'--settings={path}')
    content = f'$.{field}: {address}: address is already in use'
    assert_one_line_error(completed, program, content)
