"""Messages between the agents of a deployment."""

from typing import Annotated

from msgspec import Meta
from msgspec import Struct

from cowslipmill.configuration.conflict import Conflict
from cowslipmill.configuration.delta import DocumentDelta
from cowslipmill.configuration.stamp import NO_DOCUMENT
from cowslipmill.configuration.stamp import Stamp
from cowslipmill.configuration.watcherselection import PlatformContact
from cowslipmill.document.document import MAX_DOCUMENT_BYTES
from cowslipmill.hosts.noderecord import Address
from cowslipmill.membership.record import HostRecord
from cowslipmill.membership.replica import AgedRecord
from cowslipmill.serverstate.record import ServerRecord

MAX_AGENT_MESSAGE_BYTES = 2 * MAX_DOCUMENT_BYTES


class RecordUpdate(
    Struct, frozen=True, tag='news', array_like=True, kw_only=True
):
    """Changed records, and the stamp of the sender's document."""

    hosts: tuple[AgedRecord[HostRecord], ...] = ()
    servers: tuple[AgedRecord[ServerRecord], ...] = ()
    stamp: Stamp = NO_DOCUMENT


class Heartbeat(
    Struct, frozen=True, tag='heartbeat', array_like=True, kw_only=True
):
    """A probe of the receiver, with digests of the sender's records.

    Attributes:
        sender: The sender's record.
        receiver: The receiver's record as the sender has it, unless that is
            live.
        hosts: Digests of the host records.
        servers: Digests of the server records.
        stamp: Stamp of the sender's document.
        conflicts: The latest document conflicts that the sender knows.
        contact: A host that reached the platform recently, if any is known.
        joining: Whether the sender has just started and needs all records.
    """

    sender: HostRecord
    receiver: AgedRecord[HostRecord] | None = None
    hosts: bytes = b''
    servers: bytes = b''
    stamp: Stamp = NO_DOCUMENT
    conflicts: Annotated[tuple[Conflict, ...], Meta(max_length=8)] = ()
    contact: PlatformContact | None = None
    joining: bool = False


class HeartbeatReply(
    Struct, frozen=True, tag='heartbeat-reply', array_like=True, kw_only=True
):
    """The receiver's own heartbeat, and the records that differ."""

    heartbeat: Heartbeat
    update: RecordUpdate


class ProbeFor(Struct, frozen=True, tag='probe-for', array_like=True):
    """Asks the receiver to probe an agent that the sender cannot reach."""

    address: Address


class ProbeResult(Struct, frozen=True, tag='probe-result', array_like=True):
    """Whether the probed agent replied."""

    answered: bool


class FetchDocument(
    Struct, frozen=True, tag='fetch-document', array_like=True
):
    """Requests the document in force.

    `base` is the stamp of the sender's document; the reply may be a delta
    to it.
    """

    base: Stamp


class WholeDocument(
    Struct, frozen=True, tag='whole-document', array_like=True
):
    """The canonical JSON text of the document in force."""

    raw: bytes


AGENT_MESSAGES: tuple[type, ...] = (
    RecordUpdate,
    Heartbeat,
    HeartbeatReply,
    ProbeFor,
    ProbeResult,
    FetchDocument,
    WholeDocument,
    DocumentDelta,
)
