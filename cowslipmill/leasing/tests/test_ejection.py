"""Tests of servers that pass their health check and fail requests.

Guard against a server that draws the requests of all callers since it looks
idle, and against ejections of servers that are not to blame.
"""

from collections.abc import Callable
from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random

from msgspec.structs import replace
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.leasing.ejection import Ejection
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.load import Load
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.leasing.slots import Lease
from cowslipmill.leasing.tests.conftest import DOMAIN
from cowslipmill.leasing.tests.conftest import make_request
from cowslipmill.leasing.tests.conftest import make_scheduler

WORK_S = 0.12
FAST_S = 0.002
FAILS_AT = 1.0
PROBE_INTERVAL_S = 0.1

# Returns how a request at a server ends, and after how many seconds.
Behave = Callable[[str, float], tuple[LeaseResult, float]]


class Replay:
    """Callers that each send one request after the other, in virtual time.

    Attributes:
        scheduler: The scheduler of five servers of eight slots.
        ends: Results by time, server and result.
    """

    def __init__(self, behave: Behave, *, callers: int = 40) -> None:
        """Starts the callers at time 0."""
        self.behave = behave
        self.scheduler: SlotScheduler = make_scheduler(5, slots=8)
        self.random = Random(1)
        self.numbers = count()
        self.events: list[tuple[float, int, Report | None]] = []
        self.ends: list[tuple[float, str, LeaseResult]] = []
        for _ in range(callers):
            self.ask(0.0)
        heappush(self.events, (0.0, next(self.numbers), None))

    def ask(self, now: float) -> None:
        """Sends the next request of a caller."""
        request = make_request(
            next(self.numbers), now, objective_s=1.0, deadline_s=2.0
        )
        self.scheduler.enqueue(request)

    def run(self, until: float) -> 'Replay':
        """Replays what happens until a time and returns itself."""
        while self.events and self.events[0][0] < until:
            now, _, report = heappop(self.events)
            if report is None:
                self.probe(now)
            else:
                self.ends.append((now, report.server, report.result))
                self.scheduler.record_result(report, now)
                self.ask(now)
            for decision in self.scheduler.decide(now, self.random):
                if isinstance(decision, Grant):
                    self.start(decision, now)
                else:
                    self.ask(now)
        return self

    def probe(self, now: float) -> None:
        """Has each server pass its health check, without its load."""
        for server in self.scheduler.servers.values():
            load = Load(0, 0, 8, 1.0, reported=False)
            server.record_load(load, now, now)
        heappush(
            self.events, (now + PROBE_INTERVAL_S, next(self.numbers), None)
        )

    def start(self, grant: Grant, now: float) -> None:
        """Sends a request to the server that it got."""
        result, duration_s = self.behave(grant.server, now)
        report = Report(
            grant.key, 'registry', DOMAIN, grant.server, result, duration_s, 1
        )
        event = (now + duration_s, next(self.numbers), report)
        heappush(self.events, event)

    def failures(self, since: float = 0.0) -> int:
        """Returns how many requests failed since a time."""
        return sum(
            at >= since and result is not LeaseResult.ANSWERED
            for at, _, result in self.ends
        )

    def served_share(self, since: float) -> float:
        """Returns the share of requests answered since a time."""
        total = sum(at >= since for at, _, _ in self.ends)
        return 1.0 - self.failures(since) / total


def failing(
    *bad: str,
    share: float = 1.0,
    result: LeaseResult = LeaseResult.BROKEN,
    since: float = FAILS_AT,
    for_s: float = float('inf'),
) -> Behave:
    """Returns servers of which some fail a share of their requests."""
    random = Random(2)

    def behave(server: str, now: float) -> tuple[LeaseResult, float]:
        fails = server in bad and since <= now < since + for_s
        if fails and random.random() < share:
            return result, FAST_S
        return LeaseResult.ANSWERED, WORK_S * random.uniform(0.5, 1.5)

    return behave


def lost(number: int, duration_s: float = 0.1) -> Report:
    """Returns the report that a request at the first server was lost."""
    key = ('host-1', number)
    result = LeaseResult.BROKEN
    return Report(key, 'registry', DOMAIN, 'server-0', result, duration_s, 1)


def test_a_server_that_fails_at_once_does_not_draw_traffic() -> None:
    """Else it fails more requests than all others answer."""
    replay = Replay(failing('server-2')).run(FAILS_AT + 10.0)
    assert_that(replay.failures(), LessThan(4))
    assert_that(replay.served_share(FAILS_AT + 1.0), GreaterThan(0.99))


def test_a_server_that_fails_from_the_first_burst_on_is_ejected() -> None:
    """Else more than the first requests in its slots would be lost."""
    replay = Replay(failing('server-2', since=0.0)).run(10.0)
    slots = replay.scheduler.servers['server-2'].usable_slots
    assert_that(replay.failures(), LessThan(slots + 2))


def test_two_servers_of_five_that_fail_are_ejected() -> None:
    """Else the second one draws what the first one no longer gets."""
    replay = Replay(failing('server-2', 'server-4')).run(FAILS_AT + 10.0)
    assert_that(replay.failures(), LessThan(7))
    assert_that(replay.served_share(FAILS_AT + 1.0), GreaterThan(0.99))


