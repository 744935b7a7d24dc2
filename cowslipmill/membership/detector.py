"""Failure detection: which hosts to probe, suspect and declare gone."""

from collections.abc import Iterable
from random import Random

from msgspec.structs import replace

from cowslipmill.membership.record import EntryRecord
from cowslipmill.membership.record import HostRecord
from cowslipmill.membership.record import HostState
from cowslipmill.membership.replica import AgedRecord
from cowslipmill.membership.replica import Replica

GONE_RETENTION_S = 7200.0
SUSPECT_TIMEOUT_S = 3.0
LEAVING_TIMEOUT_S = 15.0
# A longer gap between ticks means that this process was suspended.
MAX_TICK_GAP_S = 1.5
# Hosts that are asked to probe a host which did not respond directly.
RELAY_COUNT = 2


class FailureDetector:
    """One agent's view of the membership, and its failure detector.

    Attributes:
        own: This host's own record.
        replica: Records of all hosts, including this one.
        probe_queue: Names of the hosts still to be probed in this round.
        unresponsive_since: Start of the current silence of each silent host,
            by name, in monotonic seconds: its first failed probe, or when a
            peer's suspicion arrived.
        ticked_at: Monotonic seconds of the last tick.
        last_heard_at: When a message of another host last arrived, or the
            start, in monotonic seconds.
    """

    __slots__ = (
        'last_heard_at',
        'own',
        'probe_queue',
        'replica',
        'ticked_at',
        'unresponsive_since',
    )

    def __init__(self, own: HostRecord, now: float) -> None:
        """Starts with this host as the only member."""
        self.own = own
        self.replica: Replica[HostRecord] = Replica(
            retention_s=GONE_RETENTION_S
        )
        self.replica.merge_one(own, now)
        self.unresponsive_since: dict[str, float] = {}
        self.probe_queue: list[str] = []
        self.ticked_at = now
        self.last_heard_at = now

    def others(self) -> list[HostRecord]:
        """Returns the records of all other hosts that are not gone."""
        return [
            record
            for record in self.replica.records.values()
            if record.name != self.own.name and not record.is_gone
        ]

    def merge(
        self, records: Iterable[AgedRecord[HostRecord]], now: float
    ) -> list[HostRecord]:
        """Merges records from peers.

        Returns:
            The records that changed and must be sent on to other hosts,
            including a refutation by this host.
        """
        changed = self.replica.merge(records, now)
        for record in changed:
            self.unresponsive_since.pop(record.name, None)
            if record.state is HostState.SUSPECT:
                self.unresponsive_since[record.name] = now
        stored_own = self.replica.records[self.own.name]
        if stored_own.version_key == self.own.version_key:
            return changed
        changed = [r for r in changed if r.name != self.own.name]
        return [*changed, self.refute(stored_own, now)]

    def refute(self, claimed: HostRecord, now: float) -> HostRecord:
        """Supersedes a wrong record of this host by a newer revision."""
        return self.update_own(
            replace(
                self.own,
                incarnation=max(claimed.incarnation, self.own.incarnation),
                revision=max(claimed.revision, self.own.revision),
            ),
            now,
        )

    def update_own(self, own: HostRecord, now: float) -> HostRecord:
        """Stores this host's record under its next revision."""
        self.own = replace(own, revision=own.revision + 1)
        self.replica.merge_one(self.own, now)
        return self.own

    def set_entries(
        self, entries: tuple[EntryRecord, ...], now: float
    ) -> HostRecord | None:
        """Sets this host's entries; returns its new record or None."""
        if entries == self.own.entries:
            return None
        return self.update_own(replace(self.own, entries=entries), now)

    def leave(self, now: float) -> HostRecord:
        """Marks this host as leaving and returns its new record."""
        return self.update_own(replace(self.own, state=HostState.LEAVING), now)

    def next_probe(self, random: Random) -> HostRecord | None:
        """Returns the next host to probe, or None if there is no other.

        Every host is probed once per round, in random order.
        """
        others = {record.name: record for record in self.others()}
        while self.probe_queue:
            record = others.get(self.probe_queue.pop())
            if record is not None:
                return record
        self.probe_queue = sorted(others)
        random.shuffle(self.probe_queue)
        return others[self.probe_queue.pop()] if self.probe_queue else None

    def probe_relays(self, target: str, random: Random) -> list[HostRecord]:
        """Returns hosts to probe an unresponsive host indirectly.

        Args:
            target: Name of the unresponsive host.
            random: Source of the random choice.
        """
        others = [
            record
            for record in self.others()
            if record.name != target and record.state is HostState.LIVE
        ]
        return random.sample(others, min(RELAY_COUNT, len(others)))

    def on_heard_from(self, name: str, now: float) -> None:
        """Ends the silence of a host from which a message arrived.

        A suspected host still has to refute the suspicion itself, so that
        all hosts receive its new revision.
        """
        self.last_heard_at = now
        known = self.replica.records.get(name)
        if known is not None and known.state is not HostState.SUSPECT:
            self.unresponsive_since.pop(name, None)

    def on_probe_failure(
        self, target: HostRecord, now: float
    ) -> list[HostRecord]:
        """Suspects a host after a failed direct and indirect probe.

        Args:
            target: The record of the probed host. If it has changed since
                the probe was sent, the host is not suspected.
            now: Monotonic seconds.

        Returns:
            The changed record, or nothing.
        """
        known = self.replica.records.get(target.name)
        if known is None or known.version_key != target.version_key:
            return []
        self.unresponsive_since.setdefault(target.name, now)
        if known.state is not HostState.LIVE:
            return []
        suspect = replace(known, state=HostState.SUSPECT)
        self.replica.merge_one(suspect, now)
        return [suspect]

    def tick(self, now: float) -> list[HostRecord]:
        """Declares hosts gone whose suspect or leaving timeout has passed.

        If this process was suspended, the suspect timeouts start again,
        because a refutation may have arrived meanwhile.

        Returns:
            The records that changed.
        """
        if now - self.ticked_at > MAX_TICK_GAP_S:
            self.unresponsive_since = dict.fromkeys(
                self.unresponsive_since, now
            )
        self.ticked_at = now
        self.replica.purge_expired(now)
        changed = []
        for record in self.others():
            if self.has_timed_out(record, now):
                gone = replace(record, state=HostState.GONE)
                self.replica.merge_one(gone, now)
                self.unresponsive_since.pop(record.name, None)
                changed.append(gone)
        return changed

    def has_timed_out(self, record: HostRecord, now: float) -> bool:
        """Returns whether a host's suspect or leaving timeout has passed."""
        if record.state is HostState.LIVE:
            return False
        if record.state is HostState.LEAVING:
            age_s = now - self.replica.changed_at[record.name]
            if age_s > LEAVING_TIMEOUT_S:
                return True
        since = self.unresponsive_since.get(record.name)
        return since is not None and now - since > SUSPECT_TIMEOUT_S
