"""Simulates the loads that bring a service down, on the scheduler alone.

Guards against a collapse of goodput when there are more requests than
capacity, when callers retry, and when servers fail or are slow. One loop over
simulated time, where a second takes milliseconds, drives simulated servers and
callers that retry, and the real scheduler.
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
from cowslipmill.leasing.tests.conftest import make_request
from cowslipmill.leasing.tests.conftest import make_scheduler
from cowslipmill.leasing.tests.conftest import report_load

STEP_S = 0.01
PROCESSING_S = 0.1
OBJECTIVE_S = 0.3
DEADLINE_S = 1.5
SERVERS = 6
SLOTS = 2
CAPACITY_PER_S = SERVERS * SLOTS / PROCESSING_S


class Simulation:
    """Callers, servers and one scheduler over simulated time.

    Attributes:
        scheduler: The scheduler under test.
        random: Random numbers with a fixed seed.
        retries: Number of retries of each caller.
        now: Simulated seconds.
        last_number: Number of the last request.
        completions: Heap of the requests in progress: when one ends, its
            number, its server and 0.
        due_retries: Heap of the retries: when one is due, the number of
            retries left and when the caller sent its first request.
        retries_left: Number of retries left, by request.
        arrived_at: When each request arrived.
        first_sent_at: When the caller of each request sent its first one.
        served: Requests served within the objective, by second.
        refusal_delays_s: Time from arrival to refusal of each refused request.
        slow_until: Until when servers are slow, by name.
        down: Names of servers that respond to no probe.
    """

    def __init__(self, *, retries: int = 0) -> None:
        """Starts without requests."""
        self.scheduler: SlotScheduler = make_scheduler(SERVERS, slots=SLOTS)
        self.random = Random(7)
        self.retries = retries
        self.now = 0.0
        self.last_number = 0
        self.completions: list[tuple[float, int, str, int]] = []
        self.due_retries: list[tuple[float, int, float]] = []
        self.retries_left: dict[int, int] = {}
        self.arrived_at: dict[int, float] = {}
        self.first_sent_at: dict[int, float] = {}
        self.served: dict[int, int] = {}
        self.refusal_delays_s: list[float] = []
        self.slow_until: dict[str, float] = {}
        self.down: set[str] = set()

    def run(self, seconds: float, rate_per_s: float) -> None:
        """Runs for some seconds with new callers at a rate."""
        end = self.now + seconds
        pending_arrivals = 0.0
        while self.now < end:
            self.now += STEP_S
            self.complete_requests()
            pending_arrivals += rate_per_s * STEP_S
            while pending_arrivals >= 1.0:
                pending_arrivals -= 1.0
                self.send_request(self.retries, self.now)
            while self.due_retries and self.due_retries[0][0] <= self.now:
                self.send_request(*heappop(self.due_retries)[1:])
            self.decide()

    def send_request(self, retries: int, first_at: float) -> None:
        """Sends a request, whose latency counts from the caller's first."""
        self.last_number += 1
        self.retries_left[self.last_number] = retries
        self.arrived_at[self.last_number] = self.now
        self.first_sent_at[self.last_number] = first_at
        request = make_request(
            self.last_number,
            self.now,
            objective_s=OBJECTIVE_S - (self.now - first_at),
            deadline_s=DEADLINE_S - (self.now - first_at),
        )
        self.scheduler.enqueue(request)

    def complete_requests(self) -> None:
        """Completes the requests that are due."""
        while self.completions and self.completions[0][0] <= self.now:
            ended_at, number, server, _ = heappop(self.completions)
            key = ('host-1', number)
            duration_s = PROCESSING_S
            self.scheduler.record_result(
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
            if ended_at - self.first_sent_at[number] <= OBJECTIVE_S:
                second = int(self.now)
                self.served[second] = self.served.get(second, 0) + 1

    def decide(self) -> None:
        """Reports the load of the servers and has the scheduler decide."""
        for name, server in self.scheduler.servers.items():
            running = sum(end[2] == name for end in self.completions)
            slow = self.slow_until.get(name, 0.0) > self.now
            if name not in self.down:
                slowdown = 5.0 if slow else 1.0
                report_load(
                    server, self.now, running=running, slowdown=slowdown
                )
            else:
                server.record_probe_failure(self.now)
        for decision in self.scheduler.decide(self.now, self.random):
            if isinstance(decision, AskOtherDomains):
                continue
            number = decision.key[1]
            if isinstance(decision, Grant):
                slow = self.slow_until.get(decision.server, 0.0) > self.now
                processing_s = PROCESSING_S * (5.0 if slow else 1.0)
                end = (self.now + processing_s, number, decision.server, 0)
                heappush(self.completions, end)
            else:
                self.refusal_delays_s.append(
                    self.now - self.arrived_at[number]
                )
                self.schedule_retry(number, decision.retry_after_s)

    def schedule_retry(self, number: int, retry_after_s: float) -> None:
        """Has a refused caller retry within a third of its remaining time."""
        first_at = self.first_sent_at[number]
        remaining_s = first_at + DEADLINE_S - self.now
        if self.retries_left[number] and remaining_s > 0.0:
            due_at = self.now + min(retry_after_s, remaining_s / 3)
            heappush(
                self.due_retries,
                (due_at, self.retries_left[number] - 1, first_at),
            )

    def goodput(self, first: int, last: int) -> float:
        """Returns the rate of requests within the objective, over capacity."""
        total = sum(self.served.get(s, 0) for s in range(first, last))
        return total / (last - first) / CAPACITY_PER_S


@pytest.fixture
def simulation() -> Simulation:
    """Returns a service whose callers retry twice."""
    return Simulation(retries=2)


def test_goodput_holds_at_one_and_a_half_times_the_capacity(
    simulation: Simulation,
) -> None:
    simulation.run(8.0, 1.5 * CAPACITY_PER_S)
    assert_that(simulation.goodput(2, 8), GreaterThan(0.9))


def test_refusals_in_an_overload_come_at_once(
    simulation: Simulation,
) -> None:
    simulation.run(8.0, 1.5 * CAPACITY_PER_S)
    at_once = sum(delay_s <= 0.02 for delay_s in simulation.refusal_delays_s)
    assert_that(at_once / len(simulation.refusal_delays_s), GreaterThan(0.9))


def test_an_overload_ends_with_its_cause(simulation: Simulation) -> None:
    simulation.run(4.0, 0.6 * CAPACITY_PER_S)
    simulation.run(5.0, 2.0 * CAPACITY_PER_S)
    refused = len(simulation.refusal_delays_s)
    simulation.run(2.0, 0.6 * CAPACITY_PER_S)
    refused_while_ending = len(simulation.refusal_delays_s) - refused
    refused = len(simulation.refusal_delays_s)
    simulation.run(4.0, 0.6 * CAPACITY_PER_S)
    assert_that(refused_while_ending, LessThan(300))
    assert_that(len(simulation.refusal_delays_s) - refused, LessThan(1))
    assert_that(simulation.goodput(11, 15), GreaterThan(0.58))


def test_goodput_holds_on_the_remaining_servers(
    simulation: Simulation,
) -> None:
    simulation.run(2.0, 0.6 * CAPACITY_PER_S)
    simulation.down = {'server-0', 'server-1', 'server-2'}
    simulation.run(6.0, 0.9 * CAPACITY_PER_S)
    assert_that(simulation.goodput(4, 8), GreaterThan(0.9 * 0.5))
    simulation.down.clear()
    simulation.run(4.0, 0.6 * CAPACITY_PER_S)
    assert_that(simulation.goodput(10, 12), GreaterThan(0.57))


def test_short_slow_periods_cost_little_goodput(
    simulation: Simulation,
) -> None:
    names = sorted(simulation.scheduler.servers)
    for _ in range(40):
        for name in simulation.random.sample(names, 2):
            simulation.slow_until[name] = simulation.now + 0.15
        simulation.run(0.15, 0.4 * CAPACITY_PER_S)
    assert_that(simulation.goodput(1, 6), GreaterThan(0.9 * 0.4))
