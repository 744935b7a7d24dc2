"""Tests of evacuations over hosts and servers in one event loop.

Guard against requests that start at servers of a failure domain that the
operator has taken out of use, and against requests that fail or wait since
their servers, coordinators or leases were there.
"""

from asyncio import create_task
from asyncio import gather
from asyncio import get_running_loop
from asyncio import sleep
from asyncio import Task
from collections.abc import AsyncIterator
from collections.abc import Iterable
from typing import Any

from prometheus_client import generate_latest
import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from cowslipmill.fleet.messages import News
from cowslipmill.forwarding.attempts import Attempts
from cowslipmill.forwarding.directsender import DirectSender
from cowslipmill.host.host import Host
from cowslipmill.host.tests.conftest import DOMAINS
from cowslipmill.host.tests.conftest import Fleet
from cowslipmill.host.tests.conftest import make_test_configuration
from cowslipmill.host.tests.test_partition import coordinator
from cowslipmill.host.tests.test_partition import count_served
from cowslipmill.host.tests.test_partition import send_requests
from cowslipmill.host.tests.test_relays import other_than_coordinator
from cowslipmill.http1.message import Response
from cowslipmill.leasing.leasemanager import LeaseManager
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseResult
from cowslipmill.standin.backend import Fault
from cowslipmill.standin.backend import StandinBackend
from cowslipmill.view.events import EvacuationChanged

EVACUATED, OTHER = DOMAINS


@pytest_asyncio.fixture
async def domains(large_fleet: Fleet) -> AsyncIterator[Fleet]:
    """Starts four hosts and four servers in two failure domains."""
    for name in ('three', 'four'):
        await large_fleet.add_backend(name, slots=4, domain=OTHER)
    for name in ('one', 'two'):
        large_fleet.backends[name].slots = 4
    await large_fleet.wait_until(
        lambda: all(len(h.view.servers) == 4 for h in large_fleet.hosts)
    )
    yield large_fleet


def evacuated_servers(fleet: Fleet) -> list[StandinBackend]:
    """Returns the servers of the failure domain that is evacuated."""
    return [fleet.backends[name] for name in ('one', 'two')]


def count_arrivals(fleet: Fleet, since: float = 0.0) -> int:
    """Returns how many requests of any kind reached the evacuated servers.

    Args:
        fleet: The servers.
        since: Only those since then, in monotonic seconds.
    """
    return sum(
        arrival.at >= since
        for backend in evacuated_servers(fleet)
        for arrival in backend.arrivals
    )


def know(hosts: Iterable[Host], *domains: str) -> bool:
    """Returns whether hosts know that just these domains are evacuated."""
    return all(h.view.evacuations.active == set(domains) for h in hosts)


async def evacuate(fleet: Fleet, *domains: str) -> None:
    """Evacuates failure domains and waits until all hosts know."""
    for domain in domains:
        fleet.store.evacuate(domain)
    await fleet.wait_until(lambda: know(fleet.hosts, *domains))


def tell(hosts: Iterable[Host], change: EvacuationChanged) -> None:
    """Tells hosts of a change at once."""
    for host in hosts:
        applied = host.view.apply_events([change], host.clock())
        host.on_view_events(applied, 'test')


def send_later(
    fleet: Fleet, count: int, *, kind: str = 'book'
) -> 'list[Task[Response]]':
    """Starts to send requests to all hosts in turn."""
    return [
        create_task(
            fleet.send_request(
                f'/{kind}/{number}', host=number % len(fleet.hosts)
            )
        )
        for number in range(count)
    ]


async def test_no_request_starts_in_an_evacuated_domain(
    domains: Fleet,
) -> None:
    """Nor any question for health, and requests in progress finish."""
    for backend in domains.backends.values():
        backend.work_s = 0.3
    before = send_later(domains, 8)
    await domains.wait_until(lambda: count_arrivals(domains) > 0)
    for backend in domains.backends.values():
        backend.work_s = 0.02
    domains.store.evacuate(EVACUATED)
    during = create_task(send_requests(domains, domains.hosts, 60))
    await domains.wait_until(lambda: know(domains.hosts, EVACUATED))
    known_at = get_running_loop().time()
    arrived = count_arrivals(domains)
    responses = [*await during, *await gather(*before)]
    assert_that(count_served(responses), Equals(len(responses)))
    assert_that(count_arrivals(domains, known_at), Equals(0))
    assert_that(count_arrivals(domains), Equals(arrived))
    runs = [run for b in evacuated_servers(domains) for run in b.runs]
    assert_that(all(run.whole for run in runs), Equals(True))


async def test_an_evacuation_ends_when_its_key_is_removed(
    domains: Fleet,
) -> None:
    """Also if it is written and removed again and again."""
    for _ in range(3):
        await evacuate(domains, EVACUATED)
        domains.store.end_evacuation(EVACUATED)
        await domains.wait_until(lambda: know(domains.hosts))
    arrived = count_arrivals(domains)
    responses = await send_requests(domains, domains.hosts, 20)
    assert_that(count_served(responses), Equals(20))
    assert_that(count_arrivals(domains), GreaterThan(arrived))


