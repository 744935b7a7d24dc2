"""Record of one entry host or backend server."""

from enum import Enum
from enum import IntEnum
from typing import Annotated

from msgspec import Meta
from msgspec import Struct

from cowslipmill.document.document import Name

Address = Annotated[
    str, Meta(pattern=r'^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$')
]


class Role(Enum):
    """Kind of a node in the host list."""

    ENTRY_HOST = 'entry-host'
    BACKEND_SERVER = 'backend-server'


class LifecycleState(IntEnum):
    """State of one incarnation of a node or entry; it never decreases."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


class NodeRecord(
    Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """What is known of one incarnation of a host or backend server.

    Attributes:
        name: Stable name, unique in the deployment.
        role: Entry host or backend server.
        address: IP number and port.
        failure_domain: Name of the failure domain that it runs in.
        incarnation: Grows with each start of the host or server.
        state: The highest state known of this incarnation.
        service: The service of a backend server, else ''.
    """

    name: Name
    role: Role
    address: Address
    failure_domain: Name
    incarnation: Annotated[int, Meta(ge=0)]
    state: LifecycleState = LifecycleState.LIVE
    service: str = ''

    def supersedes(self, other: 'NodeRecord') -> bool:
        """Returns whether this record is newer than the other.

        A record is newer if its incarnation is higher, or if the incarnation
        is the same and the state is further.
        """
        own_key = (self.incarnation, self.state)
        return own_key > (other.incarnation, other.state)
