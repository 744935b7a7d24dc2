"""Calls and one-way messages between hosts, over the links of `peers`."""

from asyncio import ensure_future
from collections.abc import Awaitable
from collections.abc import Callable
from logging import getLogger
from random import Random
from typing import Any

from mode import Service

from cowslipmill.fleet.messages import Member
from cowslipmill.fleet.messages import MESSAGES
from cowslipmill.host.settings import HostSettings
from cowslipmill.memory.budget import MemoryBudget
from cowslipmill.peers.frame import make_frame_codec
from cowslipmill.peers.links import PeerLinks
from cowslipmill.peers.server import PeerServer

LOG = getLogger(__name__)

# Twice the largest value that a store accepts, to hold a whole configuration.
MAX_MESSAGE_BYTES = 2_097_152

Handler = Callable[[Any, str], Awaitable[Any]]


class Rpc(Service):
    """This host's server for other hosts and its links to them.

    Attributes:
        handlers: Message handlers by message type. A handler gets the message
            and the sender's name, and returns the reply or None.
        links: Links to other hosts.
        server: Server for links from other hosts.
    """

    def __init__(
        self,
        settings: HostSettings,
        deployment: str,
        random: Random,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Makes the server and the links without starting them.

        Args:
            settings: The settings of this process.
            deployment: Name of the deployment.
            random: Source of the jitter between connection attempts.
            memory: The budget of what waits to be sent to other hosts; None
                for no limit.
        """
        super().__init__()
        codec = make_frame_codec(MESSAGES, max_bytes=MAX_MESSAGE_BYTES)
        host, port = settings.peer_listen
        self.handlers: dict[type, Handler] = {}
        # The deployment's name is the shared key, so that hosts of other
        # deployments are refused.
        self.links = PeerLinks(
            settings.name, (deployment,), codec, random, memory
        )
        self.server = PeerServer(
            f'{host}:{port}',
            'peer_listen',
            (deployment,),
            codec,
            self.handle,
            memory=memory,
        )

    async def on_start(self) -> None:
        """Starts the links and the server."""
        await self.add_runtime_dependency(self.links)
        await self.add_runtime_dependency(self.server)

    def abort(self) -> None:
        """Closes every connection at once.

        Closing them gracefully would wait for hosts that don't respond.
        """
        self.links.abort()
        self.server.abort()

    def register(self, message_type: type, handler: Handler) -> None:
        """Sets the handler of one message type."""
        self.handlers[message_type] = handler

    async def handle(self, message: Any, sender: str) -> Any:
        """Calls the handler of a message.

        Args:
            message: The message.
            sender: Name of the host that sent it.

        Returns:
            The reply; None if there is none or the type has no handler.
        """
        handler = self.handlers.get(type(message))
        if handler is None:
            LOG.warning(
                'message without handler',
                extra={'kind': type(message).__name__, 'peer': sender},
            )
            return None
        return await handler(message, sender)

    def send(self, member: Member, message: Any) -> bool:
        """Queues a message; returns False if it can't be queued.

        That is the case if the host is unreachable or its queue is full.
        """
        return self.links.send(format_address(member.address), message)

    def send_all(self, members: list[Member], message: Any) -> None:
        """Queues a message for several hosts; it is encoded only once."""
        addresses = [format_address(member.address) for member in members]
        self.links.send_all(addresses, message)

    async def call(
        self, address: tuple[str, int], message: Any, timeout_s: float
    ) -> Any:
        """Sends a message and returns the reply, or `Unreachable`.

        Args:
            address: IP address and port of the other host.
            message: The message.
            timeout_s: Seconds to wait for the reply.
        """
        return await self.links.call(
            format_address(address), message, timeout_s
        )

    def start_call(
        self, address: tuple[str, int], message: Any, timeout_s: float
    ) -> 'Awaitable[Any]':
        """Starts a call in a separate task; see `call`."""
        return ensure_future(self.call(address, message, timeout_s))


def format_address(address: tuple[str, int]) -> str:
    """Returns `IP:PORT`."""
    host, port = address
    return f'{host}:{port}'
