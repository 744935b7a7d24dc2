"""Tests of leases whose requests end at any moment.

Guard against a slot of a server that stays taken although no request uses it,
or that is given back twice.
"""

from asyncio import CancelledError
from asyncio import create_task
from asyncio import current_task
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import Task
from collections import Counter
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Generator
from contextlib import suppress
from functools import partial
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.forwarding.forwarder import Forwarder
from cowslipmill.forwarding.requestcontext import RequestContext
from cowslipmill.forwarding.sender import Sender
from cowslipmill.host.host import Host
from cowslipmill.host.requestlog import RequestLog
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import HOST_HEADER
from cowslipmill.host.tests.partition import Partition
from cowslipmill.host.tests.test_partition import partition
from cowslipmill.host.tests.test_relays import isolate
from cowslipmill.host.tests.test_relays import other_than_coordinator
from cowslipmill.http1.message import Request
from cowslipmill.leasing.leasemanager import LeaseManager
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.ratelimits import RateLimits
from cowslipmill.leasing.requirements import Requirements
from cowslipmill.standin.backend import Fault

__all__ = ('partition',)

DEADLINE_S = 0.5
# Time in which reports reach their coordinators; leases whose end nobody
# reports stay for longer.
SETTLE_S = 0.3
MAX_AWAITS = 60


class Unexpected(Exception):
    """An error that the injection raises."""


class Injection:
    """Ends the work on one request at one of its awaits.

    Attributes:
        number: Number of the await.
        error: The error to raise, or the type of a cancellation.
        late: Whether it comes only when what is awaited is there.
        count: Awaits seen.
    """

    __slots__ = ('count', 'error', 'late', 'number')

    def __init__(
        self, number: int, error: type[BaseException], *, late: bool
    ) -> None:
        """Starts before the first await."""
        self.number = number
        self.error = error
        self.late = late
        self.count = 0

    def is_due(self) -> bool:
        """Counts an await; returns whether the work is ended there."""
        self.count += 1
        return self.count == self.number


class Injected:
    """Awaits a coroutine with an injection.

    An error comes one turn of the event loop after the work has begun to wait
    at the earliest.

    Attributes:
        work: The coroutine.
        injection: Where it ends.
    """

    __slots__ = ('injection', 'work')

    def __init__(
        self, work: Coroutine[Any, Any, Any], injection: Injection
    ) -> None:
        """Starts with nothing awaited."""
        self.work = work
        self.injection = injection

    def __await__(self) -> Generator[Any, Any, Any]:
        """Passes on what is awaited and what comes of it."""
        resume: Callable[[], Any] = partial(self.work.send, None)
        while True:
            try:
                awaited = resume()
            except StopIteration as end:
                return end.value
            due = self.injection.is_due()
            if due and self.injection.error is CancelledError:
                cancel_task(awaited, late=self.injection.late)
                due = False
            elif due and not self.injection.late:
                yield
                resume = partial(self.work.throw, Unexpected())
                continue
            try:
                result = yield awaited
            except BaseException as error:
                resume = partial(self.work.throw, error)
                continue
            resume = partial(self.work.send, result)
            if due:
                resume = partial(self.work.throw, Unexpected())


def cancel_task(awaited: Any, *, late: bool) -> None:
    """Cancels the present task at once, or when its future is done."""
    task = current_task()
    assert task is not None
    if late and awaited is not None:
        awaited.add_done_callback(lambda _: task.cancel())
    else:
        get_running_loop().call_soon(task.cancel)


class Releases:
    """Counts how often each lease is reported.

    Attributes:
        counts: Reports by lease key.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Begins to count."""
        self.counts: Counter[LeaseKey] = Counter()
        release = LeaseManager.release

        def count_and_release(
            manager: LeaseManager, service: str, grant: Grant, *rest: Any
        ) -> None:
            self.counts[grant.key] += 1
            release(manager, service, grant, *rest)

        monkeypatch.setattr(LeaseManager, 'release', count_and_release)


