"""Divides the memory of a host process among the kinds of its work."""

from prometheus_client import Gauge

from cowslipmill.memory.budget import MemoryBudget

MEBIBYTE = 1_048_576
# What the process needs besides: the interpreter, the modules, the view of the
# store, and copies that exist during one step of the event loop.
BASE_BYTES = 88 * MEBIBYTE
# Least memory that is divided, whatever the limit of the process is.
MIN_DIVIDED_BYTES = 14 * MEBIBYTE
# Parts of the rest. Requests come first: with 200 MiB in all, a body of
# 64 MiB still fits.
CALLERS_PARTS = 9
SERVERS_PARTS = 3
HOSTS_PARTS = 2
ALL_PARTS = CALLERS_PARTS + SERVERS_PARTS + HOSTS_PARTS

HELD_BYTES = Gauge(
    'cowslipmill_host_memory_held_bytes',
    'Memory held by kind of work.',
    ('budget',),
)
LIMIT_BYTES = Gauge(
    'cowslipmill_host_memory_limit_bytes',
    'Memory that each kind of work may hold.',
    ('budget',),
)


class MemoryBudgets:
    """The budgets of a host process.

    Attributes:
        callers: Connections of callers and their requests.
        servers: Connections to servers and their responses.
        hosts: Messages to other hosts that wait to be sent.
    """

    __slots__ = ('callers', 'hosts', 'servers')

    def __init__(self, limit_bytes: int) -> None:
        """Divides the memory.

        Args:
            limit_bytes: Memory limit of the process.
        """
        divided_bytes = max(MIN_DIVIDED_BYTES, limit_bytes - BASE_BYTES)
        part_bytes = divided_bytes // ALL_PARTS
        self.callers = MemoryBudget('callers', CALLERS_PARTS * part_bytes)
        self.servers = MemoryBudget('servers', SERVERS_PARTS * part_bytes)
        self.hosts = MemoryBudget('hosts', HOSTS_PARTS * part_bytes)

    def update_metrics(self) -> None:
        """Sets the gauges to what is held now."""
        for budget in (self.callers, self.servers, self.hosts):
            HELD_BYTES.labels(budget.name).set(budget.held_bytes)
            LIMIT_BYTES.labels(budget.name).set(budget.limit_bytes)
