"""The published Prequal policy, for comparison.

A probe reports a server's requests in flight. A server is hot when these are
above a quantile of the recent probes; among the cold servers the one with the
lowest latency is picked, and if all are hot the one with the fewest requests
in flight. A probe expires with age and after a few uses, and the oldest is
dropped when the pool is full. The servers report no latency, so the latency
of this process's own requests is used.
"""

from collections import deque
from collections.abc import Sequence
from random import Random

from cowslipmill.choice.server import Server
from cowslipmill.coordination.lease import EntryLeaseResult
from cowslipmill.coordination.lease import Report

POOL_SIZE = 16
MAX_AGE_S = 1.0
MAX_USES = 2
HOT_QUANTILE = 0.84
COUNT_WINDOW = 100
LATENCY_WEIGHT = 0.2


class Probe:
    """Result of one probe.

    Attributes:
        name: Name of the server.
        in_flight: Requests in flight at the server, with those that this
            probe has sent there since.
        probed_at: Time of the probe, monotonic seconds.
        uses: Choices made by this probe.
    """

    __slots__ = ('in_flight', 'name', 'probed_at', 'uses')

    def __init__(self, name: str, in_flight: int, now: float) -> None:
        """Starts unused."""
        self.name = name
        self.in_flight = in_flight
        self.probed_at = now
        self.uses = 0


class Prequal:
    """Probe pool of one service.

    Attributes:
        probes: Results of probes, the oldest first.
        counts: Requests in flight in the latest probes.
        latencies: Moving average of the latency by server name, in seconds.
    """

    __slots__ = ('counts', 'latencies', 'probes')

    def __init__(self) -> None:
        """Starts without probes."""
        self.probes: list[Probe] = []
        self.counts: deque[int] = deque(maxlen=COUNT_WINDOW)
        self.latencies: dict[str, float] = {}

    def add(self, name: str, in_flight: int, now: float) -> None:
        """Adds a probe; the oldest is dropped when the pool is full."""
        self.counts.append(in_flight)
        self.probes.append(Probe(name, in_flight, now))
        del self.probes[:-POOL_SIZE]

    def pick(
        self, servers: Sequence[Server], now: float, random: Random
    ) -> Server:
        """Returns the server with the best probe.

        With fewer than two usable probes it returns a random server.
        """
        by_name = {server.name: server for server in servers}
        self.probes = [
            probe
            for probe in self.probes
            if now - probe.probed_at < MAX_AGE_S and probe.uses < MAX_USES
        ]
        usable = [probe for probe in self.probes if probe.name in by_name]
        if len(usable) < 2:
            return random.choice(servers)
        probe = self.best_probe(usable)
        probe.uses += 1
        probe.in_flight += 1
        return by_name[probe.name]

    def best_probe(self, probes: Sequence[Probe]) -> Probe:
        """Returns the best probe by the hot-cold rule."""
        limit = self.max_cold_in_flight()
        cold = [probe for probe in probes if probe.in_flight <= limit]
        if not cold:
            return min(probes, key=lambda probe: probe.in_flight)
        return min(cold, key=lambda probe: self.latencies.get(probe.name, 0.0))

    def max_cold_in_flight(self) -> int:
        """Returns the most requests in flight of a cold server."""
        ranked = sorted(self.counts)
        return ranked[int(HOT_QUANTILE * (len(ranked) - 1))]

    def observe_latency(
        self, name: str, report: Report, latency_s: float
    ) -> None:
        """Records the latency of an attempt that got a response."""
        if report.result is EntryLeaseResult.ANSWERED:
            known = self.latencies.get(name, latency_s)
            self.latencies[name] = known + LATENCY_WEIGHT * (latency_s - known)