def open_leases(fleet: Fleet) -> list[LeaseKey]:
    """Returns the keys of all leases that are open at any host."""
    return [
        key
        for host in fleet.hosts
        for coordinator in host.lease_manager.coordinators.values()
        for server in coordinator.scheduler.servers.values()
        for key in server.leases
    ]


def count_offers(fleet: Fleet) -> int:
    """Returns how many offers to relay a request hosts have open."""
    return sum(len(host.relay_server.offers) for host in fleet.hosts)


def make_context(host: Host, path: str) -> RequestContext:
    """Returns the context of a request that arrives at a host now."""
    forwarder = host.forwarder
    method = b'POST' if path.startswith('/book') else b'GET'
    headers = [(b'host', HOST_HEADER.encode())]
    request = Request(method, path.encode(), headers, b'')
    table = forwarder.current_route_table()
    assert table is not None
    route = table.find(HOST_HEADER, path)
    assert route is not None
    service = table.choose_service(route, host.random)
    now = host.clock()
    context = forwarder.create_context(request, '', route, service, now)
    context.deadline_at = now + DEADLINE_S
    return context


def respond_with(host: Host, path: str, injection: Injection) -> 'Task[Any]':
    """Starts the work on a request."""

    async def respond() -> None:
        work = host.forwarder.respond(make_context(host, path))
        await Injected(work, injection)

    return create_task(respond())


async def check_injections(
    fleet: Fleet,
    host: Host,
    path: str,
    releases: Releases,
    error: type[BaseException],
    *,
    late: bool,
) -> int:
    """Ends one request at each of its awaits; returns how many there were."""
    kept: dict[int, int] = {}
    offers: dict[int, int] = {}
    for number in range(1, MAX_AWAITS):
        injection = Injection(number, error, late=late)
        with suppress(Unexpected, CancelledError):
            await respond_with(host, path, injection)
        await sleep(SETTLE_S)
        if count_offers(fleet):
            offers[number] = count_offers(fleet)
        if open_leases(fleet):
            kept[number] = len(open_leases(fleet))
            await sleep(DEADLINE_S + 1.0)
        if injection.count < number:
            break
    assert_that(kept, Equals({}))
    assert_that(offers, Equals({}))
    assert_that(releases.counts.most_common(1)[0][1], Equals(1))
    return number - 1


def inject_into_attempts(
    monkeypatch: pytest.MonkeyPatch, injection: Injection
) -> None:
    """Ends attempts to send a request, which may be tasks of their own."""
    send = Sender.send

    async def send_with_injection(*arguments: Any) -> Any:
        return await Injected(send(*arguments), injection)

    monkeypatch.setattr(Sender, 'send', send_with_injection)


@pytest.fixture
def releases(monkeypatch: pytest.MonkeyPatch) -> Releases:
    """Counts the reports of leases."""
    return Releases(monkeypatch)


ENDS = pytest.mark.parametrize(
    ('error', 'late'),
    [
        (CancelledError, False),
        (CancelledError, True),
        (Unexpected, False),
        (Unexpected, True),
    ],
)
FAULTS = pytest.mark.parametrize(
    ('path', 'fault'),
    [
        ('/read/1', Fault.NONE),
        ('/read/1', Fault.LOST),
        ('/book/1', Fault.NONE),
        ('/book/1', Fault.SHED),
    ],
)


@ENDS
@FAULTS
async def test_no_lease_stays_of_a_request_that_ends_at_any_await(
    fleet: Fleet,
    releases: Releases,
    path: str,
    fault: Fault,
    error: type[BaseException],
    late: bool,
) -> None:
    """A coordinator of the same process granted it."""
    for backend in fleet.backends.values():
        backend.fault = fault
    awaits = await check_injections(
        fleet, fleet.hosts[0], path, releases, error, late=late
    )
    assert_that(awaits, GreaterThan(1))
    assert_that(awaits, LessThan(MAX_AWAITS - 2))


