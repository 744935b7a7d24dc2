"""Stateful test of one scheduler: events in any order."""

from random import Random

from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import booleans
from hypothesis.strategies import floats
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from
from hypothesis.strategies import sets
from testtools.assertions import assert_that
from testtools.matchers import Contains
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import Not

from cowslipmill.choice.health import HealthState
from cowslipmill.coordination.lease import Decision
from cowslipmill.coordination.lease import EntryLeaseKey
from cowslipmill.coordination.lease import EntryLeaseRequest
from cowslipmill.coordination.lease import EntryLeaseResult
from cowslipmill.coordination.lease import Granted
from cowslipmill.coordination.lease import Queued
from cowslipmill.coordination.lease import Report
from cowslipmill.coordination.scheduler import EntryScheduler
from cowslipmill.coordination.tests.conftest import make_lease_request
from cowslipmill.coordination.tests.conftest import make_server
from cowslipmill.coordination.tests.conftest import make_service
from cowslipmill.document.document import Priority


class SchedulerMachine(RuleBasedStateMachine):
    """Drives a scheduler with requests, results, lost entries and pauses."""

    def __init__(self) -> None:
        super().__init__()
        self.scheduler = EntryScheduler(make_service())
        self.random = Random(1)
        self.now = 0.0
        self.live: set[str] = set()
        self.requests: dict[EntryLeaseKey, EntryLeaseRequest] = {}
        self.waiting: set[EntryLeaseKey] = set()
        self.ended: dict[EntryLeaseKey, Decision | None] = {}
        self.replace(set(range(4)))

    def record_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Queued):
                self.waiting.add(decision.key)
                continue
            assert_that(self.ended, Not(Contains(decision.key)))
            self.ended[decision.key] = decision
            self.waiting.discard(decision.key)
            if isinstance(decision, Granted):
                lease_request = self.requests[decision.key]
                assert_that(lease_request.deadline_at, GreaterThan(self.now))
                assert_that(self.live, Contains(decision.server.name))
                assert_that(
                    lease_request.excluded, Not(Contains(decision.server.name))
                )

    @rule(numbers=sets(integers(0, 5), max_size=6))
    def replace(self, numbers: set[int]) -> None:
        records = [make_server(number) for number in sorted(numbers)]
        self.live = {record.name for record in records}
        servers = [(record, -100.0) for record in records]
        service = self.scheduler.service
        self.record_decisions(
            self.scheduler.set_servers(service, servers, self.now, self.random)
        )

    @rule(
        wait_s=floats(0.01, 3.0),
        caller=sampled_from(('garage', 'assessor')),
        priority=sampled_from(Priority),
        idempotent=booleans(),
        may_wait=booleans(),
        excluded=sets(integers(0, 5), max_size=2),
    )
    def acquire(
        self,
        wait_s: float,
        caller: str,
        priority: Priority,
        idempotent: bool,
        may_wait: bool,
        excluded: set[int],
    ) -> None:
        lease_request = make_lease_request(
            len(self.requests),
            deadline_at=self.now + wait_s,
            caller=caller,
            priority=priority,
            idempotent=idempotent,
            may_wait=may_wait,
            excluded=tuple(f'server-{number}' for number in excluded),
        )
        self.requests[lease_request.key] = lease_request
        decisions = self.scheduler.acquire(
            lease_request, self.now, self.random
        )
        assert_that(decisions[0].key, Equals(lease_request.key))
        self.record_decisions(decisions)

    @rule(index=integers(0, 99), result=sampled_from(EntryLeaseResult))
    def release(self, index: int, result: EntryLeaseResult) -> None:
        keys = sorted(self.scheduler.leases)
        if keys:
            key = keys[index % len(keys)]
            report = Report(result)
            self.record_decisions(
                self.scheduler.release(key, report, self.now, self.random)
            )

    @rule(index=integers(0, 99))
    def withdraw(self, index: int) -> None:
        keys = sorted(self.waiting)
        if keys:
            key = keys[index % len(keys)]
            self.waiting.remove(key)
            report = Report(EntryLeaseResult.UNUSED)
            self.record_decisions(
                self.scheduler.release(key, report, self.now, self.random)
            )
            assert_that(self.ended, Not(Contains(key)))
            self.ended[key] = None

    @rule(elapsed_s=floats(0.0, 0.2))
    def pass_time(self, elapsed_s: float) -> None:
        self.now += elapsed_s
        self.record_decisions(self.scheduler.poll(self.now, self.random))

    @rule(elapsed_s=floats(0.5, 4.0))
    def pause(self, elapsed_s: float) -> None:
        self.now += elapsed_s

    @invariant()
    def leases_stay_within_the_slots(self) -> None:
        held: dict[int, int] = {}
        for lease in self.scheduler.leases.values():
            held[id(lease.slots)] = held.get(id(lease.slots), 0) + 1
        for slots in self.scheduler.servers.values():
            assert_that(slots.in_flight, Equals(held.get(id(slots), 0)))
            assert_that(slots.in_flight, Not(GreaterThan(slots.count)))

    @invariant()
    def ejected_servers_stay_a_minority(self) -> None:
        states = [
            slots.health.state for slots in self.scheduler.servers.values()
        ]
        ejected = states.count(HealthState.EJECTED)
        bound = int(self.scheduler.service.max_ejected_share * 6)
        assert_that(ejected, Not(GreaterThan(bound)))

    @invariant()
    def each_request_waits_or_has_ended(self) -> None:
        assert_that(self.waiting, Equals(set(self.scheduler.queue.requests)))
        open_keys = set(self.requests) - set(self.ended)
        assert_that(open_keys, Equals(self.waiting))


SchedulerMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=50
)
test_scheduler_machine = SchedulerMachine.TestCase
