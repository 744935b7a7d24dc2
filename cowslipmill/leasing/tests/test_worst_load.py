"""Replays the loads that bring a service down, on the core alone.

A simulated second takes milliseconds: servers, callers who come back and the
home are driven by one loop over time; the home is the real one.
"""

from heapq import heappop
from heapq import heappush
from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.leasing.leaserequest import AskOtherDomains
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.leasing.tests.conftest import make_home
from cowslipmill.leasing.tests.conftest import make_ticket
from cowslipmill.leasing.tests.conftest import tell_load

STEP_S = 0.01
WORK_S = 0.1
OBJECTIVE_S = 0.3
DEADLINE_S = 1.5
SERVERS = 6
SLOTS = 2
CAPACITY_PER_S = SERVERS * SLOTS / WORK_S


class Replay:
    """Callers, servers and one home over simulated time.

    Attributes:
        served: For each second the requests answered within the objective.
        refused: Refusals, each with how long its caller was held.
    """

    def __init__(self, *, retries: int = 0) -> None:
        """Starts idle."""
        self.home: SlotScheduler = make_home(SERVERS, slots=SLOTS)
        self.random = Random(7)
        self.retries = retries
        self.now = 0.0
        self.number = 0
        self.ends: list[tuple[float, int, str, int]] = []
        self.returns: list[tuple[float, int, float]] = []
        self.left: dict[int, int] = {}
        self.arrived: dict[int, float] = {}
        self.first: dict[int, float] = {}
        self.served: dict[int, int] = {}
        self.refused: list[float] = []
        self.slow_until: dict[str, float] = {}
        self.down: set[str] = set()

    def run(self, seconds: float, rate_per_s: float) -> None:
        """Goes on for some time with new callers at a rate."""
        end = self.now + seconds
        owed = 0.0
        while self.now < end:
            self.now += STEP_S
            self.finish_work()
            owed += rate_per_s * STEP_S
            while owed >= 1.0:
                owed -= 1.0
                self.arrive(self.retries, self.now)
            while self.returns and self.returns[0][0] <= self.now:
                self.arrive(*heappop(self.returns)[1:])
            self.decide()

    def arrive(self, retries: int, first_at: float) -> None:
        """Has a caller send a request; its latency counts from its first."""
        self.number += 1
        self.left[self.number] = retries
        self.arrived[self.number] = self.now
        self.first[self.number] = first_at
        ticket = make_ticket(
            self.number,
            self.now,
            objective_s=OBJECTIVE_S - (self.now - first_at),
            deadline_s=DEADLINE_S - (self.now - first_at),
        )
        self.home.enqueue(ticket)

    def finish_work(self) -> None:
        """Ends the work that is due."""
        while self.ends and self.ends[0][0] <= self.now:
            at, number, server, _ = heappop(self.ends)
            key = ('host-1', number)
            duration_s = WORK_S
            self.home.record_result(
                Report(
                    key,
                    'registry',
                    'a',
                    server,
                    LeaseResult.ANSWERED,
                    duration_s,
                ),
                self.now,
            )
            if at - self.first[number] <= OBJECTIVE_S:
                second = int(self.now)
                self.served[second] = self.served.get(second, 0) + 1

    def decide(self) -> None:
        """Has the servers tell their load and the home decide."""
        for name, server in self.home.servers.items():
            running = sum(end[2] == name for end in self.ends)
            slow = self.slow_until.get(name, 0.0) > self.now
            if name not in self.down:
                slowdown = 5.0 if slow else 1.0
                tell_load(server, self.now, running=running, slowdown=slowdown)
            else:
                server.record_probe_failure(self.now)
        for decision in self.home.decide(self.now, self.random):
            if isinstance(decision, AskOtherDomains):
                continue
            number = decision.key[1]
            if isinstance(decision, Grant):
                slow = self.slow_until.get(decision.server, 0.0) > self.now
                work_s = WORK_S * (5.0 if slow else 1.0)
                end = (self.now + work_s, number, decision.server, 0)
                heappush(self.ends, end)
            else:
                self.refused.append(self.now - self.arrived[number])
                self.come_back(number, decision.retry_after_s)

    def come_back(self, number: int, retry_after_s: float) -> None:
        """Has a refused caller come back within a third of its time left."""
        first_at = self.first[number]
        left_s = first_at + DEADLINE_S - self.now
        if self.left[number] and left_s > 0.0:
            at = self.now + min(retry_after_s, left_s / 3)
            heappush(self.returns, (at, self.left[number] - 1, first_at))

    def goodput(self, first: int, last: int) -> float:
        """Returns answers within the objective a second, as capacity."""
        total = sum(self.served.get(s, 0) for s in range(first, last))
        return total / (last - first) / CAPACITY_PER_S


@pytest.fixture
def replay() -> Replay:
    """Returns a service with callers who come back twice."""
    return Replay(retries=2)


def test_goodput_holds_at_one_and_a_half_times_the_capacity(
    replay: Replay,
) -> None:
    replay.run(8.0, 1.5 * CAPACITY_PER_S)
    assert_that(replay.goodput(2, 8), GreaterThan(0.9))


def test_refusals_under_a_rush_are_told_at_once(replay: Replay) -> None:
    replay.run(8.0, 1.5 * CAPACITY_PER_S)
    at_once = sum(held <= 0.02 for held in replay.refused)
    assert_that(at_once / len(replay.refused), GreaterThan(0.9))


def test_a_rush_ends_with_its_cause(replay: Replay) -> None:
    replay.run(4.0, 0.6 * CAPACITY_PER_S)
    replay.run(5.0, 2.0 * CAPACITY_PER_S)
    refused = len(replay.refused)
    replay.run(2.0, 0.6 * CAPACITY_PER_S)
    during = len(replay.refused) - refused
    refused = len(replay.refused)
    replay.run(4.0, 0.6 * CAPACITY_PER_S)
    assert_that(during, LessThan(300))
    assert_that(len(replay.refused) - refused, LessThan(1))
    assert_that(replay.goodput(11, 15), GreaterThan(0.58))


def test_goodput_holds_on_what_is_left_of_the_servers(
    replay: Replay,
) -> None:
    replay.run(2.0, 0.6 * CAPACITY_PER_S)
    replay.down = {'server-0', 'server-1', 'server-2'}
    replay.run(6.0, 0.9 * CAPACITY_PER_S)
    assert_that(replay.goodput(4, 8), GreaterThan(0.9 * 0.5))
    replay.down.clear()
    replay.run(4.0, 0.6 * CAPACITY_PER_S)
    assert_that(replay.goodput(10, 12), GreaterThan(0.57))


def test_short_slow_times_cost_little(replay: Replay) -> None:
    names = sorted(replay.home.servers)
    for _ in range(40):
        for name in replay.random.sample(names, 2):
            replay.slow_until[name] = replay.now + 0.15
        replay.run(0.15, 0.4 * CAPACITY_PER_S)
    assert_that(replay.goodput(1, 6), GreaterThan(0.9 * 0.4))
