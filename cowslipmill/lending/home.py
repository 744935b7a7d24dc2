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

from cowslipmill.lending.estimate import expected_finish_s
from cowslipmill.lending.estimate import is_passing_slow
from cowslipmill.lending.estimate import risk_s
from cowslipmill.lending.estimate import was_slow
from cowslipmill.lending.overload import Overload
from cowslipmill.lending.slots import Lease
from cowslipmill.lending.slots import ServerSlots
from cowslipmill.lending.slots import SLOW_FACTOR
from cowslipmill.lending.ticket import AskElsewhere
from cowslipmill.lending.ticket import Decision
from cowslipmill.lending.ticket import Grant
from cowslipmill.lending.ticket import Refusal
from cowslipmill.lending.ticket import Report
from cowslipmill.lending.ticket import Result
from cowslipmill.lending.ticket import Ticket
from cowslipmill.lending.worktime import WorkTimes
from cowslipmill.view.server import ServerRecord

# Load reports older than this are asked for anew before a grant: in 1 ms of
# 150 a server that was fast becomes slow.
FRESH_S = 0.002
# A ticket that has waited this long is served by reports of servers that are
# too far away to answer within one decision, up to this age.
FAR_WAIT_S = 0.03
FAR_REPORT_S = 0.1
# Pause between questions to servers that tell no load.
NO_LOAD_RECHECK_S = 1.0
# Servers asked for one decision, and one more for each ticket that waits:
# while a quarter of the servers are slow, one of three is fast in 98 of 100.
FEWEST_ASKED = 2
MOST_ASKED = 12
# Pause between questions to servers that are full by the last report.
FULL_RECHECK_S = 0.1
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
# Share of the time to spare that the expected wait of a new ticket may take.
ADMITTED_SHARE = 0.85
# Share of the objective by which the wait of an admitted ticket may exceed
# its time to spare, since waits vary.
PATIENCE = 0.25
# Share of its time left that the expected wait of late work may take, since
# it gets only what the rest leaves over.
LATE_SHARE = 0.25
MAX_WAITING = 2_048
# Reports younger than this tell the share of fast servers: a few slow times.
SPEED_VALID_S = 0.5
# Time over which that share is averaged, several slow times.
SPEED_MEAN_S = 1.0


