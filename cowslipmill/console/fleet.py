"""The page of hosts, backend servers, outcomes and budgets."""

from asyncio import gather
from collections import Counter
from collections.abc import Iterable

from aiohttp.web import Request
from aiohttp.web import Response

from cowslipmill.agent.status import AgentStatus
from cowslipmill.agent.status import ServerStatus
from cowslipmill.console.rollout import format_age
from cowslipmill.console.rollout import format_time
from cowslipmill.console.site import render
from cowslipmill.console.site import require_visitor
from cowslipmill.console.site import SITE
from cowslipmill.status.collector import HostReport
from cowslipmill.status.collector import NoResponse
from cowslipmill.status.metrics import collect_metrics
from cowslipmill.status.metrics import count_outcomes
from cowslipmill.status.metrics import EntryMetrics
from cowslipmill.status.metrics import EntryResult
from cowslipmill.status.metrics import OUTCOMES
from cowslipmill.status.rolloutstate import count_versions
from cowslipmill.status.rolloutstate import find_unlisted_hosts

Row = tuple[object, ...]


async def show_fleet(request: Request) -> Response:
    """Shows what every host and entry tells, and which do not answer."""
    operator = require_visitor(request)
    site = request.app[SITE]
    source = site.source
    answers, entries = await gather(
        source.read_hosts(),
        collect_metrics(source.session, site.settings.entries),
    )
    reports = [a.status for a in answers if isinstance(a, HostReport)]
    silent = [
        f'{answer.address}: {answer.reason}'
        for answer in (*answers, *entries)
        if isinstance(answer, NoResponse)
    ]
    silent += [
        f'{name}: known to other hosts, but none of the addresses is its'
        for name in find_unlisted_hosts(answers)
    ]
    return render(
        request,
        'fleet.html',
        operator=operator,
        read_at=format_time(site.wall_clock()),
        silent=silent,
        versions=[
            (version, digest, count)
            for (version, digest), count in count_versions(answers).items()
        ],
        hosts=[make_host_row(report) for report in reports],
        servers=make_server_rows(reports),
        routes=make_route_rows(entries),
        figures=make_figure_rows(entries),
    )


def make_host_row(status: AgentStatus) -> Row:
    """Returns the cells of one host."""
    platform = {None: 'not asked', True: 'up', False: 'down'}
    watching = ', watching' if status.platform.watching else ''
    measuring = status.measuring
    return (
        status.host,
        status.failure_domain,
        status.version,
        format_age(status.in_force_ms),
        format_age(status.last_word_age_ms),
        platform[status.platform.up] + watching,
        f'{measuring.servers} servers, {measuring.probes} probes, '
        f'{measuring.failures} failed',
        '; '.join(refused.reason for refused in status.refused) or 'none',
    )


def make_server_rows(reports: Iterable[AgentStatus]) -> list[Row]:
    """Returns the cells of each server, over all hosts' views."""
    views: dict[str, list[ServerStatus]] = {}
    for report in reports:
        for server in report.servers:
            views.setdefault(server.name, []).append(server)
    return [make_server_row(views[name]) for name in sorted(views)]


def make_server_row(views: list[ServerStatus]) -> Row:
    """Returns the cells of one server."""
    states = Counter(view.state for view in views)
    youngest = min(views, key=lambda view: view.age_ms)
    return (
        youngest.name,
        youngest.service,
        youngest.address,
        ', '.join(f'{state} at {count}' for state, count in states.items()),
        format_age(youngest.age_ms),
        youngest.source,
    )


def make_route_rows(entries: Iterable[EntryResult]) -> list[Row]:
    """Returns the cells of each route."""
    return [
        (route or 'no route', *(counts[outcome] for outcome in OUTCOMES))
        for route, counts in sorted(count_outcomes(entries).items())
    ]


def make_figure_rows(entries: Iterable[EntryResult]) -> list[Row]:
    """Returns the cells of each figure about budgets and suspects."""
    return [
        (
            entry.address,
            sample.name,
            ' '.join(sample.labels.values()),
            f'{sample.value:g}',
        )
        for entry in entries
        if isinstance(entry, EntryMetrics)
        for sample in entry.other_samples
    ]
