"""What every experiment gets and gives back."""

from collections.abc import Callable

from aiohttp import ClientSession

from cowslipmill.bench.recorder import Recorder
from cowslipmill.launch.launcher import Launcher
from cowslipmill.launch.network import Network


class Context:
    """The frame in which one experiment runs.

    Attributes:
        deployment: `caroni` or `mtatsminda`.
        seconds: Length asked for, or None for the experiment's own.
        seed: Seed of arrivals, service times and faults.
        network: Loopback addresses of this run.
        launcher: Starts processes and ends them after the experiment.
        session: For calls to entries, servers and switches.
        progress: Called with the share done, from 0 to 1, and a label.
    """

    __slots__ = (
        'deployment',
        'launcher',
        'network',
        'progress',
        'seconds',
        'seed',
        'session',
    )

    def __init__(
        self,
        deployment: str,
        seconds: float | None,
        seed: int,
        network: Network,
        launcher: Launcher,
        session: ClientSession,
        progress: Callable[[float, str], None],
    ) -> None:
        """Keeps the parts."""
        self.deployment = deployment
        self.seconds = seconds
        self.seed = seed
        self.network = network
        self.launcher = launcher
        self.session = session
        self.progress = progress


class Result:
    """What one experiment measured.

    Attributes:
        hosts: Entry hosts that took part.
        figures: Figures by name.
        arms: Figures of each arm by name.
        recorders: Latencies for the plot, by the name of their curve.
    """

    __slots__ = ('arms', 'figures', 'hosts', 'recorders')

    def __init__(
        self,
        *,
        hosts: int,
        figures: dict[str, float],
        arms: dict[str, dict[str, float]] | None = None,
        recorders: dict[str, Recorder] | None = None,
    ) -> None:
        """Keeps the figures."""
        self.hosts = hosts
        self.figures = figures
        self.arms = arms or {}
        self.recorders = recorders or {}
