"""Tests of requests that come until their host has stopped.

Guard against a request that is taken late, passed on and cut off by the end of
its host, at each moment of its way.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from asyncio import Task

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.host.host import Host
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.partition import Partition
from cowslipmill.host.tests.test_partition import partition
from cowslipmill.host.tests.test_relays import isolate
from cowslipmill.host.tests.test_relays import other_than_coordinator
from cowslipmill.http1.message import Response
from cowslipmill.http1.serverconnection import ExchangeFailed
from cowslipmill.standin.backend import Fault

__all__ = ('partition',)

INTERVAL_S = 0.02
DEADLINE_MS = 300


async def send_until_stopped(
    fleet: Fleet, host: Host, path: str
) -> dict[str, Response | BaseException]:
    """Stops a host and sends requests to it until it has ended.

    Returns:
        What each request got, by its id.
    """
    number = fleet.hosts.index(host)
    stopping = create_task(host.drain())
    requests: dict[str, Task[Response]] = {}
    while not stopping.done():
        request = create_task(
            fleet.send_request(path, host=number, deadline_ms=DEADLINE_MS)
        )
        await sleep(INTERVAL_S)
        requests[f'q{fleet.last_request_number}'] = request
    for connection in list(host.callers.connections):
        connection.close()
    results = await gather(*requests.values(), return_exceptions=True)
    return dict(zip(requests, results, strict=True))


def check_none_cut_off(
    fleet: Fleet, results: dict[str, Response | BaseException]
) -> None:
    """Checks that each request that ran got an answer."""
    ran = {run.request_id for b in fleet.backends.values() for run in b.runs}
    cut_off = {
        request_id
        for request_id, result in results.items()
        if request_id in ran and isinstance(result, ExchangeFailed)
    }
    assert_that(len(ran & set(results)), GreaterThan(0))
    assert_that(cut_off, Equals(set()))


@pytest.mark.parametrize('path', ['/read/late', '/book/late'])
@pytest.mark.parametrize(
    'fault', [Fault.NONE, Fault.RESET, Fault.SHED, Fault.SILENT]
)
async def test_a_request_taken_late_in_a_stop_is_answered(
    fleet: Fleet, fault: Fault, path: str
) -> None:
    """At the first send, a retry or a hedge; one server has the fault."""
    fleet.backends['one'].fault = fault
    fleet.backends['two'].work_s = 0.1
    results = await send_until_stopped(fleet, fleet.hosts[0], path)
    check_none_cut_off(fleet, results)


async def test_a_request_that_waits_late_in_a_stop_is_answered(
    fleet: Fleet,
) -> None:
    """Two slots for some fifteen requests at a time."""
    for backend in fleet.backends.values():
        backend.work_s = 0.2
    results = await send_until_stopped(fleet, fleet.hosts[0], '/book/late')
    check_none_cut_off(fleet, results)


@pytest.mark.parametrize('path', ['/read/late', '/book/late'])
async def test_a_request_relayed_late_in_a_stop_is_answered(
    large_fleet: Fleet, partition: Partition, path: str
) -> None:
    """Its host reaches no server, and another one sends it."""
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    results = await send_until_stopped(large_fleet, cut, path)
    check_none_cut_off(large_fleet, results)


async def test_a_request_taken_late_is_answered_while_the_store_is_away(
    fleet: Fleet,
) -> None:
    """The host goes on with what it has read."""
    await fleet.store.stop()
    results = await send_until_stopped(fleet, fleet.hosts[0], '/book/late')
    check_none_cut_off(fleet, results)
