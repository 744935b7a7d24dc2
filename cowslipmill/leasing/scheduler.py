"""Decides which request gets which slot, which is queued and which refused.

Handles the case that more requests arrive than the servers can process: the
queue is ordered by priority, requests that can't meet their objective yield to
those that can, and what can't be served in time is refused at once.
Handles also servers that are slow for short periods: a request that starts at
a slow server stays slow, so it waits for a fast one while it has the time.
Nothing here blocks or reads a clock.
"""

from collections.abc import Iterable
from random import Random

from cowslipmill.leasing.admission import admit_late_to_queue
from cowslipmill.leasing.admission import admit_to_queue
from cowslipmill.leasing.costdecision import CostDecision
from cowslipmill.leasing.ejection import Change
from cowslipmill.leasing.ejection import update_limits
from cowslipmill.leasing.estimate import is_temporarily_slow
from cowslipmill.leasing.leaserequest import AskOtherDomains
from cowslipmill.leasing.leaserequest import Decision
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.outcomes import LEASE_EXPIRY_MARGIN_S
from cowslipmill.leasing.outcomes import record_outcome
from cowslipmill.leasing.outcomes import tells_of_server
from cowslipmill.leasing.overload import Overload
from cowslipmill.leasing.processingtimes import ProcessingTimes
from cowslipmill.leasing.remoteattempt import choose_remote_attempt
from cowslipmill.leasing.remoteattempt import FAST_SERVER_WAIT_S
from cowslipmill.leasing.remoteattempt import PROCESSING_MARGIN
from cowslipmill.leasing.remoteattempt import REMOTE_ATTEMPT_PAUSE_S
from cowslipmill.leasing.remoteattempt import RemotePace
from cowslipmill.leasing.sampling import count_free_fast_slots
from cowslipmill.leasing.sampling import select_servers_to_probe
from cowslipmill.leasing.serverchoice import find_best_server
from cowslipmill.leasing.serverchoice import token_wait_s
from cowslipmill.leasing.slots import Lease
from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.waitestimator import WaitEstimator
from cowslipmill.view.server import ServerRecord

# Shortest retry delay of a refusal.
MIN_RETRY_AFTER_S = 0.05
# Retry delay when no server is known.
NO_SERVER_RETRY_AFTER_S = 0.5
MAX_QUEUED = 2_048


