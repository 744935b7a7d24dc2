"""Properties of the limit of servers that warm up, in virtual time.

Guard against a cold server that gets more requests from all coordinators
together than it withstands, so that it crashes.
"""

from random import Random

from hypothesis import example
from hypothesis import given
from hypothesis import Phase
from hypothesis import settings
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.leasing.ratelimits import COORDINATOR_SHARES
from cowslipmill.leasing.tests.coldservers import Contact
from cowslipmill.leasing.tests.coldservers import Simulation
from cowslipmill.leasing.tests.coldservers import Trial
from cowslipmill.leasing.tests.conftest import make_record
from cowslipmill.leasing.warmup import WarmUp
from cowslipmill.leasing.warmup import WINDOW_S
from cowslipmill.standin.warmups import allowed_per_second

PLAY_S = 4.5
# Shrinking a failed trial takes minutes; its seed replays it as it is.
PHASES = (Phase.explicit, Phase.reuse, Phase.generate)
# Servers of a failure domain that turn cold within a moment, all at once, or
# one after the other.
COLD_TIMES = st.one_of(
    st.floats(0.0, 2.0).map(lambda at: (at, at, at)),
    st.tuples(*(st.floats(0.0, 2.5) for _ in range(3))),
)
TRIALS = st.builds(
    Trial,
    # Below, requests on their way to a server's slots from three hosts exceed
    # the bound alone.
    warm_up_per_s=st.floats(0.7, 12.0),
    hosts=st.integers(1, 3),
    contact=st.sampled_from([Contact.TOGETHER, Contact.ALL_LEAVING]),
    slots=st.integers(1, 4),
    work_s=st.floats(0.02, 0.4),
    spike_lead_s=st.none() | st.floats(0.0, 0.02),
    cold_at=COLD_TIMES,
    cold_s=st.floats(0.2, 3.0),
    lag_s=st.floats(0.0, 0.005),
    transit_s=st.floats(0.0, 0.006),
    lost_share=st.sampled_from([0.0, 0.3, 0.8]),
    restarts_at=st.none() | st.floats(0.2, 4.0),
    seed=st.integers(0, 99),
)
TYPICAL = Trial(
    warm_up_per_s=3.6,
    hosts=1,
    contact=Contact.TOGETHER,
    slots=4,
    work_s=0.14,
    spike_lead_s=None,
    cold_at=(1.2, 1.2, 1.2),
    cold_s=3.0,
    lag_s=0.002,
    transit_s=0.003,
    lost_share=0.0,
    restarts_at=None,
    seed=1,
)
# Exceeds the bound by 1 if an older report counts for more than one request.
LOST_PROBES = Trial(
    warm_up_per_s=2.0,
    hosts=3,
    contact=Contact.ALL_LEAVING,
    slots=4,
    work_s=0.02087746958683785,
    spike_lead_s=0.00480026030259638,
    cold_at=(1.0395558837870407, 1.0395558837870407, 1.0395558837870407),
    cold_s=1.151024408960737,
    lag_s=0.004718359020681829,
    transit_s=0.005302495375436271,
    lost_share=0.8,
    restarts_at=None,
    seed=130,
)
# Exceeds the bound by 5 if each host grants all that a cold server withstands.
EVERY_RANK = Trial(
    warm_up_per_s=8.0,
    hosts=3,
    contact=Contact.TOGETHER,
    slots=2,
    work_s=0.04457820564456636,
    spike_lead_s=0.016941172989610044,
    cold_at=(0.7492393756974183, 1.7033390018031047, 0.19140900243814457),
    cold_s=2.609227625113356,
    lag_s=0.0023384207717815297,
    transit_s=0.0,
    lost_share=0.0,
    restarts_at=None,
    seed=89,
)


def most_over_bound(simulation: Simulation) -> float:
    """Returns by how much the worst second exceeds the bound."""
    allowed = allowed_per_second(simulation.trial.warm_up_per_s)
    most = max(s.most_in_window() for s in simulation.servers.values())
    return most - allowed


@settings(max_examples=25, deadline=None, phases=PHASES)
@given(TRIALS)
@example(LOST_PROBES)
@example(EVERY_RANK)
def test_a_cold_server_gets_no_more_than_its_bound_in_any_second(
    trial: Trial,
) -> None:
    """Whoever grants, with lost probes, restarts and all cold at once."""
    simulation = Simulation(trial)
    simulation.play(PLAY_S)
    assert_that(most_over_bound(simulation), LessThan(0.001))


@settings(max_examples=10, deadline=None, phases=PHASES)
@given(TRIALS)
def test_two_hosts_that_know_only_themselves_keep_the_bound(
    trial: Trial,
) -> None:
    """Each of them takes the share of the first coordinator."""
    values = {f: getattr(trial, f) for f in trial.__struct_fields__}
    values.update(hosts=2, contact=Contact.STRANGERS)
    simulation = Simulation(Trial(**values))
    simulation.play(PLAY_S)
    assert_that(most_over_bound(simulation), LessThan(0.001))


@pytest.mark.parametrize('hosts', [1, 3])
def test_cold_servers_get_nearly_what_they_withstand(hosts: int) -> None:
    """A bound that is kept by granting nothing would waste the servers."""
    values = {f: getattr(TYPICAL, f) for f in TYPICAL.__struct_fields__}
    simulation = Simulation(Trial(**{**values, 'hosts': hosts}))
    simulation.play(PLAY_S)
    assert_that(most_over_bound(simulation), LessThan(0.001))
    for server in simulation.servers.values():
        cold = [at for at in server.arrivals if server.is_cold(at)]
        # The share of the first coordinator, less what it doesn't grant
        # right after a second of full load.
        least = 0.9 * 3.6 * (TYPICAL.cold_s - 1.0) - 1.0
        assert_that(float(len(cold)), GreaterThan(least))


def test_without_a_limit_cold_servers_get_all_that_their_slots_take() -> None:
    """The simulation would show no overload whatever is granted."""
    values = {f: getattr(TYPICAL, f) for f in TYPICAL.__struct_fields__}
    simulation = Simulation(Trial(**{**values, 'warm_up_per_s': 0.0}))
    simulation.play(PLAY_S)
    assert_that(most_over_bound(simulation), GreaterThan(0.0))


@settings(max_examples=200, deadline=None, phases=PHASES)
@given(
    st.sampled_from(COORDINATOR_SHARES),
    st.floats(0.2, 60.0),
    st.integers(0, 2**32),
)
def test_a_window_that_ends_at_a_cold_server_holds_no_more_than_the_limit(
    portion: tuple[float, float], warm_up_per_s: float, seed: int
) -> None:
    """Requests granted right before a server turned cold count as well."""
    share, max_tokens = portion
    per_s = share * warm_up_per_s
    random = Random(seed)
    warm_up = WarmUp(make_record(0), 0.0)
    warm_up.set_limit(per_s, max_tokens, 0.0)
    grants: list[float] = []
    now = 0.0
    while now < 12.0:
        now += random.expovariate(random.choice((3.0, 30.0, 300.0)))
        if random.random() < 0.05:
            remaining_s = random.choice((0.0, 0.0, 0.4, 1.5, 3.0))
            warm_up.record_report(remaining_s, now)
        available = warm_up.available(now)
        for _ in range(3 if available is None else min(3, available)):
            warm_up.spend(now)
            grants.append(now)
        if available is not None and available > 0:
            recent = sum(at > now - WINDOW_S for at in grants)
            allowed = per_s * WINDOW_S + max_tokens
            assert_that(recent, LessThan(allowed + 0.001))
