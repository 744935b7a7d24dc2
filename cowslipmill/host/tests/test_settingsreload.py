"""Tests of settings files that can't be used when they are read again.

Guard against a host that follows its settings no longer, or loses the ones in
force, after one file that was half written, missing or no text.
"""

from asyncio import get_running_loop
from asyncio import sleep
from collections.abc import Iterator
from json import dumps
from json import loads
from os import environ
from pathlib import Path
from signal import SIGHUP
from subprocess import Popen
from subprocess import STDOUT
import sys
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength

from cowslipmill.host.settings import HostSettings
from cowslipmill.launch.network import Network
from cowslipmill.platform.nodefile import decode_settings
from cowslipmill.platform.nodefile import PATH_VARIABLE

WAIT_S = 15.0
PORTS = (7321, 7322, 7323)
TEXT = """\
Node=NAME
Zone=domain-a
Listen.Front=FRONT
Listen.Ready=READY
Listen.Control=CONTROL
Platform.Address=127.0.0.1:9
Bootstrap=true
Bounds.DrainMs=2000
Seeds=SEEDS
Bounds.GraceS=3
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetSlack=64
"""
# Runs the program with a given interval between looks at the file, and
# writes the file anew after the first read if there is another content.
START_CODE = """\
from os import environ
from pathlib import Path
from cowslipmill.host import program

program.SETTINGS_POLL_INTERVAL_S = float(environ['POLL_S'])
set_up = program.set_up_json_logs
path = Path(environ['SETTINGS_PATH'])

def set_up_and_write(*arguments):
    later = path.with_suffix('.later')
    if later.exists():
        later.rename(path)
    return set_up(*arguments)

program.set_up_json_logs = set_up_and_write
program.run()
"""


class SettingsOfHost:
    """A host process and its settings file.

    Attributes:
        path: The settings file.
        is_json: Whether `--settings` names it, and it is in JSON.
        process: The process; None before its start.
    """

    def __init__(self, path: Path, number: int, *, is_json: bool) -> None:
        """Keeps the addresses of a host; nothing is started."""
        self.path = path
        self.is_json = is_json
        self.process: Popen[bytes] | None = None
        network = Network.for_this_process()
        front, ready, self.control = (
            network.host(number, port) for port in PORTS
        )
        self.text = (
            TEXT.replace('NAME', path.stem)
            .replace('FRONT', front)
            .replace('READY', ready)
            .replace('CONTROL', self.control)
        )

    def encode(self, seeds: str) -> bytes:
        """Returns the file's content with some seeds."""
        text = self.text.replace('SEEDS', seeds)
        if not self.is_json:
            return text.encode()
        settings = decode_settings(text)
        fields = {
            name: getattr(settings, name)
            for name in HostSettings.__struct_fields__
        }
        return dumps(fields).encode()

    def write(self, content: bytes) -> None:
        """Replaces the file, so that nobody reads a part of it."""
        other = self.path.with_suffix('.new')
        other.write_bytes(content)
        other.rename(self.path)

    def start(self, poll_s: float = 0.05) -> None:
        """Starts the process, which writes its log beside the file.

        Args:
            poll_s: Seconds between two looks at the file.
        """
        command = [sys.executable, '-c', START_CODE]
        variables = {
            **environ,
            'POLL_S': str(poll_s),
            'SETTINGS_PATH': str(self.path),
        }
        if self.is_json:
            command.append(f'--settings={self.path}')
        else:
            variables[PATH_VARIABLE] = str(self.path)
        with self.path.with_suffix('.log').open('wb') as log:
            self.process = Popen(
                command, stdout=log, stderr=STDOUT, env=variables
            )

    def signal(self) -> None:
        """Tells the process that its settings have changed."""
        assert self.process is not None
        self.process.send_signal(SIGHUP)

    def events(self, *names: str) -> list[dict[str, Any]]:
        """Returns the lines of the log with an event of these names."""
        lines = self.path.with_suffix('.log').read_text().splitlines()
        parsed = [loads(line) for line in lines if line.startswith('{')]
        return [line for line in parsed if line['event'] in names]

    async def wait_for(self, event: str, count: int) -> list[dict[str, Any]]:
        """Returns the lines of an event once there are as many.

        Raises:
            AssertionError: If there aren't in time.
        """
        deadline = get_running_loop().time() + WAIT_S
        while len(self.events(event)) < count:
            assert self.process is not None
            assert self.process.poll() is None, 'the process has ended'
            assert get_running_loop().time() < deadline, f'no {event!r}'
            await sleep(0.02)
        return self.events(event)


