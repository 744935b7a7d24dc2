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


def format_table(results: tuple[HostResult, ...]) -> Iterator[str]:
    """Yields the lines of the table, then unreachable hosts and a summary."""
    rows = [HEADINGS, *(make_row(result) for result in results)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        yield GAP.join(cells).rstrip()
    for result in results:
        if isinstance(result, NoResponse):
            yield f'{result.address}: no answer: {result.reason}'
    for name in find_unlisted_hosts(results):
        yield f'{name}: known to other hosts, but no answer is from it'
    for (version, digest), count in sorted(count_versions(results).items()):
        yield f'version {version} ({digest or "none"}): {count} hosts'


@singledispatch
def make_row(result: HostResult) -> tuple[str, ...]:
    """Returns the cells of one result.

    Raises:
        TypeError: If the result's type has no handler.
    """
    raise TypeError(f'not a host result: {result!r}')


@make_row.register
def make_no_response_row(result: NoResponse) -> tuple[str, ...]:
    """Returns a row with the address and unknown cells."""
    return ('?', result.address, *('?' for _ in HEADINGS[2:]))


@make_row.register
def make_report_row(result: HostReport) -> tuple[str, ...]:
    """Returns a row that summarizes the status of a host."""
    status = result.status
    platform = {None: 'not asked', True: 'up', False: 'down'}
    return (
        status.host,
        result.address,
        str(status.version),
        status.digest[:DIGEST_LENGTH],
        f'{status.in_force_ms / 1000:.1f}',
        count_states([member.state for member in status.members]),
        count_states([server.state for server in status.servers]),
        f'{status.last_word_age_ms / 1000:.1f}',
        platform[status.platform.up],
    )


def count_states(states: list[str]) -> str:
    """Returns the number of each state, such as `19 live, 1 gone`."""
    counts = Counter(states)
    parts = [f'{count} {state}' for state, count in counts.most_common()]
    return ', '.join(parts) or 'none'
