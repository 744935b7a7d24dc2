"""Decides by what delays and refusals cost callers.

Answers loads under which kinds of requests that differ in work and urgency
compete for too little capacity: bursts of one kind, callers that retry without
a pause, the loss of a failure domain, cold servers and slow ones. Requests
that can meet their objective come first; the rest gets the slots that these
leave, or is refused at once.
"""

from random import Random

from prometheus_client import Counter

from cowslipmill.leasing.capacity import measure_speed
from cowslipmill.leasing.capacity import stays_slow
from cowslipmill.leasing.demand import Demand
from cowslipmill.leasing.estimate import is_temporarily_slow
from cowslipmill.leasing.leaserequest import Decision
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.remoteattempt import FAST_SERVER_WAIT_S
from cowslipmill.leasing.selection import Candidate
from cowslipmill.leasing.selection import has_waited_before
from cowslipmill.leasing.selection import limit_wait
from cowslipmill.leasing.selection import select_on_time
from cowslipmill.leasing.serverchoice import find_best_server
from cowslipmill.leasing.serverchoice import has_free_slot
from cowslipmill.leasing.serverchoice import token_wait_s
from cowslipmill.leasing.slotassigner import SlotAssigner
from cowslipmill.leasing.worktimes import WorkTimes

# Share of the slack before its deadline that the expected wait of late work
# may take, since on-time work that arrives later goes first.
LATE_WAIT_SHARE = 0.25
# Share of the time that a request could wait at most that the margin for
# unusual work takes: at cold servers the usual work leaves little time.
MAX_MARGIN_SHARE = 0.35
# Least share of the capacity that counts as spare; a burst ends some time.
MIN_SPARE_SHARE = 0.05
# Callers honour `Retry-After` up to this share of their remaining time. A
# longer delay would be cut to the same one for all, without its spread.
HONOURED_SHARE = 1 / 3
# Retry delays are spread up to this factor.
RETRY_SPREAD = 1.5
# Shortest retry delay of a refusal, in seconds.
MIN_RETRY_AFTER_S = 0.05
# Retry delay when no server is known, in seconds.
NO_SERVER_RETRY_AFTER_S = 0.5
# Bounds the memory of a coordinator and the length of a round.
MAX_QUEUED = 2_048


LEFT_OUT = Counter(
    'cowslipmill_host_left_out_total',
    'Requests left out of those that this coordinator serves in time.',
    ('reason',),
)


class CostDecision:
    """Decides rounds of one scheduler.

    Attributes:
        demand: Arriving work and granted fractions.
        works: Work of requests by route.
    """

    __slots__ = ('demand', 'works')

    def __init__(self) -> None:
        """Starts without history."""
        self.demand = Demand()
        self.works = WorkTimes()

    def decide(
        self, scheduler: SlotAssigner, now: float, random: Random
    ) -> list[Decision]:
        """Decides on the queue of a scheduler, which keeps the rest.

        Args:
            scheduler: The scheduler.
            now: Monotonic seconds.
            random: Spreads the retry delays.
        """
        return DecisionRound(
            scheduler, self.demand, self.works, now, random
        ).decide()


