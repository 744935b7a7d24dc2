"""Tests of the Prequal policy."""

from random import Random

from testtools.assertions import assert_that
from testtools.matchers import Equals

from cowslipmill.choice.prequal import MAX_AGE_S
from cowslipmill.choice.prequal import Prequal
from cowslipmill.choice.server import Server
from cowslipmill.coordination.lease import EntryLeaseResult
from cowslipmill.coordination.lease import Report
from cowslipmill.coordination.tests.conftest import make_server

SERVERS = [Server(make_server(number)) for number in range(4)]
ANSWERED = Report(EntryLeaseResult.ANSWERED)


def test_among_cold_servers_the_lowest_latency_wins() -> None:
    pool = Prequal()
    for number, latency_s in enumerate((0.3, 0.1, 0.2, 0.4)):
        pool.add(f'server-{number}', 1, 0.0)
        pool.observe_latency(f'server-{number}', ANSWERED, latency_s)
    picked = pool.pick(SERVERS, 0.1, Random(1))
    assert_that(picked.name, Equals('server-1'))


def test_a_hot_server_loses_to_a_slower_cold_one() -> None:
    pool = Prequal()
    for number, in_flight in enumerate((9, 1, 1, 1)):
        pool.add(f'server-{number}', in_flight, 0.0)
        latency_s = 0.01 if number == 0 else 0.1 * number
        pool.observe_latency(f'server-{number}', ANSWERED, latency_s)
    picked = pool.pick(SERVERS, 0.1, Random(1))
    assert_that(picked.name, Equals('server-1'))


def test_probes_age_out() -> None:
    pool = Prequal()
    for number in range(4):
        pool.add(f'server-{number}', 1, 0.0)
    pool.pick(SERVERS, MAX_AGE_S + 0.1, Random(1))
    assert_that(pool.probes, Equals([]))
