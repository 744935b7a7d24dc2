"""Placement at servers whose speed shifts, against an oracle.

Simulated time: a quarter of the servers is five times slower for 150 ms at a
time. The oracle knows each server's occupancy and speed when it chooses.
"""

from collections.abc import Callable
from statistics import quantiles

from cowslipmill.bench.experiment import Context
from cowslipmill.bench.experiment import Result
from cowslipmill.bench.placements import HOSTS
from cowslipmill.bench.placements import Lending
from cowslipmill.bench.placements import Oracle
from cowslipmill.bench.placements import OwnCounts
from cowslipmill.bench.replay import Placement
from cowslipmill.bench.replay import Replay
from cowslipmill.bench.replay import Scene

# One failure domain's part of a service, at the sizes of the users.
SCENES = {
    'caroni': Scene(7, 6, 0.22, 0.6, 4.0, 2),
    'mtatsminda': Scene(7, 2, 0.09, 0.25, 1.2, 1),
}
ARMS: dict[str, Callable[[Replay], Placement]] = {
    'own-counts': OwnCounts,
    'lending': Lending,
    'oracle': Oracle,
}
CALM = 0.45
RUSH = 1.5
DEFAULT_SECONDS = 60.0
# The first answers of a rush still use the slots that were free before it.
SETTLING_S = 2
AT_ONCE_S = 0.02


async def run(context: Context) -> Result:
    """Measures each way of placing."""
    scene = SCENES[context.deployment]
    seconds = context.seconds or DEFAULT_SECONDS
    arms = {}
    for step, (name, make) in enumerate(ARMS.items()):
        context.progress(step / len(ARMS), name)
        arms[name] = measure(scene, make, seconds, context.seed)
    ours, oracle = arms['lending'], arms['oracle']
    figures = dict(ours)
    figures['p99_against_oracle'] = ours['calm_p99_ms'] / oracle['calm_p99_ms']
    figures['rush_goodput_against_oracle'] = (
        ours['rush_goodput'] / oracle['rush_goodput']
    )
    return Result(hosts=HOSTS, figures=figures, arms=arms)


def measure(
    scene: Scene,
    make: Callable[[Replay], Placement],
    seconds: float,
    seed: int,
) -> dict[str, float]:
    """Returns the figures of one way of placing, calm and in a rush."""
    calm = Replay(scene, seed)
    calm.run(make(calm), seconds, CALM * scene.capacity_per_s)
    rush = Replay(scene, seed)
    rush.run(make(rush), seconds, RUSH * scene.capacity_per_s)
    goodput = rush.goodput(SETTLING_S, int(seconds))
    percentiles = quantiles(calm.latencies, n=100)
    figures = {
        'calm_p50_ms': 1000 * percentiles[49],
        'calm_p99_ms': 1000 * percentiles[98],
        'rush_goodput': goodput / scene.capacity_per_s,
    }
    if rush.held:
        at_once = sum(held <= AT_ONCE_S for held in rush.held)
        figures['rush_refused_at_once'] = at_once / len(rush.held)
    return figures
