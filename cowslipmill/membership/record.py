"""What the agents tell each other about one entry host."""

from enum import IntEnum
from typing import Annotated

from msgspec import Meta
from msgspec import Struct

from cowslipmill.document.document import Name
from cowslipmill.hosts.noderecord import Address
from cowslipmill.hosts.noderecord import LifecycleState

MAX_ENTRIES = 64


class HostState(IntEnum):
    """Where a revision of a host stands; it only moves forward."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


class EntryRecord(Struct, frozen=True, array_like=True):
    """One incarnation of an entry process of the host."""

    name: Name
    incarnation: Annotated[int, Meta(ge=0)]
    peer_address: Address
    state: LifecycleState = LifecycleState.LIVE


class HostRecord(Struct, frozen=True, array_like=True):
    """One revision of what is known of an entry host.

    Only the host's own agent makes a new incarnation, when it starts, or a
    new revision, when its entries change or it refutes a suspicion. Others
    move the state of a revision forward.

    Attributes:
        name: Name of the host.
        address: Peer address of its agent.
        failure_domain: Its failure domain.
        incarnation: Unix milliseconds of its agent's start.
        revision: Counts what the agent has changed since.
        state: The furthest state known of this revision.
        entries: Its entries.
    """

    name: Name
    address: Address
    failure_domain: Name
    incarnation: Annotated[int, Meta(ge=0)]
    revision: Annotated[int, Meta(ge=0)] = 0
    state: HostState = HostState.LIVE
    entries: Annotated[
        tuple[EntryRecord, ...], Meta(max_length=MAX_ENTRIES)
    ] = ()

    @property
    def version_key(self) -> tuple[int, int, int, str]:
        """Orders the records of one host; the address breaks a tie."""
        return self.incarnation, self.revision, self.state, self.address

    @property
    def is_gone(self) -> bool:
        """Whether the record may be forgotten after a while."""
        return self.state is HostState.GONE
