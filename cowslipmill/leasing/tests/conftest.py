"""Servers and lease requests for tests of leasing."""

from random import Random

import pytest

from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.load import Load
from cowslipmill.leasing.requirements import Requirements
from cowslipmill.leasing.scheduler import SlotScheduler
from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.view.server import ServerRecord

DOMAIN = 'domain-a'


def make_record(number: int, slots: int = 2) -> ServerRecord:
    """Returns the entry of a server that needs no warm-up."""
    return ServerRecord(
        name=f'server-{number}',
        started_ms=1,
        service='registry',
        address=('127.0.0.1', 9000 + number),
        failure_domain=DOMAIN,
        slots=slots,
        leaving=False,
        warm_up_s=0.0,
    )


def make_scheduler(
    count: int = 2, *, slots: int = 2, other_domains_available: bool = False
) -> SlotScheduler:
    """Returns a scheduler of servers that have reported their load."""
    scheduler = SlotScheduler(DOMAIN)
    scheduler.set_servers(
        [(make_record(number, slots), False) for number in range(count)], 0.0
    )
    for server in scheduler.servers.values():
        report_load(server, 0.0)
    scheduler.other_domains_available = other_domains_available
    return scheduler


def make_request(
    number: int,
    now: float = 0.0,
    *,
    objective_s: float = 0.3,
    deadline_s: float = 1.5,
    priority: int = 1,
    kilobytes: float = 1.0,
    max_duration_s: float | None = None,
    excluded: tuple[str, ...] = (),
) -> LeaseRequest:
    """Returns a lease request that arrives now."""
    requirements = Requirements(
        'registry',
        'read',
        priority,
        now + objective_s,
        now + deadline_s,
        kilobytes=kilobytes,
        max_duration_s=max_duration_s,
        excluded=excluded,
    )
    return LeaseRequest(('host-1', number), requirements, now)


def report_load(
    server: ServerSlots,
    now: float,
    *,
    running: int = 0,
    waiting: int = 0,
    slowdown: float = 1.0,
    healthy: bool = True,
) -> None:
    """Records a load report of a server, sampled now."""
    load = Load(running, waiting, server.record.slots, slowdown, healthy)
    server.record_load(load, now, now)


@pytest.fixture
def random() -> Random:
    """Returns random numbers with a fixed seed."""
    return Random(1)
