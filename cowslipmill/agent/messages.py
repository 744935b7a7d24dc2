"""Messages between an agent and the entries of its host."""

from msgspec import Struct

from cowslipmill.hosts.member import Member
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.peers.codec import Codec

MAX_FEED_BYTES = 2_097_152


class Hello(Struct, frozen=True, tag='hello', kw_only=True):
    """An entry names itself after it has connected."""

    entry: str
    address: str
    peer_address: str
    incarnation: int


class DocumentInForce(Struct, frozen=True, tag='document', kw_only=True):
    """The raw document that the agent has checked.

    `digest` decides between two documents of one version.
    """

    version: int
    raw: bytes
    digest: bytes = b''


class Facts(Struct, frozen=True, tag='facts', kw_only=True):
    """Facts that are news; `age_ms` is the age of the view behind them."""

    facts: tuple[NodeRecord, ...]
    age_ms: int


class Members(Struct, frozen=True, tag='members', kw_only=True):
    """Every entry that the agent knows, gone ones while they are remembered.

    `age_ms` is how long ago the agent last heard from any other host.
    """

    members: tuple[Member, ...]
    age_ms: int


class ServerSignal(Struct, frozen=True, array_like=True):
    """One incarnation of a server of which an entry reports."""

    name: str
    incarnation: int


class Observed(Struct, frozen=True, tag='observed', kw_only=True):
    """What an entry noticed since it last reported.

    Attributes:
        answered: Servers that answered requests.
        leaving: Servers that said with an answer that they are leaving.
    """

    answered: tuple[ServerSignal, ...] = ()
    leaving: tuple[ServerSignal, ...] = ()


class EntryLeaving(Struct, frozen=True, tag='entry-leaving'):
    """The entry takes no new work any more."""


FeedMessage = (
    Hello | DocumentInForce | Facts | Members | Observed | EntryLeaving
)

FEED_CODEC: Codec[FeedMessage] = Codec(FeedMessage, max_bytes=MAX_FEED_BYTES)
