"""The hosts that are known and which of them are set aside for now."""

from collections.abc import Iterable
from hashlib import blake2b

from cowslipmill.fleet.messages import Member
from cowslipmill.homes.rendezvous import rank

# First time for which a host that didn't answer is set aside; doubles.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
# A host that failed again within this time is set aside for longer.
REPEAT_FAILURE_WINDOW_S = 10.0
MAX_MEMBERS = 2_048


class MemberState:
    """What is known of one host.

    Attributes:
        member: The host.
        backoff_until: Monotonic seconds.
        failures: Failures in a row.
        failed_at: When it last failed.
        leaving: Whether it said that it stops.
    """

    __slots__ = (
        'backoff_until',
        'failed_at',
        'failures',
        'leaving',
        'member',
    )

    def __init__(self, member: Member) -> None:
        """Starts in good standing."""
        self.member = member
        self.backoff_until = 0.0
        self.failures = 0
        self.failed_at = float('-inf')
        self.leaving = False


class MemberList:
    """Every host known, this one among them.

    Attributes:
        own: This host.
        states: Hosts by name.
        changes: Grows with each change of the hosts in good standing.
    """

    def __init__(self, own: Member) -> None:
        """Starts with this host alone."""
        self.own = own
        self.states: dict[str, MemberState] = {own.name: MemberState(own)}
        self.rankings: dict[tuple[str, str], list[MemberState]] = {}

    def add(self, members: Iterable[Member]) -> list[Member]:
        """Takes in hosts and returns those that are new or restarted."""
        added = []
        for member in members:
            known = self.states.get(member.name)
            if known is not None and (
                known.member.started_ms >= member.started_ms
            ):
                continue
            if known is None and len(self.states) >= MAX_MEMBERS:
                continue
            if member.name == self.own.name:
                continue
            self.states[member.name] = MemberState(member)
            added.append(member)
        if added:
            self.rankings.clear()
        return added

    def mark_leaving(self, name: str, started_ms: int) -> None:
        """Takes in that a host stops."""
        known = self.states.get(name)
        if known is not None and known.member.started_ms <= started_ms:
            known.leaving = True

    def members(self) -> tuple[Member, ...]:
        """Returns every host known."""
        return tuple(known.member for known in self.states.values())

    def failure_domains(self) -> list[str]:
        """Returns the failure domains that have hosts."""
        return sorted({m.failure_domain for m in self.members()})

    def other_members(self, failure_domain: str | None = None) -> list[Member]:
        """Returns the other hosts, of one failure domain or of all."""
        return [
            member
            for member in self.members()
            if member.name != self.own.name
            and failure_domain in (None, member.failure_domain)
        ]

    def digest(self) -> int:
        """Returns a hash over the hosts known."""
        text = '\n'.join(
            sorted(f'{m.name} {m.started_ms}' for m in self.members())
        )
        raw = blake2b(text.encode(), digest_size=6).digest()
        return int.from_bytes(raw, 'big')

    def ranked_members(
        self, purpose: str, failure_domain: str, now: float
    ) -> list[Member]:
        """Returns the hosts that answer, in the order of a purpose.

        Args:
            purpose: What the order is for.
            failure_domain: Domain of the hosts, or nothing for all.
            now: Monotonic seconds.
        """
        key = (purpose, failure_domain)
        order = self.rankings.get(key)
        if order is None:
            names = [
                name
                for name, known in self.states.items()
                if failure_domain in ('', known.member.failure_domain)
            ]
            order = [self.states[n] for n in rank(f'{key}', names)]
            self.rankings[key] = order
        return [
            known.member
            for known in order
            if not known.leaving and now >= known.backoff_until
        ]

    def back_off(self, name: str, now: float) -> None:
        """Sets a host aside that didn't answer."""
        known = self.states.get(name)
        if known is None or name == self.own.name:
            return
        if now < known.backoff_until:
            return
        if now - known.failed_at > REPEAT_FAILURE_WINDOW_S:
            known.failures = 0
        pause_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**known.failures)
        known.failures += 1
        known.failed_at = now
        known.backoff_until = now + pause_s
