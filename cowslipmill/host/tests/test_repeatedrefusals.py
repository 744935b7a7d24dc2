"""Tests of servers that send an earlier refusal once more.

Guard against callers that are told "not run" of a request that a server has
run or is running, and against one that runs at a second server.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import sleep
from collections import Counter

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan

from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.partition import Partition
from cowslipmill.host.tests.test_partition import partition
from cowslipmill.host.tests.test_relays import isolate
from cowslipmill.host.tests.test_relays import other_than_coordinator
from cowslipmill.http1.message import Response
from cowslipmill.standin.backend import Fault
from cowslipmill.standin.backend import Repeat

__all__ = ('partition',)

SENDS = 6


async def send(
    fleet: Fleet, kind: str, label: str, host: int, count: int = SENDS
) -> list[Response]:
    """Sends requests at once, so that several connections are used."""
    tasks = [
        create_task(fleet.send_request(f'/{kind}/{label}-{n}', host=host))
        for n in range(count)
    ]
    return list(await gather(*tasks))


async def play(
    fleet: Fleet, kind: str, host: int, repeat: Repeat, *, serves: bool = True
) -> None:
    """Has servers serve, refuse, and repeat the refusals; checks callers.

    Args:
        fleet: The hosts and servers.
        kind: `book`, which may run once, or `read`, which is retried.
        host: The host that gets the requests.
        repeat: When refusals are repeated.
        serves: Whether servers answer some requests meanwhile.
    """
    backends = list(fleet.backends.values())
    responses = await send(fleet, kind, 'served', host)
    for backend in backends:
        backend.fault = Fault.SHED
    responses += await send(fleet, kind, 'refused', host)
    for backend in backends:
        backend.fault = Fault.NONE
        backend.repeat = repeat
    # A host avoids servers that have refused for a while.
    await sleep(1.0)
    for number in range(4):
        responses += await send(fleet, kind, f'repeated-{number}', host)
    check(fleet, responses, serves=serves)


def check(
    fleet: Fleet, responses: list[Response], *, serves: bool = True
) -> None:
    """Checks that no caller was told wrongly, and nothing ran twice.

    Args:
        fleet: The hosts and servers.
        responses: What callers got.
        serves: Whether servers answered requests after the refusals.
    """
    runs = Counter(
        run.request_id for b in fleet.backends.values() for run in b.runs
    )
    refused = {
        response.header(b'x-request-id').decode()
        for response in responses
        if response.status in (408, 421, 429, 503)
    }
    assert_that(refused & set(runs), Equals(set()))
    unsafe = Counter(
        run.request_id
        for b in fleet.backends.values()
        for run in b.runs
        if run.method == 'POST'
    )
    assert_that({n for n in unsafe.values() if n > 1}, Equals(set()))
    for response in responses:
        if response.status == 200:
            own = response.header(b'x-request-id').decode()
            assert_that(response.body.decode().split()[1], Equals(own))
    served = [r for r in responses if r.status == 200]
    assert_that(len(served), GreaterThan(SENDS if serves else SENDS - 1))


@pytest.mark.parametrize('has_id', [False, True])
@pytest.mark.parametrize('repeat', list(Repeat))
@pytest.mark.parametrize('kind', ['book', 'read'])
async def test_a_repeated_refusal_is_no_answer_to_a_request(
    fleet: Fleet, kind: str, repeat: Repeat, has_id: bool
) -> None:
    """At the first send and at retries over this host's connections."""
    for backend in fleet.backends.values():
        backend.refusals_have_id = has_id
    await play(fleet, kind, 0, repeat)


@pytest.mark.parametrize('has_id', [False, True])
@pytest.mark.parametrize('repeat', list(Repeat))
async def test_a_repeated_refusal_is_no_answer_to_a_hedged_request(
    fleet: Fleet, repeat: Repeat, has_id: bool
) -> None:
    """The first server is slow, so that a second one gets the request."""
    for backend in fleet.backends.values():
        backend.refusals_have_id = has_id
    fleet.backends['one'].work_s = 0.5
    await play(fleet, 'read', 0, repeat)


@pytest.mark.parametrize('has_id', [False, True])
@pytest.mark.parametrize('repeat', list(Repeat))
async def test_a_repeated_refusal_is_no_answer_to_a_relayed_request(
    large_fleet: Fleet, partition: Partition, repeat: Repeat, has_id: bool
) -> None:
    """Over the connections of the host that relays."""
    for backend in large_fleet.backends.values():
        backend.refusals_have_id = has_id
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    await play(large_fleet, 'book', large_fleet.hosts.index(cut), repeat)


