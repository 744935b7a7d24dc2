"""What the agents tell each other about one backend server."""

from typing import Annotated

from msgspec import Meta
from msgspec import Struct

from cowslipmill.document.document import Name
from cowslipmill.hosts.noderecord import Address
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role


class ServerRecord(Struct, frozen=True, array_like=True):
    """One incarnation of a backend server; its state moves forward only."""

    name: Name
    address: Address
    failure_domain: Name
    service: Name
    incarnation: Annotated[int, Meta(ge=0)]
    state: LifecycleState = LifecycleState.LIVE

    @property
    def version_key(self) -> tuple[int, int, str]:
        """Orders the records of one server; the address breaks a tie."""
        return self.incarnation, self.state, self.address

    @property
    def is_gone(self) -> bool:
        """Whether the record may be forgotten after a while."""
        return self.state is LifecycleState.GONE

    @classmethod
    def from_node_record(cls, record: NodeRecord) -> 'ServerRecord':
        """Returns the record of a fact of the host list."""
        return cls(
            record.name,
            record.address,
            record.failure_domain,
            record.service,
            record.incarnation,
            record.state,
        )

    def to_node_record(self) -> NodeRecord:
        """Returns the fact that entries hear of."""
        return NodeRecord(
            name=self.name,
            role=Role.BACKEND_SERVER,
            address=self.address,
            failure_domain=self.failure_domain,
            incarnation=self.incarnation,
            state=self.state,
            service=self.service,
        )
