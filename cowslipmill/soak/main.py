"""The program `cowslipmill-soak`: faults from outside on real hosts."""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import run as run_loop
from asyncio import sleep
from asyncio import Task
from pathlib import Path
from tempfile import TemporaryDirectory

from absl import flags

from cowslipmill.launch.checkout import export_sources
from cowslipmill.launch.checkout import production_commit
from cowslipmill.launch.launcher import Launcher
from cowslipmill.runtime.program import run_program
from cowslipmill.soak.coldness import turn_servers_cold
from cowslipmill.soak.plan import draw_link_cuts
from cowslipmill.soak.plan import draw_notices
from cowslipmill.soak.plan import draw_plan
from cowslipmill.soak.plan import draw_restores
from cowslipmill.soak.plan import LinkCut
from cowslipmill.soak.plan import Restore
from cowslipmill.soak.plan import ServerNotice
from cowslipmill.soak.plan import Step
from cowslipmill.soak.world import World

FLAGS = flags.FLAGS

# Time until hosts and callers are under way.
WARM_UP_S = 2.5
# Time for what was disturbed to be as before: a store that comes back, hosts
# that start again.
RECOVERY_S = 6.0
CALM_S = 2.0
# After the recovery nearly all is served: three servers of four slots each.
SERVED_SHARE = 0.95

flags.DEFINE_integer('seed', 1, 'First seed.')
flags.DEFINE_integer('seeds', 1, 'How many seeds to play.')
flags.DEFINE_float('seconds', 8.0, 'Time with faults.')
flags.DEFINE_integer('hosts', 4, 'Host processes.')
flags.DEFINE_integer('callers', 8, 'Callers.')
flags.DEFINE_bool(
    'upgrade',
    False,
    'Start the hosts on the build in production that the deploy file names,'
    ' replace them one after the other by this one, and back again.',
)
flags.DEFINE_string('logs', '', 'Folder that keeps the logs of failed seeds.')


class Outcome:
    """What a soak came to.

    Attributes:
        broken: Promises that were broken, one line each.
        asked: Attempts of callers.
        served_share: Share served after the recovery.
        logs: Logs of the hosts by name.
    """

    __slots__ = ('asked', 'broken', 'logs', 'served_share')

    def __init__(self) -> None:
        """Starts empty."""
        self.broken: list[str] = []
        self.asked = 0
        self.served_share = 0.0
        self.logs: dict[str, str] = {}


async def soak(
    seed: int,
    seconds: float,
    *,
    hosts: int = 4,
    callers: int = 8,
    production: Path | None = None,
) -> Outcome:
    """Plays one seed and returns what came of it.

    Args:
        seed: The seed.
        seconds: Length of the time with faults.
        hosts: Number of host processes.
        callers: Number of callers.
        production: Sources of a build that the hosts run at first; they are
            replaced one after the other by this build, and back again.
    """
    outcome = Outcome()
    loop = get_running_loop()
    with Launcher() as launcher:
        world = World(launcher, seed, production)
        try:
            await world.start(hosts, 6)
            world.spawn(world.keep_running())
            world.spawn(world.note_lateness())
            for number in range(callers):
                world.spawn(world.call(seed * 1_000 + number))
            await sleep(WARM_UP_S)
            world.limit_server(seed)
            crasher = create_task(world.crash_servers(seed))
            cooler: Task[None] | None = None
            if production is None:
                # The build in production neither limits cold servers nor
                # knows of evacuations.
                cooler = create_task(turn_servers_cold(world, seed))
                world.spawn(world.evacuate(seed))
            else:
                world.spawn(world.replace_builds(seconds))
            await play(
                world,
                draw_plan(seed, seconds),
                draw_link_cuts(seed, seconds, hosts),
                draw_notices(seed, seconds),
                draw_restores(seed, seconds),
            )
            crasher.cancel()
            if cooler is not None:
                cooler.cancel()
            await sleep(RECOVERY_S)
            calm_at = loop.time()
            await sleep(CALM_S)
            outcome.served_share = world.ledger.served_share(calm_at)
        finally:
            await world.stop()
        outcome.asked = len(world.ledger.asks)
        outcome.broken = world.ledger.check(list(world.backends.values()))
        outcome.logs = {h.name: launcher.read_log(h.name) for h in world.hosts}
    if outcome.served_share < SERVED_SHARE:
        share = round(outcome.served_share, 3)
        outcome.broken.append(f'only {share} served after the recovery')
    return outcome


async def play(
    world: World,
    steps: list[Step],
    cuts: list[LinkCut],
    notices: list[ServerNotice],
    restores: list[Restore],
) -> None:
    """Does the faults and cuts of a plan, each at its time.

    Args:
        world: Where they are done.
        steps: The faults.
        cuts: Hosts that lose their links to servers.
        notices: What servers ask for.
        restores: When the store comes back from older copies.
    """

    async def do_later(step: Step) -> None:
        await sleep(step.at_s)
        await world.do(step)

    async def cut_later(cut: LinkCut) -> None:
        await sleep(cut.at_s)
        await world.cut_links(cut)

    async def notify_later(notice: ServerNotice) -> None:
        await sleep(notice.at_s)
        await world.give_notice(notice)

    await gather(
        *(notify_later(notice) for notice in notices),
        *(world.restore_store(restore) for restore in restores),
        *(do_later(step) for step in steps),
        *(cut_later(cut) for cut in cuts),
    )


def keep_logs(folder: Path, seed: int, outcome: Outcome) -> None:
    """Writes the logs of a failed seed."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, text in outcome.logs.items():
        (folder / f'{seed}-{name}.log').write_text(text)


def main(arguments: list[str]) -> int:
    """Soaks real host processes under seeded faults."""
    with TemporaryDirectory(prefix='cowslipmill-') as directory:
        production = None
        if FLAGS.upgrade:
            production = export_sources(production_commit(), Path(directory))
        return soak_seeds(production)


def soak_seeds(production: Path | None) -> int:
    """Plays the seeds that the flags name and returns the exit status.

    Args:
        production: See `soak`.
    """
    failed = 0
    for seed in range(FLAGS.seed, FLAGS.seed + FLAGS.seeds):
        outcome = run_loop(
            soak(
                seed,
                FLAGS.seconds,
                hosts=FLAGS.hosts,
                callers=FLAGS.callers,
                production=production,
            )
        )
        share = round(outcome.served_share, 3)
        print(f'seed {seed}: {outcome.asked} asked, {share} served at the end')
        for line in outcome.broken:
            print(f'  broken: {line}', flush=True)
        if outcome.broken:
            failed += 1
            if FLAGS.logs:
                keep_logs(Path(FLAGS.logs), seed, outcome)
    return 1 if failed else 0


def run() -> None:
    """Runs the program."""
    run_program(main)


if __name__ == '__main__':
    run()
