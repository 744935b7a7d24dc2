"""Sends and receives messages between the entries of a deployment."""

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random
from typing import Any
from typing import TypeVar

from mode import Service

from cowslipmill.peers.frame import make_frame_codec
from cowslipmill.peers.links import PeerLinks
from cowslipmill.peers.server import PeerServer
from cowslipmill.settings.settings import EntrySettings

M = TypeVar('M')

MAX_PEER_MESSAGE_BYTES = 20_971_520


class Peering(Service):
    """The peer server of an entry and its links to other entries.

    Attributes:
        links: Outgoing links.
        handlers: Handlers by type of message.
        server: Accepts incoming links.
    """

    def __init__(
        self,
        settings: EntrySettings,
        messages: tuple[type, ...],
        random: Random,
    ) -> None:
        """Creates server and links for the given types of messages."""
        super().__init__()
        codec = make_frame_codec(messages, max_bytes=MAX_PEER_MESSAGE_BYTES)
        keys = settings.peer_keys
        self.handlers: dict[type, Callable[[Any, str], Awaitable[Any]]] = {}
        self.links = PeerLinks(settings.name, keys, codec, random)
        self.server = PeerServer(
            settings.peer_listen, 'peer_listen', keys, codec, self.handle
        )

    async def on_start(self) -> None:
        """Starts server and links."""
        await self.add_runtime_dependency(self.links)
        await self.add_runtime_dependency(self.server)

    def register(
        self,
        message_type: type[M],
        handler: Callable[[M, str], Awaitable[Any]],
    ) -> None:
        """Registers the handler of one type of message.

        Args:
            message_type: The type.
            handler: Called with the message and the name of its sender;
                returns the reply, or None.
        """
        self.handlers[message_type] = handler

    async def handle(self, message: Any, peer: str) -> Any:
        """Calls the handler of a message and returns its reply, if any."""
        handler = self.handlers.get(type(message))
        return await handler(message, peer) if handler else None

    def open(self, address: str) -> None:
        """Opens the link to a peer ahead of its first message."""
        self.links.open(address)

    def send(self, address: str, message: Any) -> bool:
        """Queues one message; returns False if the peer is unreachable."""
        return self.links.send(address, message)

    async def call(self, address: str, message: Any, timeout_s: float) -> Any:
        """Returns the reply to a message, or `Unreachable`."""
        return await self.links.call(address, message, timeout_s)
