"""Many hosts' gossip in one event loop, over a simulated network."""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import Task
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random
from typing import Any

from cowslipmill.fleet.gossip import Gossip
from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import AskSnapshot
from cowslipmill.fleet.messages import Member
from cowslipmill.peers.link import Unreachable
from cowslipmill.view.view import View

DELAY_S = 0.001
SEEDS = 3

Address = tuple[str, int]
Handler = Callable[[Any, str], Awaitable[Any]]


class FakeRpc:
    """Calls between simulated hosts.

    Attributes:
        network: Finds the other hosts.
        name: This host's name.
        handlers: Message handlers by message type.
        peers: Addresses of the hosts that this one has a link to.
        sent: Number of messages sent, by type.
        snapshots_from: Addresses of the hosts asked for their view.
    """

    def __init__(self, network: 'FakeNetwork', name: str) -> None:
        """Starts without links."""
        self.network = network
        self.name = name
        self.handlers: dict[type, Handler] = {}
        self.peers: set[Address] = set()
        self.sent: Counter[str] = Counter()
        self.snapshots_from: list[Address] = []

    def register(self, message_type: type, handler: Handler) -> None:
        """Sets the handler of one message type."""
        self.handlers[message_type] = handler

    async def call(
        self, address: Address, message: Any, timeout_s: float
    ) -> Any:
        """Returns the other host's reply, or `Unreachable` if it is down."""
        self.peers.add(address)
        self.sent[type(message).__name__] += 1
        if isinstance(message, AskSnapshot):
            self.snapshots_from.append(address)
            await sleep(self.network.snapshot_s)
        await sleep(DELAY_S)
        other = self.network.hosts.get(address)
        if other is None:
            await sleep(timeout_s if self.network.silent else 0.0)
            return Unreachable('down')
        handler = other.rpc.handlers[type(message)]
        reply = await handler(message, self.name)
        await sleep(DELAY_S)
        return reply

    def send(self, member: Member, message: Any) -> bool:
        """Sends one message without a reply."""
        self.network.spawn(self.call(member.address, message, 0.0))
        return True

    def send_all(self, members: list[Member], message: Any) -> None:
        """Sends a message to several hosts."""
        for member in members:
            self.send(member, message)


class FakeNetwork:
    """Hosts that start at the same time.

    Attributes:
        hosts: Gossip of the hosts that are up, by address.
        seeds: Addresses of the seeds.
        tasks: Messages on their way.
        snapshot_s: Time that a view takes on its way, in seconds.
        silent: Whether hosts that are down don't respond at all, as without
            power, or refuse connections, as before their process listens.
    """

    def __init__(self) -> None:
        """Starts without hosts."""
        self.hosts: dict[Address, Gossip] = {}
        self.tasks: set[Task[Any]] = set()
        self.snapshot_s = 0.0
        self.silent = True
        self.seeds: tuple[Address, ...] = ()

    def spawn(self, work: Any) -> None:
        """Delivers a message in the background."""
        task = create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(
        self, count: int, domains: int, *, seeds_late_s: float = 0.0
    ) -> None:
        """Starts hosts, the first of which are the seeds.

        Args:
            count: Number of hosts, over all domains in turn.
            domains: Number of failure domains.
            seeds_late_s: How much later the seeds start, in seconds.
        """
        members = [
            Member(
                f'host-{number}',
                f'domain-{number % domains}',
                (f'10.0.{number // 250}.{number % 250}', 80),
                1,
            )
            for number in range(count)
        ]
        self.seeds = tuple(member.address for member in members[:SEEDS])
        for member in members[SEEDS:]:
            await self.start_host(member)
        await sleep(seeds_late_s)
        for member in members[:SEEDS]:
            await self.start_host(member)

    async def start_host(self, member: Member) -> Gossip:
        """Starts a host that knows the seeds only."""
        rpc: Any = FakeRpc(self, member.name)
        gossip = Gossip(
            MemberList(member),
            View(),
            rpc,
            self.seeds,
            lambda events, source: None,
            lambda name: None,
            get_running_loop().time,
            Random(member.name),
        )
        self.hosts[member.address] = gossip
        await gossip.start()
        return gossip

    def knows_all(self) -> bool:
        """Returns whether all hosts that are up know each other."""
        names = {g.member_list.own.name for g in self.hosts.values()}
        return all(
            names <= gossip.member_list.states.keys()
            for gossip in self.hosts.values()
        )

    def rpcs(self) -> list[FakeRpc]:
        """Returns the calls of the hosts."""
        rpcs: list[Any] = [gossip.rpc for gossip in self.hosts.values()]
        return rpcs

    async def stop(self) -> None:
        """Stops all hosts."""
        for gossip in self.hosts.values():
            await gossip.stop()
