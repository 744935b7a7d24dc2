"""The last check before the first byte of a request is sent."""

from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

from aiohttp import ClientRequest
from aiohttp import ClientResponse

from cowslipmill.outcomes.headers import DEADLINE_HEADER

Permit = Callable[[], int]

# Returns the remaining milliseconds, or raises `FirstByteRefused`. A context
# variable carries it to the request object, which the library creates.
PERMIT: ContextVar[Permit | None] = ContextVar('permit', default=None)


class FirstByteRefused(Exception):
    """The first byte of a request must not be written any more."""


class GuardedRequest(ClientRequest):
    """A request that calls its permit once it has a connection."""

    async def send(self, conn: Any) -> ClientResponse:
        """Sets the deadline header and writes the request.

        Raises:
            FirstByteRefused: If the permit is refused; nothing is written.
        """
        permit = PERMIT.get()
        if permit is not None:
            self.headers[DEADLINE_HEADER] = str(permit())
        return await super().send(conn)