@ENDS
@FAULTS
async def test_no_lease_stays_at_another_host(
    large_fleet: Fleet,
    releases: Releases,
    path: str,
    fault: Fault,
    error: type[BaseException],
    late: bool,
) -> None:
    """Its grant may be on its way when the request ends."""
    for backend in large_fleet.backends.values():
        backend.fault = fault
    host = other_than_coordinator(large_fleet)
    await check_injections(large_fleet, host, path, releases, error, late=late)


@ENDS
async def test_no_lease_stays_of_a_relayed_request(
    large_fleet: Fleet,
    partition: Partition,
    releases: Releases,
    error: type[BaseException],
    late: bool,
) -> None:
    """The host that relays it keeps no offer open either."""
    host = other_than_coordinator(large_fleet)
    await isolate(large_fleet, partition, [host])
    await check_injections(
        large_fleet, host, '/read/1', releases, error, late=late
    )


@ENDS
async def test_no_lease_stays_of_an_attempt_that_ends_at_any_await(
    fleet: Fleet,
    releases: Releases,
    monkeypatch: pytest.MonkeyPatch,
    error: type[BaseException],
    late: bool,
) -> None:
    """First attempts and hedges are tasks of their own."""
    for backend in fleet.backends.values():
        backend.fault = Fault.LOST
    for number in range(1, 8):
        with monkeypatch.context() as patch:
            injection = Injection(number, error, late=late)
            inject_into_attempts(patch, injection)
            with suppress(Unexpected, CancelledError):
                await respond_with(
                    fleet.hosts[0], '/read/1', Injection(0, error, late=late)
                )
            await sleep(SETTLE_S)
            assert_that(open_leases(fleet), Equals([]))
    assert_that(releases.counts.most_common(1)[0][1], Equals(1))


@pytest.mark.parametrize('path', ['/read/1', '/book/1'])
@pytest.mark.parametrize('error', [Unexpected, CancelledError])
@pytest.mark.parametrize(
    ('owner', 'method'),
    [
        (LeaseManager, 'ignores_limit'),
        (RateLimits, 'report'),
        (Sender, 'accepts_requests'),
        (Forwarder, 'may_send'),
        (RequestLog, 'placed'),
        (Forwarder, 'hedge_at'),
    ],
)
async def test_an_error_after_the_grant_keeps_no_lease(
    fleet: Fleet,
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    method: str,
    error: type[BaseException],
    path: str,
) -> None:
    """Whatever raises it before the request is sent."""
    original = getattr(owner, method)
    failed: list[str] = []

    def fail_once(*arguments: Any, **options: Any) -> Any:
        if failed:
            return original(*arguments, **options)
        failed.append(method)
        raise error('unexpected')

    monkeypatch.setattr(owner, method, fail_once)
    await fleet.send_request(path)
    await sleep(SETTLE_S)
    assert_that(open_leases(fleet), Equals([]))


async def test_an_answer_waits_for_no_lease_of_a_hedge(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The lease request of the hedge is cancelled when the answer comes."""
    for backend in fleet.backends.values():
        backend.work_s = 0.4
    acquire = LeaseManager.acquire
    ends: list[str] = []

    async def wait_for_hedge(
        manager: LeaseManager, requirements: Requirements
    ) -> Grant | Refusal:
        if requirements.max_duration_s is None:
            return await acquire(manager, requirements)
        ends.append('begun')
        try:
            await sleep(0.2)
            ends.append('granted')
        except CancelledError:
            ends.append('cancelled')
            raise
        return await acquire(manager, requirements)

    monkeypatch.setattr(LeaseManager, 'acquire', wait_for_hedge)
    started_at = fleet.hosts[0].clock()
    response = await fleet.send_request('/read/1')
    took_s = fleet.hosts[0].clock() - started_at
    await sleep(SETTLE_S)
    assert_that(response.status, Equals(200))
    assert_that(ends, Equals(['begun', 'cancelled']))
    assert_that(took_s, LessThan(0.45))
    assert_that(open_leases(fleet), Equals([]))
