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

from cowslipmill.leasing.admission import may_wait
from cowslipmill.leasing.admission import may_wait_late
from cowslipmill.leasing.backlog import Backlog
from cowslipmill.leasing.estimate import expected_finish_s
from cowslipmill.leasing.estimate import is_passing_slow
from cowslipmill.leasing.estimate import risk_s
from cowslipmill.leasing.leaserequest import AskOtherDomains
from cowslipmill.leasing.leaserequest import Decision
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.overload import Overload
from cowslipmill.leasing.sampling import count_known_good
from cowslipmill.leasing.sampling import FRESH_S
from cowslipmill.leasing.sampling import pick_to_ask
from cowslipmill.leasing.slots import Lease
from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.worktime import WorkTimes
from cowslipmill.view.server import ServerRecord

# A ticket that has waited this long is served by reports of servers that are
# too far away to answer within one decision, up to this age.
FAR_WAIT_S = 0.03
FAR_REPORT_S = 0.1
# Slack after a deadline until a lease counts as lost.
EXPIRY_SLACK_S = 1.0
# Expected wait until a server with a free slot is fast again, less than the
# mean rest of one slow time since any of them will do.
FAST_WAIT_S = 0.05
# Delay that sending a kilobyte to another domain has to save.
REMOTE_S_PER_KB = 0.02
# Delay of a grant from another domain and the longer way there.
REMOTE_S = 0.004
# Pause between two rounds of questions to other domains for one ticket.
ASK_PAUSE_S = 0.05
# Shortest wait told to a caller that is refused.
MIN_RETRY_AFTER_S = 0.05
# Wait told when no server is known.
NO_SERVER_RETRY_AFTER_S = 0.5
# Work that takes this much longer than usual still meets the objective.
WORK_MARGIN = 1.1
MAX_WAITING = 2_048


