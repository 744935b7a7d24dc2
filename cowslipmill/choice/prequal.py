"""Prequal's published rule, for comparison.

Probes tell requests in flight. A server is hot when its requests in flight
are above a quantile of those lately probed; among the cold ones the lowest
latency wins, and if all are hot the fewest requests in flight. Probes are
used a few times, age out, and the worst are dropped. The servers report no
latency, so that of this process's own requests stands in for it.
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
KEPT_COUNTS = 100
LATENCY_WEIGHT = 0.2


class Probe:
    """What one probe told.

    Attributes:
        name: The server's name.
        in_flight: Its requests in flight.
        probed_at: Monotonic seconds.
        uses: Choices that were based on it.
    """

    __slots__ = ('in_flight', 'name', 'probed_at', 'uses')

    def __init__(self, name: str, in_flight: int, now: float) -> None:
        """Starts unused."""
        self.name = name
        self.in_flight = in_flight
        self.probed_at = now
        self.uses = 0


class Prequal:
    """The pool of probes of one service.

    Attributes:
        probes: The probes, the oldest first.
        counts: Requests in flight in the latest probes.
        latencies: Recent latency by server name.
    """

    __slots__ = ('counts', 'latencies', 'probes')

    def __init__(self) -> None:
        """Starts without probes."""
        self.probes: list[Probe] = []
        self.counts: deque[int] = deque(maxlen=KEPT_COUNTS)
        self.latencies: dict[str, float] = {}

    def add(self, name: str, in_flight: int, now: float) -> None:
        """Takes in one probe; the oldest goes when the pool is full."""
        self.counts.append(in_flight)
        self.probes.append(Probe(name, in_flight, now))
        del self.probes[:-POOL_SIZE]

    def pick(
        self, servers: Sequence[Server], now: float, random: Random
    ) -> Server:
        """Returns the best probed server, or any if none is probed."""
        by_name = {server.name: server for server in servers}
        self.probes = [
            probe
            for probe in self.probes
            if now - probe.probed_at < MAX_AGE_S and probe.uses < MAX_USES
        ]
        usable = [probe for probe in self.probes if probe.name in by_name]
        if len(usable) < 2:
            return random.choice(servers)
        probe = self.best(usable)
        probe.uses += 1
        probe.in_flight += 1
        return by_name[probe.name]

    def best(self, probes: Sequence[Probe]) -> Probe:
        """Returns the probe that the hot and cold rule picks."""
        limit = self.hot_limit()
        cold = [probe for probe in probes if probe.in_flight <= limit]
        if not cold:
            return min(probes, key=lambda probe: probe.in_flight)
        return min(cold, key=lambda probe: self.latencies.get(probe.name, 0.0))

    def hot_limit(self) -> int:
        """Returns the most requests in flight of a cold server."""
        ranked = sorted(self.counts)
        return ranked[int(HOT_QUANTILE * (len(ranked) - 1))]

    def observe_latency(
        self, name: str, report: Report, took_s: float
    ) -> None:
        """Takes in the latency of an answered try."""
        if report.result is EntryLeaseResult.ANSWERED:
            known = self.latencies.get(name, took_s)
            self.latencies[name] = known + LATENCY_WEIGHT * (took_s - known)
