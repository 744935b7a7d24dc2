"""Where each host stands with one version of the document."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum
from functools import singledispatch

from cowslipmill.status.collector import HostReport
from cowslipmill.status.collector import HostResult
from cowslipmill.status.collector import NoResponse

GONE = 'gone'


class RolloutState(Enum):
    """What a host has done with a version."""

    IN_FORCE = 'in force'
    WAITING = 'not yet in force'
    REFUSED = 'refused'
    OVERTAKEN = 'overtaken'
    NO_ANSWER = 'no answer'


@singledispatch
def find_rollout_state(
    answer: HostResult, version: int, digest: str
) -> RolloutState:
    """Returns where a host stands with a document.

    Args:
        answer: The host's answer.
        version: Version of the document.
        digest: Digest of its bytes.
    """
    raise TypeError(f'not an answer: {answer!r}')


@find_rollout_state.register
def find_report_standing(
    answer: HostReport, version: int, digest: str
) -> RolloutState:
    """Compares with what the host has in force."""
    status = answer.status
    if (status.version, status.digest) == (version, digest):
        return RolloutState.IN_FORCE
    if status.version >= version:
        return RolloutState.OVERTAKEN
    if any(refused.digest == digest for refused in status.refused):
        return RolloutState.REFUSED
    return RolloutState.WAITING


@find_rollout_state.register
def find_no_standing(
    answer: NoResponse, version: int, digest: str
) -> RolloutState:
    """Knows nothing of a host that did not answer."""
    return RolloutState.NO_ANSWER


def count_versions(
    answers: Iterable[HostResult],
) -> Counter[tuple[int, str]]:
    """Returns how many hosts have each version and digest in force."""
    return Counter(
        (answer.status.version, answer.status.digest)
        for answer in answers
        if isinstance(answer, HostReport)
    )


def newest_version(answers: Iterable[HostResult]) -> int:
    """Returns the highest version that any host has in force, or 0."""
    return max((version for version, _ in count_versions(answers)), default=0)


def find_unlisted_hosts(answers: Iterable[HostResult]) -> tuple[str, ...]:
    """Returns hosts that others know and that no answer is from.

    Hosts are replaced at any time, so a list of addresses ages.
    """
    reports = [a.status for a in answers if isinstance(a, HostReport)]
    known = {
        member.name
        for report in reports
        for member in report.members
        if member.state != GONE
    }
    return tuple(sorted(known - {report.host for report in reports}))


def all_agree(answers: Iterable[HostResult]) -> bool:
    """Tells whether every host answered and all have the same in force."""
    known = tuple(answers)
    silent = any(isinstance(answer, NoResponse) for answer in known)
    return not silent and len(count_versions(known)) == 1
