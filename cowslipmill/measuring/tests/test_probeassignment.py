"""Tests of the shares of the measuring budget."""

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.measuring.probeassignment import ProbeAssignment
from cowslipmill.measuring.probeassignment import SETTLE_S

HOST_COUNT = 8
ADDRESSES = [f'127.0.0.{index + 1}:1' for index in range(HOST_COUNT)]
TICK_S = 0.25
SIDES = st.lists(st.integers(0, 2), min_size=HOST_COUNT, max_size=HOST_COUNT)


def make_share(index: int, now: float) -> ProbeAssignment:
    """Returns the share of a host that starts now and knows all others."""
    return ProbeAssignment(ADDRESSES[index], ADDRESSES, now)


def settle(shares: list[ProbeAssignment], now: float) -> float:
    """Lets all hosts hear each other for long enough."""
    for _ in range(3):
        now += SETTLE_S / 2
        for share in shares:
            share.update(ADDRESSES, (), now)
    return now


@given(
    SIDES,
    st.floats(0.1, 6.0),
    st.lists(st.floats(0.0, 0.99), min_size=HOST_COUNT, max_size=HOST_COUNT),
    st.sets(st.integers(0, HOST_COUNT - 1)),
)
def test_sum_over_a_split_fleet_stays_within_the_budget(
    sides: list[int],
    per_second: float,
    phases: list[float],
    restarted: set[int],
) -> None:
    """No second sees more calls to a server than its budget allows.

    Hosts tick out of step, are cut into sides, and some of them restart
    while they are cut off.
    """
    shares = [make_share(index, 0.0) for index in range(HOST_COUNT)]
    now = settle(shares, 0.0)
    for index in restarted:
        shares[index] = make_share(index, now)
    calls = []
    for step in range(200):
        for index, share in enumerate(shares):
            at = now + step * TICK_S + phases[index] * TICK_S
            heard = [
                address
                for address, side in zip(ADDRESSES, sides, strict=True)
                if side == sides[index]
            ]
            share.update(heard, (), at)
            if share.try_acquire('registry-0', per_second, at):
                calls.append(at)
    window_s = max(1.0, 1.0 / per_second)
    allowed = max(1, int(per_second * window_s))
    calls.sort()
    for first in calls:
        inside = [at for at in calls if first <= at < first + window_s - 1e-6]
        assert len(inside) <= allowed, (first, len(inside), allowed)


def test_host_that_knows_of_none_yet_does_not_measure() -> None:
    """A host that started cut off waits until it has heard the others."""
    share = make_share(0, 0.0)
    for step in range(200):
        share.update([ADDRESSES[0]], (), float(step))
        taken = share.try_acquire(f'registry-{step}', 2.0, float(step))
        assert_that(taken, Equals(False))


def test_somebody_measures_each_server() -> None:
    """In a whole fleet every server is measured at its full rate."""
    shares = [make_share(index, 0.0) for index in range(HOST_COUNT)]
    now = settle(shares, 0.0)
    for number in range(20):
        name = f'registry-{number}'
        taken = [share.try_acquire(name, 2.0, now) for share in shares]
        assert_that(sum(taken), Equals(2))


def test_place_of_a_host_that_left_goes_to_another() -> None:
    """A host that said it was leaving holds up nobody."""
    share = make_share(1, 0.0)
    settle([share], 0.0)
    names = [f'registry-{number}' for number in range(200)]
    before = [name for name in names if share.interval_s(name, 1.0)]
    share.update(ADDRESSES[1:], ADDRESSES[:1], 40.0)
    after = [name for name in names if share.interval_s(name, 1.0)]
    assert_that(len(after) > len(before), Equals(True))
    assert_that(set(before) <= set(after), Equals(True))