async def test_requests_in_progress_count_when_the_evacuation_ends(
    domains: Fleet,
) -> None:
    """Else a server would get more requests than it has slots."""
    manager = coordinator(domains).lease_manager
    short, long = evacuated_servers(domains)
    short.work_s, long.work_s = 0.2, 0.65
    # They have two slots each, and the first two hosts use them.
    requests = [
        create_task(domains.send_request(f'/book/{n}', host=n % 2))
        for n in range(4)
    ]
    await sleep(0.1)
    await evacuate(domains, EVACUATED)
    await domains.wait_until(lambda: all(run.whole for run in short.runs))
    await sleep(0.05)
    domains.store.end_evacuation(EVACUATED)
    await domains.wait_until(lambda: know(domains.hosts))
    scheduler = manager.local_coordinator('registry', EVACUATED).scheduler
    leases = {n: len(s.leases) for n, s in scheduler.servers.items()}
    assert_that(leases, Equals({'one': 0, 'two': 2}))
    assert_that(long.running, Equals(2))
    assert_that(count_served(await gather(*requests)), Equals(4))


async def test_queued_requests_leave_an_evacuated_domain_at_once(
    domains: Fleet,
) -> None:
    """They would wait until they are refused, and servers elsewhere idle."""
    await evacuate(domains, OTHER)
    for backend in evacuated_servers(domains):
        backend.work_s = 0.5
    # They have two slots each.
    blocking = send_later(domains, 4)
    await sleep(0.1)
    queued = send_later(domains, 4, kind='read')
    await sleep(0.05)
    manager = coordinator(domains).lease_manager
    scheduler = manager.coordinators['registry', EVACUATED].scheduler
    waiting = len(scheduler.queue)
    domains.store.end_evacuation(OTHER)
    domains.store.evacuate(EVACUATED)
    await domains.wait_until(lambda: know(domains.hosts, EVACUATED))
    known_at = get_running_loop().time()
    assert_that(scheduler.queue, Equals([]))
    responses = await gather(*queued)
    took_s = get_running_loop().time() - known_at
    assert_that(waiting, Equals(4))
    assert_that(count_served(responses), Equals(4))
    assert_that(took_s, LessThan(0.2))
    assert_that(count_arrivals(domains, known_at), Equals(0))
    assert_that(count_served(await gather(*blocking)), Equals(4))


async def test_a_lost_request_causes_no_check_in_an_evacuated_domain(
    domains: Fleet,
) -> None:
    """Its servers may be switched off, which is no crash."""
    for backend in evacuated_servers(domains):
        backend.work_s = 0.5
        backend.fault = Fault.RESET
    requests = [
        create_task(domains.send_request(f'/book/{n}', host=n % 2))
        for n in range(4)
    ]
    await sleep(0.1)
    await evacuate(domains, EVACUATED)
    arrived = count_arrivals(domains)
    responses = await gather(*requests)
    assert_that({response.status for response in responses}, Equals({502}))
    await sleep(1.0)
    assert_that(count_arrivals(domains), Equals(arrived))


@pytest.mark.parametrize('kind', ['read', 'book'])
async def test_requests_are_refused_at_once_if_all_domains_are_evacuated(
    domains: Fleet, kind: str, caplog: pytest.LogCaptureFixture
) -> None:
    """They would wait until their deadline for servers out of use."""
    caplog.set_level('INFO')
    await evacuate(domains, EVACUATED, OTHER)
    runs = domains.execution_count()
    started_at = get_running_loop().time()
    responses = await gather(*send_later(domains, 8, kind=kind))
    took_s = get_running_loop().time() - started_at
    assert_that({r.status for r in responses}, Equals({503}))
    waits_s = [float(r.header(b'retry-after')) for r in responses]
    assert_that(min(waits_s), GreaterThan(0.0))
    assert_that(took_s, LessThan(0.1))
    assert_that(domains.execution_count(), Equals(runs))
    reasons = {
        vars(record)['reason']
        for record in caplog.records
        if record.getMessage() == 'refused'
    }
    assert_that(reasons, Equals({'no server'}))


async def test_a_host_that_starts_late_knows_of_evacuations(
    domains: Fleet,
) -> None:
    """From another host's view, as the store may be down."""
    await evacuate(domains, EVACUATED)
    domains.store.busy = True
    arrived = count_arrivals(domains)
    host = await domains.restart_host(1)
    await domains.wait_until(lambda: host.ready)
    assert_that(know([host], EVACUATED), Equals(True))
    responses = await send_requests(domains, [host], 20)
    assert_that(count_served(responses), Equals(20))
    assert_that(count_arrivals(domains), Equals(arrived))


async def test_the_first_read_of_a_host_tells_of_evacuations(
    empty_fleet: Fleet,
) -> None:
    """No other host is there that could tell of them."""
    empty_fleet.store.put('op/config', make_test_configuration(1))
    await empty_fleet.add_backend('one')
    await empty_fleet.add_backend('two', domain=OTHER)
    empty_fleet.store.evacuate(EVACUATED)
    host = await empty_fleet.add_host()
    await empty_fleet.wait_until(lambda: host.ready)
    responses = await send_requests(empty_fleet, [host], 10)
    assert_that(count_served(responses), Equals(10))
    assert_that(empty_fleet.backends['one'].arrivals, Equals([]))


