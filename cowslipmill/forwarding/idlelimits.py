"""How long connections to servers may rest before they are used again.

Answers servers that drop idle connections without notice, and sooner than
they announce: what is sent next on such a connection is lost. One loss tells
every host to open new connections to that service for a while.
"""

from collections.abc import Callable
from logging import getLogger

from cowslipmill.fleet.gossip import Gossip
from cowslipmill.fleet.messages import IdleLoss
from cowslipmill.fleet.rpc import Rpc

# Name of this logger in log lines.
LOG = getLogger('cowslipmill.forwarding.resting')

# A reset of a connection that rested less has another cause.
MIN_IDLE_S = 0.1
# Time within which a server resets what comes on a connection that it has
# dropped: a few round trips between failure domains.
MAX_RESET_DELAY_S = 0.03
# Part of the rest that led to a loss within which connections are used.
IDLE_LIMIT_SHARE = 0.5
# How long one loss counts; the manner of a service's servers lasts.
LIMIT_LIFETIME_S = 20.0
# Age of a bound at which a further loss of that service is told again.
REBROADCAST_AGE_S = 5.0


class IdleLimit:
    """The longest rest for the connections to one service.

    Attributes:
        max_idle_s: The bound.
        updated_at: Monotonic seconds of the last loss.
    """

    __slots__ = ('updated_at', 'max_idle_s')

    def __init__(self, max_idle_s: float, updated_at: float) -> None:
        """Keeps the parts."""
        self.max_idle_s = max_idle_s
        self.updated_at = updated_at


class IdleLimits:
    """The longest rests that the fleet has learned.

    Attributes:
        limits: Bounds by service.
    """

    __slots__ = ('limits', 'clock', 'gossip')

    def __init__(
        self, gossip: Gossip, rpc: Rpc, clock: Callable[[], float]
    ) -> None:
        """Registers the handler of its message."""
        self.gossip = gossip
        self.clock = clock
        self.limits: dict[str, IdleLimit] = {}
        rpc.register(IdleLoss, self.on_idle_loss)

    def max_idle_s(self, service: str, now: float) -> float:
        """Returns how long a connection to a service may have rested."""
        bound = self.limits.get(service)
        if bound is None or now - bound.updated_at > LIMIT_LIFETIME_S:
            return float('inf')
        return bound.max_idle_s

    def record_loss(self, service: str, idle_s: float, now: float) -> bool:
        """Takes in a loss and tells whether other hosts should know it.

        Args:
            service: The service's name.
            idle_s: How long the connection had rested.
            now: Monotonic seconds.
        """
        known = self.limits.get(service)
        rest_s = min(IDLE_LIMIT_SHARE * idle_s, self.max_idle_s(service, now))
        self.limits[service] = IdleLimit(rest_s, now)
        return (
            known is None
            or now - known.updated_at > REBROADCAST_AGE_S
            or rest_s < known.max_idle_s
        )

    def report_loss(self, service: str, idle_s: float) -> None:
        """Takes in a loss and tells the other hosts."""
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

    async def on_idle_loss(self, message: IdleLoss, name: str) -> None:
        """Takes in another host's loss."""
        self.record_loss(message.service, message.idle_s, self.clock())
        self.gossip.relay(message)


def is_idle_loss(
    idle_s: float, reset_delay_s: float, *, response_started: bool
) -> bool:
    """Tells whether a reset shows that an idle connection was dropped.

    Args:
        idle_s: How long the connection had rested.
        reset_delay_s: Time from the request to the reset.
        response_started: Whether a byte of the answer had come.
    """
    if response_started:
        return False
    return idle_s >= MIN_IDLE_S and reset_delay_s <= MAX_RESET_DELAY_S
