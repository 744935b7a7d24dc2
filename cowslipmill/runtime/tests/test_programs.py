"""Command lines and bad input of every program, as real processes."""

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
BOUND_S = 60.0

# What is wrong, the content of the settings file, and what is named.
BAD_SETTINGS = {
    'wrong-type': (
        b'{"name": 7, "host": 7}',
        '$.name: Expected `str`, got `int`',
    ),
    'unknown-key': (b'{"nosuch": 1}', '$.nosuch: unknown field'),
    'malformed': (b'{"name": ', ': $: '),
    'not-text': (b'"\xff"', ': $: '),
    'too-large': (b' ' * 70_000, 'larger than 65536 bytes'),
}


def start(program: str, *arguments: str) -> CompletedProcess[str]:
    """Runs a program to its end."""
    command = (
        f'import sys; sys.argv[0] = "cowslipmill-{program}";'
        f' from cowslipmill.{program}.main import run; run()'
    )
    return run(
        [sys.executable, '-c', command, *arguments],
        stdout=PIPE,
        stderr=PIPE,
        text=True,
        timeout=BOUND_S,
        check=False,
    )


def assert_one_line(
    ended: CompletedProcess[str], program: str, content: str
) -> None:
    """Asserts status 2 and one line that names the fault."""
    assert_that(ended.returncode, Equals(2))
    assert_that(ended.stdout, Equals(''))
    assert_that(ended.stderr.splitlines(), HasLength(1))
    assert_that(ended.stderr, StartsWith(f'cowslipmill-{program}: '))
    assert_that(ended.stderr, Contains(content))


@pytest.mark.parametrize('program', PROGRAMS)
def test_help_names_purpose_and_own_flags_only(program: str) -> None:
    """The help is short and leaves the library's flags out."""
    ended = start(program, '--help')
    assert_that(ended.returncode, Equals(0))
    first = f'usage: cowslipmill-{program} [flags]'
    assert_that(ended.stdout, StartsWith(first))
    assert_that(ended.stdout, Contains('  --version\n'))
    assert_that(ended.stdout, Not(Contains('pdb')))
    widest = max(len(line) for line in ended.stdout.splitlines())
    assert_that(widest <= 79, Equals(True))


@pytest.mark.parametrize('program', PROGRAMS)
def test_version_is_printed(program: str) -> None:
    """The version alone is printed."""
    ended = start(program, '--version')
    assert_that(ended.returncode, Equals(0))
    assert_that(ended.stdout, Equals(f'{VERSION}\n'))


@pytest.mark.parametrize('program', PROGRAMS)
def test_an_unknown_flag_is_named(program: str) -> None:
    """A mistyped flag stops the program before it starts."""
    ended = start(program, '--nosuch=1')
    assert_one_line(ended, program, "Unknown command line flag 'nosuch'")


@pytest.mark.parametrize('program', SETTINGS_PROGRAMS)
def test_a_settings_file_is_required(program: str) -> None:
    """Without the flag, the flag is named."""
    assert_one_line(start(program), program, '--settings: ')


@pytest.mark.parametrize('program', SETTINGS_PROGRAMS)
def test_a_missing_file_is_named(program: str, tmp_path: Path) -> None:
    """The flag and the reason are told."""
    path = tmp_path / 'none.json'
    ended = start(program, f'--settings={path}')
    content = f'{path}: --settings: No such file or directory'
    assert_one_line(ended, program, content)


@pytest.mark.parametrize(
    ('program', 'case'),
    [
        *(('entry', case) for case in BAD_SETTINGS),
        *((program, 'unknown-key') for program in SETTINGS_PROGRAMS[:2]),
        ('standin', 'unknown-key'),
    ],
)
def test_a_bad_setting_is_named(
    program: str, case: str, tmp_path: Path
) -> None:
    """The field and the reason are told in one line."""
    raw, content = BAD_SETTINGS[case]
    path = tmp_path / 'settings.json'
    path.write_bytes(raw)
    ended = start(program, f'--settings={path}')
    assert_one_line(ended, program, content)


def layout() -> Layout:
    """Returns a layout of one host."""
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
def test_a_port_in_use_is_named(
    program: str, field: str, tmp_path: Path
) -> None:
    """A service deep inside a program ends it with one line."""
    settings: dict[str, Struct] = {
        'entry': layout().entry(0),
        'agent': layout().agent(0),
        'standin': layout().platform(),
    }
    path = tmp_path / 'settings.json'
    path.write_bytes(json.encode(settings[program]))
    address = getattr(settings[program], field)
    number, _, port = address.rpartition(':')
    with socket() as taken:
        # Connections of earlier tests may still hold the address.
        taken.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        taken.bind((number, int(port)))
        taken.listen()
        ended = start(program, f'--settings={path}')
    content = f'$.{field}: {address}: address is already in use'
    assert_one_line(ended, program, content)
