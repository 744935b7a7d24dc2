"""Servers, entries and lease requests for tests of coordination."""

from collections.abc import Callable

import pytest

from cowslipmill.coordination.lease import EntryLeaseRequest
from cowslipmill.document.document import Priority
from cowslipmill.document.document import Service
from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role

DOMAINS = ('domain-a', 'domain-b', 'domain-c')


def make_server(number: int) -> NodeRecord:
    """Returns a live server."""
    return NodeRecord(
        name=f'server-{number}',
        role=Role.BACKEND_SERVER,
        address=f'127.0.0.1:{9000 + number}',
        failure_domain=DOMAINS[number % 3],
        incarnation=1,
        service='registry',
    )


def make_member(number: int) -> Member:
    """Returns a live entry."""
    return Member(
        name=f'entry-{number}',
        host=f'host-{number}',
        failure_domain=DOMAINS[number % 3],
        incarnation=1,
        peer_address=f'127.0.0.1:{8000 + number}',
    )


def make_lease_request(
    number: int,
    *,
    deadline_at: float = 100.0,
    caller: str = 'garage',
    priority: Priority = Priority.NORMAL,
    idempotent: bool = True,
    excluded: tuple[str, ...] = (),
    may_wait: bool = True,
) -> EntryLeaseRequest:
    """Returns a lease request of one entry."""
    return EntryLeaseRequest(
        key=('entry-0', number),
        caller=caller,
        priority=priority,
        idempotent=idempotent,
        deadline_at=deadline_at,
        excluded=excluded,
        may_wait=may_wait,
    )


def make_service(slots: int = 2) -> Service:
    """Returns a service of the document."""
    return Service(name='registry', team='standing', slots_per_server=slots)


@pytest.fixture
def service() -> Service:
    """A service with two slots at each server."""
    return make_service()


@pytest.fixture
def lease_request() -> Callable[..., EntryLeaseRequest]:
    """Makes lease requests."""
    return make_lease_request
