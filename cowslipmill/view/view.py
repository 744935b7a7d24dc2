"""What is in force: the newest configuration and the servers.

Versions and revisions only grow, so that merging what the store, and what
other hosts say gives the same view in any order.
"""

from collections.abc import Iterable
from functools import singledispatchmethod
from logging import getLogger

from msgspec import Struct
from msgspec.structs import replace

from cowslipmill.peers.codec import Malformed
from cowslipmill.view.change import ConfigurationChange
from cowslipmill.view.change import difference
from cowslipmill.view.change import with_change
from cowslipmill.view.configuration import Configuration
from cowslipmill.view.configuration import Service
from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.events import ServerRemoved
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.missing import find_gone
from cowslipmill.view.packed import pack
from cowslipmill.view.packed import PackedConfiguration
from cowslipmill.view.packed import unpack
from cowslipmill.view.server import KnownServer
from cowslipmill.view.server import ServerRecord

LOG = getLogger(__name__)

# Time for which a leaving server goes on serving, unless settings say more.
LEAVING_S = 2.0
MAX_REMOVED = 4_096


class Snapshot(Struct, frozen=True, array_like=True, tag='snapshot'):
    """A view as told to another host, whole or since a revision.

    Attributes:
        revision: The store's revision that it holds.
        age_s: How long ago the store said so; infinite if it never did.
        configuration: The configuration, if it is news.
        servers: Records with their revisions.
        removed: Removed servers with their revisions.
    """

    revision: int
    age_s: float
    configuration: PackedConfiguration | None
    servers: tuple[tuple[ServerRecord, int], ...]
    removed: tuple[tuple[str, int], ...]


