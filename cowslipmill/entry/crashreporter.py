"""Shares reports of requests that crash servers with the other entries."""

from asyncio import Event
from asyncio import sleep
from asyncio import timeout
from asyncio import timeout_at
from collections.abc import Callable
from random import Random

from cowslipmill.choice.server import Server
from cowslipmill.coordination.rendezvous import rank
from cowslipmill.entry.metrics import SUSPECT_REPORTS
from cowslipmill.entry.peering import Peering
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.suspects.messages import CompareSuspects
from cowslipmill.suspects.messages import SuspectUpdate
from cowslipmill.suspects.suspects import AdmissionDecision
from cowslipmill.suspects.suspects import SuspectRequests
from cowslipmill.suspects.suspects import Trial

# Timeout of a comparison with another entry; no request waits for it.
COMPARE_TIMEOUT_S = 0.6
# Longest time for which an entry that starts waits to be told of suspect
# requests. A running one replies within milliseconds once the link is up.
CATCH_UP_TIMEOUT_S = 3.0
CATCH_UP_INTERVAL_S = 0.05


class CrashReporter:
    """The suspect requests of this entry, synchronized with its peers.

    Attributes:
        name: Name of this entry.
        suspects: Crash reports by request.
        routing_state: The members of the deployment.
        peering: Messages to the other entries.
        clock: Returns monotonic seconds.
        caught_up: Set once this entry knows what was known before its start,
            or nobody can tell it.
        starting: Names of the entries that have replied that they don't know
            that themselves.
    """

    __slots__ = (
        'caught_up',
        'clock',
        'name',
        'peering',
        'routing_state',
        'starting',
        'suspects',
    )

    def __init__(
        self,
        name: str,
        routing_state: RoutingState,
        peering: Peering,
        clock: Callable[[], float],
    ) -> None:
        """Registers the handlers of crash reports and clearances."""
        self.name = name
        self.suspects = SuspectRequests()
        self.routing_state = routing_state
        self.peering = peering
        self.clock = clock
        self.caught_up = Event()
        self.starting: set[str] = set()
        peering.register(SuspectUpdate, self.on_update)
        peering.register(CompareSuspects, self.on_compare)

    def current_members(self) -> list[Member]:
        """Returns the entries that are not gone."""
        return [
            member
            for member in self.routing_state.members
            if member.state is not LifecycleState.GONE
        ]

    def find_owner(self, fingerprint: bytes) -> Member | None:
        """Returns the only entry that may run a suspect; None for this one."""
        members = {member.name: member for member in self.current_members()}
        names = rank(fingerprint.hex(), members)
        if not names or names[0] == self.name:
            return None
        return members[names[0]]

    def report_crash(self, fingerprint: bytes, server: Server) -> None:
        """Records a crash and broadcasts it to the other entries.

        Args:
            fingerprint: Hash of the request.
            server: The server that crashed while it had the request.
        """
        name = f'{server.name}/{server.record.incarnation}'
        SUSPECT_REPORTS.labels('crash').inc()
        if self.suspects.report_crash(fingerprint, name, self.clock()):
            self.broadcast(fingerprint)

    def check(self, fingerprint: bytes) -> AdmissionDecision:
        """Decides as the owner of a request whether it may be served now."""
        decision = self.suspects.check(fingerprint, self.clock())
        if isinstance(decision, Trial):
            self.broadcast(fingerprint)
        return decision

    def clear(self, fingerprint: bytes) -> None:
        """Clears a suspect request here and at the other entries."""
        if self.suspects.clear(fingerprint, self.clock()):
            SUSPECT_REPORTS.labels('cleared').inc()
            self.broadcast(fingerprint)

    def broadcast(self, fingerprint: bytes) -> None:
        """Tells every other entry what is known of a request."""
        summary = self.suspects.summary(fingerprint, self.clock())
        if summary is None:
            return
        for member in self.current_members():
            if member.name != self.name:
                self.peering.send(
                    member.peer_address, SuspectUpdate((summary,))
                )

    async def on_update(self, message: SuspectUpdate, peer: str) -> None:
        """Adds what another entry knows."""
        for summary in message.records:
            self.suspects.merge(summary, self.clock())

    async def catch_up(self, random: Random) -> None:
        """Learns what other entries knew before this one started.

        Sets `caught_up`, after `CATCH_UP_TIMEOUT_S` with a document at the
        latest.

        Args:
            random: Chooses the entries to ask.
        """
        while self.routing_state.document is None:
            await sleep(CATCH_UP_INTERVAL_S)
        try:
            async with timeout(CATCH_UP_TIMEOUT_S):
                while not self.caught_up.is_set():
                    await self.compare(random)
                    await sleep(CATCH_UP_INTERVAL_S)
        except TimeoutError:
            return
        finally:
            self.caught_up.set()

    async def wait_until_caught_up(self, deadline_at: float) -> bool:
        """Waits until requests can be checked.

        Args:
            deadline_at: Until when to wait, monotonic seconds.

        Returns:
            Whether they can be.
        """
        try:
            async with timeout_at(deadline_at):
                await self.caught_up.wait()
        except TimeoutError:
            return False
        return True

    async def compare(self, random: Random) -> None:
        """Learns from one random entry what this one has missed.

        Args:
            random: Chooses the entry.
        """
        others = [m for m in self.current_members() if m.name != self.name]
        asked = others
        if not self.caught_up.is_set():
            asked = [m for m in others if m.name not in self.starting]
        if not asked:
            if self.routing_state.members_told:
                self.caught_up.set()
            return
        member = random.choice(asked)
        reply = await self.peering.call(
            member.peer_address,
            CompareSuspects(self.suspects.digest()),
            COMPARE_TIMEOUT_S,
        )
        if not isinstance(reply, SuspectUpdate):
            return
        await self.on_update(reply, '')
        if reply.complete:
            self.caught_up.set()
        else:
            self.starting.add(member.name)

    async def on_compare(
        self, message: CompareSuspects, peer: str
    ) -> SuspectUpdate:
        """Replies with what another entry may have missed."""
        complete = self.caught_up.is_set()
        if message.digest == self.suspects.digest():
            return SuspectUpdate((), complete)
        records = self.suspects.shared_summaries(self.clock())
        return SuspectUpdate(records, complete)
