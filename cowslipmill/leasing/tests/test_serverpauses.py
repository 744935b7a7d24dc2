"""Guards against a pause of a server that ends early, or never."""

from msgspec.structs import replace
from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.leasing.serverpauses import ServerPauses
from cowslipmill.view.tests.conftest import make_record

ONE = make_record(1)
TWO = make_record(2)


def test_a_shorter_pause_ends_no_longer_one() -> None:
    """Two responses may have crossed on their way."""
    pauses = ServerPauses()
    pauses.record(ONE, 5.0, 10.0)
    pauses.record(ONE, 1.0, 10.5)
    assert_that(pauses.is_paused(ONE, 14.9), Equals(True))
    assert_that(pauses.is_paused(ONE, 15.0), Equals(False))


def test_a_pause_is_of_one_incarnation() -> None:
    """The next one has asked for nothing, and may ask for less."""
    pauses = ServerPauses()
    pauses.record(ONE, 500.0, 10.0)
    started_anew = replace(ONE, started_ms=ONE.started_ms + 1)
    assert_that(pauses.is_paused(started_anew, 11.0), Equals(False))
    pauses.record(started_anew, 1.0, 11.0)
    assert_that(pauses.ends_at(started_anew), Equals(12.0))


def test_a_service_pauses_only_with_all_its_servers() -> None:
    """Until the first of them takes requests again."""
    pauses = ServerPauses()
    pauses.record(ONE, 5.0, 10.0)
    assert_that(pauses.paused_until([ONE, TWO], 11.0), Equals(11.0))
    pauses.record(TWO, 2.0, 10.0)
    assert_that(pauses.paused_until([ONE, TWO], 11.0), Equals(12.0))
    assert_that(pauses.paused_until([], 11.0), Equals(11.0))


def test_only_pauses_that_have_ended_are_dropped() -> None:
    """Those of other servers go on."""
    pauses = ServerPauses()
    pauses.record(ONE, 5.0, 10.0)
    pauses.record(TWO, 2.0, 10.0)
    pauses.drop_ended(12.0)
    assert_that(list(pauses.known), Equals([ONE.name]))
