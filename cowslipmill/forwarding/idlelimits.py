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
SHORTEST_REST_S = 0.1
# Time within which a server resets what comes on a connection that it has
# dropped: a few round trips between failure domains.
RESET_S = 0.03
# Part of the rest that led to a loss within which connections are used.
REST_SHARE = 0.5
# How long one loss counts; the manner of a service's servers lasts.
LOSS_VALID_S = 20.0
# Age of a bound at which a further loss of that service is told again.
NEWS_S = 5.0


class IdleLimit:
    """The longest rest for the connections to one service.

    Attributes:
        rest_s: The bound.
        noted_at: Monotonic seconds of the last loss.
    """

    __slots__ = ('noted_at', 'rest_s')

    def __init__(self, rest_s: float, noted_at: float) -> None:
        """Keeps the parts."""
        self.rest_s = rest_s
        self.noted_at = noted_at


class IdleLimits:
    """The longest rests that the fleet has learned.

    Attributes:
        bounds: Bounds by service.
    """

    __slots__ = ('bounds', 'clock', 'gossip')

    def __init__(
        self, gossip: Gossip, rpc: Rpc, clock: Callable[[], float]
    ) -> None:
        """Registers the handler of its message."""
        self.gossip = gossip
        self.clock = clock
        self.bounds: dict[str, IdleLimit] = {}
        rpc.register(IdleLoss, self.on_idle_loss)

    def max_idle_s(self, service: str, now: float) -> float:
        """Returns how long a connection to a service may have rested."""
        bound = self.bounds.get(service)
        if bound is None or now - bound.noted_at > LOSS_VALID_S:
            return float('inf')
        return bound.rest_s

    def note(self, service: str, rested_s: float, now: float) -> bool:
        """Takes in a loss and tells whether other hosts should know it.

        Args:
            service: The service's name.
            rested_s: How long the connection had rested.
            now: Monotonic seconds.
        """
        known = self.bounds.get(service)
        rest_s = min(REST_SHARE * rested_s, self.max_idle_s(service, now))
        self.bounds[service] = IdleLimit(rest_s, now)
        return (
            known is None
            or now - known.noted_at > NEWS_S
            or rest_s < known.rest_s
        )

    def report(self, service: str, rested_s: float) -> None:
        """Takes in a loss and tells the other hosts."""
        if not self.note(service, rested_s, self.clock()):
            return
        LOG.info(
            'idle connection lost',
            extra={
                'service': service,
                'rested_ms': round(rested_s * 1000),
                'longest_ms': round(self.bounds[service].rest_s * 1000),
            },
        )
        self.gossip.broadcast(IdleLoss(service, rested_s))

    async def on_idle_loss(self, message: IdleLoss, name: str) -> None:
        """Takes in another host's loss."""
        self.note(message.service, message.idle_s, self.clock())
        self.gossip.relay(message)


def is_idle_loss(rested_s: float, lost_s: float, *, answering: bool) -> bool:
    """Tells whether a reset shows that an idle connection was dropped.

    Args:
        rested_s: How long the connection had rested.
        lost_s: Time from the request to the reset.
        answering: Whether a byte of the answer had come.
    """
    if answering:
        return False
    return rested_s >= SHORTEST_REST_S and lost_s <= RESET_S
