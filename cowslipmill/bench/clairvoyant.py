"""A scheduler that knows every arrival, its work and every slow period.

It is the bound for decisions that have to be made without that knowledge. It
plays the same load again and again: where requests were late, it leaves out
the ones that need the most work among those that arrived while others waited,
also those that it had served before (Moore and Hodgson's rule in hindsight).
"""

from collections.abc import Callable
from collections.abc import Iterable
from heapq import heappop
from heapq import heappush

from cowslipmill.bench.mixedreplay import Caller
from cowslipmill.bench.mixedreplay import CallerJob
from cowslipmill.bench.mixedreplay import COLD_FACTOR
from cowslipmill.bench.mixedreplay import KNEE_FACTOR
from cowslipmill.bench.mixedreplay import KNEE_SHARE
from cowslipmill.bench.mixedreplay import MixedReplay
from cowslipmill.bench.mixedreplay import ROUND_TRIP_S
from cowslipmill.bench.replay import Job
from cowslipmill.bench.replay import NOISE_FACTOR
from cowslipmill.bench.replay import Refused
from cowslipmill.bench.replay import SimulatedServer
from cowslipmill.bench.replay import Started
from cowslipmill.leasing.ratelimits import COORDINATOR_SHARES
from cowslipmill.leasing.ratelimits import RateBucket

# Plays of one load; the benefit changes by less than 0.01 after these.
ITERATIONS = 14
# Part of the late requests that is made up for in one iteration, since work
# left out early helps several of them.
STEP_SHARE = 0.5
# Servers with fewer slots are worth filling in spite of their slowdown.
MIN_SLOTS_FOR_KNEE = 4


