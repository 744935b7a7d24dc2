"""The decisions of a home: who gets which slot, who waits, who is refused.

Answers the load pattern in which more work arrives than the servers can do:
the queue is ordered by priority, work that can't meet its objective yields
to work that can, and what can't be served in time is refused at once.
Answers also the pattern in which servers are slow for moments: work that
begins at a slow server stays slow, so it waits for a fast one while it can.
Nothing here waits or reads a clock.
"""

from collections.abc import Iterable
from random import Random

from cowslipmill.leasing.admission import admit_late_to_queue
from cowslipmill.leasing.admission import admit_to_queue
from cowslipmill.leasing.estimate import estimate_duration_s
from cowslipmill.leasing.estimate import is_temporarily_slow
from cowslipmill.leasing.estimate import risk_penalty_s
from cowslipmill.leasing.leaserequest import AskOtherDomains
from cowslipmill.leasing.leaserequest import Decision
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.overload import Overload
from cowslipmill.leasing.processingtimes import ProcessingTimes
from cowslipmill.leasing.sampling import count_free_fast_slots
from cowslipmill.leasing.sampling import FRESH_REPORT_S
from cowslipmill.leasing.sampling import select_servers_to_probe
from cowslipmill.leasing.slots import Lease
from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.waitestimator import WaitEstimator
from cowslipmill.view.server import ServerRecord

# A ticket that has waited this long is served by reports of servers that are
# too far away to answer within one decision, up to this age.
OLDER_REPORT_WAIT_S = 0.03
OLDER_REPORT_MAX_AGE_S = 0.1
# Slack after a deadline until a lease counts as lost.
LEASE_EXPIRY_MARGIN_S = 1.0
# Expected wait until a server with a free slot is fast again, less than the
# mean rest of one slow time since any of them will do.
FAST_SERVER_WAIT_S = 0.05
# Delay that sending a kilobyte to another domain has to save.
REMOTE_PENALTY_S_PER_KB = 0.02
# Delay of a grant from another domain and the longer way there.
REMOTE_DELAY_S = 0.004
# Pause between two rounds of questions to other domains for one ticket.
REMOTE_ATTEMPT_PAUSE_S = 0.05
# Shortest wait told to a caller that is refused.
MIN_RETRY_AFTER_S = 0.05
# Wait told when no server is known.
NO_SERVER_RETRY_AFTER_S = 0.5
# Work that takes this much longer than usual still meets the objective.
PROCESSING_MARGIN = 1.1
MAX_QUEUED = 2_048


