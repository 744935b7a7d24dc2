"""Tracks the requests that crash servers, across all hosts."""

from asyncio import create_task
from asyncio import sleep
from asyncio import Task
from collections import Counter as Counts
from collections.abc import Callable
from collections.abc import Coroutine
from logging import getLogger

from prometheus_client import Counter

from cowslipmill.fleet.gossip import Gossip
from cowslipmill.fleet.messages import AskTrial
from cowslipmill.fleet.messages import Member
from cowslipmill.fleet.messages import Suspects
from cowslipmill.fleet.messages import TrialDecision
from cowslipmill.fleet.rpc import Rpc
from cowslipmill.forwarding.fingerprints import Fingerprints
from cowslipmill.relays.runningchecks import RunningChecks
from cowslipmill.runtime.names import BoundedDict
from cowslipmill.suspects.record import CRASH_LIMIT
from cowslipmill.suspects.suspects import MAX_RETRY_AFTER_MS
from cowslipmill.suspects.suspects import SuspectRequests
from cowslipmill.suspects.suspects import Trial
from cowslipmill.view.server import ServerRecord

LOG = getLogger(__name__)

# Time after which a server that crashes has closed its listener; one that
# crashed starts again after seconds.
CHECK_DELAY_S = 0.3
# Time after which all hosts know whether a crash was dismissed.
CHECKED_AFTER_S = 0.5
# A host that is asked for a trial replies at once.
TRIAL_TIMEOUT_S = 0.2
# Time without a reply after which the next host in rank decides on trials.
JUDGE_TAKEOVER_S = 10.0
# Time after which a host that didn't reply is asked again.
JUDGE_RETRY_S = 60.0

SUSPECT_EVENTS = Counter(
    'cowslipmill_host_suspect_events_total',
    'What was learned about requests that crash servers.',
    ('event',),
)


def incarnation_of(server: ServerRecord) -> str:
    """Returns the name of a server's incarnation in crash reports."""
    return f'{server.name}/{server.started_ms}'


