"""Ways of placing the kinds of requests that share a service."""

from cowslipmill.bench.mixedreplay import CallerJob
from cowslipmill.bench.mixedreplay import COLD_FACTOR
from cowslipmill.bench.mixedreplay import MixedReplay
from cowslipmill.bench.mixedreplay import MixedServer
from cowslipmill.bench.placements import Lending
from cowslipmill.bench.placements import SERVICE
from cowslipmill.bench.replay import Job
from cowslipmill.bench.replay import Refused
from cowslipmill.bench.replay import SimulatedServer
from cowslipmill.bench.replay import Started
from cowslipmill.leasing.load import Load
from cowslipmill.leasing.ratelimits import COORDINATOR_SHARES
from cowslipmill.leasing.requirements import Requirements
from cowslipmill.leasing.slots import ServerSlots


class MixedLending(Lending):
    """The coordinator of this product with kinds of requests.

    Attributes:
        mixed: The replay.
    """

    def __init__(self, replay: MixedReplay, *, weighs_cost: bool) -> None:
        """Starts a coordinator of all servers.

        Args:
            replay: The replay.
            weighs_cost: Whether it decides by what delays cost callers.
        """
        super().__init__(replay)
        self.mixed = replay
        self.home.weighs_cost = weighs_cost

    def requirements(self, job: Job, now: float) -> Requirements:
        """Returns what a request requires of a server."""
        assert isinstance(job, CallerJob)
        kind = job.caller.kind
        return Requirements(
            SERVICE,
            kind.name,
            kind.priority,
            job.first_at + kind.objective_s,
            job.first_at + kind.deadline_s,
            asked_before_s=now - job.first_at,
        )

    def report(self, known: ServerSlots, server: SimulatedServer) -> Load:
        """Returns the load report of a server, which doesn't count warm-up."""
        assert isinstance(server, MixedServer)
        slowdown = server.slowdown
        if server.cold:
            slowdown /= COLD_FACTOR
        return Load(server.running, 0, known.record.slots, slowdown)

    def decide(self, now: float) -> list[Started | Refused]:
        """Limits cold servers and decides."""
        if self.mixed.load.cold_per_s is not None:
            per_s = self.mixed.load.cold_per_s if self.mixed.in_load else None
            share, max_tokens = COORDINATOR_SHARES[0]
            for server in self.home.servers.values():
                if per_s is not None:
                    server.warm_up.first_until = self.mixed.load.ends_s
                limit = None if per_s is None else share * per_s
                server.limit_rate(limit, max_tokens, now)
        return super().decide(now)