class HindsightPlacement:
    """Starts chosen requests by the latest start that meets the objective.

    Others get the slots that these leave, the least work first.

    Attributes:
        replay: The replay.
        left_out: Numbers of the callers that are not chosen, in order of
            arrival.
        chosen: Heap of the chosen requests by their latest start.
        spare: Heap of the others by their work.
        late: Number of chosen requests that could not start in time, in the
            busy period.
        busy_since: Since when chosen requests have been waiting.
        periods: Busy periods: begin, end and number of late requests.
        buckets: Limits of cold servers by name.
    """

    def __init__(self, replay: MixedReplay, left_out: set[int]) -> None:
        """Starts without requests."""
        self.replay = replay
        self.left_out = left_out
        self.chosen: list[tuple[float, int, Job]] = []
        self.spare: list[tuple[bool, float, int, Job]] = []
        self.late = 0
        self.busy_since: float | None = None
        self.periods: list[tuple[float, float, int]] = []
        self.buckets: dict[str, RateBucket] = {}

    def take(self, job: Job, now: float) -> None:
        """Takes in a request."""
        if job.number in self.left_out:
            heappush(self.spare, (False, job.work_s, job.number, job))
            return
        latest = self.latest_start(job)
        heappush(self.chosen, (latest, job.number, job))

    def end(self, job: Job, server: SimulatedServer, took_s: float) -> None:
        """Needs no report."""

    def decide(self, now: float) -> list[Started | Refused]:
        """Starts what fast servers can take."""
        while self.chosen and self.chosen[0][0] < now:
            _, number, job = heappop(self.chosen)
            self.late += 1
            heappush(self.spare, (True, job.work_s, number, job))
        decisions: list[Started | Refused] = []
        added: dict[str, int] = {}
        while self.chosen or self.spare:
            server = self.find_server(added, now)
            if server is None:
                break
            found = self.next_job(now)
            if found is None:
                break
            added[server.name] = added.get(server.name, 0) + 1
            self.spend(server)
            decisions.append(Started(found, server))
        self.update_period(now)
        return decisions

    def next_job(self, now: float) -> Job | None:
        """Returns the request that starts next; None if there is none."""
        if self.chosen:
            return heappop(self.chosen)[2]
        while self.spare:
            late, work_s, number, job = heappop(self.spare)
            if not late and self.latest_start(job) < now:
                heappush(self.spare, (True, work_s, number, job))
                continue
            assert isinstance(job, CallerJob)
            if now + work_s <= job.first_at + job.caller.kind.deadline_s:
                return job
        return None

    def find_server(
        self, added: dict[str, int], now: float
    ) -> SimulatedServer | None:
        """Returns the fast server with the fewest requests, if one is free."""
        best: SimulatedServer | None = None
        fewest = usable_slots(self.replay.scene.slots)
        for server in self.replay.servers:
            running = server.running + added.get(server.name, 0)
            if running >= fewest or server.slowdown >= NOISE_FACTOR:
                continue
            if self.has_token(server, now):
                best, fewest = server, running
        return best

    def has_token(self, server: SimulatedServer, now: float) -> bool:
        """Returns whether the limit of a cold server permits a request."""
        load = self.replay.load
        if load.cold_per_s is None or not self.replay.in_load:
            return True
        bucket = self.buckets.get(server.name)
        if bucket is None:
            share, max_tokens = COORDINATOR_SHARES[0]
            bucket = self.buckets[server.name] = RateBucket(now)
            bucket.set_rate(share * load.cold_per_s, max_tokens, now)
        return bucket.available(now) > 0

    def spend(self, server: SimulatedServer) -> None:
        """Takes the token of a request at a limited server."""
        if server.name in self.buckets:
            self.buckets[server.name].spend()

    def latest_start(self, job: Job) -> float:
        """Returns the latest start that meets the objective."""
        assert isinstance(job, CallerJob)
        factor = 1.0
        if self.replay.scene.slots < MIN_SLOTS_FOR_KNEE:
            factor *= KNEE_FACTOR
        if self.replay.load.cold and self.replay.in_load:
            factor *= COLD_FACTOR
        objective_s = job.caller.kind.objective_s - ROUND_TRIP_S / 2
        return job.first_at + objective_s - factor * job.work_s

    def update_period(self, now: float) -> None:
        """Records when chosen requests begin or cease to wait."""
        if self.chosen and self.busy_since is None:
            self.busy_since = now
        elif not self.chosen and self.busy_since is not None:
            if self.late:
                self.periods.append((self.busy_since, now, self.late))
            self.busy_since = None
            self.late = 0


def usable_slots(slots: int) -> int:
    """Returns how many requests a server is given at a time."""
    if slots < MIN_SLOTS_FOR_KNEE:
        return slots
    return int(KNEE_SHARE * slots)


def play_clairvoyant(make: Callable[[], MixedReplay]) -> MixedReplay:
    """Returns the replay with the most benefit that was found.

    Args:
        make: Returns the replay, not yet played.
    """
    left_out: set[int] = set()
    best, best_benefit = make(), -1.0
    for _ in range(ITERATIONS):
        replay = make()
        placement = HindsightPlacement(replay, left_out)
        replay.play(placement)
        benefit = sum(caller.benefit for caller in replay.callers)
        if benefit > best_benefit:
            best, best_benefit = replay, benefit
        if not placement.periods:
            break
        for begin, end, late in placement.periods:
            leave_out(left_out, replay.callers, begin, end, late)
    return best


def leave_out(
    left_out: set[int],
    callers: Iterable[Caller],
    begin: float,
    end: float,
    late: int,
) -> None:
    """Leaves out the largest requests that arrived in a busy period.

    Args:
        left_out: Numbers of the callers left out, which are added to.
        callers: The callers, of which the first has the number 1.
        begin: Begin of the period, in simulated seconds.
        end: Its end.
        late: Number of requests that were late in it.
    """
    candidates = [
        (caller.work_s, number)
        for number, caller in enumerate(callers, 1)
        if begin <= caller.first_at <= end and number not in left_out
    ]
    candidates.sort(reverse=True)
    count = max(1, int(STEP_SHARE * late))
    left_out.update(number for _, number in candidates[:count])
