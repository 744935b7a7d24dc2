"""Tests of deltas between documents."""

from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import Is

from cowslipmill.configuration.delta import apply_delta
from cowslipmill.configuration.delta import DocumentDelta
from cowslipmill.configuration.delta import make_delta
from cowslipmill.configuration.stamp import make_stamp
from cowslipmill.configuration.stamp import Stamp
from cowslipmill.document.canonical import canonicalize
from cowslipmill.document.canonical import encode_canonical
from cowslipmill.document.document import Document
from cowslipmill.document.document import Service
from cowslipmill.document.document import Team
from cowslipmill.peers.codec import Codec

SERVICES = st.dictionaries(
    st.integers(0, 9), st.integers(1, 3), max_size=10
).map(
    lambda slots: tuple(
        Service(name=f's{number}', team='one', slots_per_server=count)
        for number, count in slots.items()
    )
)
CODEC: Codec[DocumentDelta] = Codec(DocumentDelta, max_bytes=100_000)


def make_document(version: int, services: tuple[Service, ...]) -> Document:
    """Returns a canonical document."""
    return canonicalize(
        Document(
            version=version,
            base=version - 1,
            deployment='caroni',
            teams=(Team(name='one'),),
            services=services,
            routes=(),
        )
    )


def stamp_of(document: Document) -> Stamp:
    """Returns the stamp of a canonical document."""
    return make_stamp(document, encode_canonical(document))


@given(SERVICES, SERVICES)
def test_applied_delta_yields_the_original_document(
    old: tuple[Service, ...], new: tuple[Service, ...]
) -> None:
    """A delta that was encoded and applied yields the original document."""
    base, document = make_document(1, old), make_document(2, new)
    delta = make_delta(base, stamp_of(base), document, stamp_of(document))
    if delta is None:
        return
    received = CODEC.decode(CODEC.encode(delta))
    assert isinstance(received, DocumentDelta)
    assert_that(apply_delta(base, received), Equals(document))


def test_delta_is_rejected_on_another_base() -> None:
    """A delta applied to a document other than its base yields None."""
    first = Service(name='s1', team='one', slots_per_server=1)
    second = Service(name='s2', team='one', slots_per_server=1)
    third = Service(name='s3', team='one', slots_per_server=1)
    base = make_document(1, (first, second, third))
    document = make_document(2, (first, second))
    delta = make_delta(base, stamp_of(base), document, stamp_of(document))
    other = make_document(1, (replace(first, slots_per_server=2), third))
    assert delta is not None
    assert_that(apply_delta(other, delta), Is(None))
