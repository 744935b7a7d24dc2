"""Faults of real processes, judged by the servers' own ledgers."""

import asyncio
from collections.abc import AsyncIterator
from signal import SIGCONT
from signal import SIGSTOP

import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import LessThan
from testtools.matchers import Not
from testtools.matchers import StartsWith

from cowslipmill.entry.entry import COMPARE_INTERVAL_S
from cowslipmill.faults.tests.fleet import BOUND_S
from cowslipmill.faults.tests.fleet import Fleet
from cowslipmill.faults.tests.fleet import POLL_S
from cowslipmill.faults.tests.fleet import run_fleet
from cowslipmill.standin.behaviour import Behaviour
from cowslipmill.standin.ledger import Ending
from cowslipmill.suspects.record import CRASH_LIMIT

CRASHER = b'{"crash": true}'
SLOW = Behaviour(slow_factor=200.0)
FROZEN = Behaviour(frozen=True)


@pytest_asyncio.fixture
async def fleet() -> AsyncIterator[Fleet]:
    """Starts two entries and three servers."""
    async with run_fleet() as running:
        yield running


async def test_a_resend_to_another_entry_gets_the_first_answer(
    fleet: Fleet,
) -> None:
    """The key's home replays what it remembers."""
    key = (await fleet.send(0, 'before')).next_key
    first = await fleet.send(0, 'booking', key=key)
    second = await fleet.send(1, 'booking', key=key)
    assert_that(second.outcome, Equals('answered'))
    assert_that(second.body, Equals(first.body))
    assert_that(await fleet.executions('booking'), HasLength(1))


async def test_resends_wait_while_the_first_runs(fleet: Fleet) -> None:
    """All of them get the one answer."""
    key = (await fleet.send(0, 'before')).next_key
    await fleet.behave(SLOW)
    replies = await asyncio.gather(
        *(
            fleet.send(number % 2, 'booking', key=key, deadline_ms=15_000)
            for number in range(6)
        )
    )
    assert_that(len({reply.body for reply in replies}), Equals(1))
    assert_that(await fleet.executions('booking'), HasLength(1))


async def test_another_request_with_the_same_key_is_refused(
    fleet: Fleet,
) -> None:
    """Also at an entry that is not the key's home."""
    key = (await fleet.send(0, 'before')).next_key
    await fleet.send(0, 'booking', key=key)
    other = await fleet.send(1, 'other', key=key, body=b'other')
    assert_that(other.outcome, Equals('not-run; reason=key-reused'))
    assert_that(other.status, Equals(422))
    assert_that(await fleet.executions('other'), HasLength(0))


async def test_an_opaque_key_has_one_home(fleet: Fleet) -> None:
    """Entries that know each other agree on it."""
    for index in (0, 1, 0):
        reply = await fleet.send(index, 'booking', key='made-up')
        assert_that(reply.outcome, Equals('answered'))
    assert_that(await fleet.executions('booking'), HasLength(1))


async def test_keys_of_a_killed_entry_are_unknown(fleet: Fleet) -> None:
    """The entry dies while its server runs the request."""
    key = (await fleet.send(0, 'before')).next_key
    await fleet.behave(FROZEN)
    first = asyncio.create_task(fleet.send(0, 'booking', key=key))
    await fleet.wait_for_execution('booking')
    fleet.kill(0)
    await asyncio.gather(first, return_exceptions=True)
    await fleet.behave(Behaviour())
    for _ in range(3):
        reply = await fleet.send(1, 'booking', key=key)
        assert_that(reply.outcome, Equals('unknown; reason=key-home-gone'))
    assert_that(await fleet.executions('booking'), HasLength(1))


async def test_a_replaced_entry_runs_no_old_key(fleet: Fleet) -> None:
    """A new incarnation at the same address is not the key's home."""
    key = (await fleet.send(0, 'before')).next_key
    await fleet.send(0, 'booking', key=key)
    fleet.kill(0)
    settings = fleet.settings(0)
    fleet.launcher.start('entry', settings.name, settings)
    await fleet.deployment.wait_for_entry(0)
    for index in (0, 1):
        reply = await fleet.send(index, 'booking', key=key)
        assert_that(reply.outcome, Equals('unknown; reason=key-home-gone'))
    assert_that(await fleet.executions('booking'), HasLength(1))