class Home:
    """Lends the slots of one service's servers in one failure domain.

    Attributes:
        failure_domain: Where its servers are.
        servers: Slots by server name.
        queue: Tickets that wait, in the order in which they are served.
        work: Time that work takes, by route.
        overload: Since when work that could be in time is refused.
        others: Whether other failure domains may be asked.
        asked_at: When servers were asked for the present decision.
        fast_share: Share of the servers that are fast, on average.
        speeds_at: When that was last brought up to date.
        fast_slots: Slots at fast servers as of the present decision.
    """

    __slots__ = (
        'asked_at',
        'failure_domain',
        'fast_share',
        'fast_slots',
        'others',
        'overload',
        'queue',
        'servers',
        'speeds_at',
        'work',
    )

    def __init__(self, failure_domain: str) -> None:
        """Starts without servers."""
        self.failure_domain = failure_domain
        self.servers: dict[str, ServerSlots] = {}
        self.queue: list[Ticket] = []
        self.work = WorkTimes()
        self.overload = Overload()
        self.others = False
        self.asked_at = 0.0
        self.fast_share = 1.0
        self.fast_slots = 1.0
        self.speeds_at = 0.0

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
        for record, lapsed in records:
            slots = self.servers.get(record.name)
            if slots is None or (slots.record.started_ms != record.started_ms):
                slots = ServerSlots(record, now)
            slots.record = record
            slots.lapsed = lapsed
            servers[record.name] = slots
        self.servers = servers

    def servers_to_ask(self, now: float, random: Random) -> list[ServerSlots]:
        """Returns the servers to ask for their load before a decision.

        None if enough are known to be fast and free; else a sample of those
        that may be, so that the cost of a decision doesn't grow with the
        service.
        """
        wanted = len(self.queue)
        if self.count_known_good(now) >= wanted:
            return []
        stale = [
            server
            for server in self.servers.values()
            if now >= server.blocked_until and self.is_stale(server, now)
        ]
        stale.sort(
            key=lambda server: (
                server.free(now) <= 0,
                server.silent > 0,
                was_slow(server, now),
                server.occupancy(now) / server.record.slots,
                random.random(),
            )
        )
        return stale[: min(MOST_ASKED, FEWEST_ASKED + wanted)]

    def count_known_good(self, now: float) -> int:
        """Returns how many slots are known to be free at fast servers."""
        return sum(
            max(0, server.free(now))
            for server in self.servers.values()
            if server.load_age_s(now) <= FRESH_S
            and now >= server.blocked_until
            and not is_passing_slow(server, now)
        )

    def is_stale(self, server: ServerSlots, now: float) -> bool:
        """Tells whether a server's report is too old to decide by."""
        age_s = server.load_age_s(now)
        if server.tells_load is False:
            return age_s > NO_LOAD_RECHECK_S
        if server.free(now) > 0:
            return age_s > FRESH_S
        return age_s > FULL_RECHECK_S

    def push(self, ticket: Ticket) -> None:
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
        self.note_speeds(now)
        self.fast_slots = self.count_fast_slots(now)
        decisions: list[Decision] = []
        waiting: list[Ticket] = []
        # Work that is late already yields to work that isn't.
        self.queue.sort(
            key=lambda ticket: (
                now >= ticket.need.objective_at,
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
            if isinstance(decision, AskElsewhere):
                ticket.asking = True
                waiting.append(ticket)
            decisions.append(decision)
        self.queue = waiting
        return decisions

    def decide_one(
        self, ticket: Ticket, ahead: int, now: float, random: Random
    ) -> Decision | None:
        """Returns the decision about one ticket; None lets it wait."""
        need = ticket.need
        work_s = self.work.typical_s(ticket)
        best, finish_s = self.find_best(ticket, work_s, now)
        if need.better_than_s is not None:
            if best is None or finish_s > need.better_than_s:
                return self.refuse(ticket, 'no better server', now, random)
            return self.grant(ticket, best, finish_s, now)
        left_s = need.objective_at - now
        slow = best is not None and is_passing_slow(best, now)
        if best is not None and finish_s <= left_s:
            if not slow or left_s - finish_s < FAST_WAIT_S:
                return self.grant(ticket, best, finish_s, now)
        wait_s = self.expected_wait_s(ticket, ahead)
        if best is not None:
            wait_s = max(FAST_WAIT_S, wait_s)
        spare_s = self.spare_s(ticket, now)
        limit_s = wait_s + work_s - self.remote_cost_s(ticket)
        if spare_s < max(FAST_WAIT_S, wait_s):
            # Here it would be late, which costs more than a crossing.
            limit_s = max(limit_s, left_s - REMOTE_S)
        if self.may_ask(ticket, now) and limit_s > WORK_MARGIN * work_s:
            return AskElsewhere(ticket, limit_s)
        if len(self.queue) > MAX_WAITING or not self.servers:
            return self.refuse(ticket, 'no server', now, random)
        if spare_s > 0.0:
            if self.may_wait(ticket, wait_s, spare_s):
                return None
            self.overload.note(now)
            return self.refuse(ticket, 'overloaded', now, random)
        queued_s = self.expected_wait_s(ticket, ahead - 1)
        return self.decide_late(ticket, best, finish_s, queued_s, now, random)

    def spare_s(self, ticket: Ticket, now: float) -> float:
        """Returns how long a ticket may wait and still be in time."""
        work_s = self.work.typical_s(ticket)
        return ticket.need.objective_at - now - WORK_MARGIN * work_s

    def decide_late(
        self,
        ticket: Ticket,
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
        patience_s = ticket.need.deadline_at - now
        if best is not None and finish_s <= patience_s:
            last_chance = patience_s - finish_s < FAST_WAIT_S
            if last_chance or not is_passing_slow(best, now):
                return self.grant(ticket, best, finish_s, now)
        if self.overload.lasts(now):
            return self.refuse(ticket, 'overloaded', now, random)
        left_s = patience_s - self.work.typical_s(ticket)
        if not ticket.waits_late:
            ticket.waits_late = queued_s <= LATE_SHARE * left_s
        if ticket.waits_late and left_s > 0.0:
            return None
        return self.refuse(ticket, 'overloaded', now, random)

    def may_wait(self, ticket: Ticket, wait_s: float, spare_s: float) -> bool:
        """Tells whether a ticket that can be in time waits for a slot.

        The bound for a new ticket is below that for one that waits already,
        so that few are refused after they have waited.
        """
        if ticket.waits:
            return wait_s <= spare_s + PATIENCE * (
                ticket.need.objective_at - ticket.arrived_at
            )
        ticket.waits = wait_s <= ADMITTED_SHARE * spare_s
        return ticket.waits

    def may_ask(self, ticket: Ticket, now: float) -> bool:
        """Tells whether other failure domains may be asked for a ticket."""
        return self.others and now >= ticket.next_ask_at

    def remote_cost_s(self, ticket: Ticket) -> float:
        """Returns the delay that a server elsewhere has to save."""
        return REMOTE_S + REMOTE_S_PER_KB * ticket.need.kilobytes

    def end_asking(self, ticket: Ticket, now: float) -> None:
        """Takes in that no other failure domain had a better server."""
        ticket.asking = False
        ticket.next_ask_at = now + ASK_PAUSE_S

    def find_best(
        self, ticket: Ticket, work_s: float, now: float
    ) -> tuple[ServerSlots | None, float]:
        """Returns the best server with a free slot, and its finish."""
        best: ServerSlots | None = None
        best_s = float('inf')
        best_rank = float('inf')
        for server in self.servers.values():
            if (
                server.name in ticket.need.excluded
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
        self, server: ServerSlots, ticket: Ticket, now: float
    ) -> bool:
        """Tells whether a server's report is new enough to decide by."""
        if server.tells_load is False:
            return True
        oldest = self.asked_at - FRESH_S
        if now - ticket.arrived_at > FAR_WAIT_S:
            oldest = min(oldest, now - FAR_REPORT_S)
        return server.load_at >= oldest

    def grant(
        self, ticket: Ticket, server: ServerSlots, finish_s: float, now: float
    ) -> Grant:
        """Gives a ticket its slot."""
        expires_at = ticket.need.deadline_at + EXPIRY_SLACK_S
        server.leases[ticket.key] = Lease(now, expires_at, ticket.need.route)
        load = server.load
        return Grant(
            key=ticket.key,
            server=server.name,
            started_ms=server.record.started_ms,
            failure_domain=self.failure_domain,
            finish_s=finish_s,
            load_age_s=-1.0 if load is None else server.load_age_s(now),
            slowdown=0.0 if load is None else load.slowdown,
        )

    def refuse(
        self, ticket: Ticket, reason: str, now: float, random: Random
    ) -> Refusal:
        """Refuses with the time after which a slot is to be expected.

        That is when the backlog has been worked off, or when an overload is
        likely to have ended. The time is spread, so that refused callers
        come back apart.
        """
        wait_s = NO_SERVER_RETRY_AFTER_S
        if self.servers:
            ahead = len(self.queue)
            wait_s = self.expected_wait_s(ticket, ahead)
        wait_s = max(MIN_RETRY_AFTER_S, wait_s, self.overload.rest_s(now))
        wait_s *= random.uniform(1.0, 1.5)
        return Refusal(ticket.key, reason, wait_s, len(self.queue))

    def expected_wait_s(self, ticket: Ticket, ahead: int) -> float:
        """Returns the wait for a slot at a fast server.

        Args:
            ticket: The ticket.
            ahead: Tickets that are served before it.
        """
        return (ahead + 1) * self.work.mean_s(ticket) / self.fast_slots

    def count_fast_slots(self, now: float) -> float:
        """Returns the slots that are at fast servers, on average."""
        slots = sum(
            server.usable_slots
            for server in self.servers.values()
            if now >= server.blocked_until and not server.silent
        )
        return max(1.0, slots * self.fast_share)

    def note_speeds(self, now: float) -> None:
        """Follows the share of fast servers, which a moment says little of.

        All servers may be slow at once and fast again right after.
        """
        recent = [
            server.load.slowdown < SLOW_FACTOR
            for server in self.servers.values()
            if server.load is not None
            and server.load_age_s(now) <= SPEED_VALID_S
        ]
        passed_s = now - self.speeds_at
        self.speeds_at = now
        if recent:
            weight = min(1.0, passed_s / SPEED_MEAN_S)
            share = sum(recent) / len(recent)
            self.fast_share += weight * (share - self.fast_share)

    def report(self, report: Report, now: float) -> None:
        """Takes in how a lease ended."""
        server = self.servers.get(report.server)
        if server is None:
            return
        lease = server.release(report.key)
        server.note_result(report.result, now)
        if report.result is Result.ANSWERED and lease is not None:
            self.work.record(lease.route, report.duration_s)

    def take_back(self, grant: Grant) -> None:
        """Ends a lease that nobody waits for any more."""
        server = self.servers.get(grant.server)
        if server is not None:
            server.release(grant.key)


def rank_of(ticket: Ticket) -> tuple[int, float]:
    """Returns the order of a ticket among those that wait."""
    return ticket.need.priority, ticket.arrived_at
