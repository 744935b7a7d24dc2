"""Servers that turn cold in a soak."""

from asyncio import get_running_loop
from asyncio import sleep
from random import Random

from cowslipmill.soak.world import DOMAINS
from cowslipmill.soak.world import World

MAX_PAUSE_S = 2.5
COLD_S = (0.5, 3.0)


async def turn_servers_cold(world: World, seed: int) -> None:
    """Has one server or all of a failure domain turn cold now and then.

    Args:
        world: Where they are.
        seed: The soak's seed.
    """
    random = Random(f'coldness {seed}')
    while not world.ended:
        await sleep(random.uniform(0.0, MAX_PAUSE_S))
        backends = list(world.backends.values())
        first = random.randrange(len(backends))
        # Servers are in the failure domains in turn.
        chosen = random.choice(
            (backends[first : first + 1], backends[first % len(DOMAINS) :: 2])
        )
        for_s = random.uniform(*COLD_S)
        for backend in chosen:
            backend.warm_ups.begin(for_s, get_running_loop().time())
