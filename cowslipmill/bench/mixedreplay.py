"""One service that several kinds of requests share, on simulated time.

Replays the loads of docs/design/hard-load.md: kinds that differ in work,
objective, deadline and urgency compete for servers that have too few slots.
Arrivals, work and slow periods depend on the seed alone, so that two ways of
placing requests get the same ones.
"""

from math import log
from random import Random

from msgspec import Struct

from cowslipmill.bench.replay import Job
from cowslipmill.bench.replay import NOISE_S
from cowslipmill.bench.replay import Placement
from cowslipmill.bench.replay import Refused
from cowslipmill.bench.replay import Replay
from cowslipmill.bench.replay import Scene
from cowslipmill.bench.replay import SimulatedServer
from cowslipmill.bench.replay import Started
from cowslipmill.bench.replay import WORK_SPREAD

# Share of the time for which each server is slow for `NOISE_S`.
SLOW_SHARE = 0.3
# A server with more than this share of its slots busy takes longer by the
# factor.
KNEE_SHARE = 0.8
KNEE_FACTOR = 1.7
# A cold server takes longer by this factor.
COLD_FACTOR = 2.0
# Between caller and host, both ways.
ROUND_TRIP_S = 0.016
# Callers honour `Retry-After` up to this share of their remaining time.
HONOURED_SHARE = 1 / 3
# Retries of a caller that doesn't honour `Retry-After`.
IMPATIENT_RETRIES = 3


class Kind(Struct, frozen=True):
    """One kind of requests.

    Attributes:
        name: Its name, which is that of its route.
        per_s: Requests a second while nothing special happens.
        work_s: Mean time that its work takes on a fast server, in seconds.
        objective_s: Latency within which a response has its full benefit.
        deadline_s: How long a caller waits.
        priority: Priority, 0 the most urgent.
        late_benefit: Benefit of a later response; 1.0 is the full benefit.
        retries: Times that a refused caller asks again.
    """

    name: str
    per_s: float
    work_s: float
    objective_s: float
    deadline_s: float
    priority: int
    late_benefit: float
    retries: int


class Load(Struct, frozen=True):
    """What happens in a replay between two times.

    Attributes:
        name: Its name.
        begins_s: When it begins, in seconds.
        ends_s: When it ends.
        factors: Factor on the arrivals of each kind; 1.0 for others.
        impatient_share: Share of callers that retry at once, at all times.
        cold: Whether all servers are cold.
        cold_per_s: Requests a second granted to a cold server.
        slow_share: Share of the servers that are slow throughout.
        slow_factor: Factor on the work of these.
    """

    name: str
    begins_s: float
    ends_s: float
    factors: dict[str, float] = {}
    impatient_share: float = 0.0
    cold: bool = False
    cold_per_s: float | None = None
    slow_share: float = 0.0
    slow_factor: float = 1.0


class Caller:
    """One caller and what became of its request.

    Attributes:
        kind: Kind of the request.
        first_at: When it first asked, in simulated seconds.
        work_s: Time that the request takes on a fast server.
        impatient: Whether it retries at once.
        started_at: When a server got the request; None if none did.
        answered_at: When it was answered; None if it wasn't.
        refused_at: When it was last refused; None if it wasn't.
    """

    __slots__ = (
        'answered_at',
        'first_at',
        'impatient',
        'kind',
        'refused_at',
        'started_at',
        'work_s',
    )

    def __init__(
        self, kind: Kind, first_at: float, work_s: float, impatient: bool
    ) -> None:
        """Creates a caller without an answer."""
        self.kind = kind
        self.first_at = first_at
        self.work_s = work_s
        self.impatient = impatient
        self.started_at: float | None = None
        self.answered_at: float | None = None
        self.refused_at: float | None = None

    @property
    def benefit(self) -> float:
        """Benefit of its response, 1.0 if it came within the objective."""
        if self.answered_at is None:
            return 0.0
        latency_s = self.answered_at - self.first_at
        if latency_s <= self.kind.objective_s:
            return 1.0
        return (
            self.kind.late_benefit
            if latency_s <= self.kind.deadline_s
            else 0.0
        )


class CallerJob(Job):
    """One request of a caller.

    Attributes:
        caller: The caller.
    """

    __slots__ = ('caller',)

    def __init__(
        self, number: int, arrived_at: float, retries: int, caller: Caller
    ) -> None:
        """Creates a request that arrives at a time."""
        super().__init__(
            number, arrived_at, caller.first_at, retries, caller.work_s
        )
        self.caller = caller


class MixedServer(SimulatedServer):
    """A server that may be slow for long and slows down when nearly full.

    Attributes:
        slots: Number of its slots.
        factor: Factor on work that begins now, without short slow periods.
        cold: Whether it is cold.
        most: Largest number of requests that it had at a time.
    """

    __slots__ = ('cold', 'factor', 'most', 'slots')

    def __init__(self, name: str, slots: int) -> None:
        """Starts idle and fast."""
        super().__init__(name)
        self.slots = slots
        self.factor = 1.0
        self.cold = False
        self.most = 0

    @property
    def slowdown(self) -> float:
        """Factor on work that begins now."""
        return super().slowdown * self.factor