def hide_messages(host: Host, kinds: tuple[type, ...]) -> dict[type, Any]:
    """Has a host drop messages; returns the handlers that it had."""

    async def drop(message: Any, sender: str) -> None:
        """Drops a message."""

    handlers = {kind: host.rpc.handlers[kind] for kind in kinds}
    for kind in kinds:
        host.rpc.register(kind, drop)
    return handlers


@pytest.mark.parametrize('begins', [True, False])
async def test_a_host_that_was_cut_off_learns_of_changes_on_contact(
    domains: Fleet, begins: bool
) -> None:
    """Whether an evacuation has begun or ended meanwhile."""
    if not begins:
        await evacuate(domains, EVACUATED)
    host = other_than_coordinator(domains)
    others = [other for other in domains.hosts if other is not host]
    address = host.store_reader.address
    host.store_reader.address = ('127.0.0.1', 1)
    if host.store_reader.connection is not None:
        host.store_reader.connection.close()
    handlers = hide_messages(host, (News,))
    if begins:
        domains.store.evacuate(EVACUATED)
    else:
        domains.store.end_evacuation(EVACUATED)
    expected = (EVACUATED,) if begins else ()
    await domains.wait_until(lambda: know(others, *expected))
    await sleep(1.0)
    assert_that(know([host], *expected), Equals(False))
    for kind, handler in handlers.items():
        host.rpc.register(kind, handler)
    domains.store.put('servers/other', {})
    await domains.wait_until(lambda: know([host], *expected))
    host.store_reader.address = address


def record_releases(
    monkeypatch: pytest.MonkeyPatch,
) -> list[tuple[str, LeaseResult]]:
    """Returns a list that gets the server and result of each lease."""
    results: list[tuple[str, LeaseResult]] = []
    release = LeaseManager.release

    def record(
        manager: LeaseManager, service: str, grant: Grant, *rest: Any
    ) -> None:
        """Records a result."""
        results.append((grant.server, rest[0]))
        release(manager, service, grant, *rest)

    monkeypatch.setattr(LeaseManager, 'release', record)
    return results


@pytest.mark.parametrize('kind', ['read', 'book'])
@pytest.mark.parametrize('granted_by_own_host', [True, False])
async def test_a_lease_that_was_granted_before_is_not_used(
    domains: Fleet,
    monkeypatch: pytest.MonkeyPatch,
    kind: str,
    granted_by_own_host: bool,
) -> None:
    """Not against the server, and the request counts as sent once."""
    leader = coordinator(domains)
    host = leader if granted_by_own_host else other_than_coordinator(domains)
    results = record_releases(monkeypatch)
    attempts: list[Attempts] = []
    connect = DirectSender.connect
    record_send = Attempts.record_send

    async def connect_late(sender: DirectSender, server: Any) -> Any:
        """Evacuates the domain while a connection is opened."""
        connection = await connect(sender, server)
        if server.failure_domain == EVACUATED:
            change = EvacuationChanged(EVACUATED, domains.store.revision, True)
            tell(domains.hosts, change)
        return connection

    def record_attempt(state: Attempts, server: str) -> None:
        """Keeps the attempts of the request."""
        attempts.append(state)
        record_send(state, server)

    monkeypatch.setattr(DirectSender, 'connect', connect_late)
    monkeypatch.setattr(Attempts, 'record_send', record_attempt)
    arrived = sum(len(b.runs) for b in evacuated_servers(domains))
    index = domains.hosts.index(host)
    response = await domains.send_request(f'/{kind}/1', host=index)
    assert_that(response.status, Equals(200))
    runs = sum(len(b.runs) for b in evacuated_servers(domains))
    assert_that(runs, Equals(arrived))
    assert_that(
        [result for _, result in results],
        Equals([LeaseResult.UNUSED, LeaseResult.ANSWERED]),
    )
    (state,) = attempts
    assert_that((state.sends, state.servers_tried), Equals((1, 1)))


async def test_an_evacuation_is_logged_and_counted(
    domains: Fleet, caplog: pytest.LogCaptureFixture
) -> None:
    """An operator sees which hosts know of it, and from where."""
    caplog.set_level('INFO')
    revision = domains.store.evacuate(EVACUATED)
    await domains.wait_until(lambda: know(domains.hosts, EVACUATED))
    lines = [
        vars(record)
        for record in caplog.records
        if record.getMessage() == 'evacuation'
    ]
    assert_that(len(lines), Equals(len(domains.hosts)))
    fields = {
        (line['failure_domain'], line['active'], line['revision'])
        for line in lines
    }
    assert_that(fields, Equals({(EVACUATED, True, revision)}))
    sources = {line['source'] for line in lines}
    assert_that('store' in sources, Equals(True))
    line = b'cowslipmill_host_evacuated_domains 1.0'
    assert_that(line in generate_latest(), Equals(True))
