"""Messages between hosts."""

from msgspec import Struct

from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseKey
from cowslipmill.leasing.leaserequest import Refusal
from cowslipmill.leasing.leaserequest import Report
from cowslipmill.relays.messages import AskRelay
from cowslipmill.relays.messages import AskRunning
from cowslipmill.relays.messages import CancelRelay
from cowslipmill.relays.messages import RelayFailure
from cowslipmill.relays.messages import RelayOffer
from cowslipmill.relays.messages import RelayRequest
from cowslipmill.relays.messages import RelayResponse
from cowslipmill.relays.messages import Running
from cowslipmill.runtime.address import Address
from cowslipmill.runtime.names import LongName
from cowslipmill.runtime.names import Name
from cowslipmill.suspects.record import Summary
from cowslipmill.view.change import ConfigurationChange
from cowslipmill.view.events import EvacuationChanged
from cowslipmill.view.events import ServerRemoved
from cowslipmill.view.events import ServerUpdated
from cowslipmill.view.packed import PackedConfiguration
from cowslipmill.view.view import Snapshot


class Member(Struct, frozen=True, array_like=True):
    """One host of the fleet.

    Attributes:
        name: The host's name.
        failure_domain: Failure domain in which it runs.
        address: IP address and port for connections from other hosts.
        started_ms: Unix milliseconds of its process's start.
        processor: Processor time that it has, in seconds a second; 0.0 if it
            doesn't say.
    """

    name: Name
    failure_domain: Name
    address: Address
    started_ms: int
    processor: float = 0.0


class Hello(Struct, frozen=True, array_like=True, tag='hello'):
    """Introduces the sender to another host; the reply is `Members`.

    Attributes:
        member: The sender.
    """

    member: Member


class Members(Struct, frozen=True, array_like=True, tag='members'):
    """Hosts of the fleet: those that the sender knows, or newly added ones.

    Attributes:
        members: The hosts.
        relay: Whether the receiver passes it on in its failure domain.
    """

    members: tuple[Member, ...]
    relay: bool = False


class Compare(Struct, frozen=True, array_like=True, tag='compare'):
    """Compares the member lists and the suspect requests of two hosts.

    The reply is `Members` if the member lists differ, else `Pong`. `Suspects`
    follows if the suspect requests differ.

    Attributes:
        digest: Digest of the sender's member list.
        member: The sender.
        suspects: Digest of the sender's suspect requests.
    """

    digest: int
    member: Member
    suspects: int = 0


class Ping(Struct, frozen=True, array_like=True, tag='ping'):
    """Checks whether a host is reachable; the reply is `Pong`."""


class Pong(Struct, frozen=True, array_like=True, tag='pong'):
    """Reply to `Ping`, and to `Compare` if the digests are equal."""


class Leaving(Struct, frozen=True, array_like=True, tag='leaving'):
    """A host announces that it stops.

    Attributes:
        name: The host's name.
        started_ms: Unix milliseconds of its process's start.
        relay: Whether the receiver passes it on in its failure domain.
    """

    name: Name
    started_ms: int
    relay: bool = False


NewsEvent = (
    ConfigurationChange | PackedConfiguration | ServerUpdated | ServerRemoved
)


class News(Struct, frozen=True, array_like=True, tag='news'):
    """An update: the store's changes since a revision.

    Attributes:
        since: Store revision from which the events continue.
        revision: Store revision after the events.
        age_s: Seconds since the sender's view was known to agree with the
            store.
        events: The changes of the configuration and of servers.
        reader: Name of the host that read the store.
        relay: Whether the receiver passes it on in its failure domain.
        evacuations: The newest change of each failure domain's evacuation,
            also those before `since`.
        evacuations_until: Store revision up to which the reader knows all
            evacuations; 0 if a host of an older build has read the store or
            passed the update on.
    """

    since: int
    revision: int
    age_s: float
    events: tuple[NewsEvent, ...]
    reader: Name
    relay: bool
    evacuations: tuple[EvacuationChanged, ...] = ()
    evacuations_until: int = 0


