"""How long connections to servers may be idle before they are not reused.

For the case that servers drop idle connections without notice, and sooner
than they announce: the next request on such a connection is lost. After one
such loss, every host opens new connections to that service for a while.
"""

from collections.abc import Callable
from logging import getLogger

from cowslipmill.fleet.gossip import Gossip
from cowslipmill.fleet.messages import IdleLoss
from cowslipmill.fleet.rpc import Rpc
from cowslipmill.runtime.names import BoundedDict

# Name of this logger in log lines.
LOG = getLogger('cowslipmill.forwarding.resting')

# A reset of a connection that was idle for less has another cause.
MIN_IDLE_S = 0.1
# A server that has dropped a connection resets it within this time after the
# next request is sent: a few round trips between failure domains.
MAX_RESET_DELAY_S = 0.03
# Connections are reused up to this share of the idle time that led to a loss.
IDLE_LIMIT_SHARE = 0.5
# How long a limit applies. All servers of a service drop idle connections in
# the same way, and that rarely changes.
LIMIT_LIFETIME_S = 20.0
# Age of a limit from which another loss of the service is broadcast, so that
# the limit of the other hosts does not expire.
REBROADCAST_AGE_S = 5.0


class IdleLimit:
    """The idle-time limit for connections to the servers of one service.

    Attributes:
        max_idle_s: The limit in seconds.
        updated_at: When the last loss was recorded, in monotonic seconds.
    """

    __slots__ = ('max_idle_s', 'updated_at')

    def __init__(self, max_idle_s: float, updated_at: float) -> None:
        """Stores the limit."""
        self.max_idle_s = max_idle_s
        self.updated_at = updated_at


class IdleLimits:
    """Idle-time limits that the hosts learned from lost requests.

    Attributes:
        limits: Limits by the service's name.
    """

    __slots__ = ('clock', 'gossip', 'limits')

    def __init__(
        self, gossip: Gossip, rpc: Rpc, clock: Callable[[], float]
    ) -> None:
        """Creates the collection and registers its message handler.

        Args:
            gossip: Broadcasts losses to the other hosts.
            rpc: Receives the losses of other hosts.
            clock: Returns monotonic seconds.
        """
        self.gossip = gossip
        self.clock = clock
        self.limits: dict[str, IdleLimit] = BoundedDict()
        rpc.register(IdleLoss, self.on_idle_loss)

    def max_idle_s(self, service: str, now: float) -> float:
        """Returns how long a connection to a service may have been idle.

        Args:
            service: The service's name.
            now: Monotonic seconds.

        Returns:
            Seconds; infinity if no loss was recorded recently.
        """
        limit = self.limits.get(service)
        if limit is None or now - limit.updated_at > LIMIT_LIFETIME_S:
            return float('inf')
        return limit.max_idle_s

    def record_loss(self, service: str, idle_s: float, now: float) -> bool:
        """Lowers the limit of a service after a loss.

        Args:
            service: The service's name.
            idle_s: How long the connection had been idle, in seconds.
            now: Monotonic seconds.

        Returns:
            Whether to broadcast the loss to the other hosts.
        """
        previous = self.limits.get(service)
        max_idle_s = min(
            IDLE_LIMIT_SHARE * idle_s, self.max_idle_s(service, now)
        )
        self.limits[service] = IdleLimit(max_idle_s, now)
        return (
            previous is None
            or now - previous.updated_at > REBROADCAST_AGE_S
            or max_idle_s < previous.max_idle_s
        )

    def report_loss(self, service: str, idle_s: float) -> None:
        """Records a loss of this host and broadcasts it.

        Args:
            service: The service's name.
            idle_s: How long the connection had been idle, in seconds.
        """
        if not self.record_loss(service, idle_s, self.clock()):
            return
        LOG.info(
            'idle connection lost',
            extra={
                'service': service,
                'rested_ms': round(idle_s * 1000),
                'longest_ms': round(self.limits[service].max_idle_s * 1000),
            },
        )
        self.gossip.broadcast(IdleLoss(service, idle_s))

    async def on_idle_loss(self, message: IdleLoss, sender: str) -> None:
        """Records the loss of another host and relays the message."""
        self.record_loss(message.service, message.idle_s, self.clock())
        self.gossip.relay(message)


def is_idle_loss(
    idle_s: float, reset_delay_s: float, *, response_started: bool
) -> bool:
    """Returns whether a reset shows that an idle connection was dropped.

    Args:
        idle_s: How long the connection had been idle, in seconds.
        reset_delay_s: Time from the request to the reset, in seconds.
        response_started: Whether a byte of the response had arrived.
    """
    if response_started:
        return False
    return idle_s >= MIN_IDLE_S and reset_delay_s <= MAX_RESET_DELAY_S
