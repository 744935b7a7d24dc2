"""The list of known hosts, their rankings, and the backoff of failed ones."""

from collections.abc import Iterable
from hashlib import blake2b
from math import floor
from math import inf
from math import log2

from msgspec.structs import replace

from cowslipmill.coordination.rendezvous import rank
from cowslipmill.fleet.messages import Member
from cowslipmill.runtime.backoff import doubled
from cowslipmill.runtime.names import BoundedDict

# Time for which a host that didn't respond is not used; doubles with each
# further failure.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
# A host that fails again within this time has a longer backoff.
REPEAT_FAILURE_WINDOW_S = 10.0
# Limit of the member list; further hosts are ignored.
MAX_MEMBERS = 8_192
# Rankings that are kept until the hosts change. Each lists all hosts.
MAX_RANKINGS = 1_024


class MemberState:
    """The state of one host.

    Attributes:
        member: The host.
        backoff_until: Monotonic seconds until which it is not used.
        failures: Failures in a row, each within the window of the one before.
        failed_at: Monotonic seconds of the last failure.
        leaving: Whether it announced that it stops.
    """

    __slots__ = (
        'backoff_until',
        'failed_at',
        'failures',
        'leaving',
        'member',
    )

    def __init__(self, member: Member) -> None:
        """Starts without failures."""
        self.member = member
        self.backoff_until = 0.0
        self.failures = 0
        self.failed_at = float('-inf')
        self.leaving = False


