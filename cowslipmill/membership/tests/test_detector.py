"""Tests of membership over a network that loses and reorders messages."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.membership.detector import FailureDetector
from cowslipmill.membership.detector import LEAVING_TIMEOUT_S
from cowslipmill.membership.detector import SUSPECT_TIMEOUT_S
from cowslipmill.membership.record import HostRecord
from cowslipmill.membership.record import HostState
from cowslipmill.membership.replica import AgedRecord

HOST_COUNT = 3
HOSTS = st.integers(0, HOST_COUNT - 1)


def make_detector(index: int, incarnation: int, now: float) -> FailureDetector:
    """Returns the failure detector of a host that has just started."""
    own = HostRecord(
        f'host-{index}', f'127.0.0.{index + 1}:1', 'domain-a', incarnation
    )
    return FailureDetector(own, now)


class MembershipMachine(RuleBasedStateMachine):
    """Hosts that exchange records over an unreliable network.

    A message is the sender's whole table. It may be lost, duplicated,
    delayed or reordered, and none is sent across a partition.
    """

    def __init__(self) -> None:
        """Starts all hosts; each one knows all others."""
        super().__init__()
        self.now = 0.0
        self.detectors = [
            make_detector(index, 1, 0.0) for index in range(HOST_COUNT)
        ]
        for detector in self.detectors:
            for other in self.detectors:
                detector.merge(other.replica.all_with_age(0.0), 0.0)
        self.sides = [0] * HOST_COUNT
        self.paused: set[int] = set()
        self.in_transit: list[
            tuple[int, int, tuple[AgedRecord[HostRecord], ...]]
        ] = []
        self.newest_keys: dict[tuple[int, str], tuple[object, ...]] = {}

    @rule(sender=HOSTS, receiver=HOSTS)
    def send(self, sender: int, receiver: int) -> None:
        """Sends a message that is delivered or lost later."""
        if self.sides[sender] == self.sides[receiver]:
            table = self.detectors[sender].replica.all_with_age(self.now)
            self.in_transit.append((sender, receiver, table))

    @rule(seed=st.integers(0, 2**16), keep=st.booleans())
    def deliver(self, seed: int, keep: bool) -> None:
        """Delivers any message in transit, and may keep a duplicate."""
        if not self.in_transit:
            return
        index = seed % len(self.in_transit)
        sender, receiver, table = self.in_transit[index]
        if not keep:
            del self.in_transit[index]
        if receiver not in self.paused:
            self.detectors[receiver].merge(table, self.now)

    @rule(sender=HOSTS, receiver=HOSTS)
    def meet(self, sender: int, receiver: int) -> None:
        """Sends a message and delivers it at once."""
        if self.sides[sender] == self.sides[receiver]:
            table = self.detectors[sender].replica.all_with_age(self.now)
            self.detectors[receiver].merge(table, self.now)

    @rule(seed=st.integers(0, 2**16))
    def drop(self, seed: int) -> None:
        """Loses any message in transit."""
        if self.in_transit:
            del self.in_transit[seed % len(self.in_transit)]

    @rule(observer=HOSTS, silent=HOSTS)
    def miss_probe(self, observer: int, silent: int) -> None:
        """Fails a probe, whether or not the probed host is up."""
        records = self.detectors[observer].replica.records
        record = records.get(f'host-{silent}')
        if record is not None and observer != silent:
            self.detectors[observer].on_probe_failure(record, self.now)

    @rule(
        seconds=st.sampled_from(
            [0.1, 1.0, SUSPECT_TIMEOUT_S, LEAVING_TIMEOUT_S]
        )
    )
    def pass_time(self, seconds: float) -> None:
        """Advances the time; hosts that are not paused tick."""
        self.now += seconds
        for index, detector in enumerate(self.detectors):
            if index not in self.paused:
                detector.tick(self.now)

    @rule(cut=st.sets(HOSTS))
    def partition(self, cut: set[int]) -> None:
        """Separates some hosts from the others."""
        self.sides = [int(index in cut) for index in range(HOST_COUNT)]

    @rule(index=HOSTS)
    def pause_or_wake(self, index: int) -> None:
        """Pauses a host, or resumes a paused one."""
        self.paused ^= {index}

    @rule(index=HOSTS)
    def restart(self, index: int) -> None:
        """Restarts a host without stored state and with an earlier clock."""
        incarnation = max(1, self.detectors[index].own.incarnation - 1)
        self.detectors[index] = make_detector(index, incarnation, self.now)
        for key in [key for key in self.newest_keys if key[0] == index]:
            del self.newest_keys[key]

    @invariant()
    def records_only_move_forward(self) -> None:
        """No host replaces a record by an older one."""
        for index, detector in enumerate(self.detectors):
            for name, record in detector.replica.records.items():
                before = self.newest_keys.get((index, name), ())
                assert record.version_key >= before, (index, name)
                self.newest_keys[index, name] = record.version_key

    @invariant()
    def every_host_refutes_claims_about_itself(self) -> None:
        """A host refutes wrong claims: its own record stays, and is live."""
        for detector in self.detectors:
            own = detector.replica.records[detector.own.name]
            assert own == detector.own
            assert own.state is HostState.LIVE

    def teardown(self) -> None:
        """Ends all faults; all hosts then agree that all are live."""
        self.in_transit.clear()
        for _ in range(4):
            for sender in self.detectors:
                for receiver in self.detectors:
                    table = sender.replica.all_with_age(self.now)
                    receiver.merge(table, self.now)
        first = self.detectors[0].replica
        for detector in self.detectors:
            replica = detector.replica
            assert replica.records == first.records
            assert replica.digests() == first.digests()
        states = {record.state for record in first.records.values()}
        assert states == {HostState.LIVE}


MembershipMachineTest = MembershipMachine.TestCase
MembershipMachineTest.settings = settings(
    max_examples=60, stateful_step_count=40
)


def test_suspect_that_does_not_refute_is_gone_after_the_timeout() -> None:
    """A suspected host is gone once the suspect timeout has passed."""
    one, other = make_detector(0, 1, 0.0), make_detector(1, 1, 0.0)
    one.merge(other.replica.all_with_age(0.0), 0.0)
    one.on_probe_failure(other.own, 1.0)
    one.tick(1.0)
    for step in range(1, 5):
        one.tick(1.0 + step)
    state = one.replica.records['host-1'].state
    assert_that(state, Equals(HostState.GONE))


def test_late_tick_restarts_the_suspect_timeout() -> None:
    """A process that was suspended restarts the timeouts of suspects.

    Otherwise it would declare hosts gone whose refutation arrived meanwhile.
    """
    one, other = make_detector(0, 1, 0.0), make_detector(1, 1, 0.0)
    one.merge(other.replica.all_with_age(0.0), 0.0)
    one.on_probe_failure(other.own, 0.5)
    one.tick(60.0)
    state = one.replica.records['host-1'].state
    assert_that(state, Equals(HostState.SUSPECT))


def test_each_host_is_probed_once_per_round() -> None:
    """Each round probes every other host exactly once."""
    one = make_detector(0, 1, 0.0)
    for index in range(1, HOST_COUNT):
        one.merge(make_detector(index, 1, 0.0).replica.all_with_age(0.0), 0.0)
    random = Random(7)
    probed = [one.next_probe(random) for _ in range(HOST_COUNT - 1)]
    names = sorted(record.name for record in probed if record)
    expected = [f'host-{index}' for index in range(1, HOST_COUNT)]
    assert_that(names, Equals(expected))


@pytest.mark.parametrize(('incarnation', 'revision'), [(9, 0), (4, 3)])
def test_restarted_host_supersedes_its_gone_record(
    incarnation: int, revision: int
) -> None:
    """A restarted host is live even if its clock was set back meanwhile."""
    former = replace(
        make_detector(0, incarnation, 0.0).own,
        revision=revision,
        state=HostState.GONE,
    )
    restarted = make_detector(0, 4, 0.0)
    restarted.merge([AgedRecord(former, 0)], 1.0)
    assert_that(restarted.own.version_key > former.version_key, Equals(True))
    assert_that(restarted.own.state, Equals(HostState.LIVE))
