"""What the agents tell each other about one backend server."""

from typing import Annotated

from msgspec import Meta
from msgspec import Struct

from cowslipmill.document.document import Name
from cowslipmill.hosts.fact import Address
from cowslipmill.hosts.fact import Fact
from cowslipmill.hosts.fact import Role
from cowslipmill.hosts.fact import State


class ServerRecord(Struct, frozen=True, array_like=True):
    """One incarnation of a backend server; its state moves forward only."""

    name: Name
    address: Address
    failure_domain: Name
    service: Name
    incarnation: Annotated[int, Meta(ge=0)]
    state: State = State.LIVE

    @property
    def key(self) -> tuple[int, int, str]:
        """Orders the records of one server; the address breaks a tie."""
        return self.incarnation, self.state, self.address

    @property
    def is_gone(self) -> bool:
        """Whether the record may be forgotten after a while."""
        return self.state is State.GONE

    @classmethod
    def from_fact(cls, fact: Fact) -> 'ServerRecord':
        """Returns the record of a fact of the host list."""
        return cls(
            fact.name,
            fact.address,
            fact.failure_domain,
            fact.service,
            fact.incarnation,
            fact.state,
        )

    def to_fact(self) -> Fact:
        """Returns the fact that entries hear of."""
        return Fact(
            name=self.name,
            role=Role.BACKEND_SERVER,
            address=self.address,
            failure_domain=self.failure_domain,
            incarnation=self.incarnation,
            state=self.state,
            service=self.service,
        )
