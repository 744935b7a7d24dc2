"""Membership record of one entry host, as agents exchange it."""

from enum import IntEnum
from typing import Annotated

from msgspec import Meta
from msgspec import Struct

from cowslipmill.document.document import Name
from cowslipmill.hosts.noderecord import Address
from cowslipmill.hosts.noderecord import LifecycleState

MAX_ENTRIES = 64


class HostState(IntEnum):
    """State of one revision of a host record; it never decreases."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


class EntryRecord(Struct, frozen=True, array_like=True):
    """One incarnation of an entry process of the host.

    Attributes:
        name: Name of the entry, unique in the deployment.
        incarnation: Unix milliseconds of its start.
        peer_address: Where other entries reach it.
        state: Live, leaving or gone.
    """

    name: Name
    incarnation: Annotated[int, Meta(ge=0)]
    peer_address: Address
    state: LifecycleState = LifecycleState.LIVE


class HostRecord(Struct, frozen=True, array_like=True):
    """One revision of the membership record of an entry host.

    Only the host's own agent creates a new incarnation (when it starts) or
    a new revision (when its entries change, when it leaves or when it
    refutes what others claim about it). Other agents only advance the state
    of a revision.

    Attributes:
        name: Name of the host.
        address: Peer address of its agent.
        failure_domain: Its failure domain.
        incarnation: Unix milliseconds of its agent's start; a refutation may
            raise it.
        revision: Counts the changes made by the agent since then.
        state: The highest state known of this revision.
        entries: The entry processes of the host.
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
        """Orders the records of one host; the address breaks ties."""
        return self.incarnation, self.revision, self.state, self.address

    @property
    def is_gone(self) -> bool:
        """Whether the host is gone, so that its record may expire."""
        return self.state is HostState.GONE
