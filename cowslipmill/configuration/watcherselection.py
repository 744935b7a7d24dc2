"""Selects the hosts that watch the platform."""

from collections.abc import Iterable

from msgspec import Struct
from xxhash import xxh64_intdigest

WATCHERS_PER_DOMAIN = 2
CONTACT_MAX_AGE_S = 10.0
FALLBACK_AFTER_S = 6.0
FALLBACK_TURN_S = 2.0
MAX_CONTACTS = 64


class PlatformContact(Struct, frozen=True, array_like=True):
    """A host that the platform answered, and how long ago.

    Attributes:
        host: Name of the host.
        age_ms: Milliseconds since the platform answered it.
    """

    host: str
    age_ms: int


class WatcherSelection:
    """Decides whether this host watches the platform, from what it knows.

    In each failure domain the hosts that rank first by rendezvous hash
    watch the platform. If no host is known to reach it, the other hosts try
    in turns, a few at a time; one that succeeds keeps watching.

    Attributes:
        host: Name of this host.
        contacts: When the platform last answered each host, by name, in
            monotonic seconds.
        started_at: When this object was created, in monotonic seconds.
    """

    __slots__ = ('contacts', 'host', 'started_at')

    def __init__(self, host: str, now: float) -> None:
        """Starts without contacts."""
        self.host = host
        self.contacts: dict[str, float] = {}
        self.started_at = now

    def record_success(self, now: float) -> None:
        """Records that the platform has answered this host."""
        self.contacts[self.host] = now

    def merge_contact(self, contact: PlatformContact, now: float) -> None:
        """Merges a contact that a peer reported; the oldest are dropped."""
        answered_at = now - max(0, contact.age_ms) / 1000
        if contact.host != self.host:
            known = self.contacts.get(contact.host, answered_at)
            self.contacts[contact.host] = max(answered_at, known)
        while len(self.contacts) > MAX_CONTACTS:
            oldest = min(self.contacts, key=self.contacts.__getitem__)
            del self.contacts[oldest]

    def preferred_contact(self, now: float) -> PlatformContact | None:
        """Returns the recent contact whose host ranks first, or None."""
        fresh = [
            host
            for host, at in self.contacts.items()
            if now - at < CONTACT_MAX_AGE_S
        ]
        if not fresh:
            return None
        host = min(fresh, key=rank_key)
        return PlatformContact(host, int((now - self.contacts[host]) * 1000))

    def should_watch(self, domain_hosts: Iterable[str], now: float) -> bool:
        """Returns whether this host is to watch the platform now.

        Args:
            domain_hosts: Names of the live hosts of this host's failure
                domain, this one included.
            now: Monotonic seconds.
        """
        ranked = sorted(set(domain_hosts) | {self.host}, key=rank_key)
        rank = ranked.index(self.host)
        if rank < WATCHERS_PER_DOMAIN:
            return True
        best = self.preferred_contact(now)
        if best is not None:
            return best.host == self.host
        last_contact_at = max(self.contacts.values(), default=self.started_at)
        overdue_s = now - last_contact_at - FALLBACK_AFTER_S
        if overdue_s < 0.0:
            return False
        turn = int(overdue_s / FALLBACK_TURN_S)
        others = len(ranked) - WATCHERS_PER_DOMAIN
        turn_count = -(-others // WATCHERS_PER_DOMAIN)
        own_turn = (rank - WATCHERS_PER_DOMAIN) // WATCHERS_PER_DOMAIN
        return turn % turn_count == own_turn


def rank_key(host: str) -> tuple[int, str]:
    """Orders hosts by a hash that is salted for this selection only."""
    return xxh64_intdigest(f'platform watch {host}'.encode()), host