class AskSnapshot(Struct, frozen=True, array_like=True, tag='ask-snapshot'):
    """Requests the part of a view that the sender lacks.

    The reply is `Snapshot`.

    Attributes:
        since: Store revision of the sender's view; 0 if it is empty.
        version: Version of the sender's configuration; 0 for none.
    """

    since: int = 0
    version: int = 0


class AskLease(Struct, frozen=True, array_like=True, tag='ask-lease'):
    """Requests a lease of a slot; the reply is `Grant` or `Refusal`.

    Attributes:
        key: Key of the lease.
        service: Name of the service whose server is to be leased.
        failure_domain: Failure domain of the servers.
        route: The route's name.
        priority: Priority, 0 is the most urgent.
        objective_s: Seconds left until the latency objective, after which the
            response loses most of its value.
        deadline_s: Seconds left until the caller stops waiting.
        kilobytes: Size of the request and expected size of the response
            together, in units of 1,024 bytes.
        excluded: Names of the servers of earlier attempts.
        max_duration_s: Seconds within which the server must be expected to
            finish the request; None for any time.
        asked_before_s: Seconds for which the caller has been asking; 0.0 for
            its first request, and from hosts that don't tell.
    """

    key: LeaseKey
    service: LongName
    failure_domain: Name
    route: LongName
    priority: int
    objective_s: float
    deadline_s: float
    kilobytes: float
    excluded: tuple[Name, ...]
    max_duration_s: float | None
    asked_before_s: float = 0.0


class CancelLease(Struct, frozen=True, array_like=True, tag='cancel-lease'):
    """Cancels a lease request.

    Attributes:
        key: Key of the lease.
        service: Name of the service.
        failure_domain: Failure domain of the request.
    """

    key: LeaseKey
    service: LongName
    failure_domain: Name


class Suspects(Struct, frozen=True, array_like=True, tag='suspects'):
    """What the sender knows of requests that crash servers.

    Attributes:
        records: The records.
        digest: Digest of all records that the sender shares, if these are
            all; 0 for a few. A receiver that knows more replies with its own.
        relay: Whether the receiver passes it on in its failure domain.
    """

    records: tuple[Summary, ...]
    digest: int = 0
    relay: bool = False


class AskSuspects(Struct, frozen=True, array_like=True, tag='ask-suspects'):
    """Requests all suspect requests; the reply is `KnownSuspects`."""


class KnownSuspects(
    Struct, frozen=True, array_like=True, tag='known-suspects'
):
    """Reply to `AskSuspects`.

    Attributes:
        records: All records that the sender shares.
        complete: Whether the sender itself doesn't wait for records of
            others any more.
    """

    records: tuple[Summary, ...]
    complete: bool


class AskTrial(Struct, frozen=True, array_like=True, tag='ask-trial'):
    """Asks for permission to send a suspect request to one server.

    The reply is `TrialDecision`.

    Attributes:
        record: What the sender knows of the request.
    """

    record: Summary


class TrialDecision(
    Struct, frozen=True, array_like=True, tag='trial-decision'
):
    """Reply to `AskTrial`.

    Attributes:
        granted: Whether the request may be sent to one server.
        record: What is known of the request, including this trial.
    """

    granted: bool
    record: Summary


class IdleLoss(Struct, frozen=True, array_like=True, tag='idle-loss'):
    """A server had dropped an idle connection without notice.

    Attributes:
        service: Name of the server's service.
        idle_s: Seconds for which the connection had been idle.
        relay: Whether the receiver passes it on in its failure domain.
    """

    service: LongName
    idle_s: float
    relay: bool = False


class ServerLeaving(
    Struct, frozen=True, array_like=True, tag='server-leaving'
):
    """A server said in a response that it leaves.

    Attributes:
        name: The server's name.
        started_ms: Unix milliseconds of the server's start.
        relay: Whether the receiver passes it on in its failure domain.
    """

    name: Name
    started_ms: int
    relay: bool = False


BroadcastMessage = (
    Members | Leaving | News | Suspects | IdleLoss | ServerLeaving
)


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
    Suspects,
    AskSuspects,
    KnownSuspects,
    AskTrial,
    TrialDecision,
    IdleLoss,
    AskRelay,
    RelayOffer,
    RelayRequest,
    RelayResponse,
    RelayFailure,
    CancelRelay,
    AskRunning,
    Running,
    ServerLeaving,
)
