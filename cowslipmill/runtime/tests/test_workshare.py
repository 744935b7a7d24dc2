"""Tests of the shares of processor time."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.runtime.workshare import BURST_S
from cowslipmill.runtime.workshare import ConnectionWork
from cowslipmill.runtime.workshare import FREE_RATE
from cowslipmill.runtime.workshare import HEAVY_RATE
from cowslipmill.runtime.workshare import MAX_LOG_LINES
from cowslipmill.runtime.workshare import MAX_PEERS
from cowslipmill.runtime.workshare import WorkShares

READ_S = 0.001
RUN_S = 60.0


def flood(
    shares: WorkShares, connections: dict[str, int], run_s: float = RUN_S
) -> dict[str, float]:
    """Returns what floods take, in seconds by peer.

    Args:
        shares: The shares.
        connections: How many connections each peer has; each of them is
            read from as soon as it isn't paused.
        run_s: Seconds of the flood.
    """
    taken = dict.fromkeys(connections, 0.0)
    free_at = {
        (key, n): 0.0
        for key, count in connections.items()
        for n in range(count)
    }
    now = 0.0
    while now < run_s:
        place = min(free_at, key=free_at.__getitem__)
        now = max(now, free_at[place])
        taken[place[0]] += READ_S
        now += READ_S
        free_at[place] = now + shares.charge(place[0], READ_S, now)
    return taken


def test_a_peer_within_its_free_share_is_never_paused() -> None:
    """Guards calm traffic."""
    shares = WorkShares('callers')
    pauses = [
        shares.charge('one', READ_S, n * READ_S / FREE_RATE)
        for n in range(1_000)
    ]
    assert_that(sum(pauses), Equals(0.0))


@pytest.mark.parametrize('count', [1, 24])
def test_floods_together_take_a_bounded_part(count: int) -> None:
    """Guards against floods that take more the more they are."""
    taken = flood(WorkShares('callers'), {str(n): 1 for n in range(count)})
    bound_s = RUN_S * HEAVY_RATE + count * (BURST_S + 2 * READ_S)
    assert_that(sum(taken.values()), LessThan(bound_s * 1.05))


def test_many_connections_take_no_more_than_one() -> None:
    """Guards against a caller that opens connections to get more."""
    taken = flood(WorkShares('callers'), {'many': 50, 'one': 1})
    assert_that(taken['many'], LessThan(taken['one'] * 1.5))


def test_a_peer_that_takes_little_is_not_paused_beside_floods() -> None:
    """Guards sound callers against the pauses of others."""
    shares = WorkShares('callers')
    flood(shares, {str(n): 1 for n in range(24)}, 5.0)
    assert_that(shares.charge('sound', READ_S, 5.0), Equals(0.0))


def test_a_cheap_connection_is_not_paused_for_its_address() -> None:
    """Guards sound callers that share an address with a flood."""
    shares = WorkShares('callers')
    heavy = ConnectionWork(shares, 'one')
    cheap = ConnectionWork(shares, 'one')
    paused_s = 0.0
    for n in range(100):
        paused_s += heavy.charge(5 * READ_S, n * 0.01)
        assert_that(cheap.charge(0.000_03, n * 0.01), Equals(0.0))
    assert_that(paused_s, GreaterThan(1.0))


def test_rejected_connections_count_for_their_caller() -> None:
    """Guards against a flood that opens a new connection after each read."""
    shares = WorkShares('callers')
    for n in range(1_000):
        work = ConnectionWork(shares, 'one')
        work.charge(0.000_4, n * 0.001)
        work.charge_all(n * 0.001)
    assert_that(shares.charge('one', READ_S, 1.0), GreaterThan(0.0))


def test_a_peer_that_stops_is_free_and_forgotten() -> None:
    """Guards against pauses and memory that outlast their cause."""
    shares = WorkShares('callers')
    flood(shares, {'one': 1}, 5.0)
    assert_that(shares.charge('other', 0.0, 100.0), Equals(0.0))
    assert_that(list(shares.peers), Equals(['other']))
    assert_that(len(shares.heavy), Equals(0))


def test_made_up_addresses_take_bounded_memory() -> None:
    """Guards against callers from ever new addresses."""
    shares = WorkShares('callers')
    for n in range(2 * MAX_PEERS):
        shares.charge(f'{n}', 2 * BURST_S, 1.0)
    assert_that(len(shares.peers), LessThan(MAX_PEERS + 2))
    assert_that(len(shares.named), LessThan(100))


def test_the_log_names_who_was_slowed_and_stays_short(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a flood that also floods the log."""
    shares = WorkShares('callers')
    for n in range(1_000):
        shares.charge(f'{n % 50}', 2 * BURST_S, 10.0 + n * 0.001)
    lines = [r for r in caplog.records if r.message == 'input slowed down']
    assert_that(len(lines), GreaterThan(0))
    assert_that(len(lines), LessThan(2 * MAX_LOG_LINES + 1))
    assert_that(vars(lines[0])['peer'], Equals('0'))
