"""Tests of an entry that starts while others know requests that crash servers.

Guards against a known crasher reaching servers through a new entry.
"""

from asyncio import create_task
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import timeout
from random import Random
from typing import Any
from typing import cast

from multidict import CIMultiDict
import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import HasLength
from testtools.matchers import LessThan

from cowslipmill.document.document import Document
from cowslipmill.document.document import Route
from cowslipmill.document.document import Service
from cowslipmill.document.document import Team
from cowslipmill.entry import crashreporter
from cowslipmill.entry.crashreporter import CrashReporter
from cowslipmill.entry.dispatcher import Dispatcher
from cowslipmill.entry.forwardrequest import request_fingerprint
from cowslipmill.entry.peering import Peering
from cowslipmill.entry.requestguard import RequestGuard
from cowslipmill.entry.routingstate import RoutingState
from cowslipmill.entry.upstream import OutgoingRequest
from cowslipmill.hosts.member import Member
from cowslipmill.outcomes.outcome import Answered
from cowslipmill.outcomes.outcome import NotRun
from cowslipmill.outcomes.outcome import Reason
from cowslipmill.peers.link import Unreachable
from cowslipmill.settings.settings import EntrySettings
from cowslipmill.suspects.messages import CompareSuspects
from cowslipmill.suspects.messages import SuspectUpdate
from cowslipmill.suspects.suspects import SuspectRequests

NOW = 100.0
TIMEOUT_S = 10.0
NOTHING = SuspectUpdate(())
STARTING = SuspectUpdate((), complete=False)
ROUTE = Route(
    name='order',
    team='a',
    service='desk',
    methods=('POST',),
    path='/orders',
    idempotent=True,
)
# Among two entries, `entry-0` is the owner of it.
REQUEST = OutgoingRequest('POST', '/orders', CIMultiDict(), b'crasher', 100)


class FakePeering:
    """Replies for the other entries.

    Attributes:
        replies: Replies by address; the first one is taken, unless it is the
            only one left.
        asked: Addresses that were asked.
    """

    def __init__(self) -> None:
        """Starts without a reply."""
        self.replies: dict[str, list[object]] = {}
        self.asked: list[str] = []

    def register(self, message_type: type, handler: object) -> None:
        """Ignores a handler."""

    def send(self, address: str, message: object) -> bool:
        """Ignores a message."""
        return True

    async def call(
        self, address: str, message: object, timeout_s: float
    ) -> object:
        """Returns the next reply of an address."""
        self.asked.append(address)
        replies = self.replies.get(address, [Unreachable('no link')])
        return replies.pop(0) if len(replies) > 1 else replies[0]