@pytest.mark.parametrize('has_id', [False, True])
@pytest.mark.parametrize('repeat', list(Repeat))
async def test_a_repeated_refusal_is_no_answer_after_a_wait(
    fleet: Fleet, repeat: Repeat, has_id: bool
) -> None:
    """Servers refuse for a time, and requests wait for its end."""
    backends = list(fleet.backends.values())
    for backend in backends:
        backend.refusals_have_id = has_id
        backend.fault = Fault.SHED
    responses = await send(fleet, 'book', 'refused', 0)
    for backend in backends:
        backend.fault = Fault.NONE
        backend.pause = '0.3'
        backend.repeat = repeat
    responses += await send(fleet, 'book', 'paused', 0)
    waiting = create_task(send(fleet, 'book', 'waiting', 0))
    await sleep(0.2)
    for backend in backends:
        backend.pause = ''
    responses += await waiting
    for number in range(4):
        responses += await send(fleet, 'book', f'later-{number}', 0)
    check(fleet, responses)


@pytest.mark.parametrize('has_id', [False, True])
@pytest.mark.parametrize('repeat', list(Repeat))
async def test_a_repeated_refusal_is_no_answer_to_the_same_id(
    fleet: Fleet, repeat: Repeat, has_id: bool
) -> None:
    """A caller sends a refused request again, and keeps its id."""
    backends = list(fleet.backends.values())
    for backend in backends:
        backend.refusals_have_id = has_id
        backend.fault = Fault.SHED
    first_number = fleet.last_request_number
    await send(fleet, 'book', 'first', 0, 1)
    for backend in backends:
        backend.fault = Fault.NONE
        backend.repeat = repeat
    await sleep(1.0)
    fleet.last_request_number = first_number
    responses = await send(fleet, 'book', 'again', 0, 1)
    for number in range(3):
        responses += await send(fleet, 'book', f'later-{number}', 0)
    check(fleet, responses)


@pytest.mark.parametrize('repeat', list(Repeat))
@pytest.mark.parametrize('kind', ['book', 'read'])
async def test_a_refusal_on_another_connection_is_no_answer(
    fleet: Fleet, kind: str, repeat: Repeat
) -> None:
    """It names another request, which was refused elsewhere."""
    for backend in fleet.backends.values():
        backend.refusals_have_id = True
        backend.repeats_elsewhere = True
        backend.slots = 2 * SENDS
    serves = repeat is not Repeat.IN_PLACE
    await play(fleet, kind, 0, repeat, serves=serves)
    sent = sum(b.repeats_sent for b in fleet.backends.values())
    assert_that(sent, GreaterThan(0))


@pytest.mark.parametrize('repeat', list(Repeat))
async def test_a_refusal_on_another_connection_is_no_answer_to_a_hedge(
    fleet: Fleet, repeat: Repeat
) -> None:
    """The first server is slow, so that a second one gets the request."""
    for backend in fleet.backends.values():
        backend.refusals_have_id = True
        backend.repeats_elsewhere = True
        backend.slots = 2 * SENDS
    fleet.backends['one'].work_s = 0.5
    serves = repeat is not Repeat.IN_PLACE
    await play(fleet, 'read', 0, repeat, serves=serves)


@pytest.mark.parametrize('repeat', list(Repeat))
async def test_a_refusal_on_another_connection_is_no_relayed_answer(
    large_fleet: Fleet, partition: Partition, repeat: Repeat
) -> None:
    """Over the connections of the host that relays."""
    for backend in large_fleet.backends.values():
        backend.refusals_have_id = True
        backend.repeats_elsewhere = True
        backend.slots = 2 * SENDS
    cut = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [cut])
    serves = repeat is not Repeat.IN_PLACE
    host = large_fleet.hosts.index(cut)
    await play(large_fleet, 'book', host, repeat, serves=serves)


@pytest.mark.parametrize('has_id', [False, True])
@pytest.mark.parametrize('repeat', list(Repeat))
async def test_a_repeated_pause_is_no_answer_after_its_end(
    fleet: Fleet, repeat: Repeat, has_id: bool
) -> None:
    """The requests that it turned away wait and are sent again."""
    backends = list(fleet.backends.values())
    for backend in backends:
        backend.refusals_have_id = has_id
    responses = await send(fleet, 'book', 'served', 0)
    for backend in backends:
        backend.pause = '0.3'
    waiting = create_task(send(fleet, 'book', 'waiting', 0))
    await sleep(0.1)
    for backend in backends:
        backend.pause = ''
        backend.repeat = repeat
    responses += await waiting
    for number in range(4):
        responses += await send(fleet, 'book', f'later-{number}', 0)
    check(fleet, responses)


async def test_a_repeated_refusal_of_a_health_request_ends_no_service(
    fleet: Fleet,
) -> None:
    """The pause that it names is over; requests are served again."""
    backends = list(fleet.backends.values())
    responses = await send(fleet, 'book', 'served', 0)
    for backend in backends:
        backend.repeats_health = True
    for number in range(3):
        for backend in backends:
            backend.pause = '0.2'
        responses += await send(fleet, 'book', f'paused-{number}', 0)
        for backend in backends:
            backend.pause = ''
        await sleep(1.0)
        again = await send(fleet, 'book', f'again-{number}', 0)
        assert_that({r.status for r in again}, Equals({200}))
        responses += again
    check(fleet, responses)
    assert_that(min(b.health_asked for b in backends), GreaterThan(0))