class SlotScheduler:
    """Assigns the slots of one service's servers in one failure domain.

    Attributes:
        cost_decision: Decides if `weighs_cost`.
        failure_domain: Failure domain of its servers.
        servers: State of the servers by name.
        queue: Queued requests, in the order in which they are served.
        processing_times: Processing times of requests by route.
        overload: Whether requests that could be in time are refused, and
            since when.
        other_domains_available: Whether other failure domains may be asked.
        probed_at: When servers were probed for the current decision, in
            monotonic seconds.
        wait_estimator: Estimates the wait in the queue.
        remote_pace: Paces requests to other failure domains if `weighs_cost`.
        weighs_cost: Whether it decides by what delays and refusals cost
            callers, in a service that kinds of very different work share.
        ejection_change: How the last result changed whether its server is
            used; None if it didn't.
    """

    __slots__ = (
        'cost_decision',
        'ejection_change',
        'failure_domain',
        'other_domains_available',
        'overload',
        'probed_at',
        'processing_times',
        'queue',
        'remote_pace',
        'servers',
        'wait_estimator',
        'weighs_cost',
    )

    def __init__(self, failure_domain: str) -> None:
        """Starts without servers."""
        self.failure_domain = failure_domain
        self.servers: dict[str, ServerSlots] = {}
        self.queue: list[LeaseRequest] = []
        self.processing_times = ProcessingTimes()
        self.overload = Overload()
        self.other_domains_available = False
        self.remote_pace = RemotePace()
        self.probed_at = 0.0
        self.wait_estimator = WaitEstimator()
        self.ejection_change: Change | None = None
        self.weighs_cost = False
        self.cost_decision = CostDecision()

    def set_servers(
        self, records: Iterable[tuple[ServerRecord, bool]], now: float
    ) -> None:
        """Sets the servers; those that restarted begin without history.

        Args:
            records: Servers that take new requests, with the warm-up that
                remains now, each with whether its entry is missing from the
                store.
            now: Monotonic seconds.
        """
        servers: dict[str, ServerSlots] = {}
        for record, missing in records:
            slots = self.servers.get(record.name)
            if slots is None or (slots.record.started_ms != record.started_ms):
                slots = ServerSlots(record, now)
            slots.set_record(record, now, missing=missing)
            servers[record.name] = slots
        self.servers = servers
        update_limits([slots.ejection for slots in servers.values()])

    def servers_to_probe(
        self, now: float, random: Random
    ) -> list[ServerSlots]:
        """Returns the servers to probe for their load before a decision."""
        servers = self.servers.values()
        return select_servers_to_probe(servers, len(self.queue), now, random)

    def has_enough_fast_slots(self, now: float) -> bool:
        """Returns whether fast servers have a slot for each queued request."""
        free_slots = count_free_fast_slots(self.servers.values(), now)
        return free_slots >= len(self.queue)

    def enqueue(self, request: LeaseRequest) -> None:
        """Queues a request behind those of the same rank."""
        rank = queue_rank(request)
        index = len(self.queue)
        while index and rank < queue_rank(self.queue[index - 1]):
            index -= 1
        self.queue.insert(index, request)

    def cancel(self, key: tuple[str, int]) -> None:
        """Removes a request from the queue, if it is still there."""
        self.queue = [request for request in self.queue if request.key != key]

    def decide(
        self, now: float, random: Random, *, probed_at: float | None = None
    ) -> list[Decision]:
        """Returns what can be decided now on the queued requests.

        Args:
            now: Monotonic seconds.
            random: Spreads the retry delays.
            probed_at: When servers were last probed; reports older than that
                count only for requests that have waited. None for `now`.
        """
        self.probed_at = now if probed_at is None else probed_at
        for server in self.servers.values():
            server.expire_leases(now)
        self.wait_estimator.update(self.servers.values(), now)
        if self.weighs_cost:
            return self.cost_decision.decide(self, now, random)
        decisions: list[Decision] = []
        still_queued: list[LeaseRequest] = []
        # Requests that can't be in time yield to those that can.
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
        """Returns the decision on one request; None keeps it queued.

        A request with `max_duration_s` is granted or refused at once.

        Args:
            request: The request.
            ahead: Number of requests that are served before.
            now: Monotonic seconds.
            random: Spreads the retry delays.
        """
        requirements = request.requirements
        processing_s = self.processing_times.typical_s(request)
        best, duration_s = find_best_server(
            self.servers.values(), request, processing_s, self.probed_at, now
        )
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
        wait_s = max(wait_s, token_wait_s(self.servers.values(), request, now))
        if best is not None:
            wait_s = max(FAST_SERVER_WAIT_S, wait_s)
        slack_s = self.slack_s(request, now)
        attempt = self.remote_attempt(request, wait_s, processing_s, now)
        if attempt is not None:
            return attempt
        if len(self.queue) > MAX_QUEUED or not self.servers:
            return self.refuse(request, 'no server', now, random)
        if slack_s > 0.0:
            if admit_to_queue(request, wait_s, slack_s):
                return None
            self.overload.record_refusal(now)
            return self.refuse(request, 'overloaded', now, random)
        # Counts only the requests ahead, without this one's own wait.
        queue_wait_s = self.wait_estimator.wait_s(mean_s, ahead - 1)
        queue_wait_s = max(
            queue_wait_s, token_wait_s(self.servers.values(), request, now)
        )
        return self.decide_late(
            request, best, duration_s, queue_wait_s, now, random
        )

    def slack_s(self, request: LeaseRequest, now: float) -> float:
        """Returns how long a request may wait and still be in time.

        The result is in seconds, and not above 0 for a late request.
        """
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
        """Returns the decision on a late request; None keeps it queued.

        It gets a fast server, or any server when that is the last chance to
        finish before its deadline. During an overload it is refused instead
        of queued, to make room for requests that can be in time.

        Args:
            request: The request.
            best: The best server with a free slot, if there is one.
            duration_s: Expected duration of the request there, in seconds.
            queue_wait_s: Expected wait behind the requests ahead of it, in
                seconds.
            now: Monotonic seconds.
            random: Spreads the retry delays.
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

    def remote_attempt(
        self,
        request: LeaseRequest,
        wait_s: float,
        processing_s: float,
        now: float,
    ) -> AskOtherDomains | None:
        """Returns the decision to ask other failure domains, if it may help.

        Args:
            request: The request.
            wait_s: Expected wait in this failure domain, in seconds.
            processing_s: Processing time on an idle server, in seconds.
            now: Monotonic seconds.
        """
        if not self.other_domains_available:
            return None
        if now < request.next_remote_attempt_at:
            return None
        if self.weighs_cost and not self.remote_pace.allows(now):
            return None
        slack_s = self.slack_s(request, now)
        attempt = choose_remote_attempt(
            request, wait_s, processing_s, slack_s, now
        )
        if attempt is not None:
            self.remote_pace.record_attempt(now)
        return attempt

    def is_out_of_service(self) -> bool:
        """Returns whether no server responds, and others may be used."""
        if not self.weighs_cost or not self.other_domains_available:
            return False
        return all(server.failed_probes for server in self.servers.values())

    def end_remote_attempt(self, request: LeaseRequest, now: float) -> None:
        """Records that no other failure domain had a better server."""
        request.remote_attempt_pending = False
        self.remote_pace.record_result(granted=False, now=now)
        request.next_remote_attempt_at = now + REMOTE_ATTEMPT_PAUSE_S

    def grant(
        self,
        request: LeaseRequest,
        server: ServerSlots,
        duration_s: float,
        now: float,
    ) -> Grant:
        """Grants a request a lease on a slot of a server."""
        expires_at = request.requirements.deadline_at + LEASE_EXPIRY_MARGIN_S
        server.leases[request.key] = Lease(
            now, expires_at, request.requirements.route
        )
        server.spend_token(now)
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
        """Refuses a request, with a delay after which a slot is expected.

        That is when the queue has been processed, or when an overload is
        likely to have ended. The delay is spread at random, so that refused
        callers don't retry at the same time.
        """
        wait_s = NO_SERVER_RETRY_AFTER_S
        if self.servers:
            mean_s = self.processing_times.mean_s(request)
            wait_s = self.wait_estimator.wait_s(mean_s, len(self.queue))
        wait_s = max(
            MIN_RETRY_AFTER_S,
            wait_s,
            token_wait_s(self.servers.values(), request, now),
            self.overload.remaining_s(now),
        )
        wait_s *= random.uniform(1.0, 1.5)
        return Refusal(request.key, reason, wait_s, len(self.queue))

    def record_result(self, report: Report, now: float) -> bool:
        """Records how a lease ended; returns whether it blocked the server."""
        self.ejection_change = None
        server = self.servers.get(report.server)
        if server is None:
            return False
        lease = server.release(report.key)
        if lease is not None:
            answered = report.result is LeaseResult.ANSWERED
            self.cost_decision.works.record_result(
                report.key,
                lease.route,
                report.duration_s if answered else None,
            )
            if report.result is LeaseResult.ANSWERED:
                self.processing_times.record(lease.route, report.duration_s)
            median_s = self.processing_times.medians.get(lease.route, 0.0)
            if tells_of_server(lease, report, median_s, self.overload, now):
                self.ejection_change = record_outcome(
                    server, self.servers.values(), lease, report, now
                )
        return server.record_result(report.result, now)

    def release(self, grant: Grant) -> None:
        """Releases a lease whose request no longer waits for it."""
        server = self.servers.get(grant.server)
        if server is not None:
            server.release(grant.key)


def queue_rank(request: LeaseRequest) -> tuple[int, float]:
    """Returns the sort key of a request in the queue: priority, then age."""
    return request.requirements.priority, request.arrived_at