class SlotScheduler:
    """Lends the slots of one service's servers in one failure domain.

    Attributes:
        failure_domain: Where its servers are.
        servers: Slots by server name.
        queue: Tickets that wait, in the order in which they are served.
        processing_times: Time that work takes, by route.
        overload: Since when work that could be in time is refused.
        other_domains_available: Whether other failure domains may be asked.
        probed_at: When servers were asked for the present decision.
        wait_estimator: The slots that work off what waits.
    """

    __slots__ = (
        'failure_domain',
        'other_domains_available',
        'overload',
        'probed_at',
        'processing_times',
        'queue',
        'servers',
        'wait_estimator',
    )

    def __init__(self, failure_domain: str) -> None:
        """Starts without servers."""
        self.failure_domain = failure_domain
        self.servers: dict[str, ServerSlots] = {}
        self.queue: list[LeaseRequest] = []
        self.processing_times = ProcessingTimes()
        self.overload = Overload()
        self.other_domains_available = False
        self.probed_at = 0.0
        self.wait_estimator = WaitEstimator()

    def set_servers(
        self, records: Iterable[tuple[ServerRecord, bool]], now: float
    ) -> None:
        """Sets the servers to lend.

        Args:
            records: Servers that take new work, each with whether its entry
                is gone from the store for now.
            now: Monotonic seconds.
        """
        servers: dict[str, ServerSlots] = {}
        for record, missing in records:
            slots = self.servers.get(record.name)
            if slots is None or (slots.record.started_ms != record.started_ms):
                slots = ServerSlots(record, now)
            slots.record = record
            slots.missing = missing
            servers[record.name] = slots
        self.servers = servers

    def servers_to_probe(
        self, now: float, random: Random
    ) -> list[ServerSlots]:
        """Returns the servers to ask for their load before a decision."""
        servers = self.servers.values()
        return select_servers_to_probe(servers, len(self.queue), now, random)

    def has_enough_fast_slots(self, now: float) -> bool:
        """Tells whether each ticket that waits has a slot at a fast server."""
        free_slots = count_free_fast_slots(self.servers.values(), now)
        return free_slots >= len(self.queue)

    def enqueue(self, request: LeaseRequest) -> None:
        """Queues a ticket behind those of its rank."""
        rank = queue_rank(request)
        index = len(self.queue)
        while index and rank < queue_rank(self.queue[index - 1]):
            index -= 1
        self.queue.insert(index, request)

    def cancel(self, key: tuple[str, int]) -> None:
        """Drops a ticket whose caller has gone."""
        self.queue = [request for request in self.queue if request.key != key]

    def decide(
        self, now: float, random: Random, *, probed_at: float | None = None
    ) -> list[Decision]:
        """Returns what can be decided now about the waiting tickets.

        Args:
            now: Monotonic seconds.
            random: Spreads the waits told.
            probed_at: When servers were last asked; older reports than that
                count only for tickets that have waited. None for now.
        """
        self.probed_at = now if probed_at is None else probed_at
        for server in self.servers.values():
            server.expire_leases(now)
        self.wait_estimator.update(self.servers.values(), now)
        decisions: list[Decision] = []
        still_queued: list[LeaseRequest] = []
        # Work that can't be in time yields to work that can.
        self.queue.sort(
            key=lambda request: (
                self.slack_s(request, now) <= 0.0,
                queue_rank(request),
            )
        )
        for request in self.queue:
            if request.remote_attempt_pending:
                still_queued.append(request)
                continue
            decision = self.decide_one(request, len(still_queued), now, random)
            if decision is None:
                still_queued.append(request)
                continue
            if isinstance(decision, AskOtherDomains):
                request.remote_attempt_pending = True
                still_queued.append(request)
            decisions.append(decision)
        self.queue = still_queued
        return decisions

    def decide_one(
        self, request: LeaseRequest, ahead: int, now: float, random: Random
    ) -> Decision | None:
        """Returns the decision about one ticket; None lets it wait."""
        requirements = request.requirements
        processing_s = self.processing_times.typical_s(request)
        best, duration_s = self.find_best_server(request, processing_s, now)
        if requirements.max_duration_s is not None:
            if best is None or duration_s > requirements.max_duration_s:
                return self.refuse(request, 'no better server', now, random)
            return self.grant(request, best, duration_s, now)
        remaining_s = requirements.objective_at - now
        best_is_slow = best is not None and is_temporarily_slow(best, now)
        if best is not None and duration_s <= remaining_s:
            if (
                not best_is_slow
                or remaining_s - duration_s < FAST_SERVER_WAIT_S
            ):
                return self.grant(request, best, duration_s, now)
        mean_s = self.processing_times.mean_s(request)
        wait_s = self.wait_estimator.wait_s(mean_s, ahead)
        if best is not None:
            wait_s = max(FAST_SERVER_WAIT_S, wait_s)
        slack_s = self.slack_s(request, now)
        max_duration_s = wait_s + processing_s - self.remote_penalty_s(request)
        if slack_s < max(FAST_SERVER_WAIT_S, wait_s):
            # Here it would be late, which costs more than a crossing.
            max_duration_s = max(max_duration_s, remaining_s - REMOTE_DELAY_S)
        if (
            self.may_ask_other_domains(request, now)
            and max_duration_s > PROCESSING_MARGIN * processing_s
        ):
            return AskOtherDomains(request, max_duration_s)
        if len(self.queue) > MAX_QUEUED or not self.servers:
            return self.refuse(request, 'no server', now, random)
        if slack_s > 0.0:
            if admit_to_queue(request, wait_s, slack_s):
                return None
            self.overload.record_refusal(now)
            return self.refuse(request, 'overloaded', now, random)
        queue_wait_s = self.wait_estimator.wait_s(mean_s, ahead - 1)
        return self.decide_late(
            request, best, duration_s, queue_wait_s, now, random
        )

    def slack_s(self, request: LeaseRequest, now: float) -> float:
        """Returns how long a ticket may wait and still be in time."""
        processing_s = self.processing_times.typical_s(request)
        return (
            request.requirements.objective_at
            - now
            - PROCESSING_MARGIN * processing_s
        )

    def decide_late(
        self,
        request: LeaseRequest,
        best: ServerSlots | None,
        duration_s: float,
        queue_wait_s: float,
        now: float,
        random: Random,
    ) -> Decision | None:
        """Returns the decision about a ticket that can't be in time.

        It takes a fast server, or the last one that can finish before its
        deadline. While others are refused, it makes room for those that can
        be in time.
        """
        remaining_s = request.requirements.deadline_at - now
        if best is not None and duration_s <= remaining_s:
            last_chance = remaining_s - duration_s < FAST_SERVER_WAIT_S
            if last_chance or not is_temporarily_slow(best, now):
                return self.grant(request, best, duration_s, now)
        if self.overload.is_active(now):
            return self.refuse(request, 'overloaded', now, random)
        slack_s = remaining_s - self.processing_times.typical_s(request)
        if admit_late_to_queue(request, queue_wait_s, slack_s):
            return None
        return self.refuse(request, 'overloaded', now, random)

    def may_ask_other_domains(self, request: LeaseRequest, now: float) -> bool:
        """Tells whether other failure domains may be asked for a ticket."""
        return (
            self.other_domains_available
            and now >= request.next_remote_attempt_at
        )

    def remote_penalty_s(self, request: LeaseRequest) -> float:
        """Returns the delay that a server elsewhere has to save."""
        return (
            REMOTE_DELAY_S
            + REMOTE_PENALTY_S_PER_KB * request.requirements.kilobytes
        )

    def end_remote_attempt(self, request: LeaseRequest, now: float) -> None:
        """Takes in that no other failure domain had a better server."""
        request.remote_attempt_pending = False
        request.next_remote_attempt_at = now + REMOTE_ATTEMPT_PAUSE_S

    def find_best_server(
        self, request: LeaseRequest, processing_s: float, now: float
    ) -> tuple[ServerSlots | None, float]:
        """Returns the best server with a free slot, and its finish."""
        best: ServerSlots | None = None
        best_duration_s = float('inf')
        best_cost_s = float('inf')
        for server in self.servers.values():
            if (
                server.name in request.requirements.excluded
                or now < server.blocked_until
            ):
                continue
            if server.failed_probes or server.free_slots(now) <= 0:
                continue
            if not self.is_report_usable(server, request, now):
                continue
            duration_s = estimate_duration_s(server, processing_s, now)
            cost_s = duration_s + risk_penalty_s(server, processing_s, now)
            if cost_s < best_cost_s:
                best, best_duration_s, best_cost_s = server, duration_s, cost_s
        return best, best_duration_s

    def is_report_usable(
        self, server: ServerSlots, request: LeaseRequest, now: float
    ) -> bool:
        """Tells whether a server's report is new enough to decide by."""
        if server.reports_load is False:
            return True
        oldest_sample_at = self.probed_at - FRESH_REPORT_S
        if now - request.arrived_at > OLDER_REPORT_WAIT_S:
            oldest_sample_at = min(
                oldest_sample_at, now - OLDER_REPORT_MAX_AGE_S
            )
        return server.load_sampled_at >= oldest_sample_at

    def grant(
        self,
        request: LeaseRequest,
        server: ServerSlots,
        duration_s: float,
        now: float,
    ) -> Grant:
        """Gives a ticket its slot."""
        expires_at = request.requirements.deadline_at + LEASE_EXPIRY_MARGIN_S
        server.leases[request.key] = Lease(
            now, expires_at, request.requirements.route
        )
        load = server.load
        return Grant(
            key=request.key,
            server=server.name,
            started_ms=server.record.started_ms,
            failure_domain=self.failure_domain,
            expected_duration_s=duration_s,
            load_age_s=-1.0 if load is None else server.load_age_s(now),
            slowdown=0.0 if load is None else load.slowdown,
        )

    def refuse(
        self, request: LeaseRequest, reason: str, now: float, random: Random
    ) -> Refusal:
        """Refuses with the time after which a slot is to be expected.

        That is when the backlog has been worked off, or when an overload is
        likely to have ended. The time is spread, so that refused callers
        come back apart.
        """
        wait_s = NO_SERVER_RETRY_AFTER_S
        if self.servers:
            mean_s = self.processing_times.mean_s(request)
            wait_s = self.wait_estimator.wait_s(mean_s, len(self.queue))
        wait_s = max(MIN_RETRY_AFTER_S, wait_s, self.overload.remaining_s(now))
        wait_s *= random.uniform(1.0, 1.5)
        return Refusal(request.key, reason, wait_s, len(self.queue))

    def record_result(self, report: Report, now: float) -> None:
        """Takes in how a lease ended."""
        server = self.servers.get(report.server)
        if server is None:
            return
        lease = server.release(report.key)
        server.record_result(report.result, now)
        if report.result is LeaseResult.ANSWERED and lease is not None:
            self.processing_times.record(lease.route, report.duration_s)

    def release(self, grant: Grant) -> None:
        """Ends a lease that nobody waits for any more."""
        server = self.servers.get(grant.server)
        if server is not None:
            server.release(grant.key)


def queue_rank(request: LeaseRequest) -> tuple[int, float]:
    """Returns the order of a ticket among those that wait."""
    return request.requirements.priority, request.arrived_at