async def test_a_server_that_crashes_leaves_a_booking_unknown(
    fleet: Fleet,
) -> None:
    """The booking is not sent elsewhere; an idempotent one is."""
    await fleet.behave(Behaviour(crash_marker='crash'))
    reply = await fleet.send(0, 'booking', body=CRASHER)
    assert_that(reply.outcome, StartsWith('unknown'))
    assert_that(await fleet.executions('booking'), HasLength(1))


async def test_requests_that_crash_servers_are_stopped(fleet: Fleet) -> None:
    """Resent to both entries in turn, one crashes two servers at most."""
    await fleet.behave(Behaviour(crash_marker='crash'))
    outcomes = []
    for number in range(6):
        reply = await fleet.send(number % 2, 'crasher', body=CRASHER)
        outcomes.append(reply.outcome)
        await asyncio.sleep(POLL_S)
    executions = await fleet.executions('crasher')
    assert_that(len(executions), LessThan(CRASH_LIMIT + 1))
    assert_that(outcomes[-1], Equals('not-run; reason=suspect-request'))
    assert_that(reply.retry_after, Not(Equals('')))


async def test_a_restarted_entry_learns_of_crashes_before_its_start(
    fleet: Fleet,
) -> None:
    """A known crasher doesn't crash servers through an entry that is new."""
    await fleet.behave(Behaviour(crash_marker='crash'))
    for number in range(4):
        await fleet.send(number % 2, 'crasher', body=CRASHER)
        await asyncio.sleep(POLL_S)
    fleet.kill(0)
    settings = fleet.settings(0)
    fleet.launcher.start('entry', settings.name, settings)
    await fleet.deployment.wait_for_entry(0)
    for server in fleet.layout.servers:
        await fleet.deployment.wait_until_ready(f'{server.address}/healthz')
    # Two comparisons with the other entry.
    await asyncio.sleep(2 * COMPARE_INTERVAL_S)
    before = len(await fleet.executions('crasher'))
    reply = await fleet.send(0, 'crasher', body=CRASHER)
    assert_that(reply.outcome, Equals('not-run; reason=suspect-request'))
    assert_that(len(await fleet.executions('crasher')), Equals(before))


async def test_a_restarted_entry_sends_no_crasher_once_it_is_ready(
    fleet: Fleet,
) -> None:
    """No time passes in which it could learn; the next trial is far off."""
    await fleet.behave(Behaviour(crash_marker='crash'))
    async with asyncio.timeout(BOUND_S):
        retry_after = ['', '']
        while set(retry_after) != {'60'}:
            for index in (0, 1):
                reply = await fleet.send(index, 'crasher', body=CRASHER)
                retry_after[index] = reply.retry_after
                await asyncio.sleep(POLL_S)
    before = len(await fleet.executions('crasher'))
    fleet.kill(0)
    settings = fleet.settings(0)
    fleet.launcher.start('entry', settings.name, settings)
    await fleet.deployment.wait_for_entry(0)
    reply = await fleet.send(0, 'crasher', body=CRASHER)
    assert_that(reply.outcome, Equals('not-run; reason=suspect-request'))
    assert_that(len(await fleet.executions('crasher')), Equals(before))


async def test_an_innocent_suspect_is_served_again(fleet: Fleet) -> None:
    """A trial that is answered ends the suspicion at every entry."""
    await fleet.behave(Behaviour(crash_marker='crash'))
    for number in range(3):
        await fleet.send(number % 2, 'innocent', body=CRASHER)
    for server in fleet.layout.servers:
        await fleet.deployment.wait_until_ready(f'{server.address}/healthz')
    await fleet.behave(Behaviour())
    async with asyncio.timeout(BOUND_S):
        for index in (0, 1):
            outcome = ''
            while outcome != 'answered':
                reply = await fleet.send(index, 'innocent', body=CRASHER)
                outcome = reply.outcome
                await asyncio.sleep(POLL_S)
    await fleet.behave(Behaviour(slow_factor=20.0))
    replies = await asyncio.gather(
        *(fleet.send(n % 2, 'innocent', body=CRASHER) for n in range(6))
    )
    assert_that({reply.outcome for reply in replies}, Equals({'answered'}))


