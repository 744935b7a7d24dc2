"""Record of one backend server, as agents exchange it."""

from typing import Annotated

from msgspec import Meta
from msgspec import Struct

from cowslipmill.document.document import Name
from cowslipmill.hosts.noderecord import Address
from cowslipmill.hosts.noderecord import LifecycleState
from cowslipmill.hosts.noderecord import NodeRecord
from cowslipmill.hosts.noderecord import Role


class ServerRecord(Struct, frozen=True, array_like=True):
    """One incarnation of a backend server; its state never decreases."""

    name: Name
    address: Address
    failure_domain: Name
    service: Name
    incarnation: Annotated[int, Meta(ge=0)]
    state: LifecycleState = LifecycleState.LIVE

    @property
    def version_key(self) -> tuple[int, int, str]:
        """Orders the records of one server; the address breaks ties."""
        return self.incarnation, self.state, self.address

    @property
    def is_gone(self) -> bool:
        """Whether the server is gone, so that its record may expire."""
        return self.state is LifecycleState.GONE

    @classmethod
    def from_node_record(cls, record: NodeRecord) -> 'ServerRecord':
        """Returns the server record of a backend server in the host list."""
        return cls(
            record.name,
            record.address,
            record.failure_domain,
            record.service,
            record.incarnation,
            record.state,
        )

    def to_node_record(self) -> NodeRecord:
        """Returns the node record that is sent to entries."""
        return NodeRecord(
            name=self.name,
            role=Role.BACKEND_SERVER,
            address=self.address,
            failure_domain=self.failure_domain,
            incarnation=self.incarnation,
            state=self.state,
            service=self.service,
        )