class MemberList:
    """All known hosts, including this one.

    Attributes:
        own: This host.
        states: States of the hosts by name.
        rankings: Rankings of the hosts by purpose, failure domain and whether
            they are by capacity.
    """

    def __init__(self, own: Member) -> None:
        """Starts with this host alone."""
        self.own = own
        self.states: dict[str, MemberState] = {own.name: MemberState(own)}
        self.cached_digest: int | None = None
        self.rankings: dict[tuple[str, str, bool], list[MemberState]] = (
            BoundedDict(MAX_RANKINGS)
        )

    def add(self, members: Iterable[Member]) -> list[Member]:
        """Adds hosts and returns those that are new or restarted.

        Args:
            members: Hosts; those that are known with the same or a later
                start are ignored, and so is this host.
        """
        added = []
        for member in members:
            state = self.states.get(member.name)
            if state is not None and (
                state.member.started_ms >= member.started_ms
            ):
                self.learn_processor(state, member)
                continue
            if state is None and len(self.states) >= MAX_MEMBERS:
                continue
            if member.name == self.own.name:
                continue
            self.states[member.name] = MemberState(member)
            added.append(member)
        if added:
            self.rankings.clear()
            self.cached_digest = None
        return added

    def learn_processor(self, state: MemberState, member: Member) -> None:
        """Records the processor time of a host that is known without it.

        A host of an older build passes a member on without this field.

        Args:
            state: The host as it is known.
            member: The host as another one knows it.
        """
        known = state.member
        if known.started_ms == member.started_ms and not known.processor:
            if member.processor:
                state.member = replace(known, processor=member.processor)
                self.rankings.clear()
                self.cached_digest = None

    def all_tell_capacity(self) -> bool:
        """Returns whether all hosts that stay tell their processor time.

        One that doesn't is of an older build, which ranks by hashing alone,
        and both builds have to rank the hosts of each failure domain alike.
        """
        return all(
            state.leaving or 0.0 < state.member.processor < inf
            for state in self.states.values()
        )

    def mark_leaving(self, name: str, started_ms: int) -> None:
        """Records that a host stops.

        Args:
            name: The host's name.
            started_ms: Unix milliseconds of the start of the process that
                stops; ignored if the host has restarted since.
        """
        state = self.states.get(name)
        if state is not None and state.member.started_ms <= started_ms:
            state.leaving = True
            self.rankings.clear()

    def members(self) -> tuple[Member, ...]:
        """Returns all known hosts."""
        return tuple(state.member for state in self.states.values())

    def failure_domains(self) -> list[str]:
        """Returns the failure domains of the known hosts, sorted."""
        return sorted({m.failure_domain for m in self.members()})

    def other_members(self, failure_domain: str | None = None) -> list[Member]:
        """Returns the other hosts, of one failure domain or of all (None)."""
        return [
            member
            for member in self.members()
            if member.name != self.own.name
            and failure_domain in (None, member.failure_domain)
        ]

    def digest(self) -> int:
        """Returns a hash over the names and starts of the known hosts."""
        if self.cached_digest is None:
            self.cached_digest = self.compute_digest()
        return self.cached_digest

    def compute_digest(self) -> int:
        """Computes the hash of `digest`.

        It includes the processor times once all hosts tell theirs, so that a
        host that lacks some learns them by a comparison. Older builds hash
        names and starts alone.
        """
        lines = [f'{m.name} {m.started_ms}' for m in self.members()]
        if all(m.processor for m in self.members()):
            lines = [
                f'{m.name} {m.started_ms} {m.processor}'
                for m in self.members()
            ]
        text = '\n'.join(sorted(lines))
        raw = blake2b(text.encode(), digest_size=6).digest()
        return int.from_bytes(raw, 'big')

    def ranked_members(
        self,
        purpose: str,
        failure_domain: str,
        now: float,
        *,
        by_capacity: bool = False,
    ) -> list[Member]:
        """Returns the usable hosts, ranked by rendezvous hashing.

        They are those of `ranked_states` that aren't in their backoff.

        Args:
            purpose: What the hosts are ranked for, such as a service's name;
                each purpose has its own ranking.
            failure_domain: Failure domain of the hosts; empty for all.
            now: Monotonic seconds.
            by_capacity: Whether hosts with more processor time come first.
        """
        ranked = self.ranked_states(
            purpose, failure_domain, by_capacity=by_capacity
        )
        return [state.member for state in ranked if now >= state.backoff_until]

    def ranked_states(
        self, purpose: str, failure_domain: str, *, by_capacity: bool = False
    ) -> list[MemberState]:
        """Returns the hosts that aren't leaving, by rendezvous hashing.

        Hosts with the same members rank them alike, whichever of them they
        reach.

        Args:
            purpose: What the hosts are ranked for.
            failure_domain: Failure domain of the hosts; empty for all.
            by_capacity: Whether hosts with more processor time come first,
                if all of them say how much they have.
        """
        key = (purpose, failure_domain, by_capacity)
        ranking = self.rankings.get(key)
        if ranking is None:
            names = [
                name
                for name, state in self.states.items()
                if failure_domain in ('', state.member.failure_domain)
            ]
            # Hosts of older builds hash the same text.
            hashed = rank(f'{(purpose, failure_domain)}', names)
            ranking = [self.states[name] for name in hashed]
            if by_capacity and self.all_tell_capacity():
                ranking = order_by_capacity(ranking)
            self.rankings[key] = ranking
        return [state for state in ranking if not state.leaving]

    def back_off(self, name: str, now: float) -> None:
        """Starts the backoff of a host that didn't respond.

        This host has none, and a failure during a backoff doesn't prolong it.

        Args:
            name: The host's name.
            now: Monotonic seconds.
        """
        state = self.states.get(name)
        if state is None or name == self.own.name:
            return
        if now < state.backoff_until:
            return
        if now - state.failed_at > REPEAT_FAILURE_WINDOW_S:
            state.failures = 0
        backoff_s = doubled(INITIAL_BACKOFF_S, state.failures, MAX_BACKOFF_S)
        state.failures += 1
        state.failed_at = now
        state.backoff_until = now + backoff_s


def order_by_capacity(ranking: list[MemberState]) -> list[MemberState]:
    """Returns hosts in an order in which those with more capacity come first.

    A coordinator on a host with a fifth of the processor time of others
    replies late when it is busy. Hosts within a factor of two keep their
    order, so that their duties stay spread.

    Args:
        ranking: The hosts, ranked by rendezvous hashing.
    """
    return sorted(ranking, key=lambda state: -capacity_class(state.member))


def capacity_class(member: Member) -> int:
    """Returns the class of a host's processor time, by factors of two."""
    if not 0.0 < member.processor < inf:
        return 0
    return floor(log2(member.processor))
