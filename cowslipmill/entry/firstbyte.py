"""The last check before a request leaves the process."""

from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

from aiohttp import ClientRequest
from aiohttp import ClientResponse

from cowslipmill.outcomes.headers import DEADLINE_HEADER

Permit = Callable[[], int]

# Returns the milliseconds left, or raises `FirstByteRefused`.
PERMIT: ContextVar[Permit | None] = ContextVar('permit', default=None)


class FirstByteRefused(Exception):
    """A request whose first byte may not be written any more."""


class GuardedRequest(ClientRequest):
    """A request that asks for its permit once it has a connection."""

    async def send(self, conn: Any) -> ClientResponse:
        """Sets the time left and writes, unless the permit is refused."""
        permit = PERMIT.get()
        if permit is not None:
            self.headers[DEADLINE_HEADER] = str(permit())
        return await super().send(conn)
