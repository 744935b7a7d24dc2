"""Serves `GET /status` on the administration address of an agent."""

from collections.abc import Callable
from typing import Protocol

from aiohttp.web import get
from aiohttp.web import Request
from aiohttp.web import Response
from msgspec import json

from cowslipmill.agent.state import AgentState
from cowslipmill.agent.status import AgentStatus
from cowslipmill.agent.status import ConflictStatus
from cowslipmill.agent.status import MeasuringStatus
from cowslipmill.agent.status import MemberStatus
from cowslipmill.agent.status import PlatformStatus
from cowslipmill.agent.status import RefusedDocument
from cowslipmill.agent.status import ServerStatus
from cowslipmill.measuring.prober import Prober
from cowslipmill.peers.metrics import SENT_BYTES
from cowslipmill.publication.watcher import PlatformWatcher
from cowslipmill.telemetry.admin import AdminServer

RATE_WINDOW_S = 10.0


class StatusAdmin(AdminServer):
    """An administration server that also serves `/status`."""

    def __init__(
        self,
        address: str,
        is_ready: Callable[[], bool],
        make_status: Callable[[], bytes],
    ) -> None:
        """Keeps the function that returns the status as JSON."""
        super().__init__(address, is_ready)
        self.make_status = make_status
        self.routes = [get('/status', self.serve_status)]

    async def serve_status(self, request: Request) -> Response:
        """Responds with the status."""
        return Response(
            body=self.make_status(), content_type='application/json'
        )


class SentRate:
    """Bytes per second sent to peers over the last window.

    Attributes:
        window_start: Start of the window in monotonic seconds.
        bytes_at_start: Bytes sent before the window.
        per_second: Rate over the previous window.
    """

    __slots__ = ('bytes_at_start', 'per_second', 'window_start')

    def __init__(self, now: float) -> None:
        """Starts the first window."""
        self.window_start = now
        self.bytes_at_start = read_sent_bytes()
        self.per_second = 0.0

    def update(self, now: float) -> None:
        """Computes the rate and starts a new window if this one is over."""
        elapsed_s = now - self.window_start
        if elapsed_s < RATE_WINDOW_S:
            return
        sent = read_sent_bytes()
        self.per_second = (sent - self.bytes_at_start) / elapsed_s
        self.window_start, self.bytes_at_start = now, sent


def read_sent_bytes() -> float:
    """Returns the bytes sent to peers since the process started."""
    (metric,) = SENT_BYTES.collect()
    return float(metric.samples[0].value)


class StatusSource(Protocol):
    """The attributes of an agent that its status is made from."""

    agent_state: AgentState
    watcher: PlatformWatcher
    prober: Prober
    sent_rate: SentRate
    platform_up: bool | None
    clock: Callable[[], float]

    def view_age_ms(self) -> int:
        """Returns the milliseconds since another host was last heard from."""


def make_status(agent: StatusSource) -> bytes:
    """Returns the status of an agent as JSON."""
    now = agent.clock()
    own = agent.agent_state.detector.own
    configuration = agent.agent_state.configuration
    in_force_s = now - configuration.in_force_at
    status = AgentStatus(
        host=own.name,
        failure_domain=own.failure_domain,
        incarnation=own.incarnation,
        version=configuration.stamp.version,
        digest=configuration.stamp.digest.hex(),
        in_force_ms=int(in_force_s * 1000) if configuration.raw else 0,
        refused=tuple(
            RefusedDocument(
                digest=digest,
                reason=refusal.reason,
                age_ms=int((now - refusal.last_offered_at) * 1000),
            )
            for digest, refusal in configuration.refused.items()
        ),
        conflicts=tuple(
            ConflictStatus(
                version=conflict.lost.version,
                digest=conflict.lost.digest.hex(),
                lost_to_version=conflict.won.version,
                lost_to_digest=conflict.won.digest.hex(),
            )
            for conflict in sorted(configuration.conflicts)
        ),
        members=list_members(agent.agent_state, now),
        servers=list_servers(agent.agent_state, now),
        platform=PlatformStatus(
            watching=agent.watcher.enabled,
            up=agent.platform_up,
            calls=agent.watcher.calls,
        ),
        measuring=MeasuringStatus(
            servers=agent.prober.assigned_servers,
            probes=agent.prober.probes,
            failures=agent.prober.failures,
        ),
        last_word_age_ms=agent.view_age_ms(),
        bytes_sent_per_second=round(agent.sent_rate.per_second, 1),
    )
    return json.encode(status)


def list_members(state: AgentState, now: float) -> tuple[MemberStatus, ...]:
    """Returns the status of every known host, sorted by name."""
    replica = state.detector.replica
    return tuple(
        MemberStatus(
            name=record.name,
            address=record.address,
            failure_domain=record.failure_domain,
            incarnation=record.incarnation,
            state=record.state.name.lower(),
            age_ms=replica.with_age(record, now).age_ms,
            entries=tuple(entry.name for entry in record.entries),
        )
        for record in sorted(replica.records.values(), key=lambda r: r.name)
    )


def list_servers(state: AgentState, now: float) -> tuple[ServerStatus, ...]:
    """Returns the status of every known server, sorted by name."""
    replica = state.servers.replica
    return tuple(
        ServerStatus(
            name=record.name,
            service=record.service,
            address=record.address,
            incarnation=record.incarnation,
            state=record.state.name.lower(),
            age_ms=replica.with_age(record, now).age_ms,
            source=state.servers.sources[record.name].value,
        )
        for record in sorted(replica.records.values(), key=lambda r: r.name)
    )
