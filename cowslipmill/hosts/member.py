"""Entry process as a member of the deployment."""

from msgspec import Struct

from cowslipmill.hosts.noderecord import LifecycleState


class Member(Struct, frozen=True, kw_only=True):
    """One incarnation of one entry process.

    Attributes:
        name: Name of the entry, unique in the deployment.
        host: Name of its entry host.
        failure_domain: The failure domain of the host.
        incarnation: Unix milliseconds of its start.
        peer_address: IP number and port for other entries.
        state: Live, leaving or gone.
        changed_ms_ago: Milliseconds since this state began, as known to the
            sender.
    """

    name: str
    host: str
    failure_domain: str
    incarnation: int
    peer_address: str
    state: LifecycleState = LifecycleState.LIVE
    changed_ms_ago: int = 0
