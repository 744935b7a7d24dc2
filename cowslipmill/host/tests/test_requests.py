"""Tests of requests through a host to stand-in servers.

The routes below `/read` are safe to retry, those below `/book` are not. Each
has a timeout of 700 ms, the default of `make_route`.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import make_server_entry
from cowslipmill.http1.message import Response
from cowslipmill.standin.backend import Fault

RESPONSE_LOSSES = [
    Fault.RESET,
    Fault.CUT,
    Fault.NOISE,
    Fault.UNFRAMED_RESET,
    Fault.UNSIGNED,
]


def set_fault(fleet: Fleet, name: str, fault: Fault) -> None:
    fleet.backends[name].fault = fault


def set_faults(fleet: Fleet, fault: Fault) -> None:
    for name in fleet.backends:
        set_fault(fleet, name, fault)


async def test_a_request_reaches_its_server_unchanged(fleet: Fleet) -> None:
    response = await fleet.send_request('/book/a?b=c%20d', body=b'seat 7')
    assert_that(response.status, Equals(200))
    assert_that(response.header(b'x-response-signature'), Equals(b'q1.ok'))
    (run,) = [r for b in fleet.backends.values() for r in b.runs]
    assert_that(
        (run.method, run.target, run.body, run.request_id),
        Equals(('POST', '/book/a?b=c%20d', b'seat 7', 'q1')),
    )


async def test_a_server_gets_the_remaining_time_as_deadline(
    fleet: Fleet,
) -> None:
    await fleet.send_request('/read/a', deadline_ms=300)
    await fleet.send_request('/read/a', deadline_ms=9_000)
    deadlines_ms = [
        r.deadline_ms for b in fleet.backends.values() for r in b.runs
    ]
    assert_that(max(deadlines_ms), LessThan(701))
    assert_that(min(deadlines_ms), LessThan(301))


async def test_an_unknown_route_gets_404(fleet: Fleet) -> None:
    assert_that((await fleet.send_request('/none/a')).status, Equals(404))


async def test_a_host_without_configuration_refuses_and_is_not_ready(
    empty_fleet: Fleet,
) -> None:
    host = await empty_fleet.add_host()
    response = await empty_fleet.send_request('/read/a')
    assert_that(response.status, Equals(503))
    assert_that(float(response.header(b'retry-after')), GreaterThan(0.0))
    assert_that(host.ready, Equals(False))


@pytest.mark.parametrize('fault', RESPONSE_LOSSES)
async def test_a_lost_unsafe_request_fails_and_is_not_retried(
    fleet: Fleet, fault: Fault
) -> None:
    set_faults(fleet, fault)
    assert_that((await fleet.send_request('/book/a')).status, Equals(502))
    assert_that(fleet.execution_count(), Equals(1))


@pytest.mark.parametrize('fault', RESPONSE_LOSSES)
async def test_a_lost_safe_request_is_retried_at_another_server(
    fleet: Fleet, fault: Fault
) -> None:
    set_fault(fleet, 'one', fault)
    responses = [await fleet.send_request(f'/read/{n}') for n in range(3)]
    assert_that({r.status for r in responses}, Equals({200}))


async def test_an_overdue_safe_request_is_hedged(
    fleet: Fleet,
) -> None:
    set_fault(fleet, 'one', Fault.LOST)
    responses: list[Response] = []
    while not fleet.backends['one'].runs:
        responses.append(await fleet.send_request(f'/read/{len(responses)}'))
    assert_that({r.status for r in responses}, Equals({200}))


@pytest.mark.parametrize('target', ['/book/a', '/read/a'])
async def test_a_shed_request_is_retried_at_another_server(
    fleet: Fleet, target: str
) -> None:
    set_fault(fleet, 'one', Fault.SHED)
    response = await fleet.send_request(target)
    assert_that(response.status, Equals(200))


async def test_a_request_that_every_server_sheds_is_refused(
    fleet: Fleet,
) -> None:
    set_faults(fleet, Fault.SHED)
    response = await fleet.send_request('/book/a')
    assert_that(response.status, Equals(503))
    assert_that(float(response.header(b'retry-after')), GreaterThan(0.0))
    assert_that(fleet.execution_count(), Equals(0))


async def test_an_error_response_of_a_server_is_returned(fleet: Fleet) -> None:
    set_faults(fleet, Fault.ERROR)
    response = await fleet.send_request('/book/a')
    assert_that(response.status, Equals(500))
    assert_that(response.header(b'x-response-signature'), Equals(b'q1.ok'))


async def test_an_error_response_is_returned_if_no_retry_succeeds_in_time(
    fleet: Fleet,
) -> None:
    set_fault(fleet, 'one', Fault.ERROR)
    set_fault(fleet, 'two', Fault.LOST)
    responses = [await fleet.send_request(f'/read/{n}') for n in range(2)]
    assert_that({r.status for r in responses}, Equals({500}))


async def test_a_shed_unsafe_request_is_not_retried_after_its_caller_left(
    fleet: Fleet,
) -> None:
    set_faults(fleet, Fault.SHED_LATE)
    task = create_task(fleet.send_request('/book/a'))
    await fleet.wait_until(
        lambda: any(b.shedding for b in fleet.backends.values())
    )
    task.cancel()
    await sleep(0.1)
    set_faults(fleet, Fault.NONE)
    await fleet.wait_until(
        lambda: not any(b.shedding for b in fleet.backends.values())
    )
    await sleep(0.2)
    assert_that(fleet.execution_count(), Equals(0))


async def test_dropped_idle_connections_fail_at_most_one_unsafe_request(
    fleet: Fleet,
) -> None:
    await fleet.send_request('/book/a')
    set_faults(fleet, Fault.FORGETS_IDLE)
    statuses = []
    for number in range(4):
        await sleep(0.3)
        statuses.append((await fleet.send_request(f'/book/{number}')).status)
    assert_that(statuses.count(502), LessThan(2))
    assert_that(statuses[-2:], Equals([200, 200]))


async def test_idle_connection_losses_are_shared_with_other_hosts(
    large_fleet: Fleet,
) -> None:
    hosts = large_fleet.hosts
    hosts[0].sender.direct.idle_limits.report_loss('registry', 0.3)
    await large_fleet.wait_until(
        lambda: all(
            host.sender.direct.idle_limits.max_idle_s('registry', host.clock())
            < 0.3
            for host in hosts
        )
    )


async def test_a_request_ends_at_the_timeout_of_its_route(
    fleet: Fleet,
) -> None:
    set_faults(fleet, Fault.LOST)
    started_at = get_running_loop().time()
    response = await fleet.send_request('/book/a', deadline_ms=5_000)
    took_s = get_running_loop().time() - started_at
    assert_that(response.status, Equals(504))
    assert_that(took_s, GreaterThan(0.65))
    assert_that(took_s, LessThan(1.2))


async def test_a_request_does_not_run_at_a_server_that_took_over_an_address(
    fleet: Fleet,
) -> None:
    for name, backend in list(fleet.backends.items()):
        backend.name = f'new-{name}'
    response = await fleet.send_request('/book/a')
    assert_that(response.status, Equals(503))
    assert_that(fleet.execution_count(), Equals(0))


async def test_a_safe_request_is_cancelled_when_its_caller_leaves(
    fleet: Fleet,
) -> None:
    for backend in fleet.backends.values():
        backend.work_s = 0.6
    task = create_task(fleet.send_request('/read/a'))
    await sleep(0.2)
    assert_that(fleet.execution_count(), Equals(1))
    task.cancel()
    await fleet.wait_until(
        lambda: not any(b.running for b in fleet.backends.values())
    )
    (run,) = [r for b in fleet.backends.values() for r in b.runs]
    assert_that(run.whole, Equals(False))


async def test_an_unsafe_request_completes_after_its_caller_left(
    fleet: Fleet,
) -> None:
    for backend in fleet.backends.values():
        backend.work_s = 0.3
    task = create_task(fleet.send_request('/book/a'))
    await sleep(0.15)
    task.cancel()
    await sleep(0.35)
    (run,) = [r for b in fleet.backends.values() for r in b.runs]
    assert_that(run.whole, Equals(True))


async def test_requests_beyond_the_slots_wait_instead_of_being_shed(
    fleet: Fleet,
) -> None:
    for backend in fleet.backends.values():
        backend.work_s = 0.05
        backend.hangs_when_full = True
    await fleet.send_request('/read/first')
    responses = await gather(
        *(fleet.send_request(f'/read/{n}') for n in range(12))
    )
    assert_that({r.status for r in responses}, Equals({200}))


async def test_a_leaving_server_gets_no_requests(fleet: Fleet) -> None:
    one = fleet.backends['one']
    fleet.store.put('servers/one', make_server_entry(one, State='draining'))
    host = fleet.hosts[0]
    await fleet.wait_until(
        lambda: len(host.view.available_servers('registry')) == 1
    )
    for number in range(4):
        await fleet.send_request(f'/book/{number}')
    assert_that(one.runs, Equals([]))
    assert_that(fleet.execution_count(), Equals(4))


async def test_a_request_that_crashes_servers_is_refused_by_all_hosts(
    large_fleet: Fleet,
) -> None:
    fleet = large_fleet
    set_faults(fleet, Fault.RESET)
    statuses = []
    for turn in range(8):
        response = await fleet.send_request('/book/poison', host=turn % 4)
        statuses.append(response.status)
        await sleep(0.3)
    assert_that(statuses[-1], Equals(503))
    assert_that(fleet.execution_count(), LessThan(5))


async def test_a_keep_alive_time_of_any_length_loses_no_response(
    fleet: Fleet,
) -> None:
    """A number too large to convert left the request without an answer."""
    for backend in fleet.backends.values():
        backend.keep_alive = '9' * 5_000
    responses = [await fleet.send_request(f'/book/{n}') for n in range(4)]
    assert_that({r.status for r in responses}, Equals({200}))
