"""Messages between hosts."""

from msgspec import Struct

from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.view.change import ConfigurationChange
from cowslipmill.view.events import ServerRemoved
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.packed import PackedConfiguration
from cowslipmill.view.view import Snapshot


class Member(Struct, frozen=True, array_like=True):
    """One host.

    Attributes:
        name: The host's name.
        failure_domain: Where it is.
        address: Where other hosts connect.
        started_ms: Unix milliseconds of its process's start.
    """

    name: str
    failure_domain: str
    address: tuple[str, int]
    started_ms: int


class Hello(Struct, frozen=True, array_like=True, tag='hello'):
    """A host makes itself known; the reply is `Members`."""

    member: Member


class Members(Struct, frozen=True, array_like=True, tag='members'):
    """Hosts that the sender knows.

    Attributes:
        members: The hosts.
        relay: Whether the receiver tells its failure domain.
    """

    members: tuple[Member, ...]
    relay: bool = False


class Compare(Struct, frozen=True, array_like=True, tag='compare'):
    """Compares what two hosts know.

    The reply is `Members` if the digests differ, else `Pong`.

    Attributes:
        digest: Hash over the sender's members.
        member: The sender.
    """

    digest: int
    member: Member


class Ping(Struct, frozen=True, array_like=True, tag='ping'):
    """Asks whether a host is there; the reply is `Pong`."""


class Pong(Struct, frozen=True, array_like=True, tag='pong'):
    """The host is there."""


class Leaving(Struct, frozen=True, array_like=True, tag='leaving'):
    """A host stops.

    Attributes:
        name: The host's name.
        started_ms: Unix milliseconds of its process's start.
        relay: Whether the receiver tells its failure domain.
    """

    name: str
    started_ms: int
    relay: bool = False


NewsEvent = (
    ConfigurationChange | PackedConfiguration | ServerUpdated | ServerRemoved
)


class News(Struct, frozen=True, array_like=True, tag='news'):
    """What the store said since a revision.

    Attributes:
        since: The revision that the events continue from.
        revision: The revision after them.
        age_s: How long ago the store said so.
        events: The events that matter.
        reader: Name of the host that read it.
        relay: Whether the receiver tells its failure domain.
    """

    since: int
    revision: int
    age_s: float
    events: tuple[NewsEvent, ...]
    reader: str
    relay: bool


class AskSnapshot(Struct, frozen=True, array_like=True, tag='ask-snapshot'):
    """Asks for a view; the reply is `Snapshot`.

    Attributes:
        since: Revision up to which the asking host knows everything.
        version: Version of the configuration that it has; 0 for none.
    """

    since: int = 0
    version: int = 0


class AskLease(Struct, frozen=True, array_like=True, tag='ask-lease'):
    """Asks for a slot; the reply is `Grant` or `Refusal`.

    Attributes:
        key: The ticket's key.
        service: The service's name.
        failure_domain: Domain whose servers are asked for.
        route: The route's name.
        priority: Rank, 0 the most urgent.
        objective_s: Time left until the answer loses most of its value.
        deadline_s: Time left until the caller stops waiting.
        kilobytes: Size of request and answer.
        excluded: Servers that were tried before.
        max_duration_s: Only a server that finishes within this is wanted;
            None for any.
    """

    key: LeaseKey
    service: str
    failure_domain: str
    route: str
    priority: int
    objective_s: float
    deadline_s: float
    kilobytes: float
    excluded: tuple[str, ...]
    max_duration_s: float | None


class CancelLease(Struct, frozen=True, array_like=True, tag='cancel-lease'):
    """A ticket is no longer needed."""

    key: LeaseKey
    service: str
    failure_domain: str


class Crash(Struct, frozen=True, array_like=True, tag='crash'):
    """A server was lost while it ran a request.

    Attributes:
        fingerprint: Hash of the request.
        server: The server's name.
        relay: Whether the receiver tells its failure domain.
    """

    fingerprint: bytes
    server: str
    relay: bool = False


class Cleared(Struct, frozen=True, array_like=True, tag='cleared'):
    """A request that was suspect got a whole answer.

    Attributes:
        fingerprint: Hash of the request.
        relay: Whether the receiver tells its failure domain.
    """

    fingerprint: bytes
    relay: bool = False


class IdleLoss(Struct, frozen=True, array_like=True, tag='idle-loss'):
    """A server had dropped an idle connection without notice.

    Attributes:
        service: The server's service.
        idle_s: How long the connection had rested.
        relay: Whether the receiver tells its failure domain.
    """

    service: str
    idle_s: float
    relay: bool = False


BroadcastMessage = Members | Leaving | News | Crash | Cleared | IdleLoss


MESSAGES = (
    Hello,
    Members,
    Compare,
    Ping,
    Pong,
    Leaving,
    News,
    AskSnapshot,
    Snapshot,
    AskLease,
    Grant,
    Refusal,
    CancelLease,
    Report,
    Crash,
    Cleared,
    IdleLoss,
)
