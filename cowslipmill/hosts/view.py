"""A view of the fleet that merges facts by a join."""

from collections.abc import Iterable
from collections.abc import Iterator

from cowslipmill.hosts.fact import Fact
from cowslipmill.hosts.fact import Role
from cowslipmill.hosts.fact import State


class View:
    """The furthest fact known of each name.

    Merging is commutative, associative and idempotent, so that views of two
    sides of a partition agree once they have met.

    Attributes:
        facts: Facts by name.
    """

    __slots__ = ('facts',)

    def __init__(self, facts: Iterable[Fact] = ()) -> None:
        """Merges the first facts."""
        self.facts: dict[str, Fact] = {}
        self.merge(facts)

    def merge(self, facts: Iterable[Fact]) -> list[Fact]:
        """Takes in facts and returns those that were news."""
        return [fact for fact in facts if self.merge_one(fact)]

    def merge_one(self, fact: Fact) -> bool:
        """Takes in one fact and tells whether it was news."""
        known = self.facts.get(fact.name)
        if known is not None and not fact.supersedes(known):
            return False
        self.facts[fact.name] = fact
        return True

    def servers(self, service: str) -> Iterator[Fact]:
        """Yields the live backend servers of a service."""
        for fact in self.facts.values():
            if fact.service == service and fact.state is State.LIVE:
                if fact.role is Role.BACKEND_SERVER:
                    yield fact