class CrashTracker:
    """Shares what is known of suspect requests with the other hosts.

    One host, the judge, decides on the trials of all hosts, so that those
    whose backoff ends together don't each start one.

    Attributes:
        suspects: Crash records by fingerprint.
        checks: Checks in progress whether a server is still running.
        doubts: Number of checks in progress of servers that were silent, by
            fingerprint.
        judge_silent_since: Monotonic seconds since when hosts don't reply to
            `AskTrial`, by name.
    """

    def __init__(
        self,
        gossip: Gossip,
        rpc: Rpc,
        running_checks: RunningChecks,
        clock: Callable[[], float],
    ) -> None:
        """Creates the tracker and registers its message handlers.

        Args:
            gossip: Broadcasts what this host learns.
            rpc: Receives what other hosts learn.
            running_checks: Find out whether a server is still running.
            clock: Returns monotonic seconds.
        """
        self.suspects: SuspectRequests = gossip.suspects
        self.gossip = gossip
        self.rpc = rpc
        self.running_checks = running_checks
        self.clock = clock
        self.checks: set[Task[None]] = set()
        self.doubts: Counts[bytes] = Counts()
        self.judge_silent_since: dict[str, float] = BoundedDict()
        rpc.register(Suspects, self.on_suspects)
        rpc.register(AskTrial, self.on_ask_trial)

    def server_lost(
        self,
        fingerprints: Fingerprints,
        server: ServerRecord,
        request_id: str,
        *,
        idle: bool,
    ) -> None:
        """Records that the connection to a server broke on a request.

        It counts as a crash until the server has been found to be running,
        or only after it has been found not to be, if the server has probably
        dropped the connection while it was idle.

        Args:
            fingerprints: Hashes of the request.
            server: The server.
            request_id: The request's id, for the log.
            idle: Whether the connection was probably dropped before.
        """
        if idle:
            self.start_check(
                self.check_silent(
                    fingerprints, server, request_id, CHECK_DELAY_S
                )
            )
            return
        self.report_crash(fingerprints, incarnation_of(server), request_id)
        self.start_check(self.check_lost(fingerprints, server))

    def server_silent(
        self, fingerprints: Fingerprints, server: ServerRecord, request_id: str
    ) -> None:
        """Records that a server hasn't responded by a request's deadline.

        It counts as a crash if the server isn't running any more.

        Args:
            fingerprints: Hashes of the request.
            server: The server.
            request_id: The request's id, for the log.
        """
        self.start_check(self.check_doubted(fingerprints, server, request_id))

    def start_check(self, check: Coroutine[None, None, None]) -> None:
        """Runs a check in the background."""
        task: Task[None] = create_task(check)
        self.checks.add(task)
        task.add_done_callback(self.checks.discard)

    async def check_lost(
        self, fingerprints: Fingerprints, server: ServerRecord
    ) -> None:
        """Dismisses a crash if the server is running."""
        lost_at = self.clock()
        await sleep(CHECK_DELAY_S)
        if not await self.running_checks.is_running(server, lost_at):
            return
        for fingerprint in set(fingerprints):
            if self.suspects.dismiss_crash(
                fingerprint, incarnation_of(server)
            ):
                SUSPECT_EVENTS.labels('dismissed').inc()
                LOG.info(
                    'crash dismissed',
                    extra={
                        **self.log_fields(fingerprint),
                        'server': incarnation_of(server),
                    },
                )
                self.broadcast(fingerprint)

    async def check_silent(
        self,
        fingerprints: Fingerprints,
        server: ServerRecord,
        request_id: str,
        delay_s: float,
    ) -> None:
        """Reports a crash if the server isn't running after a delay."""
        doubted_at = self.clock()
        await sleep(delay_s)
        if not await self.running_checks.is_running(server, doubted_at):
            self.report_crash(fingerprints, incarnation_of(server), request_id)

    async def check_doubted(
        self, fingerprints: Fingerprints, server: ServerRecord, request_id: str
    ) -> None:
        """Reports a crash as `check_silent` does, and counts the check."""
        self.doubts[fingerprints.exact] += 1
        try:
            await self.check_silent(fingerprints, server, request_id, 0.0)
        finally:
            self.doubts[fingerprints.exact] -= 1
            # Drops the entry if no check is left.
            self.doubts += Counts()

    def report_crash(
        self, fingerprints: Fingerprints, server: str, request_id: str
    ) -> None:
        """Records that a server was lost while it had a request.

        Without its query, the request has only the first crash under each
        query, so that one query alone doesn't make the others suspect.

        Args:
            fingerprints: Hashes of the request.
            server: Name and incarnation of the server.
            request_id: The request's id, for the log.
        """
        for fingerprint in dict.fromkeys(fingerprints):
            now = self.clock()
            if not self.suspects.report_crash(fingerprint, server, now):
                return
            SUSPECT_EVENTS.labels('reported').inc()
            LOG.info(
                'crash reported',
                extra={
                    **self.log_fields(fingerprint),
                    'server': server,
                    'request': request_id,
                },
            )
            self.broadcast(fingerprint)
            if self.suspects.records[fingerprint].crashes > 1:
                return

    def clear(self, fingerprints: Fingerprints) -> None:
        """Clears a request that succeeded, on this host and the others."""
        for fingerprint in set(fingerprints):
            summary = self.suspects.clear(fingerprint, self.clock())
            if summary is None:
                continue
            SUSPECT_EVENTS.labels('cleared').inc()
            LOG.info('suspect cleared', extra=self.log_fields(fingerprint))
            self.gossip.broadcast(Suspects((summary,)))

    def is_suspect(self, fingerprints: Fingerprints) -> bool:
        """Returns whether a request has reached the crash limit."""
        return any(self.suspects.is_suspect(f) for f in fingerprints)

    def hold_s(self, fingerprints: Fingerprints) -> float:
        """Returns for how long a request is refused, in seconds.

        It is refused as well while checks in progress may make it suspect.
        """
        now = self.clock()
        hold_s = max(self.suspects.hold_s(f, now) for f in fingerprints)
        if self.may_become_suspect(fingerprints.exact):
            return max(hold_s, CHECKED_AFTER_S)
        return hold_s

    def may_become_suspect(self, fingerprint: bytes) -> bool:
        """Returns whether the checks in progress may make one suspect."""
        doubts = self.doubts[fingerprint]
        record = self.suspects.records.get(fingerprint)
        crashes = 0 if record is None else record.confirmed_crashes
        return doubts > 0 and CRASH_LIMIT - doubts <= crashes < CRASH_LIMIT

    def retry_after_s(self, fingerprints: Fingerprints) -> float:
        """Returns when to tell a refused caller to come back, in seconds.

        That is soon while a crash may still be dismissed.
        """
        now = self.clock()
        hold_s = min(self.hold_s(fingerprints), MAX_RETRY_AFTER_MS / 1000)
        last_crash_at = max(
            self.suspects.last_event_at(f) for f in fingerprints
        )
        if now - last_crash_at < CHECKED_AFTER_S:
            return min(hold_s, last_crash_at + CHECKED_AFTER_S - now)
        return hold_s

    def broadcast(self, fingerprint: bytes) -> None:
        """Tells all hosts what this one knows of a request."""
        summary = self.suspects.summary(fingerprint, self.clock())
        if summary is not None:
            self.gossip.broadcast(Suspects((summary,)))

    async def request_trial(
        self, fingerprints: Fingerprints, request_id: str
    ) -> bool:
        """Returns whether a suspect request may be sent to one server.

        Args:
            fingerprints: Hashes of the request.
            request_id: The request's id, for the log.
        """
        if self.hold_s(fingerprints) > 0.0:
            return False
        for fingerprint in set(fingerprints):
            if not await self.request_one_trial(fingerprint, request_id):
                return False
        return True

    async def request_one_trial(
        self, fingerprint: bytes, request_id: str
    ) -> bool:
        """Returns whether the judge grants a trial by one hash."""
        now = self.clock()
        record = self.suspects.summary(fingerprint, now)
        if record is None or not self.suspects.is_suspect(fingerprint):
            return True
        judge = self.find_judge(now)
        if judge.name == self.gossip.member_list.own.name:
            return self.start_trial(fingerprint, request_id)
        decision = await self.rpc.call(
            judge.address, AskTrial(record), TRIAL_TIMEOUT_S
        )
        if not isinstance(decision, TrialDecision):
            if self.judge_silent_s(judge.name, now) > JUDGE_RETRY_S:
                del self.judge_silent_since[judge.name]
            self.judge_silent_since.setdefault(judge.name, now)
            return False
        self.judge_silent_since.pop(judge.name, None)
        self.suspects.merge(decision.record, self.clock())
        return decision.granted

    def find_judge(self, now: float) -> Member:
        """Returns the host that decides on trials.

        It is the same one for all hosts, also for those that can't reach it,
        unless it has not replied for `JUDGE_TAKEOVER_S`.
        """
        for state in self.gossip.member_list.ranked_states('trials', ''):
            silent_s = self.judge_silent_s(state.member.name, now)
            if not JUDGE_TAKEOVER_S <= silent_s <= JUDGE_RETRY_S:
                return state.member
        return self.gossip.member_list.own

    def judge_silent_s(self, name: str, now: float) -> float:
        """Returns for how long a host hasn't replied to `AskTrial`."""
        return now - self.judge_silent_since.get(name, now)

    def start_trial(self, fingerprint: bytes, request_id: str) -> bool:
        """Starts a trial as the judge, unless it is too early for one."""
        if not self.suspects.is_suspect(fingerprint):
            return True
        decision = self.suspects.check(fingerprint, self.clock())
        if not isinstance(decision, Trial):
            return False
        SUSPECT_EVENTS.labels('trial').inc()
        LOG.info(
            'suspect trial',
            extra={**self.log_fields(fingerprint), 'request': request_id},
        )
        self.broadcast(fingerprint)
        return True

    async def on_ask_trial(
        self, message: AskTrial, sender: str
    ) -> TrialDecision:
        """Decides on a trial that another host asks for."""
        self.suspects.merge(message.record, self.clock())
        fingerprint = message.record.fingerprint
        granted = self.start_trial(fingerprint, '')
        record = self.suspects.summary(fingerprint, self.clock())
        return TrialDecision(granted, record or message.record)

    async def on_suspects(self, message: Suspects, sender: str) -> None:
        """Adds what another host knows and passes it on.

        A host that sent all its records gets this one's if they hold more,
        and the other hosts of this failure domain may lack what was new, too.
        """
        learned = tuple(
            summary
            for summary in message.records
            if self.suspects.merge(summary, self.clock())
        )
        for summary in learned:
            SUSPECT_EVENTS.labels('learned').inc()
            if not self.suspects.is_suspect(summary.fingerprint):
                continue
            LOG.info(
                'suspect learned',
                extra={
                    **self.log_fields(summary.fingerprint),
                    'peer': sender,
                },
            )
        self.gossip.relay(message)
        state = self.gossip.member_list.states.get(sender)
        if not message.digest or state is None:
            return
        if learned:
            self.gossip.broadcast_in_domain(Suspects(learned))
        if message.digest != self.suspects.digest():
            self.gossip.send_suspects(state.member, final=True)

    def log_fields(self, fingerprint: bytes) -> dict[str, str | int]:
        """Returns the log fields of a request's record."""
        record = self.suspects.records.get(fingerprint)
        return {
            'fingerprint': fingerprint.hex(),
            'crashes': 0 if record is None else record.crashes,
            'trials': 0 if record is None else record.trials,
        }