class View:
    """The newest configuration and the servers.

    Attributes:
        leaving_s: How long a leaving server goes on serving.
        configuration: The highest version seen, or None.
        previous: The version that was in force before it.
        services: Its services by name.
        servers: Servers by name, also those whose entry just vanished.
        removed: Revision at which a server's entry vanished, by name.
        revision: The store's revision that the view holds.
        synced_at: When the store was known to say so.
        generation: Grows with each change that matters to requests.
        packed: The configuration as another host handed it over.
        gap_until: Revision up to which some, not all, changes are held.
    """

    def __init__(self, *, leaving_s: float = LEAVING_S) -> None:
        """Starts without knowledge."""
        self.leaving_s = leaving_s
        self.configuration: Configuration | None = None
        self.previous: Configuration | None = None
        self.services: dict[str, Service] = {}
        self.servers: dict[str, KnownServer] = {}
        self.removed: dict[str, int] = {}
        self.revision = 0
        self.synced_at = float('-inf')
        self.generation = 0
        self.gap_until = 0
        self.packed: PackedConfiguration | None = None

    @property
    def usable(self) -> bool:
        """Whether requests can be routed by it."""
        return self.configuration is not None and bool(self.servers)

    def age_ms(self, now: float) -> int | None:
        """Returns the age of what the store said; None if it never did."""
        if self.synced_at == float('-inf'):
            return None
        return round((now - self.synced_at) * 1000)

    def apply_events(
        self, events: Iterable[StoreEvent], now: float
    ) -> list[StoreEvent]:
        """Takes in events and returns those that changed something.

        Args:
            events: Events in their order.
            now: Monotonic seconds.
        """
        changed = [event for event in events if self.take(event, now)]
        if changed:
            self.generation += 1
        return changed

    @singledispatchmethod
    def take(self, event: object, now: float) -> bool:
        """Takes in one event and tells whether it changed something."""
        raise TypeError(f'{type(event).__name__} is no event')

    @take.register
    def take_configuration(
        self, event: ConfigurationUpdated, now: float
    ) -> bool:
        """Keeps a configuration with a higher version."""
        known = self.configuration
        if known is not None and event.configuration.version <= known.version:
            return False
        self.previous = known
        self.configuration = event.configuration
        services = event.configuration.services
        self.services = {service.name: service for service in services}
        return True

    @take.register
    def take_server(self, event: ServerUpdated, now: float) -> bool:
        """Keeps a newer record.

        A heartbeat of an earlier incarnation may be stored after the first
        one of its successor, which goes on sending its own.
        """
        record = event.record
        if self.removed.get(record.name, 0) >= event.revision:
            return False
        known = self.servers.get(record.name)
        if known is None:
            self.servers[record.name] = KnownServer(record, event.revision)
            return True
        if event.revision <= known.revision:
            return False
        known.revision = event.revision
        lapsed = known.missing_since is not None
        if not lapsed and record.started_ms < known.record.started_ms:
            return False
        same = replace(known.record, warm_up_s=record.warm_up_s) == record
        changed = lapsed or not same
        known.missing_since = None
        if changed:
            known.record = record
        return changed

    @take.register
    def take_removal(self, event: ServerRemoved, now: float) -> bool:
        """Marks a server whose entry vanished."""
        self.note_removed(event.name, event.revision)
        known = self.servers.get(event.name)
        if known is None or known.revision > event.revision:
            return False
        if known.record.leaving:
            del self.servers[event.name]
            return True
        if known.missing_since is not None:
            return False
        known.missing_since = now
        return True

    def note_removed(self, name: str, revision: int) -> None:
        """Keeps the revision of a removal within a bound."""
        known = self.removed.pop(name, 0)
        self.removed[name] = max(known, revision)
        if len(self.removed) > MAX_REMOVED:
            del self.removed[next(iter(self.removed))]

    def retain(
        self, names: set[str], revision: int, now: float
    ) -> list[StoreEvent]:
        """Marks the servers that a full read of the store didn't name.

        Args:
            names: Servers that the store holds.
            revision: Its revision when the read began.
            now: Monotonic seconds.
        """
        missing = [
            ServerRemoved(name, revision)
            for name, known in self.servers.items()
            if name not in names and known.revision <= revision
        ]
        return self.apply_events(missing, now)

    def advance(self, revision: int, synced_at: float) -> None:
        """Notes how far the view is, and when the store said so."""
        self.revision = max(self.revision, revision)
        self.synced_at = max(self.synced_at, synced_at)

    @property
    def version(self) -> int:
        """The configuration's version; 0 for none."""
        return self.configuration.version if self.configuration else 0

    def note_gap(self, revision: int) -> None:
        """Notes that changes up to a revision came without those before."""
        self.gap_until = max(self.gap_until, revision)

    @property
    def has_gap(self) -> bool:
        """Whether the view holds changes beyond its revision."""
        return self.gap_until > self.revision

    def drop_missing(self, now: float) -> list[str]:
        """Drops servers whose entries didn't come back in time."""
        gone = find_gone(self.servers, self.leaving_s, now)
        for name in gone:
            del self.servers[name]
        if gone:
            self.generation += 1
        return gone

    def snapshot(
        self, now: float, *, since: int = 0, version: int = 0
    ) -> Snapshot:
        """Returns what another host needs to know the same.

        Args:
            now: Monotonic seconds.
            since: Revision up to which that host knows everything.
            version: Version of the configuration that it has.
        """
        packed = self.packed_configuration()
        if packed is not None and packed.version <= version:
            packed = None
        return Snapshot(
            revision=self.revision,
            age_s=now - self.synced_at,
            configuration=packed,
            servers=tuple(
                (known.record, known.revision)
                for known in self.servers.values()
                if known.missing_since is None and known.revision > since
            ),
            removed=tuple(
                (name, revision)
                for name, revision in self.removed.items()
                if revision > since
            ),
        )

    def packed_configuration(self) -> PackedConfiguration | None:
        """Returns the configuration for other hosts; packs it once."""
        if self.configuration is None:
            return None
        packed = self.packed
        if packed is None or packed.version != self.configuration.version:
            packed = pack(self.configuration)
            self.packed = packed
        return packed

    def configuration_change(self) -> ConfigurationChange | None:
        """Returns what changed with the present configuration, if known."""
        if self.configuration is None or self.previous is None:
            return None
        return difference(self.previous, self.configuration)

    def changed(self, change: ConfigurationChange) -> list[StoreEvent] | None:
        """Returns the event of a change that is news, or nothing.

        None if the change applies to another version than this view has.
        """
        if change.version <= self.version:
            return []
        if self.configuration is None or change.base != self.version:
            return None
        return [ConfigurationUpdated(with_change(self.configuration, change))]

    def unpacked(self, packed: PackedConfiguration) -> list[StoreEvent]:
        """Returns the event of a configuration that is news, or nothing."""
        known = self.configuration
        if known is not None and packed.version <= known.version:
            return []
        configuration = unpack(packed)
        if isinstance(configuration, Malformed):
            LOG.warning(
                'configuration not usable',
                extra={
                    'version': packed.version,
                    'reason': configuration.reason,
                },
            )
            return []
        self.packed = packed
        return [ConfigurationUpdated(configuration)]

    def merge(self, snapshot: Snapshot, now: float) -> list[StoreEvent]:
        """Takes in another host's view and returns what changed."""
        events: list[StoreEvent] = []
        if snapshot.configuration is not None:
            events += self.unpacked(snapshot.configuration)
        events += [ServerUpdated(*entry) for entry in snapshot.servers]
        events += [ServerRemoved(*entry) for entry in snapshot.removed]
        changed = self.apply_events(events, now)
        self.advance(snapshot.revision, now - snapshot.age_s)
        return changed

    def available_servers(self, service: str) -> list[KnownServer]:
        """Returns the servers of a service that take new work."""
        return [
            known
            for known in self.servers.values()
            if known.record.service == service and not known.record.leaving
        ]
