"""Tests of pipelined requests through a whole host."""

from asyncio import get_running_loop
from asyncio import open_connection
from asyncio import sleep
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import LessThan

from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import HOST_HEADER
from cowslipmill.host.tests.conftest import make_test_configuration

WORK_S = 0.3
REQUESTS = 8
# More than the requests: a part of a server's slots is kept free
# (`KNEE_SHARE` of `leasing/slots.py`).
SLOTS = 16


@pytest_asyncio.fixture
async def wide_fleet(empty_fleet: Fleet) -> AsyncIterator[Fleet]:
    """Starts one host and a server with many slots."""
    fleet = empty_fleet
    fleet.store.put('op/config', make_test_configuration(1))
    backend = await fleet.add_backend('one', slots=SLOTS)
    backend.work_s = WORK_S
    await fleet.add_host()
    await fleet.wait_until_ready()
    yield fleet


def encode_read(number: int) -> bytes:
    """Returns an idempotent request as a caller sends it."""
    return (
        f'GET /read/{number} HTTP/1.1\r\nhost: {HOST_HEADER}\r\n'
        f'x-request-id: q{number}\r\nx-deadline-ms: 4000\r\n\r\n'
    ).encode()


def encode_order(number: int) -> bytes:
    """Returns a request that isn't idempotent as a caller sends it."""
    read = encode_read(number).replace(b'GET /read', b'POST /book')
    return read.replace(b'\r\n\r\n', b'\r\ncontent-length: 0\r\n\r\n')


async def exchange(fleet: Fleet, requests: list[bytes]) -> tuple[bytes, float]:
    """Sends requests on one connection.

    Returns:
        All responses, and the seconds that they took.
    """
    address = fleet.hosts[0].settings.callers_listen
    reader, writer = await open_connection(*address)
    started_at = get_running_loop().time()
    writer.write(b''.join(requests))
    data = b''
    while data.count(b'HTTP/1.1 ') < len(requests):
        part = await reader.read(65_536)
        if not part:
            break
        data += part
    writer.close()
    return data, get_running_loop().time() - started_at


def ids_of(data: bytes) -> list[bytes]:
    """Returns the request ids of responses."""
    lines = data.lower().split(b'\r\n')
    prefix = b'x-request-id: '
    return [
        line.removeprefix(prefix) for line in lines if line.startswith(prefix)
    ]


async def test_pipelined_reads_take_as_long_as_the_slowest(
    wide_fleet: Fleet,
) -> None:
    """Four requests of 0.3 s took 1.22 s, one after the other."""
    await wide_fleet.send_request('/read/first')
    requests = [encode_read(number) for number in range(REQUESTS)]
    data, took_s = await exchange(wide_fleet, requests)
    assert_that(data.count(b'HTTP/1.1 200'), Equals(REQUESTS))
    assert_that(ids_of(data), Equals([b'q%d' % n for n in range(REQUESTS)]))
    assert_that(took_s, LessThan(1.5 * WORK_S))


async def test_pipelined_orders_run_one_after_the_other(
    wide_fleet: Fleet,
) -> None:
    """A closing response to one would leave the next one's outcome open."""
    requests = [encode_read(0), encode_order(1), encode_order(2)]
    data, _ = await exchange(wide_fleet, [*requests, encode_read(3)])
    assert_that(data.count(b'HTTP/1.1 200'), Equals(4))
    runs = wide_fleet.backends['one'].runs
    ids = [run.request_id for run in runs]
    assert_that(ids, Equals(['q0', 'q1', 'q2', 'q3']))
    starts = [run.began_at for run in runs]
    gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
    assert_that(min(gaps) >= 0.95 * WORK_S, Equals(True))


async def test_all_pipelined_reads_are_cancelled_when_the_caller_leaves(
    wide_fleet: Fleet,
) -> None:
    """Only the first one was; servers worked on for nobody."""
    await wide_fleet.send_request('/read/first')
    address = wide_fleet.hosts[0].settings.callers_listen
    _, writer = await open_connection(*address)
    writer.write(b''.join(encode_read(number) for number in range(4)))
    backend = wide_fleet.backends['one']
    await wide_fleet.wait_until(lambda: backend.running == 4)
    writer.transport.abort()
    await sleep(WORK_S / 3)
    assert_that(backend.running, Equals(0))
    assert_that(wide_fleet.hosts[0].forwarder.in_progress, Equals(0))


async def test_an_order_is_refused_if_it_was_started_as_a_read(
    wide_fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A configuration may come between; it could be run twice."""
    callers = wide_fleet.hosts[0].callers
    monkeypatch.setattr(callers, 'may_overlap', lambda request: True)
    requests = [encode_read(0), encode_order(1)]
    data, _ = await exchange(wide_fleet, requests)
    assert_that(data.count(b'HTTP/1.1 200'), Equals(1))
    assert_that(data.count(b'HTTP/1.1 503'), Equals(1))
    assert_that(wide_fleet.execution_count(), Equals(1))
