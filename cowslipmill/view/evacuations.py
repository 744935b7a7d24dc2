"""Which failure domains are evacuated.

For an operator who takes a failure domain out of use: every host has to know,
whoever told it and in whatever order. The change with the highest revision
holds for each failure domain. A complete list, as a full read of the store or
another host that knows all changes up to a revision gives, also ends the
evacuations that it lacks; else a host that was cut off would keep one that
ended meanwhile.
"""

from collections.abc import Collection
from logging import getLogger

from cowslipmill.view.events import EvacuationChanged

LOG = getLogger(__name__)

# Failure domains for which a change is kept. Deployments have up to five; all
# changes are part of each update, 14 KB with as many of the longest names.
MAX_EVACUATIONS = 64


class Evacuations:
    """The evacuations that a host knows of.

    Attributes:
        changes: The newest change by failure domain.
        active: Failure domains whose evacuation is in force.
        known_until: Store revision up to which all evacuations are known; it
            lags behind that of the view after updates of hosts of an older
            build, which tell of none.
        synced_at: Monotonic seconds as of which these were the store's
            evacuations; negative infinity if they never were.
    """

    __slots__ = ('active', 'changes', 'known_until', 'synced_at')

    def __init__(self) -> None:
        """Starts without evacuations."""
        self.changes: dict[str, EvacuationChanged] = {}
        self.active: frozenset[str] = frozenset()
        self.known_until = 0
        self.synced_at = float('-inf')

    def is_active(self, failure_domain: str) -> bool:
        """Returns whether a failure domain is evacuated."""
        return failure_domain in self.active

    def apply(self, change: EvacuationChanged) -> bool:
        """Applies a change; returns whether other domains are evacuated now.

        Of two changes with the same revision the end holds: a full read at a
        revision lacks what was removed while it went on. Beyond
        `MAX_EVACUATIONS` the change with the lowest revision is forgotten,
        in whatever order they come.
        """
        known = self.changes.get(change.failure_domain)
        if known is not None and rank(known) >= rank(change):
            return False
        self.changes[change.failure_domain] = change
        if len(self.changes) > MAX_EVACUATIONS:
            oldest = min(
                self.changes.values(),
                key=lambda other: (other.revision, other.failure_domain),
            )
            del self.changes[oldest.failure_domain]
            LOG.warning(
                'too many evacuations',
                extra={'failure_domain': oldest.failure_domain},
            )
        before = self.active
        self.active = frozenset(
            name for name, latest in self.changes.items() if latest.active
        )
        return self.active != before

    def find_ended(
        self, failure_domains: Collection[str], revision: int
    ) -> list[EvacuationChanged]:
        """Returns the ends of evacuations that a complete list lacks.

        Args:
            failure_domains: The failure domains in the list.
            revision: Store revision up to which the list is complete.
        """
        return [
            EvacuationChanged(name, revision, False)
            for name in sorted(self.active)
            if name not in failure_domains
            and self.changes[name].revision <= revision
        ]

    def events_of_list(
        self, changes: Collection[EvacuationChanged], revision: int
    ) -> list[EvacuationChanged]:
        """Returns the events in another host's list of changes.

        Args:
            changes: The changes that the other host knows.
            revision: Store revision up to which it knows all; 0 for a host
                of an older build, whose list is empty and says nothing.
        """
        names = {change.failure_domain for change in changes}
        # One that is known here up to a later revision, and of which nothing
        # is, has ended since: the other host is behind.
        events = [
            change
            for change in changes
            if change.failure_domain in self.changes
            or change.revision > self.known_until
        ]
        return events + self.find_ended(names, revision)

    def advance(self, revision: int, synced_at: float) -> None:
        """Records that all evacuations up to a revision are known.

        Args:
            revision: The store revision.
            synced_at: Monotonic seconds as of which that was the store's
                revision.
        """
        if revision:
            self.known_until = max(self.known_until, revision)
            self.synced_at = max(self.synced_at, synced_at)


def rank(change: EvacuationChanged) -> tuple[int, bool]:
    """Returns the sort key of the changes of one failure domain."""
    return change.revision, not change.active
