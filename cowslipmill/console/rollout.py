"""Shows host by host whether a version is in force."""

from collections import Counter
from dataclasses import dataclass
from functools import singledispatch
from time import gmtime
from time import strftime

from aiohttp.web import HTTPBadRequest
from aiohttp.web import Request
from aiohttp.web import Response

from cowslipmill.console.site import render
from cowslipmill.console.site import SITE
from cowslipmill.console.site import Site
from cowslipmill.console.site import take_form
from cowslipmill.console.source import Current
from cowslipmill.console.source import NothingInForce
from cowslipmill.status.collector import HostReport
from cowslipmill.status.collector import HostResult
from cowslipmill.status.collector import NoResponse
from cowslipmill.status.rolloutstate import find_rollout_state
from cowslipmill.status.rolloutstate import find_unlisted_hosts
from cowslipmill.status.rolloutstate import RolloutState

UNKNOWN = '?'


@dataclass(frozen=True, slots=True)
class HostRow:
    """One host on the page.

    Attributes:
        name: Name of the host.
        address: Administration address of its agent.
        standing: Where it stands.
        reason: Why there is no answer, or why it refused.
        version: Version that it has in force.
        since: For how long.
        age: Age of its last word from another host.
    """

    name: str
    address: str
    standing: RolloutState
    reason: str = ''
    version: str = UNKNOWN
    since: str = UNKNOWN
    age: str = UNKNOWN


async def show_rollout(request: Request) -> Response:
    """Shows where each host stands with one version."""
    operator, form = await take_form(request)
    version, digest = read_target({**request.query, **form})
    site = request.app[SITE]
    answers = await site.source.read_hosts()
    rows = [make_row(answer, version, digest) for answer in answers]
    served = await describe_platform(site, version, digest)
    counts = Counter(row.standing for row in rows)
    return render(
        request,
        'rollout.html',
        operator=operator,
        version=version,
        digest=digest,
        draft=str(form.get('draft', '')),
        read_at=format_time(site.wall_clock()),
        hosts=rows,
        overtaken=bool(counts[RolloutState.OVERTAKEN]) or served.overtaken,
        summary=f'{served.text} {summarise(counts, len(rows))}',
        unasked=find_unlisted_hosts(answers),
    )


def read_target(fields: dict[str, object]) -> tuple[int, str]:
    """Returns version and digest to look for.

    Raises:
        HTTPBadRequest: If the version is no number.
    """
    version = str(fields.get('version', ''))
    if not version.isdecimal() or len(version) > 18:
        raise HTTPBadRequest(reason='version must be a whole number')
    return int(version), str(fields.get('digest', ''))[:64]


@dataclass(frozen=True, slots=True)
class Served:
    """What the platform serves, beside one version."""

    text: str
    overtaken: bool


async def describe_platform(site: Site, version: int, digest: str) -> Served:
    """Tells whether the platform serves a version, or another."""
    try:
        current = await site.source.read_current()
    except NothingInForce as error:
        return Served(f'Not known whether it is published: {error}.', False)
    return compare_served(current, version, digest)


def compare_served(current: Current, version: int, digest: str) -> Served:
    """Tells whether this very document is served, or an other one."""
    served = current.document
    if current.digest == digest:
        return Served('The platform serves it.', False)
    if served.version < version:
        text = f'Not published yet: the platform serves {served.version}.'
        return Served(text, False)
    text = (
        f'Overtaken: the platform serves version {served.version} of another '
        f'operator (digest {current.digest}), built upon {served.base}.'
    )
    return Served(text, True)


def summarise(counts: Counter[RolloutState], total: int) -> str:
    """Returns one sentence of counts."""
    parts = [
        f'{counts[standing]} {standing.value}'
        for standing in RolloutState
        if counts[standing]
    ]
    return f'Of {total} hosts: {", ".join(parts) or "none"}.'


@singledispatch
def make_row(answer: HostResult, version: int, digest: str) -> HostRow:
    """Returns the row of one host."""
    raise TypeError(f'not an answer: {answer!r}')


@make_row.register
def make_silent_row(answer: NoResponse, version: int, digest: str) -> HostRow:
    """Says why nothing is known."""
    standing = find_rollout_state(answer, version, digest)
    return HostRow(UNKNOWN, answer.address, standing, answer.reason)


@make_row.register
def make_report_row(answer: HostReport, version: int, digest: str) -> HostRow:
    """Says what the host has in force."""
    status = answer.status
    reasons = [
        refused.reason
        for refused in status.refused
        if refused.digest == digest
    ]
    return HostRow(
        name=status.host,
        address=answer.address,
        standing=find_rollout_state(answer, version, digest),
        reason='; '.join(reasons),
        version=str(status.version),
        since=format_age(status.in_force_ms),
        age=format_age(status.last_word_age_ms),
    )


def format_age(age_ms: int) -> str:
    """Returns an age in seconds."""
    return f'{age_ms / 1000:.1f} s'


def format_time(now: float) -> str:
    """Returns Unix seconds as a time of day."""
    return strftime('%Y-%m-%d %H:%M:%S UTC', gmtime(now))
