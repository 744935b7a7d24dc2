"""Lends this host's servers and borrows from other hosts' homes."""

from collections.abc import Callable
from itertools import count
from random import Random

from cowslipmill.fleet.messages import AskLease
from cowslipmill.fleet.messages import CancelLease
from cowslipmill.fleet.roster import Roster
from cowslipmill.fleet.rpc import Rpc
from cowslipmill.lending.borrower import Borrower
from cowslipmill.lending.desk import Desk
from cowslipmill.lending.desk import Reply
from cowslipmill.lending.home import Home
from cowslipmill.lending.need import Need
from cowslipmill.lending.prober import Prober
from cowslipmill.lending.ticket import Grant
from cowslipmill.lending.ticket import Refusal
from cowslipmill.lending.ticket import Report
from cowslipmill.lending.ticket import Result
from cowslipmill.lending.ticket import Ticket
from cowslipmill.lending.ticket import TicketKey
from cowslipmill.view.view import View

# Homes that may be tried for one request before this host goes on alone.
MAX_HOMES_TRIED = 2


class Lender:
    """Finds the home of a service, here or at another host.

    Attributes:
        desks: This host's homes by service and failure domain.
        view: What is in force.
        roster: The hosts known.
        rpc: Calls between hosts.
        prober: Asks servers for their load.
        borrower: Asks other hosts' homes.
    """

    def __init__(
        self,
        view: View,
        roster: Roster,
        rpc: Rpc,
        prober: Prober,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Registers the handlers of its messages."""
        self.view = view
        self.roster = roster
        self.rpc = rpc
        self.prober = prober
        self.borrower = Borrower(roster, rpc, clock)
        self.clock = clock
        self.random = random
        self.desks: dict[tuple[str, str], Desk] = {}
        self.synced: dict[tuple[str, str], int] = {}
        self.numbers = count(roster.own.started_ms * 1000)
        rpc.register(AskLease, self.take_ask)
        rpc.register(CancelLease, self.take_cancel)
        rpc.register(Report, self.take_report)

    @property
    def domain(self) -> str:
        """This host's failure domain."""
        return self.roster.own.failure_domain

    def desk(self, service: str, failure_domain: str) -> Desk:
        """Returns this host's home of a service, with its present servers."""
        key = (service, failure_domain)
        desk = self.desks.get(key)
        if desk is None:
            desk = Desk(
                Home(failure_domain),
                self.prober,
                self.ask_others,
                self.give_back,
                self.clock,
                self.random,
            )
            self.desks[key] = desk
        if self.synced.get(key) != self.view.changes:
            self.synced[key] = self.view.changes
            self.sync(desk, service, failure_domain)
        return desk

    def sync(self, desk: Desk, service: str, failure_domain: str) -> None:
        """Sets the servers of a home by the view."""
        known = self.view.serving(service)
        desk.home.set_servers(
            (
                (entry.record, entry.lapsed_at is not None)
                for entry in known
                if entry.record.failure_domain == failure_domain
            ),
            self.clock(),
        )
        desk.home.others = failure_domain == self.domain and any(
            entry.record.failure_domain != failure_domain for entry in known
        )
        configured = self.view.services.get(service)
        if configured is not None:
            desk.health_path = configured.health_path

    async def acquire(self, need: Need) -> Grant | Refusal:
        """Returns a slot at a server, or why there is none."""
        key: TicketKey = (self.roster.own.name, next(self.numbers))
        domain = self.choose_domain(need.service)
        order = self.roster.order(need.service, domain, self.clock())
        for home in order[:MAX_HOMES_TRIED]:
            if home.name == self.roster.own.name:
                break
            reply = await self.borrower.borrow(key, need, home, domain)
            if reply is not None:
                return reply
        return await self.lend(key, need, domain)

    def choose_domain(self, service: str) -> str:
        """Returns the failure domain whose servers are asked for.

        It is the own one, unless that has no server of the service.
        """
        for entry in self.view.serving(service):
            if entry.record.failure_domain == self.domain:
                return self.domain
        others = self.other_domains(service)
        return others[0] if others else self.domain

    async def lend(
        self, key: TicketKey, need: Need, failure_domain: str
    ) -> Grant | Refusal:
        """Has this host's own home decide."""
        ticket = Ticket(key, need, self.clock())
        return await self.desk(need.service, failure_domain).lend(ticket)

    async def ask_others(
        self, ticket: Ticket, better_than_s: float
    ) -> Grant | None:
        """Asks the homes of other failure domains for a better server."""
        need = ticket.need.with_limit(better_than_s)
        for domain in self.other_domains(need.service):
            reply = await self.ask_domain(ticket.key, need, domain)
            if isinstance(reply, Grant):
                return reply
        return None

    def other_domains(self, service: str) -> list[str]:
        """Returns the other failure domains, drawn by their servers."""
        counts: dict[str, int] = {}
        for entry in self.view.serving(service):
            domain = entry.record.failure_domain
            if domain != self.domain:
                counts[domain] = counts.get(domain, 0) + entry.record.slots
        return sorted(
            counts,
            key=lambda name: self.random.random() ** (1 / counts[name]),
            reverse=True,
        )

    async def ask_domain(
        self, key: TicketKey, need: Need, failure_domain: str
    ) -> Grant | Refusal | None:
        """Asks the home of one other failure domain.

        Servers of a domain without a host in reach are lent from here.
        """
        now = self.clock()
        order = self.roster.order(need.service, failure_domain, now)
        if not order:
            return await self.lend(key, need, failure_domain)
        return await self.borrower.ask(key, need, order[0], failure_domain)

    def give_back(self, ticket: Ticket, grant: Grant) -> None:
        """Gives back a lease that wasn't used."""
        self.release(ticket.need.service, grant, Result.UNUSED, 0.0)

    def release(
        self,
        service: str,
        grant: Grant,
        result: Result,
        duration_s: float,
    ) -> None:
        """Tells the home that granted a lease how it ended."""
        report = Report(
            key=grant.key,
            service=service,
            failure_domain=grant.failure_domain,
            server=grant.server,
            result=result,
            duration_s=round(duration_s, 4),
        )
        if not grant.home[0]:
            self.desk(service, grant.failure_domain).report(report)
            return
        for member in self.roster.members():
            if member.address == grant.home:
                self.rpc.send(member, report)
                return

    async def take_ask(self, message: AskLease, name: str) -> Reply:
        """Decides about another host's ticket."""
        now = self.clock()
        need = Need(
            message.service,
            message.route,
            message.priority,
            now + message.objective_s,
            now + message.deadline_s,
            kilobytes=message.kilobytes,
            excluded=message.excluded,
            better_than_s=message.better_than_s,
        )
        return await self.lend(message.key, need, message.failure_domain)

    async def take_cancel(self, message: CancelLease, name: str) -> None:
        """Drops a ticket, or ends the lease that it got."""
        desk = self.desk(message.service, message.failure_domain)
        waiter = desk.waiters.get(message.key)
        if waiter is not None and not waiter.done():
            waiter.cancel()
        for server in desk.home.servers.values():
            server.release(message.key)

    async def take_report(self, message: Report, name: str) -> None:
        """Takes in how a lease of this host's home ended."""
        desk = self.desk(message.service, message.failure_domain)
        desk.report(message)
