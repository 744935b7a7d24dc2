"""Requests through a whole host."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.host.tests.conftest import entry
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.http1.message import Response
from cowslipmill.standin.backend import Fault

LOSSES = [
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


async def test_a_request_reaches_its_service_unchanged(fleet: Fleet) -> None:
    answer = await fleet.ask('/book/a?b=c%20d', body=b'seat 7')
    assert_that(answer.status, Equals(200))
    assert_that(answer.header(b'x-response-signature'), Equals(b'q1.ok'))
    (run,) = [r for b in fleet.backends.values() for r in b.runs]
    assert_that(
        (run.method, run.target, run.body, run.request_id),
        Equals(('POST', '/book/a?b=c%20d', b'seat 7', 'q1')),
    )


async def test_a_server_is_told_no_more_time_than_is_left(
    fleet: Fleet,
) -> None:
    await fleet.ask('/read/a', deadline_ms=300)
    await fleet.ask('/read/a', deadline_ms=9_000)
    told = [r.deadline_ms for b in fleet.backends.values() for r in b.runs]
    assert_that(max(told), LessThan(701))
    assert_that(min(told), LessThan(301))


async def test_an_unknown_route_is_not_found(fleet: Fleet) -> None:
    assert_that((await fleet.ask('/none/a')).status, Equals(404))


async def test_a_host_without_configuration_refuses_and_is_not_ready(
    empty_fleet: Fleet,
) -> None:
    host = await empty_fleet.add_host()
    answer = await empty_fleet.ask('/read/a')
    assert_that(answer.status, Equals(503))
    assert_that(float(answer.header(b'retry-after')), GreaterThan(0.0))
    assert_that(host.ready, Equals(False))


@pytest.mark.parametrize('fault', LOSSES)
async def test_a_lost_booking_is_told_as_unknown_and_never_sent_again(
    fleet: Fleet, fault: Fault
) -> None:
    set_faults(fleet, fault)
    assert_that((await fleet.ask('/book/a')).status, Equals(502))
    assert_that(fleet.runs(), Equals(1))


@pytest.mark.parametrize('fault', LOSSES)
async def test_a_lost_read_is_answered_by_another_server(
    fleet: Fleet, fault: Fault
) -> None:
    set_fault(fleet, 'one', fault)
    answers = [await fleet.ask(f'/read/{n}') for n in range(3)]
    assert_that({a.status for a in answers}, Equals({200}))


async def test_an_overdue_read_is_sent_to_another_server(
    fleet: Fleet,
) -> None:
    set_fault(fleet, 'one', Fault.LOST)
    answers: list[Response] = []
    while not fleet.backends['one'].runs:
        answers.append(await fleet.ask(f'/read/{len(answers)}'))
    assert_that({a.status for a in answers}, Equals({200}))


@pytest.mark.parametrize('target', ['/book/a', '/read/a'])
async def test_what_a_server_shed_runs_at_another(
    fleet: Fleet, target: str
) -> None:
    set_fault(fleet, 'one', Fault.SHED)
    answer = await fleet.ask(target)
    assert_that(answer.status, Equals(200))


async def test_what_every_server_shed_is_told_as_not_run(
    fleet: Fleet,
) -> None:
    set_faults(fleet, Fault.SHED)
    answer = await fleet.ask('/book/a')
    assert_that(answer.status, Equals(503))
    assert_that(float(answer.header(b'retry-after')), GreaterThan(0.0))
    assert_that(fleet.runs(), Equals(0))


async def test_a_failure_of_the_server_is_handed_on(fleet: Fleet) -> None:
    set_faults(fleet, Fault.ERROR)
    answer = await fleet.ask('/book/a')
    assert_that(answer.status, Equals(500))
    assert_that(answer.header(b'x-response-signature'), Equals(b'q1.ok'))


async def test_a_failure_is_handed_on_if_nothing_better_comes_in_time(
    fleet: Fleet,
) -> None:
    set_fault(fleet, 'one', Fault.ERROR)
    set_fault(fleet, 'two', Fault.LOST)
    answers = [await fleet.ask(f'/read/{n}') for n in range(2)]
    assert_that({a.status for a in answers}, Equals({500}))


async def test_a_booking_that_was_shed_is_not_sent_again_without_its_caller(
    fleet: Fleet,
) -> None:
    set_faults(fleet, Fault.SHED_LATE)
    task = create_task(fleet.ask('/book/a'))
    await fleet.until(lambda: any(b.shedding for b in fleet.backends.values()))
    task.cancel()
    await sleep(0.1)
    set_faults(fleet, Fault.NONE)
    await fleet.until(
        lambda: not any(b.shedding for b in fleet.backends.values())
    )
    await sleep(0.2)
    assert_that(fleet.runs(), Equals(0))


async def test_servers_that_drop_idle_connections_cost_one_booking(
    fleet: Fleet,
) -> None:
    await fleet.ask('/book/a')
    set_faults(fleet, Fault.FORGETS_IDLE)
    statuses = []
    for number in range(4):
        await sleep(0.3)
        statuses.append((await fleet.ask(f'/book/{number}')).status)
    assert_that(statuses.count(502), LessThan(2))
    assert_that(statuses[-2:], Equals([200, 200]))


async def test_a_host_is_told_of_idle_connections_that_others_lost(
    large_fleet: Fleet,
) -> None:
    hosts = large_fleet.hosts
    hosts[0].sender.idle_limits.report_loss('registry', 0.3)
    await large_fleet.until(
        lambda: all(
            host.sender.idle_limits.max_idle_s('registry', host.clock()) < 0.3
            for host in hosts
        )
    )


async def test_a_request_ends_when_its_route_says(fleet: Fleet) -> None:
    set_faults(fleet, Fault.LOST)
    started_at = get_running_loop().time()
    answer = await fleet.ask('/book/a', deadline_ms=5_000)
    took_s = get_running_loop().time() - started_at
    assert_that(answer.status, Equals(504))
    assert_that(took_s, GreaterThan(0.65))
    assert_that(took_s, LessThan(1.2))


async def test_an_address_that_changed_hands_runs_nothing(
    fleet: Fleet,
) -> None:
    for name, backend in list(fleet.backends.items()):
        backend.name = f'new-{name}'
    answer = await fleet.ask('/book/a')
    assert_that(answer.status, Equals(503))
    assert_that(fleet.runs(), Equals(0))


async def test_a_caller_that_leaves_ends_its_read(fleet: Fleet) -> None:
    for backend in fleet.backends.values():
        backend.work_s = 0.6
    task = create_task(fleet.ask('/read/a'))
    await sleep(0.2)
    assert_that(fleet.runs(), Equals(1))
    task.cancel()
    await fleet.until(
        lambda: not any(b.running for b in fleet.backends.values())
    )
    (run,) = [r for b in fleet.backends.values() for r in b.runs]
    assert_that(run.whole, Equals(False))


async def test_a_caller_that_leaves_does_not_cut_its_booking(
    fleet: Fleet,
) -> None:
    for backend in fleet.backends.values():
        backend.work_s = 0.3
    task = create_task(fleet.ask('/book/a'))
    await sleep(0.15)
    task.cancel()
    await sleep(0.35)
    (run,) = [r for b in fleet.backends.values() for r in b.runs]
    assert_that(run.whole, Equals(True))


async def test_requests_beyond_the_slots_wait_and_none_is_shed(
    fleet: Fleet,
) -> None:
    for backend in fleet.backends.values():
        backend.work_s = 0.05
        backend.hangs_when_full = True
    await fleet.ask('/read/first')
    answers = await gather(*(fleet.ask(f'/read/{n}') for n in range(12)))
    assert_that({a.status for a in answers}, Equals({200}))


async def test_a_leaving_server_gets_nothing_more(fleet: Fleet) -> None:
    one = fleet.backends['one']
    fleet.store.put('servers/one', entry(one, State='draining'))
    host = fleet.hosts[0]
    await fleet.until(
        lambda: len(host.view.available_servers('registry')) == 1
    )
    for number in range(4):
        await fleet.ask(f'/book/{number}')
    assert_that(one.runs, Equals([]))
    assert_that(fleet.runs(), Equals(4))


async def test_a_request_that_crashes_servers_is_stopped_everywhere(
    large_fleet: Fleet,
) -> None:
    fleet = large_fleet
    set_faults(fleet, Fault.RESET)
    statuses = []
    for turn in range(8):
        answer = await fleet.ask('/book/poison', host=turn % 4)
        statuses.append(answer.status)
        await sleep(0.3)
    assert_that(statuses[-1], Equals(503))
    assert_that(fleet.runs(), LessThan(5))