class DecisionRound:
    """One round of decisions.

    Attributes:
        scheduler: The scheduler.
        demand: Arriving work and granted fractions.
        works: Work of requests by route.
        now: Monotonic seconds.
        random: Spreads the retry delays.
        free: Servers with a free slot.
        speed: Slots and speed of the servers.
        capacity: Slots that serve the queue.
        contended: Whether requests compete for too few slots.
        queued_s: Work of the requests that stay queued, in seconds.
        decisions: Decisions made.
        still_queued: Requests that stay queued.
    """

    def __init__(
        self,
        scheduler: SlotAssigner,
        demand: Demand,
        works: WorkTimes,
        now: float,
        random: Random,
    ) -> None:
        """Starts a round."""
        self.scheduler = scheduler
        self.demand = demand
        self.works = works
        self.now = now
        self.random = random
        self.free = [
            server
            for server in scheduler.servers.values()
            if has_free_slot(server, now)
        ]
        self.speed = measure_speed(
            scheduler.servers.values(), scheduler.wait_estimator, now
        )
        self.capacity = 1.0
        self.contended = False
        self.queued_s = 0.0
        self.decisions: list[Decision] = []
        self.still_queued: list[LeaseRequest] = []

    def decide(self) -> list[Decision]:
        """Decides on all queued requests."""
        scheduler = self.scheduler
        candidates: list[Candidate] = []
        late: list[Candidate] = []
        immediate: list[LeaseRequest] = []
        for request in scheduler.queue:
            if request.requirements.max_duration_s is not None:
                immediate.append(request)
                continue
            work_s = self.works.typical_s(request)
            slack_s = self.slack_s(request)
            candidate = Candidate(request, work_s, slack_s, self.now)
            may_be_on_time = slack_s > 0.0 and bool(scheduler.servers)
            (candidates if may_be_on_time else late).append(candidate)
        queue = candidates + late
        if queue:
            work_s = sum(candidate.work_s for candidate in queue)
            self.capacity = self.speed.capacity(work_s / len(queue))
            self.contended = (
                work_s > FAST_SERVER_WAIT_S * self.capacity
                or scheduler.overload.is_active(self.now)
            )
        protected = self.demand.protected_routes(self.now)
        recent = self.demand.recently_left_out(self.now)
        for candidate in candidates:
            if candidate.request.requirements.route not in protected:
                limit_wait(candidate, recent)
        selection = select_on_time(candidates, self.capacity, protected)
        self.contended |= bool(selection.left_out)
        for candidate in selection.on_time:
            self.decide_on_time(candidate)
        for request in immediate:
            self.decide_immediate(request)
        for candidate in late:
            record_left_out(candidate.request, 'late')
        for candidate in selection.left_out:
            self.record_no_room(candidate)
        late += selection.left_out
        late.sort(
            key=lambda candidate: (
                candidate.request.requirements.route not in protected,
                candidate.request.requirements.priority,
                candidate.work_s,
                not has_waited_before(candidate.request),
                candidate.request.arrived_at,
            )
        )
        for candidate in late:
            self.decide_late(candidate)
        scheduler.queue = self.still_queued
        return self.decisions

    def record_no_room(self, candidate: Candidate) -> None:
        """Records a request that is left out though it could be in time."""
        request = candidate.request
        if not request.admitted and not request.left_out:
            requirements = request.requirements
            self.demand.record_left_out(
                requirements.route,
                requirements.priority,
                candidate.work_s,
                candidate.wait_limit_s,
                self.now,
            )
        record_left_out(request, 'no room')

    def slack_s(self, request: LeaseRequest) -> float:
        """Returns how long a request may wait and meet its objective.

        In seconds, with a margin for requests that need more than the typical
        work; not above 0 for late requests.
        """
        requirements = request.requirements
        factor = self.speed.least_factor
        typical_s = factor * self.works.typical_s(request)
        upper_s = factor * self.works.upper_s(request)
        objective_s = requirements.objective_at - request.arrived_at
        objective_s += requirements.asked_before_s
        margin_s = min(
            upper_s - typical_s,
            MAX_MARGIN_SHARE * max(0.0, objective_s - typical_s),
        )
        end_at = min(requirements.objective_at, requirements.deadline_at)
        return end_at - self.now - typical_s - margin_s

    def decide_on_time(self, candidate: Candidate) -> None:
        """Grants a request that can meet its objective, or keeps it."""
        request = candidate.request
        if not request.admitted:
            request.admitted = True
            self.demand.record_arrival(candidate.work_s, self.now)
        requirements = request.requirements
        limit_at = min(requirements.objective_at, requirements.deadline_at)
        if request.remote_attempt_pending:
            self.keep(candidate)
        elif self.try_grant(candidate, limit_at):
            return
        elif self.has_room():
            self.keep(candidate)
            self.ask_other_domains(candidate, candidate.wait_s)
        else:
            self.refuse(candidate, candidate.wait_s)

    def try_grant(self, candidate: Candidate, limit_at: float) -> bool:
        """Grants a request a slot where it ends by a time, if there is one.

        It gets a server that is slow for a moment only if no others compete,
        as its last chance: it keeps the slot several times as long there.
        """
        if not self.free:
            return False
        request = candidate.request
        best, duration_s = find_best_server(
            self.free,
            request,
            candidate.work_s,
            self.scheduler.probed_at,
            self.now,
        )
        spare_s = limit_at - self.now - duration_s
        if best is None or spare_s < 0.0:
            return False
        if is_temporarily_slow(best, self.now):
            if self.contended or spare_s >= FAST_SERVER_WAIT_S:
                return False
        elif self.contended and best.slow_since is not None:
            if not stays_slow(best, self.now):
                return False
        self.decisions.append(
            self.scheduler.grant(request, best, duration_s, self.now)
        )
        self.demand.record_decision(request.requirements.route, True, self.now)
        self.works.record_grant(request, duration_s)
        if not has_free_slot(best, self.now):
            self.free.remove(best)
        return True

    def keep(self, candidate: Candidate) -> None:
        """Keeps a request queued."""
        self.queued_s += candidate.work_s
        self.still_queued.append(candidate.request)

    def ask_other_domains(self, candidate: Candidate, wait_s: float) -> bool:
        """Has other domains asked for a request that is kept meanwhile."""
        request = candidate.request
        if request.remote_attempt_pending:
            return True
        attempt = self.scheduler.remote_attempt(
            request, wait_s, candidate.work_s, self.now
        )
        if attempt is None:
            return False
        request.remote_attempt_pending = True
        self.decisions.append(attempt)
        return True

    def decide_immediate(self, request: LeaseRequest) -> None:
        """Decides on a request that is never queued."""
        decision = self.scheduler.decide_one(request, 0, self.now, self.random)
        if decision is not None:
            self.decisions.append(decision)
        if isinstance(decision, Grant):
            self.works.record_grant(request, decision.expected_duration_s)
        self.free = [
            server for server in self.free if has_free_slot(server, self.now)
        ]

    def decide_late(self, candidate: Candidate) -> None:
        """Decides on a request that isn't expected to meet its objective."""
        request = candidate.request
        if request.remote_attempt_pending:
            self.keep(candidate)
            return
        deadline_at = request.requirements.deadline_at
        if self.try_grant(candidate, deadline_at):
            return
        duration_s = self.speed.least_factor * candidate.work_s
        slack_s = deadline_at - self.now - duration_s
        wait_s = self.late_wait_s(candidate)
        if slack_s > 0.0 and self.ask_other_domains(candidate, wait_s):
            self.keep(candidate)
            return
        if not request.admitted_late:
            request.admitted_late = wait_s <= LATE_WAIT_SHARE * slack_s
        if request.admitted_late and slack_s > 0.0 and self.has_room():
            self.keep(candidate)
            return
        self.refuse(candidate, wait_s)

    def has_room(self) -> bool:
        """Returns whether another request may stay queued."""
        return (
            bool(self.scheduler.servers)
            and len(self.still_queued) < MAX_QUEUED
        )

    def late_wait_s(self, candidate: Candidate) -> float:
        """Returns the expected wait of late work, in seconds."""
        wait_s = (self.queued_s + candidate.work_s) / self.spare_slots()
        servers = self.scheduler.servers.values()
        return max(wait_s, token_wait_s(servers, candidate.request, self.now))

    def spare_slots(self) -> float:
        """Returns how many slots the arriving work on time leaves."""
        spare = self.capacity - self.demand.arriving_slots(self.now)
        return max(MIN_SPARE_SHARE * self.capacity, spare)

    def refuse(self, candidate: Candidate, wait_s: float) -> None:
        """Refuses a request, with a delay after which a slot is expected."""
        request = candidate.request
        requirements = request.requirements
        overload = self.scheduler.overload
        if requirements.objective_at > self.now + candidate.work_s:
            overload.record_refusal(self.now)
        self.demand.record_decision(requirements.route, False, self.now)
        remaining_s = requirements.deadline_at - self.now
        longest_s = HONOURED_SHARE * remaining_s / RETRY_SPREAD
        expected_s = max(wait_s, overload.remaining_s(self.now))
        if not self.scheduler.servers:
            expected_s = NO_SERVER_RETRY_AFTER_S
        retry_after_s = max(MIN_RETRY_AFTER_S, min(longest_s, expected_s))
        retry_after_s *= self.random.uniform(1.0, RETRY_SPREAD)
        self.decisions.append(
            Refusal(
                request.key,
                'overloaded' if self.scheduler.servers else 'no server',
                retry_after_s,
                len(self.scheduler.queue),
                work_s=round(candidate.work_s, 4),
                room=round(self.capacity, 2),
            )
        )


def record_left_out(request: LeaseRequest, reason: str) -> None:
    """Counts a request that is left out for the first time.

    Args:
        request: The request.
        reason: `late` if it can't meet its objective, `no room` if others
            are served in time instead.
    """
    if not request.left_out:
        request.left_out = True
        LEFT_OUT.labels(reason).inc()
