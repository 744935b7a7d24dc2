"""Decides whom to probe, who is suspected and who is gone."""

from collections.abc import Iterable
from random import Random

from msgspec.structs import replace

from cowslipmill.membership.record import EntryRecord
from cowslipmill.membership.record import HostRecord
from cowslipmill.membership.record import HostState
from cowslipmill.membership.replica import AgedRecord
from cowslipmill.membership.replica import Replica

GONE_MEMORY_S = 7200.0
SUSPECT_S = 3.0
LEAVING_S = 15.0
LATE_WAKE_S = 1.5
HELPER_COUNT = 2


class FailureDetector:
    """The membership of one agent.

    Attributes:
        own: The record of this host.
        replica: Records of all hosts, with this one's.
        silent_since: When each live host last failed to answer in any way.
        round: Hosts still to be probed in this round.
        ticked_at: Monotonic seconds of the last tick.
        last_heard_at: When another host was last heard, or the start.
    """

    __slots__ = (
        'last_heard_at',
        'own',
        'replica',
        'round',
        'silent_since',
        'ticked_at',
    )

    def __init__(self, own: HostRecord, now: float) -> None:
        """Starts with this host alone."""
        self.own = own
        self.replica: Replica[HostRecord] = Replica(memory_s=GONE_MEMORY_S)
        self.replica.merge_one(own, now)
        self.silent_since: dict[str, float] = {}
        self.round: list[str] = []
        self.ticked_at = now
        self.last_heard_at = now

    def others(self) -> list[HostRecord]:
        """Returns the hosts that are not gone, without this one."""
        return [
            record
            for record in self.replica.records.values()
            if record.name != self.own.name and not record.is_gone
        ]

    def merge(
        self, news: Iterable[AgedRecord[HostRecord]], now: float
    ) -> list[HostRecord]:
        """Takes in records of peers.

        Returns:
            What is news and must be told on, a refutation included.
        """
        found = self.replica.merge(news, now)
        for record in found:
            self.silent_since.pop(record.name, None)
            if record.state is HostState.SUSPECT:
                self.silent_since[record.name] = now
        mine = self.replica.records[self.own.name]
        if mine.key == self.own.key:
            return found
        found = [r for r in found if r.name != self.own.name]
        return [*found, self.refute(mine, now)]

    def refute(self, told: HostRecord, now: float) -> HostRecord:
        """Supersedes what others wrongly tell of this host."""
        return self.change(
            replace(
                self.own,
                incarnation=max(told.incarnation, self.own.incarnation),
                revision=max(told.revision, self.own.revision),
            ),
            now,
        )

    def change(self, own: HostRecord, now: float) -> HostRecord:
        """Puts a new revision of this host's record in the table."""
        self.own = replace(own, revision=own.revision + 1)
        self.replica.merge_one(self.own, now)
        return self.own

    def set_entries(
        self, entries: tuple[EntryRecord, ...], now: float
    ) -> HostRecord | None:
        """Changes this host's entries and returns what is news."""
        if entries == self.own.entries:
            return None
        return self.change(replace(self.own, entries=entries), now)

    def leave(self, now: float) -> HostRecord:
        """Marks this host as leaving."""
        return self.change(replace(self.own, state=HostState.LEAVING), now)

    def next_probe(self, random: Random) -> HostRecord | None:
        """Returns the next host to probe; each has its turn in a round."""
        others = {record.name: record for record in self.others()}
        while self.round:
            record = others.get(self.round.pop())
            if record is not None:
                return record
        self.round = sorted(others)
        random.shuffle(self.round)
        return others[self.round.pop()] if self.round else None

    def probe_relays(self, target: str, random: Random) -> list[HostRecord]:
        """Returns hosts that may probe a silent one in this one's place."""
        others = [
            record
            for record in self.others()
            if record.name != target and record.state is HostState.LIVE
        ]
        return random.sample(others, min(HELPER_COUNT, len(others)))

    def on_heard_from(self, name: str, now: float) -> None:
        """Notes that another host was heard.

        A suspected host still has to refute the suspicion itself, so that
        everybody hears of it.
        """
        self.last_heard_at = now
        known = self.replica.records.get(name)
        if known is not None and known.state is not HostState.SUSPECT:
            self.silent_since.pop(name, None)

    def on_probe_failure(
        self, target: HostRecord, now: float
    ) -> list[HostRecord]:
        """Suspects a host that answered neither this one nor the helpers.

        Args:
            target: The record that was probed; a newer one is not suspected.
            now: Monotonic seconds.

        Returns:
            What is news.
        """
        known = self.replica.records.get(target.name)
        if known is None or known.key != target.key:
            return []
        self.silent_since.setdefault(target.name, now)
        if known.state is not HostState.LIVE:
            return []
        suspect = replace(known, state=HostState.SUSPECT)
        self.replica.merge_one(suspect, now)
        return [suspect]

    def tick(self, now: float) -> list[HostRecord]:
        """Moves hosts on that have been silent for too long.

        A process that slept gives every suspect its whole time again, as a
        refutation may have come meanwhile.

        Returns:
            What is news.
        """
        if now - self.ticked_at > LATE_WAKE_S:
            self.silent_since = dict.fromkeys(self.silent_since, now)
        self.ticked_at = now
        self.replica.forget_old(now)
        news = []
        for record in self.others():
            if self.is_overdue(record, now):
                gone = replace(record, state=HostState.GONE)
                self.replica.merge_one(gone, now)
                self.silent_since.pop(record.name, None)
                news.append(gone)
        return news

    def is_overdue(self, record: HostRecord, now: float) -> bool:
        """Tells whether a host has used up its time."""
        if record.state is HostState.LIVE:
            return False
        if record.state is HostState.LEAVING:
            age_s = now - self.replica.changed_at[record.name]
            if age_s > LEAVING_S:
                return True
        since = self.silent_since.get(record.name)
        return since is not None and now - since > SUSPECT_S
