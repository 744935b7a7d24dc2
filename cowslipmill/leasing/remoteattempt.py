"""Whether a request may be served better in other failure domains.

Answers a failure domain whose servers are slow or full while others are not:
asking them costs a network round trip, and time for each kilobyte.
"""

from cowslipmill.leasing.leaserequest import AskOtherDomains
from cowslipmill.leasing.leaserequest import LeaseRequest

# Expected wait until a server with a free slot is fast again, less than the
# mean remaining time of one slow period since any of the servers will do.
FAST_SERVER_WAIT_S = 0.05
# Time that a server in another failure domain has to save for each kilobyte
# sent there.
REMOTE_PENALTY_S_PER_KB = 0.02
# Delay of a grant from another failure domain and of the longer network path.
REMOTE_DELAY_S = 0.004
# Slack is computed so that a request that is processed this many times as long
# as usual still meets its objective.
PROCESSING_MARGIN = 1.1
# Pause between two attempts for one request, and for any request once other
# failure domains had no better server.
REMOTE_ATTEMPT_PAUSE_S = 0.05


class RemotePace:
    """Paces a coordinator's attempts while other failure domains are full.

    Answers a load under which all failure domains are full: if each queued
    request asked again and again, coordinators would spend on refusals the
    processor time that they need to grant slots.

    Attributes:
        full: Whether the last attempt found no better server.
        next_at: When one request may ask while that is so, in monotonic
            seconds.
    """

    __slots__ = ('full', 'next_at')

    def __init__(self) -> None:
        """Starts without a pause."""
        self.full = False
        self.next_at = 0.0

    def allows(self, now: float) -> bool:
        """Returns whether a request may ask now."""
        return not self.full or now >= self.next_at

    def record_attempt(self, now: float) -> None:
        """Records that a request asks; others wait for the result."""
        self.next_at = now + REMOTE_ATTEMPT_PAUSE_S

    def record_result(self, *, granted: bool, now: float) -> None:
        """Records whether there was a better server."""
        self.full = not granted
        self.next_at = now + REMOTE_ATTEMPT_PAUSE_S


def choose_remote_attempt(
    request: LeaseRequest,
    wait_s: float,
    processing_s: float,
    slack_s: float,
    now: float,
) -> AskOtherDomains | None:
    """Returns the decision to ask other failure domains, if it may help.

    Args:
        request: The request.
        wait_s: Expected wait in this failure domain, in seconds.
        processing_s: Processing time on an idle server, in seconds.
        slack_s: How long the request may wait and still be in time.
        now: Monotonic seconds.
    """
    requirements = request.requirements
    # A server elsewhere has to save at least this time.
    penalty_s = (
        REMOTE_DELAY_S + REMOTE_PENALTY_S_PER_KB * requirements.kilobytes
    )
    max_duration_s = wait_s + processing_s - penalty_s
    if slack_s < max(FAST_SERVER_WAIT_S, wait_s):
        # It would be late in this failure domain, which costs more than the
        # way to another one.
        remaining_s = requirements.objective_at - now
        max_duration_s = max(max_duration_s, remaining_s - REMOTE_DELAY_S)
    if max_duration_s <= PROCESSING_MARGIN * processing_s:
        return None
    return AskOtherDomains(request, max_duration_s)