class MixedReplay(Replay):
    """Plays one load on a service.

    Attributes:
        load: The load.
        kinds: Kinds of requests.
        seconds: Time for which callers arrive.
        callers: The callers, in the order of their first request.
        noise: Draws the short slow periods.
    """

    def __init__(
        self,
        kinds: tuple[Kind, ...],
        load: Load,
        *,
        servers: int,
        slots: int,
        seconds: float,
        seed: int,
    ) -> None:
        """Draws the callers of some seconds."""
        first = kinds[0]
        scene = Scene(
            servers, slots, first.work_s, first.objective_s, first.deadline_s
        )
        super().__init__(scene, seed)
        self.servers: list[SimulatedServer] = [
            MixedServer(f'server-{number}', slots) for number in range(servers)
        ]
        self.kinds = kinds
        self.load = load
        self.seconds = seconds
        self.noise = Random(seed + 1)
        self.callers = draw_callers(kinds, load, seconds, seed)
        for caller in self.callers:
            retries = caller.kind.retries
            if caller.impatient:
                retries = IMPATIENT_RETRIES
            number = next(self.numbers)
            job = CallerJob(number, caller.first_at, retries, caller)
            self.schedule(caller.first_at, job)

    @property
    def in_load(self) -> bool:
        """Whether the load is in progress."""
        return self.load.begins_s <= self.now < self.load.ends_s

    def schedule_arrival(self, rate_per_s: float) -> None:
        """Does nothing: all callers are drawn at the start."""

    def draw_noise(self) -> None:
        """Draws which servers are slow and applies the load to them."""
        slow_count = round(self.load.slow_share * len(self.servers))
        for index, server in enumerate(self.servers):
            assert isinstance(server, MixedServer)
            server.slow = self.noise.random() < SLOW_SHARE
            server.factor = 1.0
            server.cold = self.in_load and self.load.cold
            if server.cold:
                server.factor = COLD_FACTOR
            elif self.in_load and index < slow_count:
                server.factor = self.load.slow_factor
        self.schedule(self.now + NOISE_S, 'noise')

    def work_s(self, job: Job, server: SimulatedServer) -> float:
        """Returns how long a request takes that a server has just got."""
        duration_s = job.work_s * server.slowdown
        if server.running > KNEE_SHARE * self.scene.slots:
            duration_s *= KNEE_FACTOR
        return duration_s

    def start(self, started: Started) -> None:
        """Begins a request at a server."""
        job = started.job
        assert isinstance(job, CallerJob)
        job.caller.started_at = self.now
        server = started.server
        assert isinstance(server, MixedServer)
        server.most = max(server.most, server.running)
        duration_s = self.work_s(job, server)
        self.schedule(self.now + duration_s, started)

    def refuse(self, refused: Refused) -> None:
        """Refuses a caller, which may ask again."""
        job = refused.job
        assert isinstance(job, CallerJob)
        caller = job.caller
        caller.refused_at = self.now
        remaining_s = caller.first_at + caller.kind.deadline_s - self.now
        if not job.retries or remaining_s <= 0.0:
            return
        pause_s = min(refused.retry_after_s, HONOURED_SHARE * remaining_s)
        if caller.impatient:
            pause_s = 0.0
        back_at = self.now + pause_s + ROUND_TRIP_S
        number = next(self.numbers)
        again = CallerJob(number, back_at, job.retries - 1, caller)
        self.schedule(back_at, again)

    def finish(self, placement: Placement, started: Started) -> None:
        """Ends a request."""
        job = started.job
        assert isinstance(job, CallerJob)
        started.server.running -= 1
        job.caller.answered_at = self.now + ROUND_TRIP_S / 2
        placement.end(job, started.server, self.now - job.arrived_at)

    def play(self, placement: Placement) -> None:
        """Plays the load until the last caller has its answer."""
        longest_s = max(kind.deadline_s for kind in self.kinds)
        self.run(placement, self.seconds + 2 * longest_s, 0.0)


def draw_callers(
    kinds: tuple[Kind, ...], load: Load, seconds: float, seed: int
) -> list[Caller]:
    """Returns the callers of some seconds by the time of their request."""
    random = Random(seed)
    callers: list[Caller] = []
    for kind in kinds:
        peak = max(1.0, load.factors.get(kind.name, 1.0))
        at = 0.0
        while True:
            at -= log(1.0 - random.random()) / (peak * kind.per_s)
            spread = max(0.3, random.gauss(1.0, WORK_SPREAD))
            impatient = random.random() < load.impatient_share
            kept = random.random() * peak
            if at >= seconds:
                break
            if load.begins_s <= at < load.ends_s or kept < 1.0:
                work_s = kind.work_s * spread
                callers.append(Caller(kind, at, work_s, impatient))
    callers.sort(key=lambda caller: caller.first_at)
    return callers