@pytest.fixture(params=[False, True], ids=['platform', 'json'])
def hosts(
    tmp_path: Path, request: pytest.FixtureRequest
) -> Iterator[list[SettingsOfHost]]:
    """Returns two hosts that aren't started yet."""
    hosts = [
        SettingsOfHost(
            tmp_path / f'node-{number}.conf', number, is_json=request.param
        )
        for number in range(2)
    ]
    yield hosts
    for host in hosts:
        if host.process is not None:
            host.process.kill()
            host.process.wait()


def unusable_contents(host: SettingsOfHost) -> dict[str, tuple[bytes, str]]:
    """Returns contents that can't be used, and what an error names."""
    whole = host.encode(f'{host.control},10.0.0.1:80')
    latin = whole.replace(b'domain-a', b'domain-\xe9')
    if host.is_json:
        return {
            'empty': (b'', '$'),
            'half': (whole[: len(whole) // 2], '$'),
            'not UTF-8': (latin, '$'),
            'invalid': (whole.replace(b'0.2', b'"a"'), 'retry_share'),
            'zeros': (b'\x00' * len(whole), '$'),
        }
    return {
        'empty': (b'', 'Node'),
        'half': (whole[: whole.index(b'Bounds.GraceS')], 'Bounds.GraceS'),
        'cut in the seeds': (
            whole[: whole.index(b',10.0.0.1') + 5],
            'Seeds',
        ),
        'not UTF-8': (latin, 'Zone: not UTF-8'),
        'invalid': (whole.replace(b'=0.2', b'=a'), 'Bounds.RetryBudgetRatio'),
        'zeros': (b'\x00' * len(whole), 'Node'),
    }


@pytest.mark.parametrize('has_signal', [False, True], ids=['polled', 'signal'])
async def test_unusable_settings_leave_those_in_force_until_the_next_change(
    hosts: list[SettingsOfHost], has_signal: bool
) -> None:
    """Each is told in one line, and the file after it is read."""
    host, seed = hosts
    host.write(host.encode(''))
    host.start(60.0 if has_signal else 0.05)
    await host.wait_for('started', 1)
    contents = unusable_contents(host)
    for number, (content, named) in enumerate(contents.values(), 1):
        host.write(host.encode(seed.control))
        if has_signal:
            host.signal()
        await host.wait_for('settings read', number)
        host.write(content)
        if has_signal:
            host.signal()
        lines = await host.wait_for('settings not usable', number)
        assert_that(lines[-1]['reason'], Contains(named))
        assert_that(lines[-1]['reason'], Contains(str(host.path)))
        await sleep(0.3)
        assert_that(host.events('settings not usable'), HasLength(number))
    # The seeds of the last file that could be used still lead to the others.
    seed.write(seed.encode(''))
    seed.start()
    await host.wait_for('host known', 1)


async def test_settings_that_are_gone_leave_those_in_force(
    hosts: list[SettingsOfHost],
) -> None:
    """The file may be away for a moment as it is replaced."""
    host, seed = hosts
    host.write(host.encode(seed.control))
    host.start()
    await host.wait_for('started', 1)
    host.path.unlink()
    await sleep(0.2)
    host.signal()
    lines = await host.wait_for('settings not usable', 1)
    assert_that(lines[0]['reason'], Contains('No such file'))
    host.path.mkdir()
    host.signal()
    lines = await host.wait_for('settings not usable', 2)
    host.path.rmdir()
    seed.write(seed.encode(''))
    seed.start()
    await host.wait_for('host known', 1)
    host.write(host.encode(f'{host.control},{seed.control}'))
    lines = await host.wait_for('settings read', 1)
    assert_that(lines[0]['seeds'], Equals(2))


async def test_settings_that_change_while_a_host_starts_are_read(
    hosts: list[SettingsOfHost],
) -> None:
    """After its first read, and before it handles SIGHUP."""
    host, seed = hosts
    host.write(host.encode(''))
    later = host.path.with_suffix('.later')
    later.write_bytes(host.encode(f'{host.control},{seed.control}'))
    host.start()
    lines = await host.wait_for('settings read', 1)
    assert_that(lines[0]['seeds'], Equals(2))
