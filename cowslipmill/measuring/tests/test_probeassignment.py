"""Tests of how hosts divide the probe budget of a server."""

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


def make_assignment(index: int, now: float) -> ProbeAssignment:
    """Returns the assignment of a host that starts now and expects all."""
    return ProbeAssignment(ADDRESSES[index], ADDRESSES, now)


def settle(assignments: list[ProbeAssignment], now: float) -> float:
    """Lets all hosts see each other until they may probe."""
    for _ in range(3):
        now += SETTLE_S / 2
        for assignment in assignments:
            assignment.update(ADDRESSES, (), now)
    return now


@given(
    SIDES,
    st.floats(0.1, 6.0),
    st.lists(st.floats(0.0, 0.99), min_size=HOST_COUNT, max_size=HOST_COUNT),
    st.sets(st.integers(0, HOST_COUNT - 1)),
)
def test_partitioned_hosts_together_stay_within_the_budget(
    sides: list[int],
    per_second: float,
    phases: list[float],
    restarted: set[int],
) -> None:
    """No window holds more probes of a server than its budget allows.

    Hosts tick out of phase and are partitioned, and some of them restart
    during the partition.
    """
    assignments = [make_assignment(index, 0.0) for index in range(HOST_COUNT)]
    now = settle(assignments, 0.0)
    for index in restarted:
        assignments[index] = make_assignment(index, now)
    calls = []
    for step in range(200):
        for index, assignment in enumerate(assignments):
            at = now + step * TICK_S + phases[index] * TICK_S
            present = [
                address
                for address, side in zip(ADDRESSES, sides, strict=True)
                if side == sides[index]
            ]
            assignment.update(present, (), at)
            if assignment.try_acquire('registry-0', per_second, at):
                calls.append(at)
    window_s = max(1.0, 1.0 / per_second)
    allowed = max(1, int(per_second * window_s))
    calls.sort()
    for first in calls:
        inside = [at for at in calls if first <= at < first + window_s - 1e-6]
        assert len(inside) <= allowed, (first, len(inside), allowed)


def test_isolated_host_does_not_probe_after_its_start() -> None:
    """A host that started in a partition waits until it sees the others."""
    assignment = make_assignment(0, 0.0)
    for step in range(200):
        assignment.update([ADDRESSES[0]], (), float(step))
        acquired = assignment.try_acquire(f'registry-{step}', 2.0, float(step))
        assert_that(acquired, Equals(False))


def test_every_server_is_probed_at_its_full_rate() -> None:
    """Without a partition, as many hosts probe as the budget allows."""
    assignments = [make_assignment(index, 0.0) for index in range(HOST_COUNT)]
    now = settle(assignments, 0.0)
    for number in range(20):
        name = f'registry-{number}'
        acquired = [
            assignment.try_acquire(name, 2.0, now)
            for assignment in assignments
        ]
        assert_that(sum(acquired), Equals(2))


def test_servers_of_a_host_that_left_go_to_other_hosts() -> None:
    """A host that announced that it is leaving loses its rank at once."""
    assignment = make_assignment(1, 0.0)
    settle([assignment], 0.0)
    names = [f'registry-{number}' for number in range(200)]
    before = [name for name in names if assignment.interval_s(name, 1.0)]
    assignment.update(ADDRESSES[1:], ADDRESSES[:1], 40.0)
    after = [name for name in names if assignment.interval_s(name, 1.0)]
    assert_that(len(after) > len(before), Equals(True))
    assert_that(set(before) <= set(after), Equals(True))
