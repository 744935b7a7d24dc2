"""Sample requests to a deployment, and statistics of their outcomes."""

from asyncio import get_running_loop
from collections import Counter

from aiohttp import ClientSession
from hdrh.histogram import HdrHistogram
from msgspec import json

from cowslipmill.launch.deployment import Deployment
from cowslipmill.outcomes.rendering import OUTCOME_HEADER

MAX_LATENCY_US = 60_000_000


class Tally:
    """Statistics of the requests of the demo.

    Attributes:
        outcomes: Number of requests by kind and outcome.
        servers: Number of successful requests by server.
        latency_us: Histogram of the latency of all requests.
    """

    __slots__ = ('latency_us', 'outcomes', 'servers')

    def __init__(self) -> None:
        """Creates statistics without requests."""
        self.outcomes: Counter[tuple[str, str]] = Counter()
        self.servers: Counter[str] = Counter()
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, 3)

    def format_lines(self) -> list[str]:
        """Formats the statistics as lines for the console."""
        lines = ['requests by kind and outcome:']
        for (kind, outcome), count in sorted(self.outcomes.items()):
            lines.append(f'  {kind:16} {outcome:12} {count:6}')
        lines.append('requests by server:')
        for server, count in sorted(self.servers.items()):
            lines.append(f'  {server:16} {count:6}')
        p50, p99 = (
            self.latency_us.get_value_at_percentile(percentile) / 1000
            for percentile in (50, 99)
        )
        lines.append(f'latency: p50 {p50:.1f} ms, p99 {p99:.1f} ms')
        return lines


async def send_request(
    session: ClientSession, deployment: Deployment, number: int, tally: Tally
) -> None:
    """Sends one request and records its outcome and latency.

    Every fifth number is an exam booking (POST), the others are standing
    checks (GET).
    """
    layout = deployment.layout
    address = layout.entry(number % layout.host_count).listen
    kind, method = 'check-standing', 'GET'
    path = f'/technicians/{number}/standing'
    if number % 5 == 0:
        kind, method = 'book-exam', 'POST'
        path = f'/exams/{number}/bookings'
    body = b'{"technician": "T-100"}' if method == 'POST' else None
    clock = get_running_loop().time
    started_at = clock()
    headers = {'Request-Id': f'demo-{number}'}
    async with session.request(
        method, f'http://{address}{path}', data=body, headers=headers
    ) as response:
        raw = await response.read()
        outcome = response.headers.get(OUTCOME_HEADER, 'none')
        tally.outcomes[kind, outcome] += 1
        if response.status == 200:
            tally.servers[json.decode(raw)['server']] += 1
    elapsed_us = int((clock() - started_at) * 1_000_000)
    tally.latency_us.record_value(max(1, elapsed_us))