def test_a_server_that_fails_half_of_its_answers_is_ejected() -> None:
    """Else an answer between two failures hides them."""
    behave = failing('server-2', share=0.5)
    replay = Replay(behave).run(FAILS_AT + 20.0)
    assert_that(replay.served_share(FAILS_AT + 1.0), GreaterThan(0.99))


def test_a_server_whose_every_answer_is_an_error_is_ejected() -> None:
    """Else a server with a broken release draws traffic."""
    behave = failing('server-2', result=LeaseResult.FAILED)
    replay = Replay(behave).run(FAILS_AT + 10.0)
    assert_that(replay.failures(), LessThan(30))
    assert_that(replay.served_share(FAILS_AT + 1.0), GreaterThan(0.99))


def test_an_ejected_server_is_tried_one_request_at_a_time() -> None:
    """Else each trial would cost as many requests as it has slots."""
    replay = Replay(failing('server-2')).run(FAILS_AT + 65.0)
    assert_that(replay.failures(), Equals(2 + 2))


def test_a_server_that_is_sound_again_is_used_again() -> None:
    """Else a moment of trouble costs its capacity for good."""
    replay = Replay(failing('server-2', for_s=1.0)).run(FAILS_AT + 13.0)
    late = [s for at, s, _ in replay.ends if at > FAILS_AT + 12.0]
    assert_that(late.count('server-2') / len(late), GreaterThan(0.15))


def test_all_servers_are_used_if_all_fail() -> None:
    """Else those that are ejected last would get the load of all."""
    names = [f'server-{number}' for number in range(5)]
    behave = failing(*names, share=0.9)
    replay = Replay(behave, callers=4).run(FAILS_AT + 3.0)
    late = {s for at, s, _ in replay.ends if at > FAILS_AT + 2.0}
    assert_that(late, Equals(set(names)))


@pytest.mark.parametrize('share', [0.02, 0.1, 0.5])
@pytest.mark.parametrize('result', [LeaseResult.BROKEN, LeaseResult.FAILED])
def test_servers_that_fail_alike_are_not_ejected(
    share: float, result: LeaseResult
) -> None:
    """Else a fault of the network or of requests costs half the capacity.

    One may be ejected before it is known that the others fail, too.
    """
    names = [f'server-{number}' for number in range(5)]
    behave = failing(*names, share=share, result=result)
    replay = Replay(behave).run(FAILS_AT + 30.0)
    servers = replay.scheduler.servers.values()
    assert_that(sum(s.ejection.ejections for s in servers), LessThan(2))


def test_requests_lost_in_one_moment_count_as_one_failure() -> None:
    """Else each server that a request crashes is ejected when it is back."""
    scheduler = make_scheduler(5, slots=8)
    server = scheduler.servers['server-0']
    for number in range(6):
        server.leases[('host-1', number)] = Lease(0.1, 3.0, 'read')
    for number in range(6):
        scheduler.record_result(lost(number), 0.2)
    assert_that(server.ejection.failures, Equals(1))
    assert_that(server.ejection.trial_answers, Equals(0))


def test_requests_that_time_out_in_an_overload_do_not_eject() -> None:
    """Else a rush takes capacity away when it is wanted most."""
    scheduler = make_scheduler(5, slots=8)
    server = scheduler.servers['server-0']
    for number in range(4):
        now = 2.0 * number
        scheduler.overload.record_refusal(now + 1.5)
        server.leases[('host-1', number)] = Lease(now, now + 2.5, 'read')
        scheduler.record_result(lost(number, 1.5), now + 1.53)
    assert_that(server.ejection.suspected, Equals(False))


def test_requests_that_time_out_in_calm_eject() -> None:
    """Else a server that never answers holds its share of the requests."""
    scheduler = make_scheduler(5, slots=8)
    server = scheduler.servers['server-0']
    for number in range(2):
        now = 2.0 * number
        server.leases[('host-1', number)] = Lease(now, now + 2.5, 'read')
        scheduler.record_result(lost(number, 1.5), now + 1.53)
    assert_that(server.ejection.limited, Equals(True))


def test_a_restarted_server_is_not_ejected() -> None:
    """Else a server that was mended by a restart stays out of use."""
    replay = Replay(failing('server-2')).run(FAILS_AT + 1.0)
    servers = replay.scheduler.servers
    assert_that(servers['server-2'].ejection.limited, Equals(True))
    records = [
        (replace(server.record, started_ms=2), False)
        for server in servers.values()
    ]
    replay.scheduler.set_servers(records, FAILS_AT + 1.0)
    ejection = replay.scheduler.servers['server-2'].ejection
    assert_that(ejection.suspected, Equals(False))


def test_repeated_ejections_grow_longer() -> None:
    """Else a server that never recovers costs requests at a constant rate."""
    ejection = Ejection()
    lengths = []
    now = 100.0
    for _ in range(6):
        ejection.eject(now)
        lengths.append(ejection.ejected_until - now)
        now = ejection.ejected_until
    assert_that(lengths, Equals([10.0, 20.0, 40.0, 60.0, 60.0, 60.0]))


def test_a_server_that_fails_a_fifth_of_its_answers_stays_in_use() -> None:
    """The others may have no room for what it still serves."""
    replay = Replay(failing('server-0', share=0.2)).run(FAILS_AT + 10.0)
    server = replay.scheduler.servers['server-0'].ejection
    assert_that(server.ejections, Equals(0))
    assert_that(replay.served_share(FAILS_AT), GreaterThan(0.95))
