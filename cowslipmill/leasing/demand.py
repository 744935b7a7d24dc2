"""What arrives at a coordinator, and how much of each route is granted.

Answers long overloads: work that arrives on time takes capacity from late
work, and no route may be served far less than the others.
"""

from math import exp
from typing import NamedTuple

from cowslipmill.runtime.names import BoundedDict

# Time over which arriving work is averaged; shorter than the bursts of a few
# seconds that it has to follow.
ARRIVALS_AVERAGING_S = 1.0
# Time over which granted fractions are averaged, as long as a burst.
FRACTION_AVERAGING_S = 4.0
# Routes granted less than this share of the common fraction are left out only
# after the others. No route may be served less than a quarter as often as
# all; a third leaves a margin.
PROTECTED_SHARE = 1 / 3
# Decisions on a route, by the decayed count, from which its fraction counts.
MIN_DECISIONS = 4.0


# For this long, a request that was left out keeps larger ones from being
# admitted; as long as an overload is taken to last without a refusal.
LEFT_OUT_S = 0.25


class DecayingSum:
    """A sum whose terms decay.

    Attributes:
        total: The sum at `updated_at`.
        updated_at: Monotonic seconds.
        averaging_s: Time in which a term decays to 1/e.
    """

    __slots__ = ('averaging_s', 'total', 'updated_at')

    def __init__(self, averaging_s: float) -> None:
        """Starts at 0."""
        self.total = 0.0
        self.updated_at = 0.0
        self.averaging_s = averaging_s

    def add(self, value: float, now: float) -> None:
        """Adds a term."""
        self.total = self.at(now) + value
        self.updated_at = now

    def at(self, now: float) -> float:
        """Returns the sum, decayed until now."""
        elapsed_s = max(0.0, now - self.updated_at)
        return self.total * exp(-elapsed_s / self.averaging_s)


class GrantedFraction:
    """The fraction of decided requests that were granted.

    Attributes:
        decided: Number of requests that were granted or refused.
        granted: Number of requests that were granted.
    """

    __slots__ = ('decided', 'granted')

    def __init__(self) -> None:
        """Starts without requests."""
        self.decided = DecayingSum(FRACTION_AVERAGING_S)
        self.granted = DecayingSum(FRACTION_AVERAGING_S)

    def record(self, granted: bool, now: float) -> None:
        """Records the decision on a request."""
        self.decided.add(1.0, now)
        self.granted.add(float(granted), now)

    def at(self, now: float) -> float:
        """Returns the fraction; 1.0 if little was decided."""
        decided = self.decided.at(now)
        if decided < MIN_DECISIONS:
            return 1.0
        return self.granted.at(now) / decided


class LeftOut(NamedTuple):
    """A request that was left out while it had not waited.

    Attributes:
        at: When, in monotonic seconds.
        priority: Its priority.
        work_s: Work that it needs, in seconds.
        wait_limit_s: Wait with which it would have been selected, in seconds.
    """

    at: float
    priority: int
    work_s: float
    wait_limit_s: float


class Demand:
    """Arriving work and granted fractions of one service.

    Attributes:
        on_time_work: Work of the requests that could start in time, in
            seconds.
        all_routes: Granted fraction of all routes.
        routes: Granted fractions by route.
        left_out: Last request that was left out by route.
    """

    __slots__ = ('all_routes', 'left_out', 'on_time_work', 'routes')

    def __init__(self) -> None:
        """Starts without requests."""
        self.on_time_work = DecayingSum(ARRIVALS_AVERAGING_S)
        self.all_routes = GrantedFraction()
        self.routes: dict[str, GrantedFraction] = BoundedDict()
        self.left_out: dict[str, LeftOut] = BoundedDict()

    def record_arrival(self, work_s: float, now: float) -> None:
        """Records the work of a request that can start in time."""
        self.on_time_work.add(work_s, now)

    def record_decision(self, route: str, granted: bool, now: float) -> None:
        """Records that a request of a route was granted or refused."""
        fraction = self.routes.get(route)
        if fraction is None:
            fraction = GrantedFraction()
            self.routes[route] = fraction
        fraction.record(granted, now)
        self.all_routes.record(granted, now)

    def record_left_out(
        self,
        route: str,
        priority: int,
        work_s: float,
        wait_limit_s: float,
        now: float,
    ) -> None:
        """Records a request that was left out while it had not waited.

        Args:
            route: Its route.
            priority: Its priority.
            work_s: Work that it needs, in seconds.
            wait_limit_s: Wait with which it would have been selected, in
                seconds.
            now: Monotonic seconds.
        """
        self.left_out[route] = LeftOut(now, priority, work_s, wait_limit_s)

    def recently_left_out(self, now: float) -> list[LeftOut]:
        """Returns requests left out lately, at most one for each route."""
        return [
            left_out
            for left_out in self.left_out.values()
            if now - left_out.at <= LEFT_OUT_S
        ]

    def arriving_slots(self, now: float) -> float:
        """Returns how many slots the arriving work on time keeps busy."""
        return self.on_time_work.at(now) / ARRIVALS_AVERAGING_S

    def protected_routes(self, now: float) -> frozenset[str]:
        """Returns the routes that are granted too small a fraction."""
        least = PROTECTED_SHARE * self.all_routes.at(now)
        return frozenset(
            route
            for route, fraction in self.routes.items()
            if fraction.at(now) < least
        )
