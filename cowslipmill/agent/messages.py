"""Messages between an agent and the entries of its host."""

from msgspec import Struct

from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.peers.codec import Codec

MAX_FEED_BYTES = 2_097_152


class Hello(Struct, frozen=True, tag='hello', kw_only=True):
    """First message of an entry; identifies it to the agent."""

    entry: str
    address: str
    peer_address: str
    incarnation: int


class DocumentInForce(Struct, frozen=True, tag='document', kw_only=True):
    """The JSON text of the document in force, already validated.

    `digest` orders two documents that have the same version.
    """

    version: int
    raw: bytes
    digest: bytes = b''


class Facts(Struct, frozen=True, tag='facts', kw_only=True):
    """Server records: all of them on connect, then the changed ones.

    `age_ms` is the number of milliseconds since the agent last heard from
    another host.
    """

    facts: tuple[NodeRecord, ...]
    age_ms: int


class Members(Struct, frozen=True, tag='members', kw_only=True):
    """Every entry that the agent knows, including recently gone ones.

    `age_ms` is the number of milliseconds since the agent last heard from
    another host.
    """

    members: tuple[Member, ...]
    age_ms: int


class ServerSignal(Struct, frozen=True, array_like=True):
    """Identifies one incarnation of a server in an `Observed` message."""

    name: str
    incarnation: int


class Observed(Struct, frozen=True, tag='observed', kw_only=True):
    """What an entry saw of servers in its traffic since its last report.

    Attributes:
        answered: Servers that answered requests.
        leaving: Servers whose responses announced that they are leaving.
    """

    answered: tuple[ServerSignal, ...] = ()
    leaving: tuple[ServerSignal, ...] = ()


class EntryLeaving(Struct, frozen=True, tag='entry-leaving'):
    """The entry no longer accepts new requests."""


FeedMessage = (
    Hello | DocumentInForce | Facts | Members | Observed | EntryLeaving
)

FEED_CODEC: Codec[FeedMessage] = Codec(FeedMessage, max_bytes=MAX_FEED_BYTES)
