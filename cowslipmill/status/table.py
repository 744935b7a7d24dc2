"""The table that `cowslipmill-status` prints."""

from collections import Counter
from collections.abc import Iterator
from functools import singledispatch

from cowslipmill.status.collector import HostReport
from cowslipmill.status.collector import HostResult
from cowslipmill.status.collector import NoResponse
from cowslipmill.status.rolloutstate import count_versions
from cowslipmill.status.rolloutstate import find_unlisted_hosts

HEADINGS = (
    'HOST',
    'ADDRESS',
    'VERSION',
    'DIGEST',
    'IN FORCE S',
    'HOSTS',
    'SERVERS',
    'VIEW AGE S',
    'PLATFORM',
)
DIGEST_LENGTH = 12
GAP = '  '


def format_table(answers: tuple[HostResult, ...]) -> Iterator[str]:
    """Yields the lines of the table and a summary."""
    rows = [HEADINGS, *(make_row(answer) for answer in answers)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        yield GAP.join(cells).rstrip()
    for answer in answers:
        if isinstance(answer, NoResponse):
            yield f'{answer.address}: no answer: {answer.reason}'
    for name in find_unlisted_hosts(answers):
        yield f'{name}: known to other hosts, but no answer is from it'
    for (version, digest), count in sorted(count_versions(answers).items()):
        yield f'version {version} ({digest or "none"}): {count} hosts'


@singledispatch
def make_row(answer: HostResult) -> tuple[str, ...]:
    """Returns the cells of one answer."""
    raise TypeError(f'not an answer: {answer!r}')


@make_row.register
def make_no_answer_row(answer: NoResponse) -> tuple[str, ...]:
    """Leaves all but the address open."""
    return ('?', answer.address, *('?' for _ in HEADINGS[2:]))


@make_row.register
def make_report_row(answer: HostReport) -> tuple[str, ...]:
    """Sums up the status of a host."""
    status = answer.status
    platform = {None: 'not asked', True: 'up', False: 'down'}
    return (
        status.host,
        answer.address,
        str(status.version),
        status.digest[:DIGEST_LENGTH],
        f'{status.in_force_ms / 1000:.1f}',
        count_states([member.state for member in status.members]),
        count_states([server.state for server in status.servers]),
        f'{status.last_word_age_ms / 1000:.1f}',
        platform[status.platform.up],
    )


def count_states(states: list[str]) -> str:
    """Returns counts by state, such as `19 live, 1 gone`."""
    counts = Counter(states)
    parts = [f'{count} {state}' for state, count in counts.most_common()]
    return ', '.join(parts) or 'none'
