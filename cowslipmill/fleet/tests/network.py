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
    """

    def __init__(self, network: 'FakeNetwork', name: str) -> None:
        """Starts without links."""
        self.network = network
        self.name = name
        self.handlers: dict[type, Handler] = {}
        self.peers: set[Address] = set()
        self.sent: Counter[str] = Counter()

    def register(self, message_type: type, handler: Handler) -> None:
        """Sets the handler of one message type."""
        self.handlers[message_type] = handler

    async def call(
        self, address: Address, message: Any, timeout_s: float
    ) -> Any:
        """Returns the other host's reply, or `Unreachable` if it is down."""
        self.peers.add(address)
        self.sent[type(message).__name__] += 1
        await sleep(DELAY_S)
        other = self.network.hosts.get(address)
        if other is None:
            await sleep(timeout_s)
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
        tasks: Messages on their way.
    """

    def __init__(self) -> None:
        """Starts without hosts."""
        self.hosts: dict[Address, Gossip] = {}
        self.tasks: set[Task[Any]] = set()

    def spawn(self, work: Any) -> None:
        """Delivers a message in the background."""
        task = create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self, count: int, domains: int, *, down: int = 0) -> None:
        """Starts hosts, some of which don't come up.

        Args:
            count: Number of hosts, over all domains in turn.
            domains: Number of failure domains.
            down: Number of hosts known by name that stay down, after the
                seeds.
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
        seeds = tuple(member.address for member in members[:SEEDS])
        loop = get_running_loop()
        up = members[:SEEDS] + members[SEEDS + down :]
        for number, member in enumerate(up):
            rpc: Any = FakeRpc(self, member.name)
            gossip = Gossip(
                MemberList(member),
                View(),
                rpc,
                seeds,
                lambda events, source: None,
                lambda name: None,
                loop.time,
                Random(number),
            )
            self.hosts[member.address] = gossip
            if down:
                gossip.member_list.add(members)
        for gossip in list(self.hosts.values()):
            await gossip.start()

    async def add(self, name: str, domain: str) -> Gossip:
        """Starts one more host, which knows the seeds only."""
        first = next(iter(self.hosts.values()))
        member = Member(name, domain, ('10.9.9.9', 80), 1)
        rpc: Any = FakeRpc(self, name)
        gossip = Gossip(
            MemberList(member),
            View(),
            rpc,
            first.seeds,
            lambda events, source: None,
            lambda source: None,
            get_running_loop().time,
            Random(name),
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
