"""Guards against two eras of a store whose numbers are taken for one."""

from hypothesis import given
from hypothesis import strategies as st
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.view.revision import era_of
from cowslipmill.view.revision import make_revision
from cowslipmill.view.revision import NUMBER_MASK
from cowslipmill.view.revision import number_of

ERAS = st.integers(0, 2**19 - 1)
NUMBERS = st.integers(0, NUMBER_MASK)


@given(st.tuples(ERAS, NUMBERS), st.tuples(ERAS, NUMBERS))
def test_revisions_are_in_the_order_of_eras_and_then_of_numbers(
    one: tuple[int, int], other: tuple[int, int]
) -> None:
    """Whatever the numbers of two eras are."""
    revisions = make_revision(*one), make_revision(*other)
    assert_that(revisions[0] < revisions[1], Equals(one < other))
    assert_that((era_of(revisions[0]), number_of(revisions[0])), Equals(one))


@pytest.mark.parametrize('number', [-1, NUMBER_MASK + 1])
def test_a_number_without_room_is_no_revision(number: int) -> None:
    """It would be one of another era."""
    with pytest.raises(ValueError, match='not a revision'):
        make_revision(1, number)
