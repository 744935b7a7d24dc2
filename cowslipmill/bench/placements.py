"""Ways of placing requests that a replay compares."""

from random import Random

from cowslipmill.bench.replay import Job
from cowslipmill.bench.replay import Refused
from cowslipmill.bench.replay import Replay
from cowslipmill.bench.replay import SimulatedServer
from cowslipmill.bench.replay import Started
from cowslipmill.leasing.leaserequest import AskOtherDomains
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.load import Load
from cowslipmill.leasing.requirements import Requirements
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.view.server import ServerRecord

HOSTS = 18
HOST = 'host-1'
SERVICE = 'registry'
ROUTE = 'read'
DOMAIN = 'domain-a'


class OwnCounts:
    """Each host sends at once to the server where it has the fewest.

    The former way of hosts that don't talk to each other. A server that is
    full queues what comes.
    """

    def __init__(self, replay: Replay) -> None:
        """Starts without requests."""
        self.replay = replay
        self.waiting: dict[str, list[Job]] = {
            server.name: [] for server in replay.servers
        }
        self.counts: dict[tuple[int, str], int] = {}
        self.hosts: dict[int, int] = {}

    def take(self, job: Job, now: float) -> None:
        """Chooses a server."""
        host = self.replay.random.randrange(HOSTS)
        server = min(
            self.replay.servers,
            key=lambda m: (
                self.counts.get((host, m.name), 0),
                self.replay.random.random(),
            ),
        )
        key = (host, server.name)
        self.counts[key] = self.counts.get(key, 0) + 1
        self.hosts[job.number] = host
        self.waiting[server.name].append(job)

    def end(self, job: Job, server: SimulatedServer, took_s: float) -> None:
        """Frees the host's place at the server."""
        self.counts[self.hosts.pop(job.number), server.name] -= 1

    def decide(self, now: float) -> list[Started | Refused]:
        """Has servers begin what they have queued."""
        decisions: list[Started | Refused] = []
        for server in self.replay.servers:
            queue = self.waiting[server.name]
            free = self.replay.scene.slots - server.running
            for job in queue[: max(0, free)]:
                decisions.append(Started(job, server))
            del queue[: max(0, free)]
        return decisions


class Oracle:
    """Knows each server's occupancy and speed at the moment of choice.

    It starts a job at the free server with the most slots left among the
    fast ones, and leaves slow servers alone while the job can still be in
    time at a fast one. It never refuses.
    """

    def __init__(self, replay: Replay) -> None:
        """Starts without requests."""
        self.replay = replay
        self.queue: list[Job] = []

    def take(self, job: Job, now: float) -> None:
        """Queues a job."""
        self.queue.append(job)

    def end(self, job: Job, server: SimulatedServer, took_s: float) -> None:
        """Needs no report."""

    def decide(self, now: float) -> list[Started | Refused]:
        """Starts what a fast server can take."""
        scene = self.replay.scene
        free = {
            server.name: scene.slots - server.running
            for server in self.replay.servers
            if not server.down and not server.slow
        }
        servers = {server.name: server for server in self.replay.servers}
        decisions: list[Started | Refused] = []
        # Jobs that can still be in time go before those that can't.
        self.queue.sort(
            key=lambda job: (
                now + scene.work_s > job.first_at + scene.objective_s,
                job.first_at,
            )
        )
        while self.queue and any(left > 0 for left in free.values()):
            name = max(free, key=lambda name: free[name])
            free[name] -= 1
            decisions.append(Started(self.queue.pop(0), servers[name]))
        return decisions


class Lending:
    """The home of this product, whose questions are answered at once."""

    def __init__(self, replay: Replay) -> None:
        """Starts a home of all servers."""
        self.replay = replay
        self.random = Random(1)
        self.jobs: dict[int, Job] = {}
        self.servers = {server.name: server for server in replay.servers}
        self.home = SlotScheduler(DOMAIN)
        self.asked = 0
        records = [
            ServerRecord(
                name=server.name,
                started_ms=1,
                service=SERVICE,
                address=('127.0.0.1', 1),
                failure_domain=DOMAIN,
                slots=replay.scene.slots,
                leaving=False,
                warm_up_s=0.0,
            )
            for server in replay.servers
        ]
        self.home.set_servers([(record, False) for record in records], 0.0)

    def take(self, job: Job, now: float) -> None:
        """Queues a ticket."""
        self.jobs[job.number] = job
        need = self.requirements(job, now)
        self.home.enqueue(LeaseRequest((HOST, job.number), need, now))

    def requirements(self, job: Job, now: float) -> Requirements:
        """Returns what a job requires of a server."""
        scene = self.replay.scene
        return Requirements(
            SERVICE,
            ROUTE,
            1,
            job.first_at + scene.objective_s,
            job.first_at + scene.deadline_s,
        )

    def report(self, known: ServerSlots, server: SimulatedServer) -> Load:
        """Returns the load report of a server."""
        return Load(server.running, 0, known.record.slots, server.slowdown)

    def end(self, job: Job, server: SimulatedServer, took_s: float) -> None:
        """Reports the end of a lease."""
        now = self.replay.now
        key = (HOST, job.number)
        lease = self.home.servers[server.name].leases.get(key)
        duration_s = now - lease.granted_at if lease else took_s
        report = Report(
            key, SERVICE, DOMAIN, server.name, LeaseResult.ANSWERED, duration_s
        )
        self.home.record_result(report, now)

    def decide(self, now: float) -> list[Started | Refused]:
        """Asks servers and has the home decide."""
        if not self.home.queue:
            return []
        for known in self.home.servers_to_probe(now, self.random):
            self.asked += 1
            server = self.servers[known.name]
            if server.down:
                known.record_probe_failure(now)
                continue
            known.record_load(self.report(known, server), now, now)
        decisions: list[Started | Refused] = []
        for decision in self.home.decide(now, self.random):
            if isinstance(decision, AskOtherDomains):
                continue
            job = self.jobs.pop(decision.key[1])
            if isinstance(decision, Grant):
                chosen = self.servers[decision.server]
                decisions.append(Started(job, chosen))
            else:
                decisions.append(Refused(job, decision.retry_after_s))
        return decisions
