"""Requests that crash servers, as all hosts know them."""

from collections.abc import Callable
from hashlib import blake2b

from cowslipmill.fleet.gossip import Gossip
from cowslipmill.fleet.messages import Cleared
from cowslipmill.fleet.messages import Crash
from cowslipmill.fleet.rpc import Rpc
from cowslipmill.http1.message import Request
from cowslipmill.suspects.suspects import AdmissionDecision
from cowslipmill.suspects.suspects import SuspectRequests

FINGERPRINT_BYTES = 12


def fingerprint_of(request: Request) -> bytes:
    """Returns a hash that the same request has at any host."""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (
        request.method,
        request.header(b'host'),
        request.target,
        request.body,
    ):
        digest.update(b'%d:' % len(part) + part)
    return digest.digest()


class CrashTracker:
    """Shares what is known of requests that crash servers.

    Attributes:
        suspects: Crash reports by fingerprint.
    """

    def __init__(
        self, gossip: Gossip, rpc: Rpc, clock: Callable[[], float]
    ) -> None:
        """Registers the handlers of its messages."""
        self.suspects = SuspectRequests()
        self.gossip = gossip
        self.clock = clock
        rpc.register(Crash, self.on_crash)
        rpc.register(Cleared, self.on_cleared)

    def check(self, fingerprint: bytes, now: float) -> AdmissionDecision:
        """Decides whether a request may be served now."""
        return self.suspects.check(fingerprint, now)

    def report_crash(
        self, fingerprint: bytes, server: str, now: float
    ) -> None:
        """Takes in that a server was lost with a request."""
        if self.suspects.report_crash(fingerprint, server, now):
            self.gossip.broadcast(Crash(fingerprint, server))

    def clear(self, fingerprint: bytes) -> None:
        """Ends the suspicion after a whole answer."""
        if self.suspects.clear(fingerprint):
            self.gossip.broadcast(Cleared(fingerprint))

    async def on_crash(self, message: Crash, name: str) -> None:
        """Takes in another host's report."""
        self.suspects.report_crash(
            message.fingerprint, message.server, self.clock()
        )
        self.gossip.relay(message)

    async def on_cleared(self, message: Cleared, name: str) -> None:
        """Takes in that another host got a whole answer."""
        self.suspects.clear(message.fingerprint)
        self.gossip.relay(message)
