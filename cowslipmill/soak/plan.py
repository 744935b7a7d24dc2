"""The faults of one soak, drawn from its seed."""

from enum import Enum
from random import Random

from msgspec import Struct


class Fault(Enum):
    """What is done from outside."""

    PAUSE_HOST = 'pause-host'
    KILL_HOST = 'kill-host'
    STOP_HOST = 'stop-host'
    RELOAD_HOST = 'reload-host'
    CUT_PEER = 'cut-peer'
    SILENCE_PEER = 'silence-peer'
    DELAY_PEER = 'delay-peer'
    RESET_PEER = 'reset-peer'
    CUT_STORE = 'cut-store'
    SILENCE_STORE = 'silence-store'
    DELAY_STORE = 'delay-store'
    STORE_BUSY = 'store-busy'
    COMPACT_STORE = 'compact-store'
    LAPSE_ENTRIES = 'lapse-entries'
    CUT_SERVER = 'cut-server'
    SILENCE_SERVER = 'silence-server'
    RESET_SERVER = 'reset-server'
    SLOW_SERVER = 'slow-server'
    FAULTY_SERVER = 'faulty-server'
    CRASH_SERVER = 'crash-server'
    DRAIN_SERVER = 'drain-server'
    CONFIGURE = 'configure'


class Step(Struct, frozen=True):
    """One fault.

    Attributes:
        at_s: When it begins, from the start of the load.
        fault: What is done.
        for_s: How long it lasts, if it lasts.
        target: Number that picks the host or server.
    """

    at_s: float
    fault: Fault
    for_s: float
    target: int


def draw_plan(seed: int, seconds: float) -> list[Step]:
    """Returns the faults of a seed, in series and overlapping.

    Args:
        seed: The soak's seed.
        seconds: Length of the time with faults.
    """
    random = Random(seed)
    kinds = random.sample(list(Fault), random.randint(3, 8))
    steps = []
    at_s = 0.3
    while at_s < seconds:
        fault = random.choice(kinds)
        for_s = random.uniform(0.2, 2.5)
        steps.append(Step(at_s, fault, for_s, random.randrange(1_000)))
        # A series in short steps now and then.
        at_s += random.choice((0.05, 0.4, 1.0, 1.5))
    return steps


class ServerNotice(Struct, frozen=True):
    """Servers that ask for nothing, for a time or for good.

    Attributes:
        at_s: When it begins, from the start of the load.
        for_s: How long they turn requests away; 0 for servers that leave.
        servers: Numbers that pick the servers; empty for all of them.
    """

    at_s: float
    for_s: float
    servers: tuple[int, ...]


def draw_notices(seed: int, seconds: float) -> list[ServerNotice]:
    """Returns what servers of a seed ask for: a server's leaving, and pauses.

    They are drawn apart from the other faults and overlap with them.

    Args:
        seed: The soak's seed.
        seconds: Length of the time with faults.
    """
    random = Random(f'notices {seed}')
    first = random.randrange(1_000)
    notices = [ServerNotice(random.uniform(0.0, seconds), 0.0, (first,))]
    for _ in range(random.randint(1, 3)):
        first = random.randrange(1_000)
        servers = random.choice(((first,), (first, first + 1), ()))
        notices.append(
            ServerNotice(
                random.uniform(0.0, seconds * 0.7),
                random.uniform(1.0, 3.0),
                servers,
            )
        )
    return notices


class Restore(Struct, frozen=True):
    """The store comes back from an older copy.

    Attributes:
        at_s: When, from the start of the load.
        age_s: Age of the copy.
    """

    at_s: float
    age_s: float


def draw_restores(seed: int, seconds: float) -> list[Restore]:
    """Returns when the store of a seed comes back from older copies.

    They are drawn apart from the other faults and overlap with them.

    Args:
        seed: The soak's seed.
        seconds: Length of the time with faults.
    """
    random = Random(f'restores {seed}')
    return [
        Restore(random.uniform(1.0, seconds), random.uniform(0.2, 4.0))
        for _ in range(random.randint(0, 2))
    ]


class LinkCut(Struct, frozen=True):
    """Hosts that lose their links to all servers.

    Attributes:
        at_s: When it begins, from the start of the load.
        for_s: How long it lasts.
        hosts: Numbers of the hosts.
        resets: Whether connections are reset; else they hang.
    """

    at_s: float
    for_s: float
    hosts: tuple[int, ...]
    resets: bool


def draw_link_cuts(
    seed: int, seconds: float, host_count: int
) -> list[LinkCut]:
    """Returns the cuts of a seed: of one host, every second one or most.

    They are drawn apart from the other faults and overlap with them.

    Args:
        seed: The soak's seed.
        seconds: Length of the time with faults.
        host_count: Number of hosts.
    """
    random = Random(f'link cuts {seed}')
    cuts = []
    for _ in range(random.randint(1, 3)):
        first = random.randrange(host_count)
        numbers = [(first + n) % host_count for n in range(host_count)]
        hosts = random.choice((numbers[:1], numbers[::2], numbers[:-1]))
        cuts.append(
            LinkCut(
                random.uniform(0.0, seconds * 0.7),
                random.uniform(0.5, 3.0),
                tuple(hosts),
                random.random() < 0.5,
            )
        )
    return cuts
