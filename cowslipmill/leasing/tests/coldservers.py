"""Servers that turn cold, and hosts that coordinate them, in virtual time."""

from enum import Enum
from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random

from msgspec import Struct
from msgspec.structs import replace

from cowslipmill.fleet.memberlist import MemberList
from cowslipmill.fleet.messages import Member
from cowslipmill.leasing.grantlimits import GrantLimits
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.leasing.load import Load
from cowslipmill.leasing.ratelimits import RateLimits
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.tests.conftest import DOMAIN
from cowslipmill.leasing.tests.conftest import make_record
from cowslipmill.leasing.tests.conftest import make_request
from cowslipmill.standin.warmups import COLD_FACTOR
from cowslipmill.standin.warmups import most_in_window
from cowslipmill.standin.warmups import WINDOW_S
from cowslipmill.view.events import ConfigurationUpdated
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.tests.conftest import make_configuration
from cowslipmill.view.view import View

STEP_S = 0.005
# A probe without a response fails after this time.
PROBE_TIMEOUT_S = 0.15
# New requests at each host and step: far more than servers can process.
NEW_REQUESTS = 3
MAX_QUEUED = 8
# Long enough that requests aren't late at a cold server.
OBJECTIVE_S = 1.2


class Contact(Enum):
    """What hosts know of each other."""

    TOGETHER = 'know each other and all act'
    ALL_LEAVING = 'know each other and all are leaving'
    STRANGERS = 'know only themselves'


class Trial(Struct, frozen=True):
    """What is played.

    Attributes:
        warm_up_per_s: Limit of cold servers in the configuration.
        hosts: Number of hosts that coordinate at once.
        contact: What they know of each other.
        slots: Slots of each server.
        work_s: Processing time at a warm server, in seconds.
        spike_lead_s: How long before the first server turns cold a load
            spike begins, in seconds; None for requests all the time.
        cold_at: When each server turns cold.
        cold_s: For how long, in seconds.
        lag_s: Longest age of a health response, in seconds.
        transit_s: Longest time from a grant to the server, in seconds.
        lost_share: Share of the probes that get no response, from 0 to 1.
        restarts_at: When the first host is replaced by one without
            knowledge; None for never.
        seed: Seed of the random numbers.
    """

    warm_up_per_s: float
    hosts: int
    contact: Contact
    slots: int
    work_s: float
    spike_lead_s: float | None
    cold_at: tuple[float, ...]
    cold_s: float
    lag_s: float
    transit_s: float
    lost_share: float
    restarts_at: float | None
    seed: int

    @property
    def spike_at(self) -> float:
        """When the first requests are sent, in seconds."""
        if self.spike_lead_s is None:
            return 0.0
        return min(self.cold_at) - self.spike_lead_s


class Server:
    """A server of the simulation.

    Attributes:
        cold_at: When it turns cold.
        cold_until: When it has warmed up.
        arrivals: When requests arrived.
        runs: Start and end of each request that it processes.
    """

    def __init__(self, trial: Trial, cold_at: float) -> None:
        """Starts warm and idle."""
        self.slots = trial.slots
        self.work_s = trial.work_s
        self.cold_at = cold_at
        self.cold_until = cold_at + trial.cold_s
        self.arrivals: list[float] = []
        self.runs: list[tuple[float, float]] = []

    def is_cold(self, at: float) -> bool:
        """Returns whether it is cold."""
        return self.cold_at <= at < self.cold_until

    def running(self, at: float) -> int:
        """Returns how many requests it processes."""
        return sum(start <= at < end for start, end in self.runs)

    def load(self, at: float) -> Load:
        """Returns its health response."""
        remaining_s = self.cold_until - at if self.is_cold(at) else 0.0
        return Load(
            self.running(at), 0, self.slots, 1.0, warm_up_s=remaining_s
        )

    def accept(self, at: float) -> float | None:
        """Takes a request and returns when it ends; None if it sheds it."""
        self.arrivals.append(at)
        self.runs = [run for run in self.runs if run[1] > at - WINDOW_S]
        if self.running(at) >= self.slots:
            return None
        work_s = self.work_s * (COLD_FACTOR if self.is_cold(at) else 1.0)
        self.runs.append((at, at + work_s))
        return at + work_s

    def most_in_window(self) -> int:
        """Returns the most arrivals in any second while it is cold."""
        cold = [at for at in self.arrivals if self.is_cold(at)]
        return most_in_window(cold)