async def test_shed_requests_are_refused_without_a_run(fleet: Fleet) -> None:
    """Every server refuses, so the request is proved not to have run."""
    await fleet.behave(Behaviour(shedding=True))
    key = (await fleet.send(0, 'before')).next_key
    reply = await fleet.send(0, 'booking', key=key)
    assert_that(reply.outcome, StartsWith('not-run'))
    assert_that(reply.retry_after, Not(Equals('')))
    assert_that(await fleet.executions('booking'), HasLength(0))
    await fleet.behave(Behaviour())
    async with asyncio.timeout(BOUND_S):
        while reply.outcome != 'answered':
            reply = await fleet.send(1, 'booking', key=key)
    assert_that(await fleet.executions('booking'), HasLength(1))


async def test_a_frozen_server_leaves_the_request_unknown(
    fleet: Fleet,
) -> None:
    """The outcome comes at the deadline and the server is told to stop."""
    await fleet.behave(FROZEN)
    reply = await fleet.send(0, 'booking', deadline_ms=300)
    assert_that(reply.outcome, Equals('unknown; reason=deadline'))
    await wait_for_ending(fleet, 'booking', Ending.CANCELLED)


async def test_a_caller_that_leaves_cancels_its_request(fleet: Fleet) -> None:
    """The server's execution ends when the caller is gone."""
    await fleet.behave(FROZEN)
    sending = asyncio.create_task(fleet.send(0, 'booking'))
    await fleet.wait_for_execution('booking')
    sending.cancel()
    await wait_for_ending(fleet, 'booking', Ending.CANCELLED)


async def test_an_expired_view_is_confirmed_first(fleet: Fleet) -> None:
    """Servers that say they leave get no booking; others get it."""
    fleet.age_ms = 60_000
    await fleet.tell_members()
    await asyncio.sleep(POLL_S)
    reply = await fleet.send(0, 'confirmed')
    assert_that(reply.outcome, Equals('answered'))
    await fleet.behave(Behaviour(draining=True))
    reply = await fleet.send(1, 'booking')
    assert_that(reply.outcome, Equals('not-run; reason=stale-view'))
    assert_that(await fleet.executions('booking'), HasLength(0))


async def wait_for_ending(
    fleet: Fleet, request_id: str, ending: Ending
) -> None:
    """Returns when the one execution of a request has ended so."""
    async with asyncio.timeout(BOUND_S):
        while True:
            executions = await fleet.executions(request_id)
            assert_that(executions, HasLength(1))
            if executions[0].ending is ending:
                return
            await asyncio.sleep(POLL_S)


async def test_an_entry_that_wakes_late_sends_nothing() -> None:
    """Requests that waited for a server through a pause do not run."""
    async with run_fleet(servers=1) as fleet:
        await fleet.behave(FROZEN)
        holders = [
            asyncio.create_task(
                fleet.send(0, f'holder-{number}', deadline_ms=1_500)
            )
            for number in range(12)
        ]
        await fleet.wait_for_execution('holder-0')
        late = asyncio.create_task(fleet.send(0, 'late', deadline_ms=1_000))
        await asyncio.sleep(0.3)
        fleet.signal(0, SIGSTOP)
        await fleet.behave(Behaviour())
        await asyncio.sleep(2.0)
        fleet.signal(0, SIGCONT)
        reply = await late
        assert_that(reply.outcome, StartsWith('not-run'))
        assert_that(await fleet.executions('late'), HasLength(0))
        for number, holder in enumerate(await asyncio.gather(*holders)):
            ran = len(await fleet.executions(f'holder-{number}'))
            assert_that(ran, LessThan(2))
            if holder.outcome.startswith('not-run'):
                assert_that(ran, Equals(0))


async def test_a_lost_answer_stays_unknown() -> None:
    """The server ran the request; no resend runs it again."""
    async with run_fleet(servers=1, relay=True) as fleet:
        key = (await fleet.send(0, 'before', method='GET')).next_key
        for index in (0, 1, 0):
            reply = await fleet.send(index, 'booking', key=key)
            assert_that(
                reply.outcome, Equals('unknown; reason=connection-lost')
            )
        assert_that(await fleet.executions('booking'), HasLength(1))
