"""Runs one home: asks its servers, decides, and tells who waits."""

from asyncio import create_task
from asyncio import Event
from asyncio import FIRST_COMPLETED
from asyncio import Future
from asyncio import get_running_loop
from asyncio import Task
from asyncio import wait
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from cowslipmill.leasing.leaserequest import AskOtherDomains
from cowslipmill.leasing.leaserequest import Decision
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.prober import Prober
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.leasing.slots import ServerSlots

# How long a decision waits for the servers' loads; a server in the own
# failure domain answers in about 1.5 ms.
LOAD_WAIT_S = 0.005
# Pause after which waiting tickets are decided on again.
RECHECK_S = 0.02

Reply = Grant | Refusal
GiveBack = Callable[[LeaseRequest, Grant], None]
AskOthers = Callable[[LeaseRequest, float], Awaitable[Reply | None]]


class Coordinator:
    """Drives a home.

    Attributes:
        home: Its decisions.
        health_path: Path at which its servers tell their load.
        waiters: Replies that tickets wait for.
    """

    def __init__(
        self,
        home: SlotScheduler,
        prober: Prober,
        ask_others: AskOthers,
        give_back: GiveBack,
        clock: Callable[[], float],
        random: Random,
    ) -> None:
        """Starts without tickets."""
        self.home = home
        self.prober = prober
        self.ask_others = ask_others
        self.give_back = give_back
        self.clock = clock
        self.random = random
        self.health_path = '/'
        self.waiters: dict[LeaseKey, Future[Reply]] = {}
        self.wake = Event()
        self.task: Task[None] | None = None
        self.asking: set[Task[None]] = set()

    async def lend(self, ticket: LeaseRequest) -> Reply:
        """Returns the decision about a ticket once there is one."""
        waiter: Future[Reply] = get_running_loop().create_future()
        self.waiters[ticket.key] = waiter
        self.home.enqueue(ticket)
        self.start()
        try:
            return await waiter
        finally:
            self.waiters.pop(ticket.key, None)
            self.home.cancel(ticket.key)

    def start(self) -> None:
        """Has the waiting tickets decided on."""
        self.wake.set()
        if self.task is None or self.task.done():
            self.task = create_task(self.run())

    def report(self, report: Report) -> None:
        """Takes in how a lease ended."""
        self.home.record_result(report, self.clock())
        if self.home.queue:
            self.start()

    async def run(self) -> None:
        """Decides until no ticket waits."""
        while self.home.queue:
            self.wake.clear()
            asked_at = self.clock()
            await self.ask_servers()
            decisions = self.home.decide(
                self.clock(), self.random, asked_at=asked_at
            )
            for decision in decisions:
                self.deliver(decision)
            if self.home.queue and not self.wake.is_set():
                loop = get_running_loop()
                timer = loop.call_later(RECHECK_S, self.wake.set)
                await self.wake.wait()
                timer.cancel()

    async def ask_servers(self) -> None:
        """Asks servers for their load until enough is known to decide."""
        servers = self.home.servers_to_probe(self.clock(), self.random)
        if not servers:
            return
        end_at = self.clock() + LOAD_WAIT_S
        pending = {create_task(self.ask_server(s)) for s in servers}
        while pending:
            left_s = end_at - self.clock()
            if left_s <= 0.0:
                return
            _, pending = await wait(
                pending, timeout=left_s, return_when=FIRST_COMPLETED
            )
            if self.home.knows_enough(self.clock()):
                return

    async def ask_server(self, server: ServerSlots) -> None:
        """Asks one server."""
        await self.prober.probe(server, self.health_path)

    def deliver(self, decision: Decision) -> None:
        """Tells a decision to whom it concerns."""
        if isinstance(decision, AskOtherDomains):
            task = create_task(self.ask_elsewhere(decision))
            self.asking.add(task)
            task.add_done_callback(self.asking.discard)
            return
        waiter = self.waiters.get(decision.key)
        if waiter is not None and not waiter.done():
            waiter.set_result(decision)
        elif isinstance(decision, Grant):
            self.home.take_back(decision)

    async def ask_elsewhere(self, question: AskOtherDomains) -> None:
        """Asks other failure domains for a better server."""
        ticket = question.ticket
        reply = await self.ask_others(ticket, question.better_than_s)
        waiter = self.waiters.get(ticket.key)
        if isinstance(reply, Grant) and waiter and not waiter.done():
            self.home.cancel(ticket.key)
            waiter.set_result(reply)
            return
        if isinstance(reply, Grant):
            self.give_back(ticket, reply)
        self.home.end_asking(ticket, self.clock())
        self.start()