class FakeDispatcher:
    """Records the requests that would be sent to servers.

    Attributes:
        requests: The requests.
        traces: Unused.
        on_server_lost: Unused.
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self.requests: list[OutgoingRequest] = []
        self.traces: Any = None
        self.on_server_lost: Any = None

    async def dispatch(
        self, route: Route, request: OutgoingRequest, deadline_at: float
    ) -> Answered:
        """Records one request and answers it."""
        self.requests.append(request)
        return Answered(200, (), b'', 'desk-0')


def make_member(number: int) -> Member:
    """Returns one entry."""
    return Member(
        name=f'entry-{number}',
        host=f'host-{number}',
        failure_domain='domain-a',
        incarnation=1,
        peer_address=f'peer-{number}',
    )


def make_state(entries: int) -> RoutingState:
    """Returns what the first of a few entries was told by its agent."""
    state = RoutingState(make_member(0))
    state.apply_document(
        Document(
            version=1,
            deployment='letters',
            teams=(Team(name='a'),),
            services=(Service(name='desk', team='a', slots_per_server=2),),
            routes=(ROUTE,),
        )
    )
    if entries:
        members = [make_member(number) for number in range(entries)]
        state.update_members(members, NOW)
    return state


def make_guard(state: RoutingState) -> RequestGuard:
    """Returns the guard of `entry-0`, without links and servers."""
    settings = EntrySettings(
        name='entry-0',
        host='host-0',
        failure_domain='domain-a',
        deployment='letters',
        agent='127.0.0.1:1',
        listen='127.0.0.1:2',
        peer_listen='127.0.0.1:3',
        admin_listen='127.0.0.1:4',
        peer_keys=('a-key-of-this-test-alone',),
    )
    return RequestGuard(
        settings,
        1,
        state,
        cast(Dispatcher, FakeDispatcher()),
        cast(Peering, FakePeering()),
        get_running_loop().time,
    )


def known_crasher(now: float) -> SuspectUpdate:
    """Returns what an entry tells that knows `REQUEST` as a crasher."""
    suspects = SuspectRequests()
    fingerprint = request_fingerprint(ROUTE, REQUEST)
    for server in ('desk-0/1', 'desk-1/1'):
        suspects.report_crash(fingerprint, server, now)
    return SuspectUpdate(suspects.shared_summaries(now))


def make_reporter(entries: int) -> tuple[CrashReporter, FakePeering]:
    """Returns the reporter of `entry-0` and the replies to it."""
    peering = FakePeering()
    reporter = CrashReporter(
        'entry-0', make_state(entries), cast(Peering, peering), lambda: NOW
    )
    return reporter, peering


async def test_a_known_crasher_waits_until_the_entry_has_learned_of_it() -> (
    None
):
    """It comes before the link to the other entry is up."""
    guard = make_guard(make_state(2))
    now = get_running_loop().time()
    peering = cast(FakePeering, guard.peering)
    unreachable = Unreachable('no link')
    peering.replies['peer-1'] = [unreachable, unreachable, known_crasher(now)]
    sent = create_task(guard.dispatch(ROUTE, REQUEST, now + TIMEOUT_S))
    await sleep(0)
    await guard.crash_reporter.catch_up(Random(0))
    outcome = await sent
    assert isinstance(outcome, NotRun)
    assert_that(outcome.reason, Equals(Reason.SUSPECT))
    dispatcher = cast(FakeDispatcher, guard.dispatcher)
    assert_that(dispatcher.requests, HasLength(0))


async def test_a_request_waits_no_longer_than_its_deadline() -> None:
    """It is told as not run, since it isn't."""
    guard = make_guard(make_state(2))
    deadline_at = get_running_loop().time() + 0.01
    outcome = await guard.dispatch(ROUTE, REQUEST, deadline_at)
    assert isinstance(outcome, NotRun)
    assert_that(outcome.reason, Equals(Reason.DEADLINE))


async def test_a_reply_of_an_entry_that_knows_ends_the_wait() -> None:
    """One that starts itself has nothing to tell, and isn't asked again."""
    reporter, peering = make_reporter(3)
    peering.replies['peer-1'] = [STARTING]
    peering.replies['peer-2'] = [Unreachable('no link'), NOTHING]
    random = Random(0)
    async with timeout(TIMEOUT_S):
        while not reporter.caught_up.is_set():
            await reporter.compare(random)
    assert_that(peering.asked.count('peer-1'), LessThan(2))
    assert_that(peering.asked[-1], Equals('peer-2'))


async def test_entries_that_start_together_wait_for_nobody() -> None:
    """None of them knows anything."""
    reporter, peering = make_reporter(3)
    peering.replies['peer-1'] = [STARTING]
    peering.replies['peer-2'] = [STARTING]
    for _ in range(3):
        assert_that(reporter.caught_up.is_set(), Equals(False))
        await reporter.compare(Random(0))
    assert_that(reporter.caught_up.is_set(), Equals(True))


@pytest.mark.parametrize(('entries', 'caught_up'), [(0, False), (1, True)])
async def test_an_entry_is_alone_only_if_its_agent_says_so(
    entries: int, caught_up: bool
) -> None:
    """Before, it knows no other one either."""
    reporter, _ = make_reporter(entries)
    await reporter.compare(Random(0))
    assert_that(reporter.caught_up.is_set(), Equals(caught_up))


async def test_an_entry_whose_peers_are_silent_serves_after_a_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """They may all be gone."""
    monkeypatch.setattr(crashreporter, 'CATCH_UP_TIMEOUT_S', 0.05)
    reporter, _ = make_reporter(2)
    async with timeout(TIMEOUT_S):
        await reporter.catch_up(Random(0))
    assert_that(reporter.caught_up.is_set(), Equals(True))


async def test_an_entry_that_starts_says_that_it_knows_nothing() -> None:
    """Its reply ends the wait of no other entry."""
    reporter, _ = make_reporter(2)
    message = CompareSuspects(reporter.suspects.digest())
    before = await reporter.on_compare(message, 'entry-1')
    reporter.caught_up.set()
    after = await reporter.on_compare(message, 'entry-1')
    assert_that((before, after), Equals((STARTING, NOTHING)))
