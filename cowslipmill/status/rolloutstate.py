"""The rollout state of one version of the document on each host."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum
from functools import singledispatch

from cowslipmill.status.collector import HostReport
from cowslipmill.status.collector import HostResult
from cowslipmill.status.collector import NoResponse

GONE = 'gone'


class RolloutState(Enum):
    """The rollout state of a version on one host."""

    IN_FORCE = 'in force'
    WAITING = 'not yet in force'
    REFUSED = 'refused'
    OVERTAKEN = 'overtaken'
    NO_ANSWER = 'no answer'


@singledispatch
def find_rollout_state(
    result: HostResult, version: int, digest: str
) -> RolloutState:
    """Returns the rollout state of a document on one host.

    Args:
        result: Result of the status call to the host.
        version: Version of the document.
        digest: Digest of the document's bytes.

    Raises:
        TypeError: If the result's type has no handler.
    """
    raise TypeError(f'not a host result: {result!r}')


@find_rollout_state.register
def find_report_state(
    result: HostReport, version: int, digest: str
) -> RolloutState:
    """Compares the document with the one in force on the host."""
    status = result.status
    if (status.version, status.digest) == (version, digest):
        return RolloutState.IN_FORCE
    if status.version >= version:
        return RolloutState.OVERTAKEN
    if any(refused.digest == digest for refused in status.refused):
        return RolloutState.REFUSED
    return RolloutState.WAITING


@find_rollout_state.register
def find_no_response_state(
    result: NoResponse, version: int, digest: str
) -> RolloutState:
    """Returns `NO_ANSWER` for a host without a usable response."""
    return RolloutState.NO_ANSWER


def count_versions(
    results: Iterable[HostResult],
) -> Counter[tuple[int, str]]:
    """Returns the number of hosts by version and digest in force."""
    return Counter(
        (result.status.version, result.status.digest)
        for result in results
        if isinstance(result, HostReport)
    )


def newest_version(results: Iterable[HostResult]) -> int:
    """Returns the highest version that any host has in force, or 0."""
    return max((version for version, _ in count_versions(results)), default=0)


def find_unlisted_hosts(results: Iterable[HostResult]) -> tuple[str, ...]:
    """Returns the hosts that others know but that sent no status.

    Hosts are replaced at any time, so a configured list of addresses may be
    out of date.
    """
    reports = [r.status for r in results if isinstance(r, HostReport)]
    known = {
        member.name
        for report in reports
        for member in report.members
        if member.state != GONE
    }
    return tuple(sorted(known - {report.host for report in reports}))


def all_agree(results: Iterable[HostResult]) -> bool:
    """Returns whether every host answered with the same document in force."""
    all_results = tuple(results)
    any_unreachable = any(
        isinstance(result, NoResponse) for result in all_results
    )
    return not any_unreachable and len(count_versions(all_results)) == 1
