"""The services and loads of docs/design/hard-load.md, and their outcomes."""

from collections.abc import Iterable
from collections.abc import Sequence

from msgspec import Struct

from cowslipmill.bench.clairvoyant import play_clairvoyant
from cowslipmill.bench.mixedplacements import MixedLending
from cowslipmill.bench.mixedreplay import Caller
from cowslipmill.bench.mixedreplay import Kind
from cowslipmill.bench.mixedreplay import Load
from cowslipmill.bench.mixedreplay import MixedReplay
from cowslipmill.bench.mixedreplay import MixedServer

# Share of the usable slots that the work of a service takes before a load
# begins. At the rates of the page's table the loads would not exceed the
# capacity of the servers of one failure domain.
BASE_SHARE = 0.65
# Time before a load, in seconds, for the averages of a coordinator.
LEAD_S = 4.0
# Time after a load until the last callers arrive.
TAIL_S = 4.0
# The order by priority and age, the decision by cost to callers, and the
# scheduler that knows everything.
WAYS = ('old', 'new', 'bound')
# Requests a second that a cold server of deployment A withstands.
COLD_PER_S = 3.6


class MixedService(Struct, frozen=True):
    """The servers of one failure domain and the kinds that share them.

    Attributes:
        name: Its name.
        servers: Number of servers.
        slots: Slots of each server.
        kinds: Kinds of requests, with the rates of the page's table.
        spike: Kind that the bursts are of.
    """

    name: str
    servers: int
    slots: int
    kinds: tuple[Kind, ...]
    spike: str


# Servers of one of three failure domains; catalogue and tilesvc have fewer
# than in the table, so that a coordinator gets no more than 150 requests a
# second.
IMAGING = MixedService(
    'imaging',
    9,
    4,
    (
        Kind('queries', 66.0, 0.14, 0.509, 1.909, 0, 1 / 25, 1),
        Kind('downloads', 37.0, 0.28, 3.324, 4.432, 2, 1 / 7, 1),
    ),
    'queries',
)
CATALOGUE = MixedService(
    'catalogue',
    28,
    4,
    (
        Kind('lookups', 274.0, 0.35, 0.912, 3.418, 1, 0.1, 1),
        Kind('orders', 84.0, 0.45, 1.312, 4.373, 1, 0.1, 1),
    ),
    'lookups',
)
TILES = MixedService(
    'tilesvc',
    16,
    2,
    (
        Kind('reads', 236.0, 0.14, 0.575, 4.598, 2, 0.1, 2),
        Kind('uploads', 23.0, 0.178, 1.452, 9.439, 1, 0.1, 2),
    ),
    'reads',
)
SERVICES = (IMAGING, CATALOGUE, TILES)


def make_loads(service: MixedService) -> list[Load]:
    """Returns the loads of the page for a service."""
    names = [kind.name for kind in service.kinds]
    loss = dict.fromkeys(names, 1.5)
    burst = {service.spike: 2.5}
    other = {name: 2.5 for name in names if name != service.spike}
    return [
        Load('calm', LEAD_S, LEAD_S + 5.0),
        Load('burst', LEAD_S, LEAD_S + 5.0, burst),
        Load('burst of the other kind', LEAD_S, LEAD_S + 5.0, other),
        Load(
            'impatient callers',
            LEAD_S,
            LEAD_S + 5.0,
            burst,
            impatient_share=0.3,
        ),
        Load('loss of a failure domain', LEAD_S, LEAD_S + 5.5, loss),
        Load(
            'cold servers',
            LEAD_S,
            LEAD_S + 3.0,
            cold=True,
            cold_per_s=COLD_PER_S,
        ),
        Load(
            'a fifth slow',
            LEAD_S,
            LEAD_S + 7.0,
            dict.fromkeys(names, 1.25),
            slow_share=0.2,
            slow_factor=8.0,
        ),
    ]