class SlotScheduler:
    """Lends the slots of one service's servers in one failure domain.

    Attributes:
        failure_domain: Where its servers are.
        servers: Slots by server name.
        queue: Tickets that wait, in the order in which they are served.
        work: Time that work takes, by route.
        overload: Since when work that could be in time is refused.
        others: Whether other failure domains may be asked.
        asked_at: When servers were asked for the present decision.
        backlog: The slots that work off what waits.
    """

    __slots__ = (
        'asked_at',
        'backlog',
        'failure_domain',
        'others',
        'overload',
        'queue',
        'servers',
        'work',
    )

    def __init__(self, failure_domain: str) -> None:
        """Starts without servers."""
        self.failure_domain = failure_domain
        self.servers: dict[str, ServerSlots] = {}
        self.queue: list[LeaseRequest] = []
        self.work = WorkTimes()
        self.overload = Overload()
        self.others = False
        self.asked_at = 0.0
        self.backlog = Backlog()

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
        return pick_to_ask(servers, len(self.queue), now, random)

    def knows_enough(self, now: float) -> bool:
        """Tells whether each ticket that waits has a slot at a fast server."""
        good = count_known_good(self.servers.values(), now)
        return good >= len(self.queue)

    def enqueue(self, ticket: LeaseRequest) -> None:
        """Queues a ticket behind those of its rank."""
        rank = rank_of(ticket)
        index = len(self.queue)
        while index and rank < rank_of(self.queue[index - 1]):
            index -= 1
        self.queue.insert(index, ticket)

    def cancel(self, key: tuple[str, int]) -> None:
        """Drops a ticket whose caller has gone."""
        self.queue = [ticket for ticket in self.queue if ticket.key != key]

    def decide(
        self, now: float, random: Random, *, asked_at: float | None = None
    ) -> list[Decision]:
        """Returns what can be decided now about the waiting tickets.

        Args:
            now: Monotonic seconds.
            random: Spreads the waits told.
            asked_at: When servers were last asked; older reports than that
                count only for tickets that have waited. None for now.
        """
        self.asked_at = now if asked_at is None else asked_at
        for server in self.servers.values():
            server.expire(now)
        self.backlog.update(self.servers.values(), now)
        decisions: list[Decision] = []
        waiting: list[LeaseRequest] = []
        # Work that can't be in time yields to work that can.
        self.queue.sort(
            key=lambda ticket: (
                self.spare_s(ticket, now) <= 0.0,
                rank_of(ticket),
            )
        )
        for ticket in self.queue:
            if ticket.asking:
                waiting.append(ticket)
                continue
            decision = self.decide_one(ticket, len(waiting), now, random)
            if decision is None:
                waiting.append(ticket)
                continue
            if isinstance(decision, AskOtherDomains):
                ticket.asking = True
                waiting.append(ticket)
            decisions.append(decision)
        self.queue = waiting
        return decisions

    def decide_one(
        self, ticket: LeaseRequest, ahead: int, now: float, random: Random
    ) -> Decision | None:
        """Returns the decision about one ticket; None lets it wait."""
        need = ticket.requirements
        work_s = self.work.typical_s(ticket)
        best, finish_s = self.find_best(ticket, work_s, now)
        if need.max_duration_s is not None:
            if best is None or finish_s > need.max_duration_s:
                return self.refuse(ticket, 'no better server', now, random)
            return self.grant(ticket, best, finish_s, now)
        left_s = need.objective_at - now
        slow = best is not None and is_passing_slow(best, now)
        if best is not None and finish_s <= left_s:
            if not slow or left_s - finish_s < FAST_WAIT_S:
                return self.grant(ticket, best, finish_s, now)
        mean_s = self.work.mean_s(ticket)
        wait_s = self.backlog.wait_s(mean_s, ahead)
        if best is not None:
            wait_s = max(FAST_WAIT_S, wait_s)
        spare_s = self.spare_s(ticket, now)
        limit_s = wait_s + work_s - self.remote_cost_s(ticket)
        if spare_s < max(FAST_WAIT_S, wait_s):
            # Here it would be late, which costs more than a crossing.
            limit_s = max(limit_s, left_s - REMOTE_S)
        if self.may_ask(ticket, now) and limit_s > WORK_MARGIN * work_s:
            return AskOtherDomains(ticket, limit_s)
        if len(self.queue) > MAX_WAITING or not self.servers:
            return self.refuse(ticket, 'no server', now, random)
        if spare_s > 0.0:
            if may_wait(ticket, wait_s, spare_s):
                return None
            self.overload.note(now)
            return self.refuse(ticket, 'overloaded', now, random)
        queued_s = self.backlog.wait_s(mean_s, ahead - 1)
        return self.decide_late(ticket, best, finish_s, queued_s, now, random)

    def spare_s(self, ticket: LeaseRequest, now: float) -> float:
        """Returns how long a ticket may wait and still be in time."""
        work_s = self.work.typical_s(ticket)
        return ticket.requirements.objective_at - now - WORK_MARGIN * work_s

    def decide_late(
        self,
        ticket: LeaseRequest,
        best: ServerSlots | None,
        finish_s: float,
        queued_s: float,
        now: float,
        random: Random,
    ) -> Decision | None:
        """Returns the decision about a ticket that can't be in time.

        It takes a fast server, or the last one that can finish before its
        deadline. While others are refused, it makes room for those that can
        be in time.
        """
        patience_s = ticket.requirements.deadline_at - now
        if best is not None and finish_s <= patience_s:
            last_chance = patience_s - finish_s < FAST_WAIT_S
            if last_chance or not is_passing_slow(best, now):
                return self.grant(ticket, best, finish_s, now)
        if self.overload.lasts(now):
            return self.refuse(ticket, 'overloaded', now, random)
        left_s = patience_s - self.work.typical_s(ticket)
        if may_wait_late(ticket, queued_s, left_s):
            return None
        return self.refuse(ticket, 'overloaded', now, random)

    def may_ask(self, ticket: LeaseRequest, now: float) -> bool:
        """Tells whether other failure domains may be asked for a ticket."""
        return self.others and now >= ticket.next_ask_at

    def remote_cost_s(self, ticket: LeaseRequest) -> float:
        """Returns the delay that a server elsewhere has to save."""
        return REMOTE_S + REMOTE_S_PER_KB * ticket.requirements.kilobytes

    def end_asking(self, ticket: LeaseRequest, now: float) -> None:
        """Takes in that no other failure domain had a better server."""
        ticket.asking = False
        ticket.next_ask_at = now + ASK_PAUSE_S

    def find_best(
        self, ticket: LeaseRequest, work_s: float, now: float
    ) -> tuple[ServerSlots | None, float]:
        """Returns the best server with a free slot, and its finish."""
        best: ServerSlots | None = None
        best_s = float('inf')
        best_rank = float('inf')
        for server in self.servers.values():
            if (
                server.name in ticket.requirements.excluded
                or now < server.blocked_until
            ):
                continue
            if server.silent or server.free(now) <= 0:
                continue
            if not self.is_known(server, ticket, now):
                continue
            finish_s = expected_finish_s(server, work_s, now)
            rank = finish_s + risk_s(server, work_s, now)
            if rank < best_rank:
                best, best_s, best_rank = server, finish_s, rank
        return best, best_s

    def is_known(
        self, server: ServerSlots, ticket: LeaseRequest, now: float
    ) -> bool:
        """Tells whether a server's report is new enough to decide by."""
        if server.reports_load is False:
            return True
        oldest = self.asked_at - FRESH_S
        if now - ticket.arrived_at > FAR_WAIT_S:
            oldest = min(oldest, now - FAR_REPORT_S)
        return server.load_sampled_at >= oldest

    def grant(
        self,
        ticket: LeaseRequest,
        server: ServerSlots,
        finish_s: float,
        now: float,
    ) -> Grant:
        """Gives a ticket its slot."""
        expires_at = ticket.requirements.deadline_at + EXPIRY_SLACK_S
        server.leases[ticket.key] = Lease(
            now, expires_at, ticket.requirements.route
        )
        load = server.load
        return Grant(
            key=ticket.key,
            server=server.name,
            started_ms=server.record.started_ms,
            failure_domain=self.failure_domain,
            expected_duration_s=finish_s,
            load_age_s=-1.0 if load is None else server.load_age_s(now),
            slowdown=0.0 if load is None else load.slowdown,
        )

    def refuse(
        self, ticket: LeaseRequest, reason: str, now: float, random: Random
    ) -> Refusal:
        """Refuses with the time after which a slot is to be expected.

        That is when the backlog has been worked off, or when an overload is
        likely to have ended. The time is spread, so that refused callers
        come back apart.
        """
        wait_s = NO_SERVER_RETRY_AFTER_S
        if self.servers:
            mean_s = self.work.mean_s(ticket)
            wait_s = self.backlog.wait_s(mean_s, len(self.queue))
        wait_s = max(MIN_RETRY_AFTER_S, wait_s, self.overload.rest_s(now))
        wait_s *= random.uniform(1.0, 1.5)
        return Refusal(ticket.key, reason, wait_s, len(self.queue))

    def record_result(self, report: Report, now: float) -> None:
        """Takes in how a lease ended."""
        server = self.servers.get(report.server)
        if server is None:
            return
        lease = server.release(report.key)
        server.record_result(report.result, now)
        if report.result is LeaseResult.ANSWERED and lease is not None:
            self.work.record(lease.route, report.duration_s)

    def take_back(self, grant: Grant) -> None:
        """Ends a lease that nobody waits for any more."""
        server = self.servers.get(grant.server)
        if server is not None:
            server.release(grant.key)


def rank_of(ticket: LeaseRequest) -> tuple[int, float]:
    """Returns the order of a ticket among those that wait."""
    return ticket.requirements.priority, ticket.arrived_at
