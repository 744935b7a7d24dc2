"""What callers and servers saw, and the promises it is held against."""

from math import inf

from msgspec import Struct

from cowslipmill.standin.backend import Run
from cowslipmill.standin.backend import StandinBackend
from cowslipmill.standin.warmups import allowed_per_second

CRASHER = b'crasher'
SUCCESS = 200
REFUSED = 503
# A server that leaves gets nothing from a host later than this after it told
# the host so.
LEAVING_BOUND_S = 2.0
# A host that a server has told to send nothing for a time sends it at most
# `MAX_IN_PAUSE` requests from `PAUSE_GRACE_S` on to the end of that time.
PAUSE_GRACE_S = 0.5
MAX_IN_PAUSE = 2
# A request that crashes servers reaches at most `MAX_LATE_CRASHES` of them
# later than `LEARN_S` after the third.
LEARN_S = 3.0
MAX_LATE_CRASHES = 3
# In `WINDOW_S`, a server that limits its rate gets at most one and a half
# times the limit and `EXTRA_REQUESTS`, from `LEARN_S` after it named one.
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
# Requests a second that a cold server withstands, by the configuration.
WARM_UP_PER_S = 3.6
# A connection that its host closes on a request later than this after it was
# sent hasn't crossed it: the host has read the request.
CROSSING_S = 0.2
# So long after an evacuation began, nothing is sent into the failure domain.
EVACUATE_S = 5.0
# Before the name of a host that is cut off from the store or other hosts.
CONTACT_OF = 'contact of '
# Excused while callers see late what hosts do.
CALLERS = 'callers'


class Ask(Struct):
    """One attempt of a caller.

    Attributes:
        request_id: Its id.
        idempotent: Whether it may run more than once.
        sent_at: Monotonic seconds.
        status: The answer's status; 0 for none.
        body: The answer's body.
        server: The server's mark on the answer.
        host: IP address of the host that it was sent to.
        cut_at: When its connection ended without an answer, in monotonic
            seconds; 0 if it didn't.
    """

    request_id: str
    idempotent: bool
    sent_at: float
    status: int = 0
    body: bytes = b''
    server: bytes = b''
    host: str = ''
    cut_at: float = 0.0


class Evacuated(Struct):
    """Servers of a failure domain that is evacuated by the store's word.

    Attributes:
        servers: Their names.
        began_at: Monotonic seconds.
        ended_at: Monotonic seconds; infinity until it ends.
    """

    servers: list[str]
    began_at: float
    ended_at: float = inf