def scaled_kinds(service: MixedService) -> tuple[Kind, ...]:
    """Returns the kinds of a service at rates of `BASE_SHARE`."""
    usable = service.slots if service.slots < 4 else int(0.8 * service.slots)
    work = sum(kind.per_s * kind.work_s for kind in service.kinds)
    scale = BASE_SHARE * service.servers * usable / work
    if service.slots < 4:
        # Both slots busy cost more than what they earn in speed.
        scale /= 1.7
    return tuple(
        Kind(
            kind.name,
            scale * kind.per_s,
            kind.work_s,
            kind.objective_s,
            kind.deadline_s,
            kind.priority,
            kind.late_benefit,
            kind.retries,
        )
        for kind in service.kinds
    )


class KindOutcome(Struct, frozen=True):
    """What became of the callers of one kind.

    Attributes:
        benefit: Share of the full benefit.
        in_time: Share that was answered within the objective.
        served: Share that was answered.
        wait_p99_s: 99th percentile of the time until a server got it.
        refused: Share that was refused at last.
        refused_after_s: 90th percentile of the time until that.
    """

    benefit: float
    in_time: float
    served: float
    wait_p99_s: float
    refused: float
    refused_after_s: float


class LoadOutcome(Struct, frozen=True):
    """Outcome of one load under one way of deciding.

    Attributes:
        benefit: Share of the full benefit of all callers.
        overfull: Whether a server ever had more requests than slots.
        kinds: Outcome by kind.
    """

    benefit: float
    overfull: bool
    kinds: dict[str, KindOutcome]


def make_replay(service: MixedService, load: Load, seed: int) -> MixedReplay:
    """Returns a replay that has not been played."""
    return MixedReplay(
        scaled_kinds(service),
        load,
        servers=service.servers,
        slots=service.slots,
        seconds=load.ends_s + TAIL_S,
        seed=seed,
    )


def play_way(
    service: MixedService, load: Load, way: str, seed: int
) -> MixedReplay:
    """Returns a replay that was played in one of `WAYS`."""
    if way == 'bound':
        return play_clairvoyant(lambda: make_replay(service, load, seed))
    replay = make_replay(service, load, seed)
    replay.play(MixedLending(replay, weighs_cost=way == 'new'))
    return replay


def play(
    service: MixedService, load: Load, way: str, seeds: Iterable[int]
) -> LoadOutcome:
    """Plays a load several times and returns the outcome over all."""
    callers: list[Caller] = []
    overfull = False
    for seed in seeds:
        replay = play_way(service, load, way, seed)
        # Callers of the time before the load are alike for all ways.
        callers += [c for c in replay.callers if c.first_at >= load.begins_s]
        overfull |= any(
            isinstance(server, MixedServer) and server.most > server.slots
            for server in replay.servers
        )
    kinds = {
        kind.name: summarize([c for c in callers if c.kind.name == kind.name])
        for kind in service.kinds
    }
    benefit = sum(caller.benefit for caller in callers) / len(callers)
    return LoadOutcome(benefit, overfull, kinds)


def play_groups(
    service: MixedService, load: Load, seeds: Iterable[int]
) -> dict[bool, float]:
    """Returns the share of benefit by whether callers retry at once.

    They are decided on by what delays and refusals cost callers.
    """
    benefits: dict[bool, list[float]] = {False: [], True: []}
    for seed in seeds:
        for caller in play_way(service, load, 'new', seed).callers:
            if load.begins_s <= caller.first_at < load.ends_s:
                benefits[caller.impatient].append(caller.benefit)
    return {key: sum(b) / len(b) for key, b in benefits.items()}


def summarize(callers: Sequence[Caller]) -> KindOutcome:
    """Returns what became of callers."""
    waits: list[float] = []
    refusals: list[float] = []
    for caller in callers:
        if caller.started_at is not None:
            waits.append(caller.started_at - caller.first_at)
        elif caller.refused_at is not None:
            refusals.append(caller.refused_at - caller.first_at)
    count = len(callers)
    in_time = sum(caller.benefit == 1.0 for caller in callers)
    served = sum(caller.benefit > 0.0 for caller in callers)
    return KindOutcome(
        sum(caller.benefit for caller in callers) / count,
        in_time / count,
        served / count,
        quantile(waits, 0.99),
        len(refusals) / count,
        quantile(refusals, 0.9),
    )


def quantile(values: list[float], share: float) -> float:
    """Returns a quantile of values; 0.0 of none."""
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]
