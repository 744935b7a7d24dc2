"""A host's view of the store: the newest configuration and the servers.

Versions and revisions only increase, so events from the store and from other
hosts lead to the same view in whatever order they are applied. A store that
comes back from an older copy holds servers that have left since; they stay so.
"""

from collections.abc import Iterable
from functools import singledispatchmethod
from logging import getLogger

from msgspec import Struct
from msgspec.structs import replace

from cowslipmill.peers.codec import Malformed
from cowslipmill.runtime.names import Name
from cowslipmill.view.change import apply_change
from cowslipmill.view.change import ConfigurationChange
from cowslipmill.view.change import diff_configurations
from cowslipmill.view.configuration import Configuration
from cowslipmill.view.configuration import Service
from cowslipmill.view.evacuations import Evacuations
from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.events import EvacuationChanged
from cowslipmill.view.events import ServerRemoved
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.events import StoreEvent
from cowslipmill.view.missing import find_expired
from cowslipmill.view.packed import pack
from cowslipmill.view.packed import PackedConfiguration
from cowslipmill.view.packed import unpack
from cowslipmill.view.revision import era_of
from cowslipmill.view.server import KnownServer
from cowslipmill.view.server import ServerRecord

LOG = getLogger(__name__)

# Seconds for which a leaving server still serves, unless the settings say
# otherwise.
DEFAULT_LEAVING_S = 2.0
# Maximum number of removed servers whose revisions are kept.
MAX_REMOVED_SERVERS = 4_096
# Maximum number of servers that have left whose starts are kept, for a copy of
# the store that is some seconds old.
MAX_DEPARTED_SERVERS = 512
# Servers beyond this number are not used; the largest deployments have some
# hundreds.
MAX_SERVERS = 4_096


class Snapshot(Struct, frozen=True, array_like=True, tag='snapshot'):
    """A view as sent to another host, whole or since a revision.

    Attributes:
        revision: Store revision of the view.
        age_s: Seconds since the view was known to agree with the store;
            infinite if it never was.
        configuration: The configuration; None if the other host has it.
        servers: Server records with the revisions of their entries.
        removed: Names of removed servers with the revisions of the removals.
        departed: Names and starts, in Unix milliseconds, of servers that had
            said that they leave and are gone.
        evacuations: The newest change of each failure domain's evacuation,
            whatever part of the view the other host lacks.
        evacuations_until: Store revision up to which the sender knows all
            evacuations; 0 from a host of an older build.
    """

    revision: int
    age_s: float
    configuration: PackedConfiguration | None
    servers: tuple[tuple[ServerRecord, int], ...]
    removed: tuple[tuple[Name, int], ...]
    departed: tuple[tuple[Name, int], ...] = ()
    evacuations: tuple[EvacuationChanged, ...] = ()
    evacuations_until: int = 0


