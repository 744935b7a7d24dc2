"""Tests that connections of callers end only after what was read is answered.

A request that a host has read and then leaves without an answer may have run,
and its caller can't know.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import open_connection
from asyncio import sleep
from asyncio import timeout
from collections.abc import AsyncIterator
from contextlib import suppress
from itertools import count
from pathlib import Path
from signal import SIGKILL
from signal import SIGTERM
from signal import SIGUSR1
from subprocess import Popen
import sys
from threading import Timer

from msgspec import json
from msgspec import Struct
import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import HOST_HEADER
from cowslipmill.host.tests.measuredhost import MeasuredHost
from cowslipmill.launch.launcher import Launcher

# Longer than a caller may be left without an answer after its last byte.
WORK_S = 0.6
# `Bounds.LossSlackMs` of the platform.
SLACK_S = 0.2
# Work, deadline and rate of requests that come to the end of a stop.
LATE_WORK_S = 0.2
LATE_DEADLINE_MS = 500
LATE_INTERVAL_S = 0.05
# A host whose event loop is held up for 1.2 s by SIGUSR1.
HELD_UP_HOST = """
from signal import SIGUSR1
from signal import signal
from time import monotonic

def hold_up(number, frame):
    until = monotonic() + 1.2
    while monotonic() < until:
        pass

signal(SIGUSR1, hold_up)
from cowslipmill.host.main import run
run()
"""


def encode_request(request_id: str, deadline_ms: int = 2_000) -> bytes:
    """Returns a request as a caller sends it."""
    return (
        f'POST /book/{request_id} HTTP/1.1\r\nhost: {HOST_HEADER}\r\n'
        f'x-request-id: {request_id}\r\nx-deadline-ms: {deadline_ms}\r\n'
        'content-length: 4\r\n\r\nbody'
    ).encode()


def set_work_time(fleet: Fleet) -> None:
    """Has the servers work for `WORK_S` on each request."""
    for backend in fleet.backends.values():
        backend.work_s = WORK_S


async def test_a_caller_that_has_ended_its_sending_gets_its_answer(
    fleet: Fleet,
) -> None:
    """Its request ran; only the sending side of the connection is closed."""
    set_work_time(fleet)
    address = fleet.hosts[0].settings.callers_listen
    reader, writer = await open_connection(*address)
    writer.write(encode_request('half'))
    await sleep(WORK_S / 4)
    writer.write_eof()
    answer = await reader.read()
    writer.close()
    assert_that(fleet.execution_count(), Equals(1))
    assert_that(answer[:12], Equals(b'HTTP/1.1 200'))


async def test_a_read_of_a_caller_that_has_ended_its_sending_is_cancelled(
    fleet: Fleet,
) -> None:
    """It may have closed the connection, and the server would work on."""
    set_work_time(fleet)
    address = fleet.hosts[0].settings.callers_listen
    reader, writer = await open_connection(*address)
    request = encode_request('half').replace(b'POST /book', b'GET /read')
    writer.write(request)
    await sleep(WORK_S / 4)
    writer.write_eof()
    async with timeout(SLACK_S):
        assert_that(await reader.read(), Equals(b''))
    writer.close()
    assert_that(fleet.hosts[0].callers.connections, Equals(set()))


@pytest.mark.parametrize('requests', [2, 3])
async def test_requests_that_wait_behind_one_are_answered_by_a_stop(
    fleet: Fleet, requests: int
) -> None:
    """The host has read them, and ends the connection after the first."""
    set_work_time(fleet)
    host = fleet.hosts[0]
    reader, writer = await open_connection(*host.settings.callers_listen)
    for number in range(requests):
        writer.write(encode_request(f'pipelined{number}'))
    await sleep(WORK_S / 4)
    stopping = create_task(host.drain())
    answers = await reader.read()
    writer.close()
    await stopping
    assert_that(answers.count(b'HTTP/1.1 '), Equals(requests))


async def test_a_host_that_ends_leaves_no_request_in_part_open(
    fleet: Fleet,
) -> None:
    """Its rest would be read, and not answered while the process exits."""
    host = fleet.hosts[0]
    reader, writer = await open_connection(*host.settings.callers_listen)
    writer.write(encode_request('slow')[:-1])
    await sleep(0.1)
    await host.drain()
    async with timeout(SLACK_S):
        assert_that(await reader.read(), Equals(b''))
    writer.close()


class HeldUpLauncher(Launcher):
    """Starts hosts that can be held up."""

    def start(
        self,
        program: str,
        name: str,
        settings: Struct,
        *,
        sources: Path | None = None,
    ) -> None:
        """Starts a host with a settings file of its own."""
        path = self.directory / f'{name}.json'
        path.write_bytes(json.encode(settings))
        command = [sys.executable, '-c', HELD_UP_HOST, f'--settings={path}']
        with (self.directory / f'{name}.log').open('ab') as log:
            self.processes[name] = Popen(command, stdout=log, stderr=log)


@pytest_asyncio.fixture
async def held_up_host() -> AsyncIterator[MeasuredHost]:
    """Starts one host process that can be held up."""
    with HeldUpLauncher() as launcher:
        host = MeasuredHost(launcher)
        await host.start()
        yield host
        await host.stop()


async def test_a_stop_that_begins_late_cuts_off_no_request_that_ran(
    held_up_host: MeasuredHost,
) -> None:
    """The time to the kill counts from the signal, not from its handling."""
    host = held_up_host
    host.backends[0].work_s = LATE_WORK_S
    answered: set[str] = set()
    gone = False

    async def send(request_id: str) -> None:
        """Sends one request; records it if it gets an answer."""
        nonlocal gone
        try:
            reader, writer = await open_connection(
                *host.settings.callers_listen
            )
        except OSError:
            gone = True
            return
        writer.write(encode_request(request_id, LATE_DEADLINE_MS))
        with suppress(OSError):
            if await reader.read(1):
                answered.add(request_id)
        writer.close()

    host.launcher.send_signal('host-0', SIGUSR1)
    await sleep(0.1)
    host.launcher.send_signal('host-0', SIGTERM)
    # The process runs in real time, unlike the loop of the tests.
    kill_timer = Timer(
        host.settings.stop_s, host.launcher.send_signal, ('host-0', SIGKILL)
    )
    kill_timer.start()
    callers = []
    for number in count():
        if gone:
            break
        callers.append(create_task(send(f'late{number}')))
        await sleep(LATE_INTERVAL_S)
    await gather(*callers)
    kill_timer.cancel()
    ran = {run.request_id for run in host.backends[0].runs}
    assert_that(len(ran & answered) > 0, Equals(True))
    assert_that(ran - answered, Equals(set()))