class Host:
    """A host that coordinates all servers.

    Attributes:
        view: Holds the configuration and the servers.
        scheduler: Its decisions.
        in_progress: Servers that are being probed in vain, and until when.
    """

    def __init__(self, trial: Trial, member_list: MemberList) -> None:
        """Starts without history."""
        configuration = make_configuration(1)
        service = replace(
            configuration.services[0], warm_up_per_s=trial.warm_up_per_s
        )
        self.view = View()
        self.view.apply_events(
            [
                ConfigurationUpdated(
                    replace(configuration, services=(service,))
                ),
                *(
                    ServerUpdated(make_record(number, trial.slots), 1)
                    for number in range(len(trial.cold_at))
                ),
            ],
            0.0,
        )
        self.limits = GrantLimits(self.view, member_list, RateLimits())
        self.scheduler = SlotScheduler(DOMAIN)
        self.in_progress: dict[str, float] = {}

    def sync(self, now: float) -> None:
        """Sets the servers and limits, as before each decision."""
        if not self.scheduler.servers:
            servers = self.view.available_servers('registry')
            self.scheduler.set_servers(
                [(known.record_at(now), False) for known in servers], now
            )
        self.limits.apply(self.scheduler, 'registry', DOMAIN, now)


class Simulation:
    """Hosts that grant all that they may, and the servers.

    Attributes:
        trial: What is played.
        servers: The servers by name.
        hosts: The hosts.
        ends: Ends of requests: when, number, host and report.
    """

    def __init__(self, trial: Trial) -> None:
        """Starts at time 0."""
        self.trial = trial
        self.random = Random(trial.seed)
        self.numbers = count()
        self.servers = {
            make_record(number).name: Server(trial, cold_at)
            for number, cold_at in enumerate(trial.cold_at)
        }
        members = [
            Member(f'host-{number}', DOMAIN, ('10.0.0.1', 80), number)
            for number in range(trial.hosts)
        ]
        self.member_lists = []
        for own in members:
            member_list = MemberList(own)
            if trial.contact is not Contact.STRANGERS:
                member_list.add(members)
            if trial.contact is Contact.ALL_LEAVING:
                for member in members:
                    member_list.mark_leaving(member.name, member.started_ms)
            self.member_lists.append(member_list)
        self.hosts = [Host(trial, known) for known in self.member_lists]
        self.ends: list[tuple[float, int, Host, Report]] = []
        self.transits: list[tuple[float, int, Host, Grant]] = []

    def play(self, until: float) -> None:
        """Plays until a time, in seconds."""
        restarted = self.trial.restarts_at is None
        for step in range(int(until / STEP_S)):
            now = step * STEP_S
            if not restarted and now >= (self.trial.restarts_at or 0.0):
                restarted = True
                self.hosts[0] = Host(self.trial, self.member_lists[0])
            self.deliver(now)
            for host in self.hosts:
                self.decide(host, now)
        self.deliver(until)

    def deliver(self, now: float) -> None:
        """Has requests arrive at servers and end there, in order of time."""
        while self.transits and self.transits[0][0] <= now:
            at, number, host, grant = heappop(self.transits)
            end = self.servers[grant.server].accept(at)
            result = LeaseResult.SHED if end is None else LeaseResult.ANSWERED
            end = at if end is None else end
            report = Report(
                grant.key, 'registry', DOMAIN, grant.server, result, end - at
            )
            heappush(self.ends, (end, number, host, report))
        while self.ends and self.ends[0][0] <= now:
            _, _, host, report = heappop(self.ends)
            host.scheduler.record_result(report, now)

    def decide(self, host: Host, now: float) -> None:
        """Has a host probe servers and decide on new requests."""
        host.sync(now)
        scheduler = host.scheduler
        for name, until in list(host.in_progress.items()):
            if now >= until:
                del host.in_progress[name]
                scheduler.servers[name].record_probe_failure(now)
        for _ in range(NEW_REQUESTS):
            if (
                now >= self.trial.spike_at
                and len(scheduler.queue) < MAX_QUEUED
            ):
                number = next(self.numbers)
                request = make_request(number, now, objective_s=OBJECTIVE_S)
                scheduler.enqueue(request)
        lag_s = self.random.uniform(0.0, self.trial.lag_s)
        for server in scheduler.servers_to_probe(now, self.random):
            self.probe(host, server, lag_s, now)
        decisions = scheduler.decide(now, self.random, probed_at=now - lag_s)
        for decision in decisions:
            if isinstance(decision, Grant):
                at = now + self.random.uniform(0.0, self.trial.transit_s)
                number = next(self.numbers)
                heappush(self.transits, (at, number, host, decision))

    def probe(
        self, host: Host, server: ServerSlots, lag_s: float, now: float
    ) -> None:
        """Records what a server said some time ago, or that it is silent."""
        if server.name in host.in_progress:
            return
        if self.random.random() < self.trial.lost_share:
            host.in_progress[server.name] = now + PROBE_TIMEOUT_S
            return
        load = self.servers[server.name].load(now - lag_s)
        server.record_load(load, now - lag_s, now)
