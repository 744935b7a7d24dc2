"""Tests of the replicated table."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength

from cowslipmill.membership.record import HostRecord
from cowslipmill.membership.record import HostState
from cowslipmill.membership.replica import AgedRecord
from cowslipmill.membership.replica import Replica

RECORDS = st.builds(
    lambda number, incarnation, revision, state: HostRecord(
        name=f'host-{number}',
        address=f'127.0.0.{number}:1',
        failure_domain='domain-a',
        incarnation=incarnation,
        revision=revision,
        state=state,
    ),
    st.integers(1, 5),
    st.integers(0, 3),
    st.integers(0, 2),
    st.sampled_from(HostState),
)


def make_replica(records: list[HostRecord]) -> Replica[HostRecord]:
    """Returns a replica into which the records were merged."""
    replica: Replica[HostRecord] = Replica(retention_s=60.0)
    replica.merge([AgedRecord(record, 0) for record in records], now=0.0)
    return replica


@given(st.lists(RECORDS, max_size=30), st.integers())
def test_merge_ignores_order_and_duplicates(
    records: list[HostRecord], seed: int
) -> None:
    """Replicas that merge the same records in any order are equal."""
    shuffled = records + records[::2]
    Random(seed).shuffle(shuffled)
    one, other = make_replica(records), make_replica(shuffled)
    assert_that(other.records, Equals(one.records))
    assert_that(other.digests(), Equals(one.digests()))


@given(st.lists(RECORDS, max_size=20), st.lists(RECORDS, max_size=20))
def test_replicas_agree_after_one_exchange_of_differences(
    first: list[HostRecord], second: list[HostRecord]
) -> None:
    """After one exchange the digests, which omit gone records, match."""
    one, other = make_replica(first), make_replica(second)
    other.merge(one.difference(other.digests(), 1_000, 0.0), now=0.0)
    one.merge(other.difference(one.digests(), 1_000, 0.0), now=0.0)
    assert_that(other.digests(), Equals(one.digests()))


def test_expired_record_is_purged_and_not_merged_again() -> None:
    """A gone record past its retention time can't return from a peer."""
    gone = HostRecord(
        'host-1', '127.0.0.1:1', 'domain-a', 1, 0, HostState.GONE
    )
    replica = make_replica([gone])
    replica.purge_expired(61.0)
    assert_that(replica.records, HasLength(0))
    assert_that(replica.merge([AgedRecord(gone, 61_000)], 61.0), HasLength(0))
    assert_that(replica.records, HasLength(0))