class Ledger:
    """Every attempt, and every run of every server.

    Attributes:
        asks: Attempts by id.
        limits: Servers that limit their rate: requests a second and since
            when, in monotonic seconds.
        evacuated: Evacuations, in their order.
        excuses: Times at which a host's process or the link to a server is
            disturbed: the host's IP address or the server's name, from and
            until, in monotonic seconds. What excuses that a host cuts off
            requests has the name that `process_of` returns.
        broken: Promises that were broken, one line each.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.asks: dict[str, Ask] = {}
        self.limits: dict[str, tuple[float, float]] = {}
        self.evacuated: list[Evacuated] = []
        self.excuses: list[tuple[str, float, float]] = []
        self.broken: list[str] = []

    def excuse(self, name: str, now: float, for_s: float) -> None:
        """Excuses a host or a server for some seconds from now on."""
        self.excuses.append((name, now, now + for_s))

    def is_excused(self, names: set[str], since: float, until: float) -> bool:
        """Returns whether a host or server was disturbed between two times."""
        return any(
            name in names and start < until and end > since
            for name, start, end in self.excuses
        )

    def check(self, backends: list[StandinBackend]) -> list[str]:
        """Returns every promise that was broken."""
        runs: dict[str, list[Run]] = {}
        for backend in backends:
            for run in backend.runs:
                runs.setdefault(run.request_id, []).append(run)
        for request_id, found in runs.items():
            ask = self.asks.get(request_id)
            if ask is None:
                self.broken.append(f'{request_id}: ran and nobody sent it')
                continue
            if not ask.idempotent and len(found) > 1:
                self.broken.append(f'{request_id}: ran {len(found)} times')
            if not ask.idempotent and ask.status == REFUSED:
                self.broken.append(f'{request_id}: told as not run, and ran')
        for ask in self.asks.values():
            if ask.status == SUCCESS:
                self.check_answer(ask)
        self.check_lost(backends)
        self.check_crashes([run for b in backends for run in b.runs])
        for backend in backends:
            if backend.name in self.limits:
                self.check_limit(backend)
            self.check_warm_ups(backend)
            self.check_pauses(backend)
            self.check_leaving(backend)
            self.check_evacuated(backend)
        return self.broken

    def check_lost(self, backends: list[StandinBackend]) -> None:
        """Checks that no host has cut off a request that it had read.

        A request was read if it ran, or if its connection ended too late to
        have crossed it. That a host stops, reads its settings or applies a
        configuration excuses nothing.
        """
        servers: dict[str, set[str]] = {}
        for backend in backends:
            for run in backend.runs:
                servers.setdefault(run.request_id, set()).add(backend.name)
        for ask in self.asks.values():
            sent_at, cut_at = ask.sent_at, ask.cut_at
            if not cut_at:
                continue
            ran_at = servers.get(ask.request_id, set())
            names = {process_of(ask.host), *ran_at}
            if not ran_at:
                names.add(CALLERS)
                if cut_at <= sent_at + CROSSING_S:
                    continue
            if not self.is_excused(names, sent_at, cut_at):
                where = ', '.join(sorted(ran_at)) or 'no server'
                self.broken.append(
                    f'{ask.request_id}: cut off by {ask.host} after '
                    f'{cut_at - sent_at:.3f} s, at {where}'
                )

    def check_crashes(self, runs: list[Run]) -> None:
        """Checks how often the request that crashes servers was sent."""
        times = sorted(r.began_at for r in runs if r.body == CRASHER)
        third_at = times[2] if len(times) > 2 else inf
        late = [t for t in times if t > third_at + LEARN_S]
        if len(late) > MAX_LATE_CRASHES:
            self.broken.append(f'a request crashed {len(late)} servers late')

    def check_limit(self, backend: StandinBackend) -> None:
        """Checks every span of a server that limits its rate."""
        per_s, since = self.limits[backend.name]
        most = LIMIT_FACTOR * per_s * WINDOW_S + EXTRA_REQUESTS
        times = sorted(
            run.began_at
            for run in backend.runs
            if run.began_at >= since + LEARN_S
        )
        for start in times:
            count = sum(start <= t < start + WINDOW_S for t in times)
            if count > most:
                self.broken.append(
                    f'{backend.name}: {count} at a limit of {per_s} a second'
                )
                return

    def check_warm_ups(self, backend: StandinBackend) -> None:
        """Checks what reached a server while it was cold."""
        most = backend.warm_ups.most_per_second()
        if most > allowed_per_second(WARM_UP_PER_S):
            self.broken.append(f'{backend.name}: {most} a second while cold')

    def check_pauses(self, backend: StandinBackend) -> None:
        """Checks what came from hosts that the server had turned away."""
        for sender_ip, told_at, pause in backend.turned_away:
            until = told_at + float(pause)
            if self.is_excused({sender_ip, backend.name}, told_at, until):
                continue
            count = sum(
                told_at + PAUSE_GRACE_S < arrival.at < until
                for arrival in backend.arrivals
                if arrival.sender_ip == sender_ip
            )
            if count > MAX_IN_PAUSE:
                self.broken.append(
                    f'{backend.name}: {count} from {sender_ip} in a pause of '
                    f'{pause} s'
                )
                return

    def check_leaving(self, backend: StandinBackend) -> None:
        """Checks what came from hosts that knew that the server leaves."""
        for arrival in backend.arrivals:
            told_at = backend.told_leaving.get(arrival.sender_ip, inf)
            if arrival.for_health or arrival.at <= told_at + LEAVING_BOUND_S:
                continue
            names = {arrival.sender_ip, backend.name}
            if not self.is_excused(names, told_at, arrival.at):
                self.broken.append(
                    f'{backend.name}: a request of {arrival.sender_ip} '
                    f'{arrival.at - told_at:.3f} s after it said it leaves'
                )
                return

    def check_evacuated(self, backend: StandinBackend) -> None:
        """Checks what came while the server's failure domain was evacuated."""
        spans = [s for s in self.evacuated if backend.name in s.servers]
        for arrival in backend.arrivals:
            names = {arrival.sender_ip, CONTACT_OF + arrival.sender_ip}
            late = any(
                span.began_at + EVACUATE_S < arrival.at < span.ended_at
                for span in spans
            )
            since = arrival.at - LEAVING_BOUND_S
            if late and not self.is_excused(names, since, arrival.at):
                self.broken.append(
                    f'{backend.name}: a request of {arrival.sender_ip} at '
                    f'{arrival.at:.3f} s while evacuated'
                )
                return

    def check_answer(self, ask: Ask) -> None:
        """Checks that an answer is whole and belongs to its request."""
        if not ask.body.endswith(f' {ask.request_id}'.encode()):
            self.broken.append(f'{ask.request_id}: got {ask.body[:60]!r}')
        if not ask.server.startswith(ask.request_id.encode()):
            self.broken.append(f'{ask.request_id}: has no mark of a server')

    def served_share(self, since: float) -> float:
        """Returns the share of attempts since a time that were served."""
        recent = [ask for ask in self.asks.values() if ask.sent_at >= since]
        served = sum(ask.status == SUCCESS for ask in recent)
        return served / max(1, len(recent))


def process_of(host: str) -> str:
    """Returns the name for what ends or stops a host's process unplanned.

    Args:
        host: The host's IP address.
    """
    return f'process of {host}'
