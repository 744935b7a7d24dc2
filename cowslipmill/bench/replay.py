"""One service under load on simulated time, without processes or sockets.

Callers, servers whose speed shifts in milliseconds, and one of several ways
of placing requests are driven by one queue of events, so that a run repeats
and a simulated minute takes seconds.
"""

from heapq import heappop
from heapq import heappush
from itertools import count
from math import log
from random import Random
from typing import Protocol

from msgspec import Struct

# A server's speed is drawn anew after this time, as neighbours on its server
# come and go.
NOISE_S = 0.15
NOISE_SHARE = 0.25
NOISE_FACTOR = 5.0
# Relative spread of the time that work takes on a fast server.
WORK_SPREAD = 0.3
# Pause between two looks at what waits.
RECHECK_S = 0.02


class Scene(Struct, frozen=True):
    """What is played.

    Attributes:
        servers: Number of servers.
        slots: Requests that a server works on at the same time.
        work_s: Mean time that work takes on a fast server.
        objective_s: Latency within which an answer counts.
        deadline_s: How long a caller waits.
        retries: Times that a refused caller comes back.
    """

    servers: int
    slots: int
    work_s: float
    objective_s: float
    deadline_s: float
    retries: int = 0

    @property
    def capacity_per_s(self) -> float:
        """Requests that the servers can work off, slow times included."""
        slowdown = 1.0 + NOISE_SHARE * (NOISE_FACTOR - 1.0)
        return self.servers * self.slots / self.work_s / slowdown

    @property
    def fast_capacity_per_s(self) -> float:
        """Requests that could be worked off if no server were ever slow."""
        return self.servers * self.slots / self.work_s


class SimulatedServer:
    """One simulated server.

    Attributes:
        name: Its name.
        running: Requests at work.
        slow: Whether work that begins now takes longer.
        down: Whether it gives no answer.
    """

    __slots__ = ('down', 'name', 'running', 'slow')

    def __init__(self, name: str) -> None:
        """Starts idle and fast."""
        self.name = name
        self.running = 0
        self.slow = False
        self.down = False

    @property
    def slowdown(self) -> float:
        """Factor on work that begins now."""
        return NOISE_FACTOR if self.slow else 1.0


class Job:
    """One request of a caller.

    Attributes:
        number: Its number.
        arrived_at: When it came.
        first_at: When its caller first asked.
        retries: Times that its caller still comes back.
        work_s: Time that it takes on a fast server.
    """

    __slots__ = ('arrived_at', 'first_at', 'number', 'retries', 'work_s')

    def __init__(
        self,
        number: int,
        arrived_at: float,
        first_at: float,
        retries: int,
        work_s: float,
    ) -> None:
        """Keeps the parts."""
        self.number = number
        self.arrived_at = arrived_at
        self.first_at = first_at
        self.retries = retries
        self.work_s = work_s


class Started(Struct, frozen=True):
    """A job goes to a server."""

    job: Job
    server: SimulatedServer


class Refused(Struct, frozen=True):
    """A job is refused, with the time after which to come back."""

    job: Job
    retry_after_s: float


class Placement(Protocol):
    """A way of placing jobs at servers."""

    def take(self, job: Job, now: float) -> None:
        """Takes in a job that has come."""

    def end(self, job: Job, server: SimulatedServer, took_s: float) -> None:
        """Takes in that a job has ended at a server."""

    def decide(self, now: float) -> list[Started | Refused]:
        """Returns what is decided now."""


class Replay:
    """Plays one scene.

    Attributes:
        servers: The servers.
        latencies: Time to the answer of each served job, by its caller's
            first request.
        held: For each refusal how long the job was held.
        in_time: Answers within the objective by second.
    """

    def __init__(self, scene: Scene, seed: int) -> None:
        """Starts idle."""
        self.scene = scene
        self.random = Random(seed)
        self.servers = [
            SimulatedServer(f'server-{number}')
            for number in range(scene.servers)
        ]
        self.now = 0.0
        self.events: list[tuple[float, int, object]] = []
        self.order = count()
        self.numbers = count(1)
        self.latencies: list[float] = []
        self.held: list[float] = []
        self.in_time: dict[int, int] = {}

    def run(
        self, placement: Placement, seconds: float, rate_per_s: float
    ) -> None:
        """Goes on for some time with new callers at a rate."""
        end = self.now + seconds
        self.schedule(self.now, 'noise')
        self.schedule(self.now, 'recheck')
        self.schedule_arrival(rate_per_s)
        while self.events and self.events[0][0] < end:
            self.now, _, event = heappop(self.events)
            if event == 'arrival':
                self.schedule_arrival(rate_per_s)
                self.take_new(placement)
            elif event == 'recheck':
                self.schedule(self.now + RECHECK_S, 'recheck')
            elif event == 'noise':
                self.draw_noise()
            elif isinstance(event, Job):
                placement.take(event, self.now)
            elif isinstance(event, Started):
                self.finish(placement, event)
            self.decide(placement)
        self.events = [e for e in self.events if not isinstance(e[2], str)]
        self.now = end

    def schedule(self, at: float, event: object) -> None:
        """Has something happen at a time."""
        heappush(self.events, (at, next(self.order), event))

    def schedule_arrival(self, rate_per_s: float) -> None:
        """Has the next caller come."""
        pause_s = -log(1.0 - self.random.random()) / rate_per_s
        self.schedule(self.now + pause_s, 'arrival')

    def draw_noise(self) -> None:
        """Draws which servers are slow."""
        for server in self.servers:
            server.slow = self.random.random() < NOISE_SHARE
        self.schedule(self.now + NOISE_S, 'noise')

    def take_new(self, placement: Placement) -> None:
        """Has a new caller ask."""
        scene = self.scene
        spread = self.random.gauss(1.0, WORK_SPREAD)
        work_s = scene.work_s * max(0.3, spread)
        number = next(self.numbers)
        job = Job(number, self.now, self.now, scene.retries, work_s)
        placement.take(job, self.now)

    def decide(self, placement: Placement) -> None:
        """Carries out what is decided."""
        for decision in placement.decide(self.now):
            if isinstance(decision, Started):
                decision.server.running += 1
                self.start(decision)
            else:
                self.refuse(decision)

    def start(self, started: Started) -> None:
        """Begins a job at a server."""
        work_s = started.job.work_s * started.server.slowdown
        self.schedule(self.now + work_s, started)

    def refuse(self, refused: Refused) -> None:
        """Sends a caller away, who may come back."""
        job = refused.job
        self.held.append(self.now - job.arrived_at)
        back_at = self.now + refused.retry_after_s
        if job.retries and back_at < job.first_at + self.scene.deadline_s:
            again = Job(
                next(self.numbers),
                back_at,
                job.first_at,
                job.retries - 1,
                job.work_s,
            )
            self.schedule(back_at, again)

    def finish(self, placement: Placement, started: Started) -> None:
        """Ends a job."""
        started.server.running -= 1
        job = started.job
        placement.end(job, started.server, self.now - job.arrived_at)
        latency_s = self.now - job.first_at
        self.latencies.append(latency_s)
        if latency_s <= self.scene.objective_s:
            second = int(self.now)
            self.in_time[second] = self.in_time.get(second, 0) + 1

    def goodput(self, first: int, last: int) -> float:
        """Returns answers within the objective for each second."""
        total = sum(self.in_time.get(s, 0) for s in range(first, last))
        return total / (last - first)