class View:
    """The newest configuration and the servers.

    Attributes:
        leaving_s: Seconds for which a leaving server still serves.
        announced_leaving: Starts, in Unix milliseconds, of the servers that
            said themselves that they leave, by name.
        departed: Starts, in Unix milliseconds, of the servers that had said
            that they leave and whose entries were removed, by name.
        configuration: The highest version seen; None if none was.
        previous_configuration: The version that was in force before it.
        services: The configuration's services by name.
        servers: Servers by name, including missing ones.
        removed_revisions: Revisions of the removals of servers' entries, by
            server name.
        revision: Store revision up to which the view holds every change.
        synced_at: Monotonic seconds as of which the view was known to agree
            with the store; negative infinity if it never was.
        generation: Counter, increases with each change of the configuration
            or the servers.
        packed: A compressed configuration, received or built; it may be of
            an older version.
        gap_until: Revision up to which some changes were received without all
            of those before.
        evacuations: The failure domains that are evacuated.
    """

    def __init__(self, *, leaving_s: float = DEFAULT_LEAVING_S) -> None:
        """Starts with an empty view."""
        self.leaving_s = leaving_s
        self.announced_leaving: dict[str, int] = {}
        self.departed: dict[str, int] = {}
        self.configuration: Configuration | None = None
        self.previous_configuration: Configuration | None = None
        self.services: dict[str, Service] = {}
        self.servers: dict[str, KnownServer] = {}
        self.removed_revisions: dict[str, int] = {}
        self.revision = 0
        self.synced_at = float('-inf')
        self.generation = 0
        self.gap_until = 0
        self.packed: PackedConfiguration | None = None
        self.evacuations = Evacuations()

    @property
    def usable(self) -> bool:
        """Whether a configuration and at least one server are known."""
        return self.configuration is not None and bool(self.servers)

    def age_ms(self, now: float) -> int | None:
        """Returns milliseconds since the view agreed with the store, or None.

        None if it never did.

        Args:
            now: Monotonic seconds.
        """
        if self.synced_at == float('-inf'):
            return None
        return round((now - self.synced_at) * 1000)

    def apply_events(
        self, events: Iterable[StoreEvent], now: float
    ) -> list[StoreEvent]:
        """Applies events and returns those that changed the view.

        Args:
            events: The events, in order.
            now: Monotonic seconds.
        """
        applied = [event for event in events if self.apply_event(event, now)]
        if applied:
            self.generation += 1
        return applied

    @singledispatchmethod
    def apply_event(self, event: object, now: float) -> bool:
        """Applies one event and returns whether it changed the view.

        Raises:
            TypeError: If the object is no event of the store.
        """
        raise TypeError(f'{type(event).__name__} is not a StoreEvent')

    @apply_event.register
    def apply_configuration(
        self, event: ConfigurationUpdated, now: float
    ) -> bool:
        """Applies a configuration if its version is higher."""
        current = self.configuration
        if (
            current is not None
            and event.configuration.version <= current.version
        ):
            return False
        self.previous_configuration = current
        self.configuration = event.configuration
        services = event.configuration.services
        self.services = {service.name: service for service in services}
        return True

    @apply_event.register
    def apply_server(self, event: ServerUpdated, now: float) -> bool:
        """Applies a server's record if its entry is newer.

        The record of an earlier incarnation is ignored: its last heartbeat
        may reach the store after the first one of its successor, which keeps
        sending its own. A missing server's entry is applied whatever its
        incarnation, unless it is of an older copy of the store, which can't
        bring a server back that has left. An entry that differs only in its
        warm-up counts as a change if the server has turned cold.
        """
        record = event.record
        if self.removed_revisions.get(record.name, 0) >= event.revision:
            return False
        if record.started_ms <= self.departed.get(record.name, -1):
            return False
        if self.announced_leaving.get(record.name) == record.started_ms:
            record = replace(record, leaving=True)
        known = self.servers.get(record.name)
        if known is None:
            if len(self.servers) >= MAX_SERVERS:
                LOG.warning('too many servers', extra={'server': record.name})
                return False
            self.servers[record.name] = KnownServer(
                record, event.revision, now
            )
            return True
        if event.revision == known.revision:
            return self.apply_known_entry(known, record, now)
        if event.revision < known.revision:
            return False
        new_era = era_of(event.revision) > era_of(known.revision)
        known.revision = event.revision
        missing = known.missing_since is not None
        started_before = record.started_ms < known.record.started_ms
        if started_before and (new_era or not missing):
            return False
        if new_era and record.started_ms == known.record.started_ms:
            leaving = record.leaving or known.record.leaving
            record = replace(record, leaving=leaving)
        same = replace(known.record, warm_up_s=record.warm_up_s) == record
        changed = missing or not same or known.turns_cold(record, now)
        known.missing_since = None
        known.cold_until = now + record.warm_up_s
        if changed:
            known.record = record
        return changed

    def apply_known_entry(
        self, known: KnownServer, record: ServerRecord, now: float
    ) -> bool:
        """Applies what another host makes of the entry that is known here.

        It may have learned in an earlier era that the server leaves, or has
        started anew.
        """
        if record.started_ms < known.record.started_ms:
            return False
        if record.started_ms == known.record.started_ms:
            if known.record.leaving or not record.leaving:
                return False
        else:
            known.cold_until = now + record.warm_up_s
        known.record = record
        return True

    def record_leaving(self, name: str, started_ms: int) -> list[StoreEvent]:
        """Records that a server itself said that it leaves.

        It stands for this incarnation, whatever its entry in the store says,
        also if that is away or still of an earlier one. Beyond
        `MAX_REMOVED_SERVERS` the earliest ones are forgotten.

        Args:
            name: The server's name.
            started_ms: Unix milliseconds of the server's start.

        Returns:
            The change of the view, if there is one.
        """
        known = self.servers.get(name)
        known_ms = known.record.started_ms if known is not None else -1
        if started_ms < max(known_ms, self.announced_leaving.get(name, -1)):
            return []
        self.announced_leaving[name] = started_ms
        if len(self.announced_leaving) > MAX_REMOVED_SERVERS:
            del self.announced_leaving[next(iter(self.announced_leaving))]
        if known is None or known_ms != started_ms or known.record.leaving:
            return []
        known.record = replace(known.record, leaving=True)
        self.generation += 1
        return [ServerUpdated(known.record, known.revision)]

    @apply_event.register
    def apply_removal(self, event: ServerRemoved, now: float) -> bool:
        """Drops a server that had announced to leave; marks others missing."""
        self.record_removal(event.name, event.revision)
        known = self.servers.get(event.name)
        if known is None or known.revision > event.revision:
            return False
        if known.record.leaving:
            del self.servers[event.name]
            self.record_departure(event.name, known.record.started_ms)
            return True
        if known.missing_since is not None:
            return False
        known.missing_since = now
        return True

    @apply_event.register
    def apply_evacuation(self, event: EvacuationChanged, now: float) -> bool:
        """Applies the begin or the end of an evacuation if it is newer."""
        return self.evacuations.apply(event)

    def record_departure(self, name: str, started_ms: int) -> None:
        """Keeps the start of a server that has left as it had said.

        Beyond `MAX_DEPARTED_SERVERS` the one recorded longest ago is
        forgotten.

        Args:
            name: The server's name.
            started_ms: Unix milliseconds of its start.
        """
        previous = self.departed.pop(name, -1)
        self.departed[name] = max(previous, started_ms)
        if len(self.departed) > MAX_DEPARTED_SERVERS:
            del self.departed[next(iter(self.departed))]

    def record_removal(self, name: str, revision: int) -> None:
        """Keeps the revision of a removal, so that older entries are ignored.

        Beyond `MAX_REMOVED_SERVERS` the removal recorded longest ago is
        forgotten.
        """
        previous = self.removed_revisions.pop(name, 0)
        self.removed_revisions[name] = max(previous, revision)
        if len(self.removed_revisions) > MAX_REMOVED_SERVERS:
            del self.removed_revisions[next(iter(self.removed_revisions))]

    def mark_missing(
        self, names: set[str], revision: int, now: float
    ) -> list[StoreEvent]:
        """Applies the removal of servers that a full read did not return.

        Args:
            names: Names of the servers whose entries the store holds.
            revision: The store's revision when the read began.
            now: Monotonic seconds.

        Returns:
            The removals that changed the view.
        """
        missing = [
            ServerRemoved(name, revision)
            for name, known in self.servers.items()
            if name not in names and known.revision <= revision
        ]
        return self.apply_events(missing, now)

    def advance(
        self,
        revision: int,
        synced_at: float,
        *,
        evacuations_until: int | None = None,
    ) -> None:
        """Advances the view's revision and time of synchronisation.

        Args:
            revision: Store revision up to which all changes were applied.
            synced_at: Monotonic seconds as of which that was the store's
                revision.
            evacuations_until: Store revision up to which all evacuations are
                known; None for `revision`.
        """
        self.revision = max(self.revision, revision)
        self.synced_at = max(self.synced_at, synced_at)
        until = revision if evacuations_until is None else evacuations_until
        behind = until < revision
        self.evacuations.advance(until, float('-inf') if behind else synced_at)

    @property
    def complete_at(self) -> float:
        """Monotonic seconds as of which all of the view was the store's.

        Unlike `synced_at`, updates without the evacuations don't count.
        """
        return min(self.synced_at, self.evacuations.synced_at)

    @property
    def complete_revision(self) -> int:
        """Store revision up to which all changes and evacuations are known."""
        return min(self.revision, self.evacuations.known_until)

    @property
    def version(self) -> int:
        """The configuration's version; 0 for none."""
        return self.configuration.version if self.configuration else 0

    def record_gap(self, revision: int) -> None:
        """Records that changes up to a revision came without all before."""
        self.gap_until = max(self.gap_until, revision)

    @property
    def has_gap(self) -> bool:
        """Whether the view holds changes beyond its revision."""
        return self.gap_until > self.revision

    def drop_missing(self, now: float) -> list[str]:
        """Drops missing servers whose grace period is over.

        Args:
            now: Monotonic seconds.

        Returns:
            The names of the dropped servers.
        """
        expired = find_expired(self.servers, self.leaving_s, now)
        for name in expired:
            del self.servers[name]
        if expired:
            self.generation += 1
        return expired

    def snapshot(
        self, now: float, *, since: int = 0, version: int = 0
    ) -> Snapshot:
        """Returns the part of the view that another host lacks.

        Args:
            now: Monotonic seconds.
            since: Store revision of the other host's view; 0 for everything.
            version: Version of its configuration; 0 for none.
        """
        packed = self.packed_configuration()
        if packed is not None and packed.version <= version:
            packed = None
        return Snapshot(
            revision=self.revision,
            age_s=now - self.synced_at,
            configuration=packed,
            servers=tuple(
                (known.record_at(now), known.revision)
                for known in self.servers.values()
                if known.missing_since is None and known.revision > since
            ),
            removed=tuple(
                (name, revision)
                for name, revision in self.removed_revisions.items()
                if revision > since
            ),
            departed=tuple(self.departed.items()),
            evacuations=tuple(self.evacuations.changes.values()),
            evacuations_until=self.evacuations.known_until,
        )

    def packed_configuration(self) -> PackedConfiguration | None:
        """Returns the configuration, compressed at most once per version."""
        if self.configuration is None:
            return None
        packed = self.packed
        if packed is None or packed.version != self.configuration.version:
            packed = pack(self.configuration)
            self.packed = packed
        return packed

    def configuration_change(self) -> ConfigurationChange | None:
        """Returns the change from the previous configuration to this one.

        None if either is not known, or if two routes have the same name.
        """
        if self.configuration is None or self.previous_configuration is None:
            return None
        return diff_configurations(
            self.previous_configuration, self.configuration
        )

    def events_of_change(
        self, change: ConfigurationChange
    ) -> list[StoreEvent] | None:
        """Converts a change of the configuration to events.

        Returns:
            One event; no event if the view has this version or a newer one;
            None if the change applies to another version than the view has.
        """
        if change.version <= self.version:
            return []
        if self.configuration is None or change.base != self.version:
            return None
        return [ConfigurationUpdated(apply_change(self.configuration, change))]

    def events_of_packed(
        self, packed: PackedConfiguration
    ) -> list[StoreEvent]:
        """Converts a compressed configuration to events.

        Returns:
            One event; none if the view has this version or a newer one, or if
            the data is invalid.
        """
        current = self.configuration
        if current is not None and packed.version <= current.version:
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
        """Applies another host's snapshot.

        Args:
            snapshot: The snapshot.
            now: Monotonic seconds.

        Returns:
            The events that changed the view.
        """
        events: list[StoreEvent] = []
        for name, started_ms in snapshot.departed:
            self.record_departure(name, started_ms)
            known = self.servers.get(name)
            if known is not None and known.record.started_ms <= started_ms:
                known.record = replace(known.record, leaving=True)
                events.append(ServerRemoved(name, known.revision))
        if snapshot.configuration is not None:
            events += self.events_of_packed(snapshot.configuration)
        events += [ServerUpdated(*entry) for entry in snapshot.servers]
        events += [ServerRemoved(*entry) for entry in snapshot.removed]
        events += self.evacuations.events_of_list(
            snapshot.evacuations, snapshot.evacuations_until
        )
        applied = self.apply_events(events, now)
        self.advance(
            snapshot.revision,
            now - snapshot.age_s,
            evacuations_until=snapshot.evacuations_until,
        )
        return applied

    def available_servers(self, service: str) -> list[KnownServer]:
        """Returns the servers of a service that accept new requests.

        Those of evacuated failure domains are left out.
        """
        evacuated = self.evacuations.active
        return [
            known
            for known in self.servers.values()
            if known.record.service == service
            and not known.record.leaving
            and known.record.failure_domain not in evacuated
        ]
