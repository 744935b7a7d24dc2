"""What the decision by cost needs of a scheduler.

Answers the same loads as that decision, which is kept apart from the state of
servers so that it can be tested alone.
"""

from random import Random
from typing import Protocol

from cowslipmill.leasing.leaserequest import AskOtherDomains
from cowslipmill.leasing.leaserequest import Decision
from cowslipmill.leasing.leaserequest import Grant
from cowslipmill.leasing.leaserequest import LeaseRequest
from cowslipmill.leasing.overload import Overload
from cowslipmill.leasing.slots import ServerSlots
from cowslipmill.leasing.waitestimator import WaitEstimator


class SlotAssigner(Protocol):
    """The scheduler for which decisions are made.

    Attributes:
        servers: State of the servers by name.
        queue: Queued requests.
        overload: The overload of the service, if there is one.
        probed_at: When servers were probed for this decision, in monotonic
            seconds.
        wait_estimator: Estimates the capacity.
    """

    servers: dict[str, ServerSlots]
    queue: list[LeaseRequest]
    overload: Overload
    probed_at: float
    wait_estimator: WaitEstimator

    def decide_one(
        self, request: LeaseRequest, ahead: int, now: float, random: Random
    ) -> Decision | None:
        """Returns the decision on a request that is granted or refused."""

    def grant(
        self,
        request: LeaseRequest,
        server: ServerSlots,
        duration_s: float,
        now: float,
    ) -> Grant:
        """Grants a request a lease on a slot of a server."""

    def remote_attempt(
        self,
        request: LeaseRequest,
        wait_s: float,
        processing_s: float,
        now: float,
    ) -> AskOtherDomains | None:
        """Returns the decision to ask other domains, if that may help."""
