"""Tests of the document in force on hosts that exchange documents."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from msgspec import json
from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import IsInstance

from cowslipmill.configuration.configuration import Configuration
from cowslipmill.configuration.offerresult import Accepted
from cowslipmill.configuration.offerresult import NotNewer
from cowslipmill.configuration.offerresult import Refused
from cowslipmill.configuration.stamp import NO_DOCUMENT
from cowslipmill.configuration.stamp import Stamp
from cowslipmill.document.document import Document
from cowslipmill.document.document import Team

HOST_COUNT = 4
HOSTS = st.integers(0, HOST_COUNT - 1)


def make_document(version: int, base: int, team: str) -> Document:
    """Returns a small valid document."""
    return Document(
        version=version,
        base=base,
        deployment='caroni',
        teams=(Team(name=team),),
        services=(),
        routes=(),
    )


def make_raw(version: int, base: int, team: str) -> bytes:
    """Returns the JSON text of a small valid document."""
    return json.encode(make_document(version, base, team))


class ConfigurationMachine(RuleBasedStateMachine):
    """Hosts that read from peers and from an unreliable platform.

    The platform may serve any published document, also an old one, or
    invalid text.
    """

    def __init__(self) -> None:
        """Starts all hosts with no document in force."""
        super().__init__()
        self.hosts = [Configuration('caroni') for _ in range(HOST_COUNT)]
        self.newest_stamps = [NO_DOCUMENT] * HOST_COUNT
        self.published: list[bytes] = []
        self.in_transit: list[tuple[int, bytes]] = []

    @rule(
        version=st.integers(1, 6),
        base=st.integers(0, 5),
        team=st.sampled_from(['one', 'two', 'three']),
    )
    def publish(self, version: int, base: int, team: str) -> None:
        """An operator publishes a document."""
        if base < version:
            self.published.append(make_raw(version, base, team))

    @rule(host=HOSTS, seed=st.integers(0, 2**16))
    def read_platform(self, host: int, seed: int) -> None:
        """A host reads any published document from the platform."""
        if self.published:
            raw = self.published[seed % len(self.published)]
            self.hosts[host].offer(raw, 0.0)

    @rule(host=HOSTS)
    def read_garbage(self, host: int) -> None:
        """A host reads an invalid document, which changes nothing."""
        before = self.hosts[host].raw
        verdict = self.hosts[host].offer(b'{"version": 99}', 0.0)
        assert isinstance(verdict, Refused)
        assert self.hosts[host].raw == before

    @rule(sender=HOSTS, receiver=HOSTS)
    def send(self, sender: int, receiver: int) -> None:
        """A host sends its document; it may arrive late or never."""
        if self.hosts[sender].raw:
            self.in_transit.append((receiver, self.hosts[sender].raw))

    @rule(seed=st.integers(0, 2**16), keep=st.booleans())
    def deliver(self, seed: int, keep: bool) -> None:
        """Delivers any message in transit, and may keep a duplicate."""
        if self.in_transit:
            index = seed % len(self.in_transit)
            receiver, raw = self.in_transit[index]
            if not keep:
                del self.in_transit[index]
            self.hosts[receiver].offer(raw, 0.0)

    @rule(host=HOSTS, peer=HOSTS)
    def restart(self, host: int, peer: int) -> None:
        """A host restarts and reads from a peer before the platform."""
        if host != peer and self.hosts[peer].stamp >= self.newest_stamps[host]:
            self.hosts[host] = Configuration('caroni')
            if self.hosts[peer].raw:
                self.hosts[host].offer(self.hosts[peer].raw, 0.0)

    @invariant()
    def documents_never_go_back(self) -> None:
        """No host replaces its document by one with a lower stamp."""
        for index, host in enumerate(self.hosts):
            assert host.stamp >= self.newest_stamps[index]
            self.newest_stamps[index] = host.stamp

    def teardown(self) -> None:
        """All hosts exchange documents and conflicts, and then agree."""
        for _ in range(2):
            for sender in self.hosts:
                for receiver in self.hosts:
                    if sender.raw:
                        receiver.offer(sender.raw, 0.0)
                    receiver.add_conflicts(sender.conflicts)
        for host in self.hosts:
            assert host.stamp == max(self.newest_stamps)
            assert host.raw == self.hosts[0].raw
            assert host.conflicts == self.hosts[0].conflicts


ConfigurationMachineTest = ConfigurationMachine.TestCase
ConfigurationMachineTest.settings = settings(
    max_examples=60, stateful_step_count=40
)


@pytest.mark.parametrize('order', [(0, 1), (1, 0)])
def test_concurrent_documents_of_one_version_resolve_alike_in_any_order(
    order: tuple[int, int],
) -> None:
    """Hosts agree on the winner and the conflict in either order."""
    documents = [make_raw(2, 1, 'one'), make_raw(2, 1, 'two')]
    host = Configuration('caroni')
    for index in order:
        host.offer(documents[index], 0.0)
    other = Configuration('caroni')
    for index in reversed(order):
        other.offer(documents[index], 0.0)
    assert_that(host.stamp, Equals(other.stamp))
    assert_that(host.conflicts, HasLength(1))
    assert_that(other.conflicts, Equals(host.conflicts))


def test_two_versions_from_one_base_are_a_conflict() -> None:
    """The later version wins; the conflict names both versions."""
    host = Configuration('caroni')
    host.offer(make_raw(1, 0, 'one'), 0.0)
    host.offer(make_raw(2, 1, 'two'), 0.0)
    host.offer(make_raw(3, 1, 'three'), 0.0)
    (conflict,) = host.conflicts
    versions = conflict.lost.version, conflict.won.version
    assert_that(versions, Equals((2, 3)))


def test_versions_built_on_each_other_are_no_conflict() -> None:
    """A rollback, a new version with old content, is accepted too."""
    host = Configuration('caroni')
    for version, team in enumerate(['one', 'two', 'one'], 1):
        verdict = host.offer(make_raw(version, version - 1, team), 0.0)
        assert_that(verdict, IsInstance(Accepted))
    assert_that(host.conflicts, HasLength(0))


def test_json_layout_and_item_order_do_not_change_the_stamp() -> None:
    """The same content in another layout has the same stamp."""
    host = Configuration('caroni')
    teams = (Team(name='one'), Team(name='two'))
    document = replace(make_document(1, 0, 'one'), teams=teams)
    host.offer(json.encode(document), 0.0)
    reversed_document = replace(document, teams=teams[::-1])
    reformatted = json.format(json.encode(reversed_document), indent=3)
    assert_that(host.offer(reformatted, 0.0), Equals(NotNewer(host.stamp)))


def test_refused_document_is_recorded_with_its_reason_and_not_applied() -> (
    None
):
    """The refusal of a document of another deployment names the field."""
    host = Configuration('caroni')
    host.offer(make_raw(1, 0, 'one'), 0.0)
    foreign = replace(make_document(2, 1, 'one'), deployment='mtatsminda')
    host.offer(json.encode(foreign), 1.0)
    assert_that(host.stamp.version, Equals(1))
    (refusal,) = host.refused.values()
    assert_that(refusal.reason, Contains('$.deployment'))


def test_stamps_sort_by_version_before_digest() -> None:
    """A higher version wins against a greater digest."""
    assert_that(Stamp(2, b'\0') > Stamp(1, b'\xff'), Equals(True))
